"""Membership between nodes: datagrams that probe other nodes and carry news."""

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
from bulrushflow.nodes.composing import priority
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
from bulrushflow.wire import messages
from bulrushflow.wire.links import Endpoint
from bulrushflow.wire.links import Links

FANOUT = 3
"""Members told at once of urgent news, and members that probe indirectly."""
SPREAD_S = 0.1
"""Shortest time between two such rounds that other nodes' news causes."""
CONFLICTS_BEFORE_ERROR = 3
CONFLICTS_PER_ERROR = 100

AheadCallback = t.Callable[[Endpoint, int], None]
MembersCallback = t.Callable[[], None]
CountBytes = t.Callable[[str, str, int], None]


class Gossip(Service):
    """Probes other nodes, and spreads and merges what is known of members and moves.

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
        on_peer_ahead: AheadCallback,
        on_bytes: CountBytes | None = None,
        open_transport: OpenTransport = open_udp,
    ) -> None:
        super().__init__()
        self.table = table
        self.highest_seen_offset = -1
        self.bytes_sent = 0
        self.bytes_received = 0
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
        self._on_members_changed: list[MembersCallback] = []
        self._heard_at = float("-inf")
        self._spread_at = float("-inf")
        self._spread_timer: asyncio.TimerHandle | None = None
        self._probes = Prober(self._send, settings.ack_timeout_s)
        self._composer = MessageComposer(table, shared_rollouts, applied_offset)
        self._exchange = MemberExchange(table, links, self._composer, rng, self._merge)
        self._detector = FailureDetector(table, timers, settings, rng, self, self._changed)
        self._synchronizer = AntiEntropy(
            table, self._composer, timers, settings.period_s, rng, self._send, self._fetch_whole
        )

    async def on_start(self) -> None:
        self._transport = await self._open_transport(self.table.own.endpoint, self._receive)
        self._links.handle("members_request", self._exchange.serve)
        self._detector.start()

    async def on_stop(self) -> None:
        if self._spread_timer is not None:
            self._spread_timer.cancel()
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def subscribe(self, callback: MembersCallback) -> None:
        """Call back after the member table changed."""
        self._on_members_changed.append(callback)

    def announce_own(self, **changes: t.Any) -> None:
        """Change this node's own entry and tell a few nodes at once."""
        self._composer.enqueue(self.table.update_own(**changes))
        self._members_changed()
        self.disseminate_now()

    def disseminate_now(self) -> None:
        """Tell a few nodes now instead of with the next probe."""
        self._spread_at = self._timers.now()
        for member in self._draw(FANOUT):
            self._send("spread", member.endpoint, ping=messages.Ping(sequence=0))

    async def leave(self) -> None:
        """Tell other nodes that this one stops."""
        self.announce_own(status=Status.LEFT)

    async def join(self, *endpoints: Endpoint) -> bool:
        """Fetch the member table from the first of a few nodes that answers.

        :return: whether one answered.
        """
        return await self._exchange.join(endpoints)

    async def probe(self, member: Member) -> int | None:
        """Ping one member; return the configuration version it holds, ``None`` without an ack."""
        ack = await self._probes.ping(member, self._settings.ack_timeout_s)
        return ack.offset if ack is not None else None

    async def ping(self, member: Member, timeout_s: float) -> bool:
        """See :meth:`Pinger.ping`."""
        return await self._probes.ping(member, timeout_s) is not None

    async def ping_indirectly(self, member: Member, timeout_s: float) -> bool:
        """See :meth:`Pinger.ping_indirectly`."""
        helpers = self._draw(FANOUT, without=member.node_id)
        return await self._probes.ping_indirectly(member, helpers, timeout_s)

    def received_since(self, instant: float) -> bool:
        """See :meth:`Pinger.received_since`."""
        return self._heard_at >= instant

    def probe_random_members(self) -> None:
        """See :meth:`Pinger.probe_random_members`."""
        for member in self._draw(FANOUT):
            self._probes.send_ping(member)

    def _receive(self, data: bytes, sender: Endpoint) -> None:
        self.bytes_received += len(data)
        self._heard_at = self._timers.now()
        match messages.decode(messages.Datagram, data):
            case Err(reason):
                logger.warning("malformed datagram from {}: {}", sender, reason)
                self._count("received", "malformed", len(data))
                return
            case Ok(datagram):
                pass
        self._count("received", _kind(datagram), len(data))
        if datagram.gossip is None:
            return
        self._merge(datagram.gossip, sender, True)
        overruling = self._overruling(datagram.gossip, sender)
        equal = datagram.gossip.digest == self.table.digest()
        if equal:
            self._composer.record_equal_digest()
        if datagram.ping is not None and datagram.ping.sequence:
            ack = messages.Ack(sequence=datagram.ping.sequence)
            told = UpdateSelection.SUSPICIONS if equal else UpdateSelection.ALL
            self._send("ack", sender, overruling, told, ack=ack)
        elif overruling:
            self._send("spread", sender, overruling)
        if datagram.ack is not None:
            self._take_ack(datagram, sender)
        if datagram.ping_request is not None and self._probes.may_relay():
            self.add_future(self._probes.relay(datagram.ping_request, sender))
        if datagram.bucket_digests is not None:
            self._synchronizer.handle_digests(
                sender, codec.digests_from_message(datagram.bucket_digests)
            )
        if datagram.bucket_request is not None:
            self._synchronizer.handle_bucket_request(sender, datagram.bucket_request)

    def _take_ack(self, datagram: t.Any, sender: Endpoint) -> None:
        gossip = datagram.gossip
        self._probes.handle_ack(datagram.ack.sequence, Ack(gossip.sender, gossip.offset))
        self._synchronizer.compare_digest(sender, gossip.digest)

    def _overruling(self, gossip: t.Any, sender: Endpoint) -> tuple[Member, ...]:
        """Return what the sender of a datagram has to refute to be taken for alive."""
        if gossip.incarnation is None or gossip.sender == self.table.own_id:
            return ()
        held = self.table.update_to_refute(gossip.sender, gossip.incarnation, sender)
        if held is None:
            return ()
        left = held.status is Status.LEFT and held.incarnation == gossip.incarnation
        return () if left else (held,)

    def _merge(self, gossip: t.Any, sender: Endpoint | None, is_news: bool) -> None:
        """Take in gossip; what changed the table is passed on when it is news.

        A sender that is held dead was on the other side of a partition, so neither side
        believes the other's word on who is dead.
        """
        now = self._timers.now()
        changed = False
        reconnected = self._is_held_dead(gossip)
        if reconnected:
            self._composer.discard_suspect_and_dead()
        for message in gossip.members or ():
            try:
                claim = codec.member_from_message(message)
            except ValueError as exc:
                logger.warning("member with an unknown state passed over: {}", exc)
                continue
            if reconnected and not claim.is_self_reported and claim.node_id != self.table.own_id:
                continue
            if self._merge_member(claim, sender, is_news, now):
                changed = True
        if changed:
            self._members_changed()
        for message in gossip.moves or ():
            if self._shared_rollouts.merge(codec.rollout_from_message(message)):
                self._spread_soon()
        self.highest_seen_offset = max(self.highest_seen_offset, gossip.offset)
        if sender is not None and gossip.offset > self._applied_offset():
            self._on_peer_ahead(sender, gossip.offset)

    def _is_held_dead(self, gossip: t.Any) -> bool:
        held = self.table.by_id.get(gossip.sender)
        return held is not None and held.status is Status.DEAD

    def _merge_member(
        self, claim: Member, sender: Endpoint | None, is_news: bool, now: float
    ) -> bool:
        before = self.table.by_id.get(claim.node_id)
        conflicts = self.table.conflicts_by_id.get(claim.node_id, 0)
        changed = self.table.merge(claim, now)
        if self.table.conflicts_by_id.get(claim.node_id, 0) != conflicts:
            self._report_conflict(claim, conflicts + 1)
        if not changed:
            return False
        held = self.table.by_id[claim.node_id]
        if before is not None and before.status is Status.DEAD and held.is_live:
            self._composer.discard_suspect_and_dead()
        if held.node_id == self.table.own_id:
            logger.info("refuted that this node is {}", claim.status.name.lower())
            self._composer.enqueue(held)
            if sender is not None:
                self._send("spread", sender, (held,))
            self._spread_soon()
        elif is_news:
            self._composer.enqueue(held)
            if priority(held) is UpdatePriority.URGENT:
                self._spread_soon()
        return True

    def _report_conflict(self, claim: Member, count: int) -> None:
        if count != CONFLICTS_BEFORE_ERROR and count % CONFLICTS_PER_ERROR:
            return
        logger.error(
            "several processes use the node id {}: claims moved {} times, now to {}:{}",
            claim.node_id,
            count,
            *claim.endpoint,
        )

    def _changed(self, claim: Member) -> None:
        self._composer.enqueue(claim)
        self._members_changed()
        if claim.status is Status.SUSPECT:
            # Told first, the suspected one may refute before the others have heard.
            self._send("spread", claim.endpoint, (claim,))
            self._spread_soon()

    def _fetch_whole(self, endpoint: Endpoint) -> None:
        self.add_future(self._exchange.join([endpoint]))

    def _members_changed(self) -> None:
        for callback in self._on_members_changed:
            callback()

    def _spread_soon(self) -> None:
        """Pass news on at once, but only so often when much of it comes."""
        if self._spread_timer is not None:
            return
        wait_s = self._spread_at + SPREAD_S - self._timers.now()
        if wait_s <= 0:
            self.disseminate_now()
            return
        self._spread_timer = asyncio.get_running_loop().call_later(wait_s, self._spread_later)

    def _spread_later(self) -> None:
        self._spread_timer = None
        self.disseminate_now()

    def _draw(self, count: int, without: str = "") -> list[Member]:
        others = self.table.live_peers()
        drawn = self._rng.sample(others, min(count + 1, len(others)))
        return [m for m in drawn if m.node_id != without][:count]

    def _send(
        self,
        kind: str,
        endpoint: Endpoint,
        extra: t.Sequence[Member] = (),
        told: UpdateSelection = UpdateSelection.ALL,
        **body: t.Any,
    ) -> None:
        if self._transport is None:
            return
        # What is told to a member held dead would reach the other side of a partition.
        if any(m.status is Status.DEAD and m.endpoint == endpoint for m in extra):
            told = UpdateSelection.NOTHING
        data = self._composer.encode_datagram(extra, told, **body)
        self.bytes_sent += len(data)
        self._count("sent", kind, len(data))
        self._transport.sendto(data, endpoint)

    def _count(self, direction: str, kind: str, count: int) -> None:
        if self._on_bytes is not None:
            self._on_bytes(direction, kind, count)


def _kind(datagram: t.Any) -> str:
    if datagram.ping is not None:
        return "probe" if datagram.ping.sequence else "spread"
    if datagram.ack is not None:
        return "ack"
    if datagram.ping_request is not None:
        return "indirect"
    if datagram.bucket_digests is not None:
        return "digests"
    return "buckets" if datagram.bucket_request is not None else "spread"
