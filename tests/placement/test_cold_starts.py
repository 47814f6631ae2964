import math
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from bulrushflow.placement import ColdLimit
from bulrushflow.placement import ColdPhase
from bulrushflow.placement import ColdStart
from bulrushflow.placement import cold_share
from bulrushflow.placement import cold_start
from bulrushflow.placement import is_same_phase

COLD = ColdStart(per_s=9.0, start_s=3.0, max_calls=21)


def most_in_a_second(times: list[float]) -> int:
    """Return the greatest number of calls in any second."""
    most = start = 0
    for i, time in enumerate(times):
        while times[start] <= time - 1:
            start += 1
        most = max(most, i - start + 1)
    return most


class SettingsTests(unittest.TestCase):
    def test_the_bound_follows_from_the_rate_and_the_settings(self) -> None:
        self.assertEqual(cold_start(9.0, 3.0, 1.5, 8), COLD)
        self.assertIsNone(cold_start(0.0, 3.0, 1.5, 8))
        found = cold_start(0.1, 3.0, 1.0, 0)
        assert found is not None
        self.assertEqual(found.max_calls, 1)


class ColdPhaseTests(unittest.TestCase):
    def setUp(self) -> None:
        self.phase = ColdPhase()

    def test_the_newest_announcement_decides_whether_it_says_more_or_less(self) -> None:
        for warm_at_ms in (5_000, 9_000, 6_000, 0):
            self.phase.announce(warm_at_ms)
            self.assertEqual(self.phase.ends_at_ms(3.0), warm_at_ms)

    def test_a_start_counts_until_an_announcement_says_less(self) -> None:
        self.phase.announce(0)
        self.phase.start(10_000)
        self.assertEqual(self.phase.ends_at_ms(3.0), 13_000)
        self.phase.announce_without_time()
        self.assertEqual(self.phase.ends_at_ms(3.0), 13_000)
        self.phase.announce(0)
        self.assertEqual(self.phase.ends_at_ms(3.0), 0)

    def test_after_an_evacuation_only_an_announcement_ends_the_phase(self) -> None:
        self.phase.announce(0)
        self.phase.await_announcement(10_000)
        self.assertEqual(self.phase.ends_at_ms(3.0), math.inf)
        self.assertEqual(self.phase.expected_ms(3.0), 13_000)
        self.phase.announce(15_000)
        self.assertEqual(self.phase.ends_at_ms(3.0), 15_000)

    def test_an_announcement_without_a_time_leaves_the_usual_one(self) -> None:
        self.phase.await_announcement(10_000)
        self.phase.announce_without_time()
        self.assertEqual(self.phase.ends_at_ms(3.0), 13_000)

    def test_only_ticking_down_is_the_same_phase(self) -> None:
        self.assertTrue(is_same_phase(12_000, 12_300, 10_000))
        self.assertTrue(is_same_phase(9_000, 0, 10_000))
        self.assertFalse(is_same_phase(12_000, 0, 10_000))
        self.assertFalse(is_same_phase(0, 12_000, 10_000))
        self.assertFalse(is_same_phase(12_000, 14_000, 10_000))


