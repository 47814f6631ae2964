"""Tests of the verdict on a new version."""

import typing as t
import unittest

from bulrushflow.rollouts import AnalysisOutcome
from bulrushflow.rollouts import CanaryAnalysis
from tests.rollouts.samples import NEW
from tests.rollouts.samples import OLD
from tests.rollouts.samples import Totals

Step = t.Callable[[Totals], None]


def quiet(totals: Totals) -> None:
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
    quiet(totals)
    totals.add(OLD, 5, route="/yearly")
    totals.add(NEW, 1, errors=1, route="/yearly")


def new_is_cold(totals: Totals) -> None:
    totals.add(OLD, 50)
    totals.add(NEW, 10, latency_s=0.200, warming=True)


def new_is_cold_and_fails(totals: Totals) -> None:
    totals.add(OLD, 50)
    totals.add(NEW, 10, errors=5, latency_s=0.200, warming=True)


def without_old_calls(totals: Totals) -> None:
    totals.add(NEW, 10)


def fails_without_old_calls(totals: Totals) -> None:
    totals.add(NEW, 10, errors=9)


def run_steps(*steps: tuple[Step, int]) -> tuple[AnalysisOutcome, str, int]:
    """Judge after each half second; stop at a fault. Also return the half seconds gone."""
    judge = CanaryAnalysis(OLD, NEW, 0.0)
    totals = Totals()
    tick = 0
    for step, count in steps:
        for _ in range(count):
            tick += 1
            step(totals)
            verdict = judge.update(totals.counts, 100, tick / 2)
            if verdict.outcome is AnalysisOutcome.FAULTY:
                return verdict.outcome, verdict.rule, tick
    return verdict.outcome, verdict.rule, tick


class VerdictTests(unittest.TestCase):
    def test_faults_of_the_new_version_alone_are_told(self) -> None:
        cases: dict[str, tuple[tuple[tuple[Step, int], ...], str]] = {
            "at once": (((new_fails, 20),), "errors"),
            "later": (((quiet, 600), (new_fails, 20)), "errors"),
            "slow": (((new_slows, 20),), "slower"),
            "slow later": (((quiet, 600), (new_slows, 20)), "slower"),
            "one route": (((quiet, 10), (one_route_fails, 60)), "errors"),
            "cold and failing": (((new_is_cold_and_fails, 20),), "errors"),
            "without control": (((quiet, 60), (fails_without_old_calls, 400)), "errors"),
        }
        for name, (steps, rule) in cases.items():
            with self.subTest(name):
                judgement, found, _ = run_steps(*steps)
                self.assertIs(judgement, AnalysisOutcome.FAULTY)
                self.assertIn(rule, found)

    def test_a_fault_that_begins_late_is_told_as_soon_as_an_early_one(self) -> None:
        _, _, early = run_steps((quiet, 20), (new_fails, 40))
        _, _, late = run_steps((quiet, 2000), (new_fails, 40))
        self.assertLessEqual(late - 2000, early - 20 + 1)

    def test_what_hits_both_or_belongs_to_a_start_is_not_held_against_the_new_version(self) -> None:
        cases: dict[str, tuple[tuple[Step, int], ...]] = {
            "quiet": ((quiet, 400),),
            "both fail": ((quiet, 60), (both_fail, 60), (quiet, 60)),
            "both slow": ((quiet, 60), (both_slow, 60), (quiet, 60)),
            "cold": ((new_is_cold, 20), (quiet, 60)),
            "no control": ((quiet, 60), (without_old_calls, 60)),
        }
        for name, steps in cases.items():
            with self.subTest(name):
                judgement, _, _ = run_steps(*steps)
                self.assertIs(judgement, AnalysisOutcome.HEALTHY)

    def test_a_stage_needs_calls_on_each_route_with_traffic(self) -> None:
        judge = CanaryAnalysis(OLD, NEW, 0.0)
        totals = Totals()
        judge.update(totals.counts, 100, 0.5)
        totals.add(OLD, 100)
        totals.add(OLD, 100, route="/yearly")
        totals.add(NEW, 100)
        verdict = judge.update(totals.counts, 100, 1.0)
        self.assertIs(verdict.outcome, AnalysisOutcome.INSUFFICIENT)
        self.assertIn("/yearly", verdict.evidence)

    def test_calls_before_the_share_was_raised_do_not_count_for_the_stage(self) -> None:
        judge = CanaryAnalysis(OLD, NEW, 0.0)
        totals = Totals()
        totals.add(OLD, 100)
        totals.add(NEW, 100)
        self.assertIs(judge.update(totals.counts, 0, 1.0).outcome, AnalysisOutcome.HEALTHY)
        self.assertEqual(judge.update(totals.counts, 500, 2.0).stage_calls, 0)
