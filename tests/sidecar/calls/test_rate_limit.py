import unittest

from hypothesis import given
from hypothesis import strategies as st

from bulrushflow.sidecar.calls.rate_limit import BURST_S
from bulrushflow.sidecar.calls.rate_limit import MIN_RATE_PER_S
from bulrushflow.sidecar.calls.rate_limit import RateLimit

ROUNDING = 1e-6


class RateLimitTests(unittest.TestCase):
    def setUp(self) -> None:
        self.limit = RateLimit()

    def start_calls(self, now: float, most: int = 100) -> int:
        """Start as many calls as the limit admits at a time; return their number."""
        for started in range(most):
            if self.limit.wait_s(now):
                return started
            self.limit.consume(now)
        return most

    def test_without_a_limit_no_call_waits(self) -> None:
        self.assertEqual(self.start_calls(1.0), 100)

    def test_a_pause_allows_a_short_burst_only(self) -> None:
        self.limit.change(50.0, 0.0)
        self.assertEqual(self.start_calls(1000.0), 50 * BURST_S + 1)

    # With some times of the clock the last call of a burst waited for a rounding error.
    def test_a_burst_has_as_many_calls_at_any_time(self) -> None:
        for second in range(1, 2000):
            now = second * 1.0307
            with self.subTest(now=now):
                limit = self.limit = RateLimit()
                limit.change(10.0, now)
                self.assertEqual(self.start_calls(now), 3)

    def test_the_wait_grows_with_the_calls_ahead(self) -> None:
        self.limit.change(10.0, 0.0)
        self.start_calls(0.0)
        first = self.limit.wait_s(0.0)
        self.assertAlmostEqual(self.limit.wait_s(0.0, calls_ahead=3), first + 0.3)

    def test_a_limit_of_zero_admits_a_call_now_and_then(self) -> None:
        self.limit.change(0.0, 0.0)
        self.assertEqual(self.start_calls(0.0), 1)
        self.assertEqual(self.start_calls(1.0), 0)
        self.assertEqual(self.start_calls(1 / MIN_RATE_PER_S), 1)

    def test_a_raised_limit_is_in_force_at_once(self) -> None:
        self.limit.change(0.25, 0.0)
        self.start_calls(0.0)
        self.limit.change(100.0, 0.1)
        self.assertLess(self.limit.wait_s(0.1), 0.05)

    def test_a_call_that_was_not_sent_does_not_count(self) -> None:
        self.limit.change(1.0, 0.0)
        self.assertEqual(self.start_calls(0.0), 1)
        self.limit.refund()
        self.assertEqual(self.start_calls(0.0), 1)

    @given(
        st.floats(0.3, 200.0),
        st.lists(st.floats(0.0, 2.0), min_size=1, max_size=40),
    )
    def test_no_interval_has_more_calls_than_the_limit_and_its_burst(
        self, per_s: float, pauses: list[float]
    ) -> None:
        limit = self.limit = RateLimit()
        limit.change(per_s, 0.0)
        now = 0.0
        starts: list[float] = []
        for pause in pauses:
            now += pause
            starts += [now] * self.start_calls(now)
        for i, first in enumerate(starts):
            for j in range(i, len(starts)):
                allowed = (starts[j] - first + BURST_S) * per_s + 1
                self.assertLessEqual(j - i + 1, allowed + ROUNDING)
