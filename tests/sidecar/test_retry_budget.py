import unittest

from hypothesis import given
from hypothesis import strategies as st

from bulrushflow.sidecar.retry_budget import TargetRetryBudget

RATIO, SLACK, WINDOW_S = 0.2, 60.0, 10.0
steps = st.lists(
    st.tuples(st.floats(0, 0.3), st.integers(0, 3), st.booleans()), min_size=1, max_size=300
)


class RepeatLimitTests(unittest.TestCase):
    @given(steps)
    def test_any_window_keeps_the_services_bound(
        self, calls: list[tuple[float, int, bool]]
    ) -> None:
        limits = [TargetRetryBudget(RATIO, SLACK, WINDOW_S) for _ in range(4)]
        for limit in limits:
            limit.target_count = len(limits)
        now = 0.0
        firsts: list[float] = []
        repeats: list[float] = []
        for pause_s, number, is_repeat in calls:
            now += pause_s
            if not is_repeat:
                limits[number].record_first_attempt(now)
                firsts.append(now)
            elif limits[number].try_consume(now):
                repeats.append(now)
            counted = [at for at in repeats if at > now - WINDOW_S]
            # The bound's own reckoning takes the window before into account, too.
            base = [at for at in firsts if at > now - 2 * WINDOW_S]
            self.assertLessEqual(len(counted), RATIO * len(base) + SLACK)

    def test_calls_that_repeated_calls_make_stay_within_the_bound_too(self) -> None:
        # A service is called twice by each call of another one that is as busy as itself.
        above, below = (TargetRetryBudget(RATIO, SLACK, WINDOW_S) for _ in range(2))
        firsts = repeats = 0
        for i in range(4000):
            now = i / 400
            above.record_first_attempt(now)
            calls = 2 * above.try_consume(now)
            repeats += calls + below.try_consume(now)
            for _ in range(2 + calls):
                below.record_first_attempt(now)
            firsts += 2
        self.assertLessEqual(repeats, RATIO * firsts + SLACK)

    def test_without_any_calls_a_part_of_the_slack_is_left(self) -> None:
        limit = TargetRetryBudget(RATIO, SLACK, WINDOW_S)
        limit.target_count = 3
        self.assertEqual(sum(limit.try_consume(0.0) for _ in range(100)), 6)
