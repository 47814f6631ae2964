import random
import unittest
from dataclasses import replace
from unittest import mock

from bulrushflow.routing import Outcome
from bulrushflow.sidecar.admission_controller import AdmissionController
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.directory import Directory
from bulrushflow.sidecar.directory import Peer
from bulrushflow.sidecar.forwarding import PeerForwarder
from bulrushflow.sidecar.replica import Replica
from bulrushflow.sidecar.retry_budget import TargetRetryBudget
from bulrushflow.timers import Timers
from bulrushflow.wire import Links
from tests.sidecar.samples import NAMES
from tests.sidecar.samples import FixedClock
from tests.sidecar.samples import MemoryStore
from tests.sidecar.samples import call
from tests.sidecar.samples import peer
from tests.sidecar.samples import target
from tests.sidecar.servers import FakeTarget
from tests.waiting import until


class Node:
    """One node's connections and admission on loopback."""

    def __init__(self) -> None:
        decisions = DecisionLog()
        self.directory = Directory()
        self.timers = Timers(random.Random(1))
        self.links = Links("127.0.0.1", 0, self.timers)
        self.admission = AdmissionController(
            NAMES,
            lambda service, version: False,
            lambda call, failed, seconds: None,
            lambda entry: None,
            TargetRetryBudget(0.2, 60.0, 10.0),
            decisions,
            FixedClock(1_000),
        )
        store = MemoryStore()
        follower = mock.Mock()
        orders = Replica(store, "orders", follower, decisions, random.Random(1))
        self.peers = PeerForwarder(
            self.links, self.admission, orders, self.directory.is_current, decisions
        )

    async def start(self) -> None:
        await self.timers.start()
        await self.links.start()

    async def stop(self) -> None:
        self.peers.close()
        self.admission.close()
        await self.timers.stop()
        await self.links.stop()


class PeersTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.target = FakeTarget()
        endpoint = await self.target.start()
        self.addAsyncCleanup(self.target.stop)
        self.here, self.there = Node(), Node()
        for node in (self.here, self.there):
            await node.start()
            self.addAsyncCleanup(node.stop)
        self.there.admission.apply_announcement(target(), endpoint)
        self.peer = self.known_peer(self.there.links.port)

    def known_peer(self, port: int) -> Peer:
        entry = replace(peer(1).entry, address="127.0.0.1", peer_port=port)
        self.here.directory.update("node/1", entry)
        return self.here.directory.peers_by_key["node/1"]

    async def test_a_call_runs_at_the_other_node_and_its_load_comes_back(self) -> None:
        result, report = await self.here.peers.send(self.peer.entry.endpoint, call())
        self.assertEqual(result.unwrap().body, b"body")
        self.assertEqual((report.reached, report.load), (True, 0.0))

    async def test_a_node_without_a_target_has_no_load(self) -> None:
        self.there.admission.remove_target("t-1")
        result, report = await self.here.peers.send(self.peer.entry.endpoint, call())
        self.assertIs(result.unwrap_err().outcome, Outcome.NOT_RUN)
        self.assertIsNone(report.load)

    async def test_a_target_that_refuses_is_told_as_an_arrival(self) -> None:
        self.target.status, self.target.not_run = 503, True
        result, _ = await self.here.peers.send(self.peer.entry.endpoint, call())
        self.assertTrue(result.unwrap_err().reached_target)

    async def test_a_lost_node_comes_back_without_a_call(self) -> None:
        port = self.there.links.port
        await self.there.links.stop()
        result, report = await self.here.peers.send(self.peer.entry.endpoint, call())
        self.assertIs(result.unwrap_err().outcome, Outcome.NOT_RUN)
        self.assertFalse(report.reached)
        self.here.peers.mark_unreachable(self.peer)
        self.assertTrue(self.peer.unreachable)
        again = Node()
        again.links = Links("127.0.0.1", port, again.timers)
        await again.start()
        self.addAsyncCleanup(again.stop)
        await until(lambda: not self.peer.unreachable)

    async def test_a_node_that_is_no_longer_known_is_not_looked_for(self) -> None:
        gone = self.known_peer(1)
        self.here.peers.mark_unreachable(gone)
        self.here.directory.remove("node/1")
        await until(lambda: not self.here.peers.recheck_count)
        self.assertTrue(gone.unreachable)
