"""Tests of the fair queue."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from bulrushflow.routing import FairQueue
from bulrushflow.routing.queues import MAX_TENANTS

MAX_LENGTH = 6


class FairQueueTests(unittest.TestCase):
    def test_tenants_are_served_round_robin(self) -> None:
        queue: FairQueue[str] = FairQueue(10)
        for item in ("a1", "a2", "a3", "b1"):
            queue.push(item, item[0], 10.0)
        self.assertEqual([queue.pop(0.0, 0.0)[0] for _ in range(4)], ["a1", "b1", "a2", "a3"])

    def test_full_queue_evicts_from_the_longest_tenant_queue(self) -> None:
        queue: FairQueue[str] = FairQueue(2)
        self.assertIsNone(queue.push("a1", "a", 10.0))
        self.assertIsNone(queue.push("a2", "a", 10.0))
        self.assertEqual(queue.push("a3", "a", 10.0), "a3")
        self.assertEqual(queue.push("b1", "b", 10.0), "a2")
        self.assertEqual(queue.push("c1", "c", 10.0), "c1")

    def test_items_that_cannot_meet_their_deadline_are_returned_as_expired(self) -> None:
        queue: FairQueue[str] = FairQueue(10)
        queue.push("late", "a", 1.0)
        queue.push("soon", "a", 3.0)
        self.assertEqual(queue.pop(1.0, 0.5), ("soon", ["late"]))

    def test_estimated_wait_counts_other_tenants_only_up_to_the_own_position(self) -> None:
        queue: FairQueue[int] = FairQueue(100)
        for i in range(50):
            queue.push(i, "heavy", 10.0)
        self.assertEqual(queue.estimated_wait_s("heavy", 0.1, 10), 51 * 0.1 / 10)
        self.assertEqual(queue.estimated_wait_s("light", 0.1, 10), 2 * 0.1 / 10)

    def test_tenants_beyond_the_bound_share_one_queue(self) -> None:
        queue: FairQueue[int] = FairQueue(10 * MAX_TENANTS)
        for i in range(5 * MAX_TENANTS):
            self.assertIsNone(queue.push(i, str(i), 10.0))
        taken = {queue.pop(0.0, 0.0)[0] for _ in range(5 * MAX_TENANTS)}
        self.assertEqual(len(taken), 5 * MAX_TENANTS)


class FairQueueMachine(RuleBasedStateMachine):
    """Every item leaves the queue exactly once, and the queue never exceeds its bound."""

    def __init__(self) -> None:
        super().__init__()
        self.queue: FairQueue[int] = FairQueue(MAX_LENGTH)
        self.deadlines_by_item: dict[int, float] = {}
        self.pushed = 0

    @rule(tenant=st.sampled_from("abc"), deadline=st.floats(0, 10))
    def push(self, tenant: str, deadline: float) -> None:
        self.pushed += 1
        self.deadlines_by_item[self.pushed] = deadline
        evicted = self.queue.push(self.pushed, tenant, deadline)
        if evicted is not None:
            del self.deadlines_by_item[evicted]

    @rule(now=st.floats(0, 10))
    def pop(self, now: float) -> None:
        item, expired = self.queue.pop(now, 0.0)
        for missed in expired:
            assert self.deadlines_by_item.pop(missed) <= now
        if item is not None:
            assert self.deadlines_by_item.pop(item) > now

    @rule(data=st.data())
    def remove(self, data: st.DataObject) -> None:
        if self.deadlines_by_item:
            item = data.draw(st.sampled_from(sorted(self.deadlines_by_item)))
            assert self.queue.remove(item)
            assert not self.queue.remove(item)
            del self.deadlines_by_item[item]

    @invariant()
    def length_is_exact_and_bounded(self) -> None:
        assert len(self.queue) == len(self.deadlines_by_item) <= MAX_LENGTH


TestFairQueueMachine = FairQueueMachine.TestCase
TestFairQueueMachine.settings = settings(max_examples=40, stateful_step_count=40, deadline=None)
