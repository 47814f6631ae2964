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
    def test_takes_turns_between_tenants(self) -> None:
        queue: FairQueue[str] = FairQueue(10)
        for item in ("a1", "a2", "a3", "b1"):
            queue.push(item, item[0], 10.0)
        self.assertEqual([queue.pop(0.0, 0.0)[0] for _ in range(4)], ["a1", "b1", "a2", "a3"])

    def test_a_full_queue_takes_from_the_longest_tenant(self) -> None:
        queue: FairQueue[str] = FairQueue(2)
        self.assertIsNone(queue.push("a1", "a", 10.0))
        self.assertIsNone(queue.push("a2", "a", 10.0))
        self.assertEqual(queue.push("a3", "a", 10.0), "a3")
        self.assertEqual(queue.push("b1", "b", 10.0), "a2")
        self.assertEqual(queue.push("c1", "c", 10.0), "c1")

    def test_drops_what_cannot_meet_its_deadline(self) -> None:
        queue: FairQueue[str] = FairQueue(10)
        queue.push("late", "a", 1.0)
        queue.push("soon", "a", 3.0)
        self.assertEqual(queue.pop(1.0, 0.5), ("soon", ["late"]))

    def test_wait_grows_with_the_own_tenants_calls_only(self) -> None:
        queue: FairQueue[int] = FairQueue(100)
        for i in range(50):
            queue.push(i, "heavy", 10.0)
        self.assertEqual(queue.estimated_wait_s("heavy", 0.1, 10), 51 * 0.1 / 10)
        self.assertEqual(queue.estimated_wait_s("light", 0.1, 10), 2 * 0.1 / 10)

    def test_tenants_are_bounded(self) -> None:
        queue: FairQueue[int] = FairQueue(10 * MAX_TENANTS)
        for i in range(5 * MAX_TENANTS):
            self.assertIsNone(queue.push(i, str(i), 10.0))
        taken = {queue.pop(0.0, 0.0)[0] for _ in range(5 * MAX_TENANTS)}
        self.assertEqual(len(taken), 5 * MAX_TENANTS)


class FairQueueMachine(RuleBasedStateMachine):
    """Every item leaves exactly once, and none is held beyond the bound."""

    def __init__(self) -> None:
        super().__init__()
        self.queue: FairQueue[int] = FairQueue(MAX_LENGTH)
        self.held: dict[int, float] = {}
        self.offered = 0

    @rule(tenant=st.sampled_from("abc"), deadline=st.floats(0, 10))
    def offer(self, tenant: str, deadline: float) -> None:
        self.offered += 1
        self.held[self.offered] = deadline
        evicted = self.queue.push(self.offered, tenant, deadline)
        if evicted is not None:
            del self.held[evicted]

    @rule(now=st.floats(0, 10))
    def take(self, now: float) -> None:
        item, late = self.queue.pop(now, 0.0)
        for missed in late:
            assert self.held.pop(missed) <= now
        if item is not None:
            assert self.held.pop(item) > now

    @rule(data=st.data())
    def remove(self, data: st.DataObject) -> None:
        if self.held:
            item = data.draw(st.sampled_from(sorted(self.held)))
            assert self.queue.remove(item)
            assert not self.queue.remove(item)
            del self.held[item]

    @invariant()
    def length_is_exact_and_bounded(self) -> None:
        assert len(self.queue) == len(self.held) <= MAX_LENGTH


TestFairQueueMachine = FairQueueMachine.TestCase
TestFairQueueMachine.settings = settings(max_examples=40, stateful_step_count=40, deadline=None)
