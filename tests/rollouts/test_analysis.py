"""Tests of the analysis of a new version."""

import typing as t
import unittest

from bulrushflow.rollouts import AnalysisOutcome
from bulrushflow.rollouts import CanaryAnalysis
from bulrushflow.rollouts import FailureKind
from tests.rollouts.samples import NEW
from tests.rollouts.samples import OLD
from tests.rollouts.samples import Totals

Step = t.Callable[[Totals], None]


def no_faults(totals: Totals) -> None:
    totals.add(OLD, 50)
    totals.add(NEW, 10)


def new_fails(totals: Totals) -> None:
    totals.add(OLD, 50)
    totals.add(NEW, 10, errors=5)


def new_slows(totals: Totals) -> None:
    totals.add(OLD, 50)
    totals.add(NEW, 10, latency_s=0.050)


def both_fail(totals: Totals) -> None:
    totals.add(OLD, 50, errors=25)
    totals.add(NEW, 10, errors=5)


def both_slow(totals: Totals) -> None:
    totals.add(OLD, 50, latency_s=0.080)
    totals.add(NEW, 10, latency_s=0.080)


def one_route_fails(totals: Totals) -> None:
    no_faults(totals)
    totals.add(OLD, 5, route="/yearly")
    totals.add(NEW, 1, errors=1, route="/yearly")


def new_is_cold(totals: Totals) -> None:
    totals.add(OLD, 50)
    totals.add(NEW, 10, latency_s=0.200, warming=True)


def new_is_cold_and_fails(totals: Totals) -> None:
    totals.add(OLD, 50)
    totals.add(NEW, 10, errors=5, latency_s=0.200, warming=True)


def new_fails_while_old_is_slow(totals: Totals) -> None:
    totals.add(OLD, 30, errors=3, kind=FailureKind.UNANSWERED)
    totals.add(NEW, 14, errors=1, kind=FailureKind.RETURNED)


def both_run_into_deadlines(totals: Totals) -> None:
    totals.add(OLD, 30, errors=3, kind=FailureKind.UNANSWERED)
    totals.add(NEW, 10, errors=1, kind=FailureKind.UNANSWERED)


def new_runs_into_deadlines(totals: Totals) -> None:
    totals.add(OLD, 30, errors=3, kind=FailureKind.RETURNED)
    totals.add(NEW, 10, errors=1, kind=FailureKind.UNANSWERED)


def new_fails_beside_old_that_tells_no_kinds(totals: Totals) -> None:
    totals.add(OLD, 30, errors=3)
    totals.add(NEW, 10, errors=1, kind=FailureKind.RETURNED)


def without_old_calls(totals: Totals) -> None:
    totals.add(NEW, 10)


def fails_without_old_calls(totals: Totals) -> None:
    totals.add(NEW, 10, errors=9)


def run_steps(*steps: tuple[Step, int]) -> tuple[AnalysisOutcome, str, int]:
    """Analyse every half second until a fault is found; also return the number of half seconds."""
    analysis = CanaryAnalysis(OLD, NEW, 0.0)
    totals = Totals()
    tick = 0
    for step, count in steps:
        for _ in range(count):
            tick += 1
            step(totals)
            result = analysis.update(totals.counts, 100, tick / 2)
            if result.outcome is AnalysisOutcome.FAULTY:
                return result.outcome, result.rule, tick
    return result.outcome, result.rule, tick


class CanaryAnalysisTests(unittest.TestCase):
    def test_faults_of_the_new_version_alone_are_detected(self) -> None:
        cases: dict[str, tuple[tuple[tuple[Step, int], ...], str]] = {
            "at once": (((new_fails, 20),), "errors"),
            "later": (((no_faults, 600), (new_fails, 20)), "errors"),
            "slow": (((new_slows, 20),), "slower"),
            "slow later": (((no_faults, 600), (new_slows, 20)), "slower"),
            "one route": (((no_faults, 10), (one_route_fails, 60)), "errors"),
            "cold and failing": (((new_is_cold_and_fails, 20),), "errors"),
            # A version that fails 7% was found healthy beside old targets that let 10% of their
            # calls run to their deadline.
            "beside slow old targets": (((new_fails_while_old_is_slow, 200),), "errors"),
            "at deadlines beside old errors": (((new_runs_into_deadlines, 200),), "errors"),
            "without control": (((no_faults, 60), (fails_without_old_calls, 400)), "errors"),
        }
        for name, (steps, rule) in cases.items():
            with self.subTest(name):
                outcome, found, _ = run_steps(*steps)
                self.assertIs(outcome, AnalysisOutcome.FAULTY)
                self.assertIn(rule, found)

    def test_a_late_fault_is_detected_as_fast_as_an_early_one(self) -> None:
        _, _, early = run_steps((no_faults, 20), (new_fails, 40))
        _, _, late = run_steps((no_faults, 2000), (new_fails, 40))
        self.assertLessEqual(late - 2000, early - 20 + 1)

    def test_common_faults_and_slow_warm_up_leave_the_new_version_healthy(self) -> None:
        cases: dict[str, tuple[tuple[Step, int], ...]] = {
            "no faults": ((no_faults, 400),),
            "both fail": ((no_faults, 60), (both_fail, 60), (no_faults, 60)),
            "both at their deadlines": ((both_run_into_deadlines, 200),),
            "kinds unknown": ((new_fails_beside_old_that_tells_no_kinds, 200),),
            "both slow": ((no_faults, 60), (both_slow, 60), (no_faults, 60)),
            "cold": ((new_is_cold, 20), (no_faults, 60)),
            "no control": ((no_faults, 60), (without_old_calls, 60)),
        }
        for name, steps in cases.items():
            with self.subTest(name):
                outcome, _, _ = run_steps(*steps)
                self.assertIs(outcome, AnalysisOutcome.HEALTHY)

    def test_a_stage_needs_calls_on_each_route_with_traffic(self) -> None:
        analysis = CanaryAnalysis(OLD, NEW, 0.0)
        totals = Totals()
        analysis.update(totals.counts, 100, 0.5)
        totals.add(OLD, 100)
        totals.add(OLD, 100, route="/yearly")
        totals.add(NEW, 100)
        result = analysis.update(totals.counts, 100, 1.0)
        self.assertIs(result.outcome, AnalysisOutcome.INSUFFICIENT)
        self.assertIn("/yearly", result.evidence)

    def test_calls_before_the_share_was_raised_do_not_count_for_the_stage(self) -> None:
        analysis = CanaryAnalysis(OLD, NEW, 0.0)
        totals = Totals()
        totals.add(OLD, 100)
        totals.add(NEW, 100)
        self.assertIs(analysis.update(totals.counts, 0, 1.0).outcome, AnalysisOutcome.HEALTHY)
        self.assertEqual(analysis.update(totals.counts, 500, 2.0).stage_calls, 0)
