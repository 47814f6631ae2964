"""Withdrawn versions, as drivers record them for nodes that start later."""

import unittest

from msgspec.structs import replace

from bulrushflow.sidecar.model import RolloutOrder
from bulrushflow.sidecar.model import RolloutPhase
from bulrushflow.sidecar.model import RolloutStatus
from bulrushflow.sidecar.records.codec import decode_rollout_status
from bulrushflow.sidecar.rollouts.driver import DRAIN_S
from tests.sidecar.rollout_nodes import Node
from tests.sidecar.samples import MemoryStore
from tests.sidecar.samples import peer

ORDER = RolloutOrder("statements", "v2", 15.0, 7)
NEXT_ORDER = RolloutOrder("statements", "v3", 15.0, 9)


class WithdrawnVersionsTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.store = MemoryStore()
        self.node = Node(1, self.store)
        await self.node.read()

    def newest(self) -> RolloutStatus:
        return decode_rollout_status(self.store.records[-1].value).unwrap()

    async def roll_back(self) -> None:
        self.node.rollouts.apply_order(ORDER, 0.0)
        await self.node.driver.check()
        await self.node.read()
        rollout = self.node.rollouts.by_service["statements"]
        self.node.driver.roll_back(rollout, "errors")
        await self.node.driver.check()
        await self.node.read()

    async def test_a_status_names_the_version_that_it_replaces(self) -> None:
        await self.roll_back()
        self.assertEqual(self.newest().phase, RolloutPhase.ROLLED_BACK)
        self.assertEqual(self.newest().from_version, "v1")

    async def test_the_version_in_use_is_not_guessed_from_two_candidates(self) -> None:
        self.node.directory.update("node/4", peer(4, "v9").entry)
        self.node.rollouts.apply_order(ORDER, 0.0)
        await self.node.driver.check()
        self.assertEqual(self.newest().from_version, "")
        self.node.directory.remove("node/4")
        await self.node.read()
        rollout = self.node.rollouts.by_service["statements"]
        self.node.driver.roll_back(rollout, "errors")
        await self.node.driver.check()
        self.assertEqual(self.newest().from_version, "v1")

    # A rolled-back version got calls again after the next order, from restarted nodes as well.
    async def test_a_node_that_starts_after_the_next_order_knows_the_withdrawn_version(
        self,
    ) -> None:
        await self.roll_back()
        self.node.rollouts.apply_order(NEXT_ORDER, 1.0)
        await self.node.driver.check()
        self.assertEqual(self.newest().withdrawn, ("v2",))
        self.store.records[:-1] = []
        started = Node(2, self.store)
        await started.read()
        self.assertTrue(started.rollouts.is_forbidden("statements", "v2"))
        started.rollouts.apply_order(NEXT_ORDER, 1.0)
        self.assertTrue(started.rollouts.is_forbidden("statements", "v2"))
        self.assertFalse(started.rollouts.is_forbidden("statements", "v1"))
        peers = [peer(1), peer(3, "v2")]
        self.assertEqual(started.rollouts.filter_peers("statements", peers), peers[:1])

    async def test_a_status_lost_together_with_its_order_is_written_again(self) -> None:
        await self.roll_back()
        self.store.records.clear()
        self.node.rollouts.remove_order("statements")
        self.node.rollouts.reconcile([])
        await self.node.read()
        await self.node.driver.check()
        self.assertEqual(self.newest().phase, RolloutPhase.ROLLED_BACK)
        started = Node(2, self.store)
        await started.read()
        self.assertTrue(started.rollouts.is_forbidden("statements", "v2"))
        self.assertFalse(started.rollouts.is_forbidden("statements", "v1"))

    async def test_an_order_of_the_restored_store_takes_over_the_withdrawn_versions(self) -> None:
        await self.roll_back()
        self.store.records.clear()
        self.node.rollouts.remove_order("statements")
        self.node.rollouts.reconcile([])
        await self.node.read()
        self.node.rollouts.apply_order(replace(NEXT_ORDER, order_id=3, era=2), 1.0)
        await self.node.driver.check()
        self.assertEqual((self.newest().to_version, self.newest().withdrawn), ("v3", ("v2",)))

    async def test_an_order_of_the_version_in_use_takes_no_calls_from_it(self) -> None:
        await self.roll_back()
        order = replace(NEXT_ORDER, to_version="v1")
        self.node.rollouts.apply_order(order, 1.0)
        peers = [peer(1), peer(3, "v2")]
        self.assertEqual(self.node.rollouts.filter_peers("statements", peers), peers[:1])
        await self.node.driver.check()
        self.assertEqual((self.newest().from_version, self.newest().share_permille), ("v1", 1000))
        await self.node.read()
        rollout = self.node.rollouts.by_service["statements"]
        rollout.share_since -= DRAIN_S
        await self.node.driver.check()
        await self.node.read()
        self.assertEqual(self.newest().phase, RolloutPhase.COMPLETED)
        self.assertEqual(self.node.rollouts.filter_peers("statements", peers), peers[:1])
