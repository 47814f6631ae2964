import unittest

from hypothesis import given
from hypothesis import strategies as st

from bulrushflow.sidecar.calls.retry_budget import TargetRetryBudget

RATIO, SLACK, WINDOW_S = 0.2, 60.0, 10.0
steps = st.lists(
    st.tuples(st.floats(0, 0.3), st.integers(0, 3), st.booleans()), min_size=1, max_size=300
)


class TargetRetryBudgetTests(unittest.TestCase):
    @given(steps)
    def test_retries_stay_within_the_services_bound_in_every_window(
        self, calls: list[tuple[float, int, bool]]
    ) -> None:
        budgets = [TargetRetryBudget(RATIO, SLACK, WINDOW_S) for _ in range(4)]
        for budget in budgets:
            budget.target_count = len(budgets)
        now = 0.0
        first_attempts: list[float] = []
        retries: list[float] = []
        for interval_s, number, is_retry in calls:
            now += interval_s
            if not is_retry:
                budgets[number].record_first_attempt(now)
                first_attempts.append(now)
            elif budgets[number].try_consume(now):
                retries.append(now)
            counted = [at for at in retries if at > now - WINDOW_S]
            # The service's bound also counts the first attempts of the window before.
            base = [at for at in first_attempts if at > now - 2 * WINDOW_S]
            self.assertLessEqual(len(counted), RATIO * len(base) + SLACK)

    def test_calls_made_by_retried_calls_stay_within_the_bound(self) -> None:
        # Each call to one service makes two calls to the other, and both retry all they may.
        above, below = (TargetRetryBudget(RATIO, SLACK, WINDOW_S) for _ in range(2))
        first_attempts = retries = 0
        for i in range(4000):
            now = i / 400
            above.record_first_attempt(now)
            calls = 2 * above.try_consume(now)
            retries += calls + below.try_consume(now)
            for _ in range(2 + calls):
                below.record_first_attempt(now)
            first_attempts += 2
        self.assertLessEqual(retries, RATIO * first_attempts + SLACK)

    def test_without_first_attempts_a_fraction_of_the_slack_is_available(self) -> None:
        budget = TargetRetryBudget(RATIO, SLACK, WINDOW_S)
        budget.target_count = 3
        self.assertEqual(sum(budget.try_consume(0.0) for _ in range(100)), 6)
