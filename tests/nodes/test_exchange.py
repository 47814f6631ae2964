"""Tests of the paged transfer of the member table."""

import asyncio
import unittest

from bulrushflow.membership import Member
from bulrushflow.nodes.exchange import BURST_BYTES
from bulrushflow.nodes.exchange import PAGE_MEMBERS
from bulrushflow.nodes.exchange import REFILL_BYTES_PER_S
from bulrushflow.nodes.exchange import PageBudget
from tests.nodes.fleet import IDLE
from tests.nodes.fleet import Fleet
from tests.nodes.fleet import GossipNode


def exhaust(peer: GossipNode) -> None:
    """Use up a node's byte budget for pages."""
    budget = peer.gossip._exchange._budget
    now = asyncio.get_running_loop().time()
    while budget.try_consume(100, now):
        pass


class PageBudgetTests(unittest.TestCase):
    def test_budget_allows_a_burst_and_then_a_rate(self) -> None:
        budget = PageBudget()
        self.assertTrue(budget.try_consume(BURST_BYTES, 0.0))
        self.assertFalse(budget.try_consume(1000, 0.0))
        self.assertTrue(budget.try_consume(1000, 2 * 1000 / REFILL_BYTES_PER_S))


class MemberExchangeTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.fleet = Fleet()
        self.addAsyncCleanup(self.fleet.stop)

    async def full(self, node_id: str, count: int) -> GossipNode:
        peer = await self.fleet.add(node_id, settings=IDLE, join=False)
        for i in range(count):
            member = Member(f"n{i:04}", "velenje", "127.0.0.1", 9, 1)
            peer.table.merge(member, 0.0)
        return peer

    async def test_a_joining_node_fetches_all_pages_and_disseminates_none(self) -> None:
        full = await self.full("full", 2 * PAGE_MEMBERS + 50)
        joiner = await self.fleet.add("joiner", settings=IDLE, join=False)
        self.assertTrue(await joiner.gossip.join(full.endpoint))
        self.assertEqual(joiner.table.digest(), full.table.digest())
        self.assertEqual(len(joiner.gossip._composer._member_updates), 0)
        self.assertIn("joiner", full.table.by_id)

    async def test_no_page_is_sent_between_equal_tables(self) -> None:
        full = await self.full("full", 50)
        joiner = await self.fleet.add("joiner", settings=IDLE, join=False)
        await joiner.gossip.join(full.endpoint)
        exhaust(full)
        self.assertTrue(await joiner.gossip.join(full.endpoint))

    async def test_a_busy_node_refers_to_other_members(self) -> None:
        full = await self.full("full", 0)
        second = await self.fleet.add("second", settings=IDLE)
        for i in range(300):
            # All have the second node's address, so that each referral leads there.
            member = Member(f"n{i:04}", "velenje", *second.endpoint, 1)
            second.table.merge(member, 0.0)
            full.table.merge(member, 0.0)
        exhaust(full)
        joiner = await self.fleet.add("joiner", settings=IDLE, join=False)
        self.assertTrue(await joiner.gossip.join(full.endpoint))
        self.assertEqual(joiner.table.digest(), second.table.digest())

    async def test_join_uses_the_first_endpoint_that_responds(self) -> None:
        full = await self.full("full", 10)
        joiner = await self.fleet.add("joiner", settings=IDLE, join=False)
        gone = ("127.0.0.1", 1)
        self.assertTrue(await joiner.gossip.join(gone, full.endpoint, ("127.0.0.1", 2)))
        self.assertEqual(len(joiner.table.live_peers()), 11)
        self.assertFalse(await joiner.gossip.join(gone))
