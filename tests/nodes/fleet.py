"""Membership of several nodes in one event loop over loopback, with faults between them."""

import random
import time
import typing as t

from bulrushflow.membership import Member
from bulrushflow.membership import MemberTable
from bulrushflow.membership import Status
from bulrushflow.nodes import Gossip
from bulrushflow.nodes.datagrams import DatagramHandler
from bulrushflow.nodes.datagrams import DatagramTransport
from bulrushflow.nodes.datagrams import open_udp
from bulrushflow.rollouts import SharedRollouts
from bulrushflow.settings import GossipSettings
from bulrushflow.timers import Timers
from bulrushflow.wire import Links
from bulrushflow.wire.links import Endpoint
from tests.waiting import until

FAST = GossipSettings(period_s=0.05, ack_timeout_s=0.05, suspicion_s=0.3)
IDLE = GossipSettings(period_s=3600.0, ack_timeout_s=0.2, suspicion_s=3600.0)
PORT_TRIES = 20


class Faults:
    """Drops datagrams between pairs of endpoints, in one direction per pair."""

    def __init__(self) -> None:
        self.cut: set[tuple[Endpoint, Endpoint]] = set()
        self.dropped = 0

    def separate(self, first: t.Iterable["GossipNode"], second: t.Iterable["GossipNode"]) -> None:
        """Drop all datagrams between two groups of nodes."""
        second = list(second)
        for a in first:
            for b in second:
                self.cut |= {(a.endpoint, b.endpoint), (b.endpoint, a.endpoint)}

    async def open(self, endpoint: Endpoint, receive: DatagramHandler) -> DatagramTransport:
        """Open a UDP socket that drops datagrams to endpoints that are cut off."""
        return _FaultyTransport(self, endpoint, await open_udp(endpoint, receive))


class _FaultyTransport:
    def __init__(self, faults: Faults, own: Endpoint, inner: DatagramTransport) -> None:
        self._faults = faults
        self._own = own
        self._inner = inner

    def sendto(self, data: bytes, endpoint: Endpoint) -> None:
        if (self._own, endpoint) in self._faults.cut:
            self._faults.dropped += 1
            return
        self._inner.sendto(data, endpoint)

    def close(self) -> None:
        self._inner.close()


class Clock:
    """The monotonic clock, which a test can advance as if the process had been paused."""

    def __init__(self) -> None:
        self.paused_s = 0.0

    def __call__(self) -> float:
        return time.monotonic() + self.paused_s


class GossipNode:
    """The membership parts of one node, connected as in the application."""

    def __init__(self, node_id: str, data_centre: str, settings: GossipSettings) -> None:
        self.node_id = node_id
        self.data_centre = data_centre
        self.settings = settings
        self.seen: list[tuple[str, Status]] = []
        self.bytes_by_kind: dict[tuple[str, str], int] = {}
        self._statuses: dict[str, Status] = {}

    @property
    def endpoint(self) -> Endpoint:
        return self.table.own.endpoint

    async def start(self, faults: Faults, incarnation: int) -> None:
        """Start on a port that is free for both TCP and UDP."""
        for _ in range(PORT_TRIES):
            try:
                await self._start(faults, incarnation)
                return
            except OSError:
                await self.stop()
        raise AssertionError("no port is free for both TCP and UDP")

    async def _start(self, faults: Faults, incarnation: int) -> None:
        rng = random.Random(self.node_id)
        self.clock = Clock()
        self.timers = Timers(rng, self.clock)
        await self.timers.start()
        self.links = Links("127.0.0.1", 0, self.timers)
        await self.links.start()
        own = Member(self.node_id, self.data_centre, "127.0.0.1", self.links.port, incarnation)
        self.table = MemberTable(own)
        self.rollouts = SharedRollouts()
        self.gossip = Gossip(
            self.table,
            self.rollouts,
            self.links,
            self.timers,
            self.settings,
            rng,
            lambda: 7,
            lambda endpoint, offset: None,
            self._count,
            faults.open,
        )
        self.gossip.subscribe(self._observe)
        await self.gossip.start()

    async def stop(self) -> None:
        """Stop without announcing it to the other nodes."""
        await self.timers.stop()
        if hasattr(self, "gossip"):
            await self.gossip.stop()
        await self.links.stop()

    def statuses(self) -> dict[str, Status]:
        """Return the status of each member in this node's table."""
        return {m.node_id: m.status for m in self.table.by_id.values()}

    def _observe(self) -> None:
        for node_id, status in self.statuses().items():
            if self._statuses.get(node_id) is not status:
                self.seen.append((node_id, status))
                self._statuses[node_id] = status

    def _count(self, direction: str, kind: str, count: int) -> None:
        key = (direction, kind)
        self.bytes_by_kind[key] = self.bytes_by_kind.get(key, 0) + count


class Fleet:
    """The nodes of one test."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.peers: list[GossipNode] = []

    async def add(
        self,
        node_id: str,
        data_centre: str = "celje-a",
        settings: GossipSettings = FAST,
        incarnation: int = 1,
        join: bool = True,
    ) -> GossipNode:
        """Start a node, and by default join through the first one."""
        peer = GossipNode(node_id, data_centre, settings)
        await peer.start(self.faults, incarnation)
        self.peers.append(peer)
        if join and len(self.peers) > 1:
            assert await peer.gossip.join(self.peers[0].endpoint)
        return peer

    async def stop(self) -> None:
        """Stop all nodes."""
        for peer in self.peers:
            await peer.stop()

    async def until_all_alive(self) -> None:
        """Wait until every node records every node as alive."""
        ids = {p.node_id for p in self.peers}
        await until(
            lambda: all(p.statuses() == dict.fromkeys(ids, Status.ALIVE) for p in self.peers)
        )
