"""Anti-entropy between member tables: digests are compared, and differing buckets exchanged."""

import random
import typing as t

from bulrushflow.membership import Member
from bulrushflow.membership import MemberTable
from bulrushflow.nodes.composing import MessageComposer
from bulrushflow.timers import Timers
from bulrushflow.wire import messages
from bulrushflow.wire.links import Endpoint

MIN_START_PERIODS = 6
"""Least number of probe periods between two comparisons that this node starts."""
MIN_RESPONSE_PERIODS = 1
"""Least number of probe periods between two comparisons that this node responds to."""
MAX_DATAGRAMS = 6
MAX_BUCKET_MEMBERS = 40
WHOLE_TABLE_MEMBERS = 400
"""With more members in the differing buckets, the whole table is fetched in pages instead."""


class SendDatagram(t.Protocol):
    """Sends datagrams with members."""

    def __call__(
        self, kind: str, endpoint: Endpoint, extra: t.Sequence[Member] = (), **body: t.Any
    ) -> None:
        """Send one datagram."""


class AntiEntropy:
    """Starts and responds to comparisons of tables, bounded in rate and bytes."""

    def __init__(
        self,
        table: MemberTable,
        composer: MessageComposer,
        timers: Timers,
        period_s: float,
        rng: random.Random,
        send: SendDatagram,
        fetch_table: t.Callable[[Endpoint], None],
    ) -> None:
        self._table = table
        self._composer = composer
        self._timers = timers
        self._period_s = period_s
        self._rng = rng
        self._send = send
        self._fetch_table = fetch_table
        self._start_after = float("-inf")
        self._respond_after = float("-inf")

    def compare_digest(self, endpoint: Endpoint, digest: int | None) -> None:
        """Start a comparison with a node whose digest differs, unless one was started recently."""
        now = self._timers.now()
        if digest is None or digest == self._table.digest() or now < self._start_after:
            return
        self._start_after = now + MIN_START_PERIODS * self._period_s * self._rng.uniform(0.8, 1.2)
        digests = messages.BucketDigests(digests=self._table.bucket_digests())
        self._send("digests", endpoint, bucket_digests=digests)

    def handle_digests(self, endpoint: Endpoint, packed: bytes) -> None:
        """Send the members of some differing buckets, and request the other node's members of them.

        With more than :data:`WHOLE_TABLE_MEMBERS` members in them, have the other node fetch the
        whole table instead.
        """
        now = self._timers.now()
        differing = self._table.differing_buckets(packed)
        if not differing or now < self._respond_after:
            return
        self._respond_after = now + MIN_RESPONSE_PERIODS * self._period_s
        members = self._table.in_buckets(differing)
        if len(members) > WHOLE_TABLE_MEMBERS:
            request = messages.BucketRequest(buckets=[], whole_table=True)
            self._send("buckets", endpoint, bucket_request=request)
            return
        buckets = self._pick_buckets(differing)
        request = messages.BucketRequest(buckets=buckets, whole_table=False)
        self._send_members(endpoint, buckets, bucket_request=request)

    def handle_bucket_request(self, endpoint: Endpoint, request: t.Any) -> None:
        """Send the members of the requested buckets, or fetch the whole table as requested."""
        if request.whole_table:
            self._fetch_table(endpoint)
            return
        self._send_members(endpoint, request.buckets or ())

    def _pick_buckets(self, differing: list[int]) -> list[int]:
        """Return random buckets with about :data:`MAX_BUCKET_MEMBERS` members at most.

        The choice is random so that later comparisons reach the other buckets.
        """
        picked: list[int] = []
        count = 0
        for bucket in self._rng.sample(differing, len(differing)):
            count += len(self._table.in_buckets((bucket,)))
            if picked and count > MAX_BUCKET_MEMBERS:
                break
            picked.append(bucket)
            if len(picked) == MAX_BUCKET_MEMBERS:
                break
        return picked

    def _send_members(self, endpoint: Endpoint, buckets: t.Collection[int], **body: t.Any) -> None:
        members = self._table.in_buckets(buckets)
        self._rng.shuffle(members)
        for batch in self._composer.split_into_batches(members, MAX_DATAGRAMS):
            self._send("buckets", endpoint, batch, **body)
            body = {}
