"""Error rates of the deployed method on a part of the benchmark's matrix, with fixed draws."""

import itertools
import unittest

from benchmarks.exposure import RATES_PER_S
from benchmarks.exposure import Job
from benchmarks.exposure import play
from benchmarks.exposure_model.conditions import OLD_BY_NAME
from benchmarks.exposure_model.run import NEW
from benchmarks.exposure_model.run import ROUTE
from benchmarks.exposure_model.run import Run
from benchmarks.exposure_model.run import Totals

RUNS = 4


class FixedShare:
    """Gives the new version half of the calls, and records what it is told."""

    completed = False
    rolled_back = False
    share_permille = 500

    def __init__(self) -> None:
        self.given = 0
        self.ended = 0

    def tick(self, totals: Totals, given: int, now_s: float) -> None:
        self.given, self.ended = given, totals[NEW, ROUTE].calls


class ExposureModelTests(unittest.TestCase):
    def fractions(self, fault: str, rates: tuple[float, ...] = RATES_PER_S) -> tuple[float, float]:
        """Return the fractions of runs that complete, and that exceed the exposure limit."""
        results = [
            result
            for old, rate in itertools.product(OLD_BY_NAME, rates)
            for result in play(Job("deployed", fault, False, old, rate, RUNS, 2))
        ]
        completed = sum(result.completed for result in results)
        return completed / len(results), sum(r.is_over for r in results) / len(results)

    def test_the_method_knows_calls_in_flight_but_not_the_latest(self) -> None:
        method = FixedShare()
        result = Run(method, "5 x slower", False, "healthy", 200.0, "1").run_to_end()
        self.assertLess(method.ended, method.given)
        self.assertLess(method.given, result.given)

    # With few calls a second, no good version was completed.
    def test_good_versions_complete_at_all_rates_and_beside_bad_old_targets(self) -> None:
        completed, _ = self.fractions("good")
        self.assertGreaterEqual(completed, 0.95)

    def test_versions_that_fail_often_stay_within_the_limit(self) -> None:
        for fault, over in (("fails 10%", 0.1), ("fails 15%", 0.05), ("fails 30%", 0.0)):
            with self.subTest(fault):
                self.assertLessEqual(self.fractions(fault)[1], over)

    def test_versions_that_fail_rarely_are_found_with_many_calls(self) -> None:
        for fault, over in (("fails 5%", 0.15), ("fails 7%", 0.05), ("5 x slower", 0.0)):
            with self.subTest(fault):
                self.assertLessEqual(self.fractions(fault, (500.0,))[1], over)
