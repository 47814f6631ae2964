"""Nodes that disseminate records over real connections in one process, with one log."""

import asyncio
import random
import typing as t
import unittest
from unittest import mock

from bulrushflow.configuration import ConfigurationStore
from bulrushflow.exceptions import InvariantError
from bulrushflow.membership import Member
from bulrushflow.membership import MemberTable
from bulrushflow.membership import Status
from bulrushflow.membership import rank_members
from bulrushflow.metrics import Metrics
from bulrushflow.nodes import RecordDissemination
from bulrushflow.recording import Log
from bulrushflow.settings import PlatformSettings
from bulrushflow.timers import Timers
from bulrushflow.wire import Links
from tests.recording.fakes import MemoryLog


class FleetNode:
    """One node's store, connections and dissemination, with a clock that a test can advance."""

    def __init__(self, node_id: str, data_centre: str, log: Log, seed: int, supported: int) -> None:
        self.node_id = node_id
        self.data_centre = data_centre
        self.log = log
        self.ahead_s = 0.0
        self.invariant_errors: list[InvariantError] = []
        self.metrics = Metrics(1)
        self.store = ConfigurationStore(supported)
        self.timers = Timers(random.Random(seed))
        self.links = Links("127.0.0.1", 0, self.timers)
        self.rng = random.Random(seed)

    async def start_links(self) -> None:
        """Listen on a free port."""
        await self.timers.start()
        await self.links.start()
        own = Member(self.node_id, self.data_centre, "127.0.0.1", self.links.port, 1)
        self.table = MemberTable(own)

    async def start(self) -> None:
        """Start the dissemination."""
        self.dissemination = RecordDissemination(
            self.store,
            self.table,
            self.log,
            self.links,
            self.timers,
            PlatformSettings("http://127.0.0.1:1", long_poll_s=60.0),
            self.rng,
            self.metrics,
            self.invariant_errors.append,
            self._now,
        )
        await self.dissemination.start()

    async def stop(self) -> None:
        """Stop every part."""
        await self.dissemination.stop()
        await self.timers.stop()
        await self.links.stop()

    def _now(self) -> float:
        return asyncio.get_running_loop().time() + self.ahead_s


class DisseminationTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts nodes whose tables list each other.

    No datagrams are sent, so records arrive by pushes and pulls only.
    """

    def setUp(self) -> None:
        self.log = MemoryLog()
        self.nodes: list[FleetNode] = []
        for name in (
            "TICK_S",
            "FIRST_PULL_WAIT_S",
            "MAX_PULL_WAIT_S",
            "REMOTE_POLL_S",
            "NO_PEERS_GRACE_S",
            "RANKING_PERIOD_S",
        ):
            patch = mock.patch(f"bulrushflow.nodes.dissemination.{name}", 0.02)
            patch.start()
            self.addCleanup(patch.stop)

    async def add(
        self,
        data_centre: str,
        log: Log | None = None,
        supported: int = 2,
        node_id: str = "",
    ) -> FleetNode:
        """Start a node that is in all other nodes' tables at once."""
        number = len(self.nodes)
        node_id = node_id or f"n{number}"
        node = FleetNode(node_id, data_centre, log or self.log, number, supported)
        await node.start_links()
        for other in self.nodes:
            other.table.merge(node.table.own, 0.0)
            if other.table.own.status is Status.ALIVE:
                node.table.merge(other.table.own, 0.0)
        self.nodes.append(node)
        await node.start()
        self.addAsyncCleanup(node.stop)
        return node

    async def add_all(self, *data_centres: str, **options: t.Any) -> list[FleetNode]:
        """Start several nodes."""
        return [await self.add(data_centre, **options) for data_centre in data_centres]

    async def add_non_reader(self, data_centre: str, **options: t.Any) -> FleetNode:
        """Start a node that isn't a reader, since its id ranks after those of all nodes present."""
        present = [n.table.own for n in self.nodes if n.data_centre == data_centre]
        for i in range(1000):
            own = Member(f"last{i}", data_centre, "127.0.0.1", 1, 1)
            if rank_members([*present, own], "log-reader")[-1] is own:
                return await self.add(data_centre, node_id=own.node_id, **options)
        raise AssertionError("none of 1000 ids ranks after all nodes present")

    def all_at_version(self, offset: int) -> bool:
        """Return whether every node is at a version."""
        return all(node.store.current.offset == offset for node in self.nodes)

    def all_caught_up(self) -> bool:
        """Return whether every node knows its version to be the latest."""
        return all(node.dissemination.caught_up for node in self.nodes)
