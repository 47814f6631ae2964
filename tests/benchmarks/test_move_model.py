import random
import unittest

from benchmarks import moves
from benchmarks.move_model.policies import CountsByVersionRoute
from benchmarks.move_model.run import Run
from benchmarks.move_model.run import RunResult
from benchmarks.move_model.scenarios import Fails
from benchmarks.move_model.scenarios import FailsOnOneRoute
from benchmarks.move_model.scenarios import Scenario

TICK_S = 0.5


class RollbackAfterThreeTicks:
    """Sends half of the calls to the new version and rolls it back in the third tick."""

    uses_latency = False
    completed = False
    reason = ""

    def __init__(self, share_after_rollback_permille: int = 500) -> None:
        self.rolled_back = False
        self._share_after_rollback_permille = share_after_rollback_permille
        self._ticks = 0

    @property
    def share_permille(self) -> int:
        return self._share_after_rollback_permille if self.rolled_back else 500

    def tick(self, totals: CountsByVersionRoute, now_s: float) -> None:
        self._ticks += 1
        self.rolled_back = self._ticks == 3


def run(scenario_type: type[Scenario], policy: RollbackAfterThreeTicks, seed: int = 1) -> RunResult:
    return Run(scenario_type(random.Random(seed), 60.0), policy, 200.0, TICK_S).run_to_end()


class RunTests(unittest.TestCase):
    def test_all_policies_get_calls_for_one_tick_after_a_rollback(self) -> None:
        results = [run(Fails, RollbackAfterThreeTicks(share)) for share in (0, 500)]
        self.assertEqual(results[0], results[1])
        self.assertEqual(results[0].last_new_call_s, 3.5 * TICK_S)

    def test_calls_on_routes_without_the_fault_do_not_count_as_bad(self) -> None:
        everywhere, on_one_route = (
            run(scenario, RollbackAfterThreeTicks()) for scenario in (Fails, FailsOnOneRoute)
        )
        # The faulty route has a tenth of the calls.
        self.assertGreater(on_one_route.bad_calls, 0)
        self.assertLess(on_one_route.bad_calls, everywhere.bad_calls / 5)
        self.assertEqual(on_one_route.last_new_call_s, everywhere.last_new_call_s)


class ReasonTests(unittest.TestCase):
    def test_the_most_frequent_reasons_of_unexpected_ends_are_returned(self) -> None:
        rules = ["a", "b", "c", "d", "b", "d", "d", "c"]
        results = [
            RunResult(taken_back=True, reason=f"{rule} (z 1.{i})") for i, rule in enumerate(rules)
        ]
        expected = RunResult(reason="done")
        self.assertEqual(
            moves.commonest_reasons([expected, *results], bad=False),
            ["3 runs: d (z 1.3)", "2 runs: b (z 1.1)", "2 runs: c (z 1.2)"],
        )

    def test_policies_that_give_no_reason_have_none_listed(self) -> None:
        self.assertEqual(moves.commonest_reasons([RunResult(taken_back=True)], bad=False), [])

    def test_rules_that_differ_only_in_their_figures_are_counted_together(self) -> None:
        reasons = ["cut to 97 s (x)", "held (x)", "cut to 98 s (x)", "cut to 9.5 s (x)"]
        results = [RunResult(taken_back=False, reason=reason) for reason in reasons]
        self.assertEqual(
            moves.commonest_reasons(results, bad=True),
            ["3 runs: cut to 97 s (x)", "1 runs: held (x)"],
        )