class ColdLimitTests(unittest.TestCase):
    def press(
        self, limit: ColdLimit, start: float, end: float, step_s: float = 0.003
    ) -> list[float]:
        """Start a call whenever the limit admits one; return their times."""
        started = []
        now = start
        while now < end:
            if not limit.wait_s(now):
                limit.consume(now)
                started.append(now)
            now += step_s
        return started

    def test_a_cold_target_gets_about_its_rate_under_pressure(self) -> None:
        limit = ColdLimit()
        limit.configure(COLD, math.inf)
        started = self.press(limit, 100.0, 130.0)
        self.assertAlmostEqual(len(started) / 30, COLD.per_s, delta=0.2)
        self.assertLessEqual(most_in_a_second(started), 12)

    # COLD: a target that turned cold got its share on top of the calls of the second before.
    def test_the_calls_of_the_time_before_count_in_the_bound(self) -> None:
        for moment in range(20):
            limit = ColdLimit()
            limit.configure(COLD, -math.inf)
            turns_cold_at = 101.0 + moment * 0.0517
            before = self.press(limit, 100.0, turns_cold_at, 0.06)
            limit.configure(COLD, math.inf)
            after = self.press(limit, turns_cold_at, 105.0)
            with self.subTest(moment=moment):
                self.assertLessEqual(most_in_a_second(before + after), COLD.max_calls)

    def test_the_limit_ends_at_its_time_and_the_wait_is_no_longer(self) -> None:
        limit = ColdLimit()
        limit.configure(COLD, 100.5)
        self.press(limit, 100.0, 100.4)
        self.assertAlmostEqual(limit.wait_s(100.4, calls_ahead=50), 0.1)
        self.assertEqual(limit.wait_s(100.5), 0.0)
        self.assertIsNone(limit.per_s(100.5))

    def test_the_wait_grows_with_the_calls_ahead(self) -> None:
        limit = ColdLimit()
        limit.configure(COLD, math.inf)
        self.press(limit, 100.0, 100.1)
        first = limit.wait_s(100.1)
        self.assertAlmostEqual(limit.wait_s(100.1, calls_ahead=3), first + 3 / COLD.per_s)

    # COLD: the calls that waited when the target turned cold all seemed to start at once.
    def test_calls_ahead_count_from_now_on_if_none_started_before(self) -> None:
        limit = ColdLimit()
        limit.configure(COLD, math.inf)
        self.assertEqual(limit.wait_s(100.0, calls_ahead=1), 0.0)
        self.assertAlmostEqual(limit.wait_s(100.0, calls_ahead=9), 0.8)

    def test_a_call_that_was_not_sent_leaves_its_place_but_stays_in_the_bound(self) -> None:
        limit = ColdLimit()
        limit.configure(COLD, math.inf)
        started = self.press(limit, 100.0, 100.01)
        wait_s = limit.wait_s(100.01)
        limit.consume(100.01)
        limit.refund(100.01)
        self.assertAlmostEqual(limit.wait_s(100.01), wait_s)
        self.assertEqual(limit.sent, len(started))
        for _ in range(COLD.max_calls):
            limit.consume(100.02)
            limit.refund(100.02)
        self.assertGreater(limit.wait_s(100.3), 0.7)

    def test_without_settings_nothing_is_counted(self) -> None:
        limit = ColdLimit()
        limit.consume(100.0)
        self.assertEqual((limit.wait_s(100.0, 500), limit.sent), (0.0, 0))

    @given(
        st.lists(st.floats(0, 0.4), min_size=1, max_size=200),
        st.floats(0.5, 40),
        st.integers(1, 40),
        st.data(),
    )
    def test_no_second_has_more_than_the_bound_whatever_changes(
        self, pauses: list[float], per_s: float, max_calls: int, data: st.DataObject
    ) -> None:
        limit = ColdLimit()
        settings = ColdStart(per_s, 3.0, max_calls)
        limit.configure(settings, math.inf)
        now, started = 100.0, []
        for pause_s in pauses:
            now += pause_s
            if data.draw(st.booleans()):
                limit.configure(settings, math.inf)
            if not limit.wait_s(now):
                limit.consume(now)
                started.append(now)
        self.assertLessEqual(most_in_a_second(started), max_calls)


class ColdShareTests(unittest.TestCase):
    def test_a_cold_target_gets_less_than_its_rate_within_the_capacity(self) -> None:
        for cold_count, warm_per_s in ((1, 240.0), (3, 240.0), (6, 80.0), (3, 0.0)):
            share = cold_share(COLD, cold_count, warm_per_s)
            capacity = warm_per_s + cold_count * COLD.per_s
            self.assertLessEqual(share * capacity / cold_count, COLD.per_s * 1.0001)
        self.assertEqual(cold_share(COLD, 2, 0.0), 1.0)

    def test_a_random_draw_by_the_share_rarely_meets_the_limit(self) -> None:
        rng = random.Random(4)
        limit = ColdLimit()
        limit.configure(COLD, math.inf)
        share = cold_share(COLD, 1, 240.0)
        now, refused, sent = 100.0, 0, 0
        while now < 160.0:
            now += rng.expovariate(200.0)
            if rng.random() >= share:
                continue
            if limit.wait_s(now) > 0.3:
                refused += 1
            else:
                # A call that waits starts at its turn.
                limit.consume(now + limit.wait_s(now))
                sent += 1
        self.assertGreater(sent, 200)
        self.assertLess(refused, sent / 50)
