"""Pulls of missing records from peers, and the server side with its byte rate limit."""

import asyncio
import random
import typing as t

import msgspec
from loguru import logger
from result import Err
from result import Ok
from result import Result

from bulrushflow.configuration import ConfigurationStore
from bulrushflow.configuration import LogRecord
from bulrushflow.membership import Member
from bulrushflow.membership import MemberTable
from bulrushflow.nodes.token_bucket import TokenBucket
from bulrushflow.wire import log_codec
from bulrushflow.wire import messages
from bulrushflow.wire.links import Endpoint
from bulrushflow.wire.links import Links

RECORDS_TIMEOUT_S = 2.0
MAX_PULL_DELAY_S = 0.2
"""Longest random delay before a pull, during which a push of the same records may arrive."""
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
MAX_FAILURES = 8
"""Pulls in a row without new records after which a goal is abandoned until advertised again."""
LOCAL_PULL_FRACTION = 0.8
"""Fraction of the pulls from random peers that stay inside the data centre."""
SERVED_BYTES_PER_S = 1 << 20
SERVED_BURST_BYTES = 4 << 20
MIN_COST_BYTES = 512

ApplyRecords = t.Callable[[t.Iterable[LogRecord]], int]


class PullResult(msgspec.Struct, frozen=True):
    """A peer's reported state, and what a pull from it brought.

    ``generation`` is that of the check in progress when the request was sent.
    """

    endpoint: Endpoint
    generation: int
    offset: int
    fresh: bool
    reads_log: bool
    was_fresh: bool
    new_records: int
    received_bytes: int
    """Bytes of the records or of the snapshot."""


class Puller:
    """Pulls missing records, from one peer at a time.

    :param apply: applies records and returns how many were new.
    :param on_result: called with the result of each successful pull.
    :param generation: returns the generation of the check in progress.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        table: MemberTable,
        links: Links,
        rng: random.Random,
        apply: ApplyRecords,
        on_result: t.Callable[[PullResult], None],
        generation: t.Callable[[], int],
    ) -> None:
        self._generation = generation
        self._store = store
        self._table = table
        self._links = links
        self._rng = rng
        self._apply = apply
        self._on_result = on_result
        self._pull_lock = asyncio.Lock()
        self._pulling = False
        self._goal_offset = -1
        self._source: Endpoint | None = None

    def set_goal(self, endpoint: Endpoint, offset: int) -> bool:
        """Record that a peer has a version, as the goal if it is later than the current one.

        :return: whether :meth:`pull_to_goal` has to be started.
        """
        if offset <= self._store.current.offset or self._store.unsupported:
            return False
        self._goal_offset = max(self._goal_offset, offset)
        self._source = endpoint
        return not self._pulling

    async def pull_to_goal(self) -> None:
        """Pull until the goal is reached or abandoned; do nothing if already running."""
        if self._pulling:
            return
        self._pulling = True
        try:
            await asyncio.sleep(self._rng.uniform(0, MAX_PULL_DELAY_S))
            await self._pull_until_goal()
        finally:
            self._pulling = False

    async def pull(self, endpoint: Endpoint) -> Result[PullResult, str]:
        """Request the records after the current version from one peer, and apply them.

        :return: an error if the peer is unreachable, out of bytes to serve, or sent no records.
        """
        async with self._pull_lock:
            generation = self._generation()
            request = messages.RecordsRequest(from_offset=self._store.current.offset + 1)
            result = await self._links.exchange(
                endpoint, RECORDS_TIMEOUT_S, records_request=request
            )
            match result:
                case Ok(frame) if frame.records is not None:
                    message = frame.records
                case Ok(_):
                    return Err("the response carries no records")
                case Err(error):
                    return Err(error.reason)
            if message.busy:
                return Err("busy")
            before = self._store.current.offset
            if message.snapshot:
                self._store.restore_packed(message.snapshot)
            self._apply([log_codec.record_from_message(r) for r in message.records])
            current_offset = self._store.current.offset
            # Nodes of earlier releases do not send their version.
            offset = current_offset if message.offset is None else message.offset
            pull_result = PullResult(
                endpoint,
                generation,
                offset,
                message.fresh is not False,
                bool(message.reads_log),
                bool(message.was_fresh),
                current_offset - before,
                len(message.snapshot or b"") + sum(len(r.body) for r in message.records),
            )
        self._on_result(pull_result)
        return Ok(pull_result)

    def pick_peer(self, same_data_centre: bool) -> Member | None:
        """Return a random live peer, preferably in this data centre or in another one, as asked."""
        own = self._table.own
        others = self._table.live_peers()
        preferred = [m for m in others if (m.data_centre == own.data_centre) is same_data_centre]
        candidates = preferred or others
        return self._rng.choice(candidates) if candidates else None

    async def _pull_until_goal(self) -> None:
        failures = 0
        while self._store.current.offset < self._goal_offset and not self._store.unsupported:
            endpoint, self._source = self._source, None
            if endpoint is None:
                member = self.pick_peer(self._rng.random() < LOCAL_PULL_FRACTION)
                if member is None:
                    return
                endpoint = member.endpoint
            match await self.pull(endpoint):
                case Ok(pull_result) if pull_result.new_records > 0:
                    failures = 0
                    self._source = endpoint
                    continue
                case Ok(_):
                    pass
                case Err(reason):
                    logger.debug("pull from {} failed: {}", endpoint, reason)
            failures += 1
            if failures >= MAX_FAILURES:
                self._goal_offset = self._store.current.offset
                return
            cap_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2.0**failures)
            await asyncio.sleep(self._rng.uniform(0, cap_s))


class PullServer:
    """Serves pulls within a byte rate, and answers "busy" beyond it.

    :param now: seconds on a monotonic clock.
    :param on_sent: called with the bytes of each page or snapshot.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        now: t.Callable[[], float],
        is_fresh: t.Callable[[], bool],
        reads_log: t.Callable[[], bool],
        was_fresh: t.Callable[[], bool],
        on_sent: t.Callable[[int], None],
    ) -> None:
        self.refused_pulls = 0
        self._on_sent = on_sent
        self._store = store
        self._now = now
        self._is_fresh = is_fresh
        self._reads_log = reads_log
        self._was_fresh = was_fresh
        self._bucket = TokenBucket(SERVED_BYTES_PER_S, SERVED_BURST_BYTES)

    async def serve(self, request: t.Any) -> dict[str, t.Any]:
        """Return a page of records, or a snapshot if the first ones are no longer retained."""
        own = {
            "offset": self._store.current.offset,
            "fresh": self._is_fresh(),
            "reads_log": self._reads_log(),
            "was_fresh": self._was_fresh(),
        }
        if self._bucket.replenish(self._now()) <= 0:
            self.refused_pulls += 1
            return {"records": messages.Records(records=[], busy=True, **own)}
        records = self._store.records_from(request.from_offset)
        if records is None:
            packed = self._store.packed()
            self._consume(len(packed))
            return {"records": messages.Records(records=[], snapshot=packed, **own)}
        self._consume(sum(len(record.body) for record in records))
        encoded = [log_codec.record_to_message(record) for record in records]
        return {"records": messages.Records(records=encoded, **own)}

    def _consume(self, size: int) -> None:
        self._on_sent(size)
        self._bucket.consume(max(MIN_COST_BYTES, size))
