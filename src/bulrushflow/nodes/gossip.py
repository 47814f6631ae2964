"""SWIM-style membership: datagrams that probe other nodes and carry membership updates."""

import asyncio
import random
import typing as t

from loguru import logger
from mode import Service
from result import Err
from result import Ok

from bulrushflow.membership import Member
from bulrushflow.membership import MemberTable
from bulrushflow.membership import Status
from bulrushflow.membership import UpdatePriority
from bulrushflow.nodes.anti_entropy import AntiEntropy
from bulrushflow.nodes.composing import MessageComposer
from bulrushflow.nodes.composing import UpdateSelection
from bulrushflow.nodes.composing import update_priority
from bulrushflow.nodes.datagrams import DatagramTransport
from bulrushflow.nodes.datagrams import OpenTransport
from bulrushflow.nodes.datagrams import open_udp
from bulrushflow.nodes.detector import FailureDetector
from bulrushflow.nodes.exchange import MemberExchange
from bulrushflow.nodes.probing import Ack
from bulrushflow.nodes.probing import Prober
from bulrushflow.rollouts import SharedRollouts
from bulrushflow.settings import GossipSettings
from bulrushflow.timers import Timers
from bulrushflow.wire import codec
from bulrushflow.wire import log_codec
from bulrushflow.wire import messages
from bulrushflow.wire.links import Endpoint
from bulrushflow.wire.links import Links

FANOUT = 3
"""Members that receive urgent updates at once, and members asked for an indirect probe."""
MIN_DISSEMINATION_INTERVAL_S = 0.1
"""Shortest time between two rounds of dissemination caused by other nodes' updates."""
CONFLICTS_BEFORE_ERROR = 3
CONFLICTS_PER_ERROR = 100
"""After the first report, conflicts of a node id are reported at multiples of this number."""

PeerAheadCallback = t.Callable[[Endpoint, int], None]
MembersChangedCallback = t.Callable[[], None]
CountBytes = t.Callable[[str, str, int], None]


