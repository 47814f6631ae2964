"""Tests of the concurrency limit and the byte budget."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from bulrushflow.routing import ByteBudget
from bulrushflow.routing import ConcurrencyLimit
from bulrushflow.routing.limits import MIN_LIMIT_RATIO

STEP_S = 0.05


class ConcurrencyLimitTests(unittest.TestCase):
    def observe_calls(
        self, limit: ConcurrencyLimit, calls: int, seconds: float, in_flight: int
    ) -> None:
        for _ in range(calls):
            self.now += STEP_S
            limit.observe(self.now, seconds, in_flight)

    def setUp(self) -> None:
        self.now = 0.0

    def test_limit_equals_the_slots_while_latency_is_stable(self) -> None:
        limit = ConcurrencyLimit(20)
        self.observe_calls(limit, 2000, 0.01, 20)
        self.assertEqual(limit.value, 20)

    def test_limit_rises_only_while_it_is_in_use(self) -> None:
        limit = ConcurrencyLimit(20)
        self.observe_calls(limit, 400, 0.01, 10)
        self.observe_calls(limit, 100, 0.1, 10)
        lowered = limit.value
        self.observe_calls(limit, 2000, 0.01, 1)
        self.assertEqual(limit.value, lowered)
        self.observe_calls(limit, 2000, 0.01, 20)
        self.assertEqual(limit.value, 20)

    def test_limit_falls_with_rising_latency_but_not_below_its_minimum(self) -> None:
        limit = ConcurrencyLimit(20)
        self.observe_calls(limit, 400, 0.01, 10)
        before = limit.value
        self.observe_calls(limit, 100, 0.1, 10)
        self.assertLess(limit.value, before)
        self.observe_calls(limit, 400, 10.0, 10)
        self.assertGreaterEqual(limit.value, int(20 * MIN_LIMIT_RATIO))

    def test_limit_recovers_when_the_target_is_permanently_slower(self) -> None:
        limit = ConcurrencyLimit(20)
        self.observe_calls(limit, 400, 0.01, 10)
        self.observe_calls(limit, 8000, 0.05, 20)
        self.assertEqual(limit.value, 20)

    def test_limit_falls_when_calls_are_dropped(self) -> None:
        limit = ConcurrencyLimit(20)
        for _ in range(300):
            self.now += STEP_S
            limit.observe_dropped(self.now, 20)
        self.assertEqual(limit.value, int(20 * MIN_LIMIT_RATIO))

    @settings(max_examples=50)
    @given(
        st.integers(1, 50),
        st.lists(st.tuples(st.booleans(), st.floats(0, 10), st.integers(0, 60)), max_size=200),
    )
    def test_limit_is_between_one_and_the_slots(
        self, slots: int, calls: list[tuple[bool, float, int]]
    ) -> None:
        limit = ConcurrencyLimit(slots)
        for i, (dropped, seconds, in_flight) in enumerate(calls):
            if dropped:
                limit.observe_dropped(i * STEP_S, in_flight)
            else:
                limit.observe(i * STEP_S, seconds, in_flight)
            self.assertTrue(1 <= limit.value <= slots)


class ByteBudgetTests(unittest.TestCase):
    def test_reservation_beyond_the_bound_is_refused(self) -> None:
        budget = ByteBudget(10)
        self.assertTrue(budget.reserve(8))
        self.assertFalse(budget.reserve(3))
        budget.release(8)
        self.assertTrue(budget.reserve(10))