class Gossip(Service):
    """Probes other nodes, and disseminates and merges the state of members and rollouts.

    :param applied_offset: returns this node's configuration version.
    :param on_peer_ahead: called with the endpoint and the version of a node that has a later one.
    :param on_bytes: called with direction, kind and length of every datagram.
    """

    def __init__(
        self,
        table: MemberTable,
        shared_rollouts: SharedRollouts,
        links: Links,
        timers: Timers,
        settings: GossipSettings,
        rng: random.Random,
        applied_offset: t.Callable[[], int],
        on_peer_ahead: PeerAheadCallback,
        on_bytes: CountBytes | None = None,
        open_transport: OpenTransport = open_udp,
    ) -> None:
        super().__init__()
        self.table = table
        self.bytes_sent = 0
        self._shared_rollouts = shared_rollouts
        self._links = links
        self._timers = timers
        self._settings = settings
        self._rng = rng
        self._applied_offset = applied_offset
        self._on_peer_ahead = on_peer_ahead
        self._on_bytes = on_bytes
        self._open_transport = open_transport
        self._transport: DatagramTransport | None = None
        self._on_members_changed: list[MembersChangedCallback] = []
        self._received_at = float("-inf")
        self._disseminated_at = float("-inf")
        self._dissemination_timer: asyncio.TimerHandle | None = None
        self._prober = Prober(self._send, settings.ack_timeout_s)
        self._composer = MessageComposer(table, shared_rollouts, applied_offset)
        self._exchange = MemberExchange(table, links, self._composer, rng, self._merge)
        self._detector = FailureDetector(
            table, timers, settings, rng, self, self._handle_status_raised
        )
        self._anti_entropy = AntiEntropy(
            table, self._composer, timers, settings.period_s, rng, self._send, self._fetch_table
        )

    async def on_start(self) -> None:
        self._transport = await self._open_transport(self.table.own.endpoint, self._receive)
        self._links.handle("members_request", self._exchange.serve)
        self._detector.start()

    async def on_stop(self) -> None:
        if self._dissemination_timer is not None:
            self._dissemination_timer.cancel()
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def subscribe(self, callback: MembersChangedCallback) -> None:
        """Call ``callback`` after each change of the member table."""
        self._on_members_changed.append(callback)

    def announce_own(self, **changes: t.Any) -> None:
        """Change this node's own entry, and send it to a few nodes at once."""
        self._composer.enqueue(self.table.update_own(**changes))
        self._members_changed()
        self.disseminate_now()

    def disseminate_now(self) -> None:
        """Send queued updates to a few nodes now instead of with the next probe."""
        self._disseminated_at = self._timers.now()
        for member in self._sample_peers(FANOUT):
            self._send("spread", member.endpoint, ping=messages.Ping(sequence=0))

    async def leave(self) -> None:
        """Announce that this node leaves."""
        self.announce_own(status=Status.LEFT)

    async def join(self, *endpoints: Endpoint) -> bool:
        """Fetch the member table from the first of a few nodes that answers.

        :return: whether one answered.
        """
        return await self._exchange.join(endpoints)

    async def probe(self, member: Member) -> int | None:
        """Ping one member; return its configuration version, or ``None`` without an ack."""
        ack = await self._prober.ping(member, self._settings.ack_timeout_s)
        return ack.offset if ack is not None else None

    async def ping(self, member: Member, timeout_s: float) -> bool:
        """See :meth:`Pinger.ping`."""
        return await self._prober.ping(member, timeout_s) is not None

    async def ping_indirectly(self, member: Member, timeout_s: float) -> bool:
        """See :meth:`Pinger.ping_indirectly`."""
        helpers = self._sample_peers(FANOUT, exclude=member.node_id)
        return await self._prober.ping_indirectly(member, helpers, timeout_s)

    def received_since(self, instant: float) -> bool:
        """See :meth:`Pinger.received_since`."""
        return self._received_at >= instant

    def probe_random_members(self) -> None:
        """See :meth:`Pinger.probe_random_members`."""
        for member in self._sample_peers(FANOUT):
            self._prober.send_ping(member)

    def _receive(self, data: bytes, sender: Endpoint) -> None:
        self._received_at = self._timers.now()
        match messages.decode(messages.Datagram, data):
            case Err(reason):
                logger.warning("malformed datagram from {}: {}", sender, reason)
                self._count_bytes("received", "malformed", len(data))
                return
            case Ok(datagram):
                pass
        self._count_bytes("received", _datagram_kind(datagram), len(data))
        if datagram.gossip is None:
            return
        self._merge(datagram.gossip, sender, True)
        to_refute = self._updates_to_refute(datagram.gossip, sender)
        tables_equal = datagram.gossip.digest == self.table.digest()
        if tables_equal:
            self._composer.record_equal_digest()
        if datagram.ping is not None and datagram.ping.sequence:
            ack = messages.Ack(sequence=datagram.ping.sequence)
            selection = UpdateSelection.SUSPICIONS if tables_equal else UpdateSelection.ALL
            self._send("ack", sender, to_refute, selection, ack=ack)
        elif to_refute:
            self._send("spread", sender, to_refute)
        if datagram.ack is not None:
            self._handle_ack(datagram, sender)
        if datagram.ping_request is not None and self._prober.may_relay():
            self.add_future(self._prober.relay(datagram.ping_request, sender))
        if datagram.bucket_digests is not None:
            self._anti_entropy.handle_digests(
                sender, log_codec.digests_from_message(datagram.bucket_digests)
            )
        if datagram.bucket_request is not None:
            self._anti_entropy.handle_bucket_request(sender, datagram.bucket_request)

    def _handle_ack(self, datagram: t.Any, sender: Endpoint) -> None:
        gossip = datagram.gossip
        self._prober.handle_ack(datagram.ack.sequence, Ack(gossip.sender, gossip.offset))
        self._anti_entropy.compare_digest(sender, gossip.digest)

    def _updates_to_refute(self, gossip: t.Any, sender: Endpoint) -> tuple[Member, ...]:
        """Return the entry that the sender has to refute to count as alive, if there is one."""
        if gossip.incarnation is None or gossip.sender == self.table.own_id:
            return ()
        current = self.table.update_to_refute(gossip.sender, gossip.incarnation, sender)
        if current is None:
            return ()
        left = current.status is Status.LEFT and current.incarnation == gossip.incarnation
        return () if left else (current,)

    def _merge(self, gossip: t.Any, sender: Endpoint | None, disseminate: bool) -> None:
        """Merge received gossip into the member table and the rollouts.

        A sender recorded as dead was on the other side of a partition, so neither side accepts
        the other's reports of suspected or dead members.

        :param disseminate: whether to send the updates that changed the table on to other nodes.
        """
        now = self._timers.now()
        changed = False
        reconnected = self._is_sender_recorded_dead(gossip)
        if reconnected:
            self._composer.discard_suspect_and_dead()
        for message in gossip.members or ():
            try:
                update = log_codec.member_from_message(message)
            except ValueError as exc:
                logger.warning("membership update with an unknown state ignored: {}", exc)
                continue
            if reconnected and not update.is_self_reported and update.node_id != self.table.own_id:
                continue
            if self._merge_member(update, sender, disseminate, now):
                changed = True
        if changed:
            self._members_changed()
        for message in gossip.moves or ():
            if self._shared_rollouts.merge(codec.rollout_from_message(message)):
                self._disseminate_soon()
        if sender is not None and gossip.offset > self._applied_offset():
            self._on_peer_ahead(sender, gossip.offset)

    def _is_sender_recorded_dead(self, gossip: t.Any) -> bool:
        current = self.table.by_id.get(gossip.sender)
        return current is not None and current.status is Status.DEAD

    def _merge_member(
        self, update: Member, sender: Endpoint | None, disseminate: bool, now: float
    ) -> bool:
        before = self.table.by_id.get(update.node_id)
        conflicts = self.table.conflicts_by_id.get(update.node_id, 0)
        changed = self.table.merge(update, now)
        if self.table.conflicts_by_id.get(update.node_id, 0) != conflicts:
            self._report_conflict(update, conflicts + 1)
        if not changed:
            return False
        current = self.table.by_id[update.node_id]
        if before is not None and before.status is Status.DEAD and current.is_live:
            self._composer.discard_suspect_and_dead()
        if current.node_id == self.table.own_id:
            logger.info(
                "refuted an update that reports this node as {}", update.status.name.lower()
            )
            self._composer.enqueue(current)
            if sender is not None:
                self._send("spread", sender, (current,))
            self._disseminate_soon()
        elif disseminate:
            self._composer.enqueue(current)
            if update_priority(current) is UpdatePriority.URGENT:
                self._disseminate_soon()
        return True

    def _report_conflict(self, update: Member, count: int) -> None:
        if count != CONFLICTS_BEFORE_ERROR and count % CONFLICTS_PER_ERROR:
            return
        logger.error(
            "several processes use the node id {}: its address changed {} times, now to {}:{}",
            update.node_id,
            count,
            *update.endpoint,
        )

    def _handle_status_raised(self, update: Member) -> None:
        self._composer.enqueue(update)
        self._members_changed()
        if update.status is Status.SUSPECT:
            # The suspect receives it first, and may refute it before other members receive it.
            self._send("spread", update.endpoint, (update,))
            self._disseminate_soon()

    def _fetch_table(self, endpoint: Endpoint) -> None:
        self.add_future(self._exchange.join([endpoint]))

    def _members_changed(self) -> None:
        for callback in self._on_members_changed:
            callback()

    def _disseminate_soon(self) -> None:
        """Send queued updates at once, or when :data:`MIN_DISSEMINATION_INTERVAL_S` is over."""
        if self._dissemination_timer is not None:
            return
        wait_s = self._disseminated_at + MIN_DISSEMINATION_INTERVAL_S - self._timers.now()
        if wait_s <= 0:
            self.disseminate_now()
            return
        self._dissemination_timer = asyncio.get_running_loop().call_later(
            wait_s, self._disseminate_delayed
        )

    def _disseminate_delayed(self) -> None:
        self._dissemination_timer = None
        self.disseminate_now()

    def _sample_peers(self, count: int, exclude: str = "") -> list[Member]:
        others = self.table.live_peers()
        sampled = self._rng.sample(others, min(count + 1, len(others)))
        return [m for m in sampled if m.node_id != exclude][:count]

    def _send(
        self,
        kind: str,
        endpoint: Endpoint,
        extra: t.Sequence[Member] = (),
        selection: UpdateSelection = UpdateSelection.ALL,
        **body: t.Any,
    ) -> None:
        if self._transport is None:
            return
        # Queued updates sent to a dead member would reach the other side of a partition.
        if any(m.status is Status.DEAD and m.endpoint == endpoint for m in extra):
            selection = UpdateSelection.NOTHING
        data = self._composer.encode_datagram(extra, selection, **body)
        self.bytes_sent += len(data)
        self._count_bytes("sent", kind, len(data))
        self._transport.sendto(data, endpoint)

    def _count_bytes(self, direction: str, kind: str, count: int) -> None:
        if self._on_bytes is not None:
            self._on_bytes(direction, kind, count)


def _datagram_kind(datagram: t.Any) -> str:
    if datagram.ping is not None:
        return "probe" if datagram.ping.sequence else "spread"
    if datagram.ack is not None:
        return "ack"
    if datagram.ping_request is not None:
        return "indirect"
    if datagram.bucket_digests is not None:
        return "digests"
    return "buckets" if datagram.bucket_request is not None else "spread"
