"""Tests of the decisions on the next step of a rollout."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from bulrushflow.rollouts import AnalysisOutcome
from bulrushflow.rollouts import AnalysisResult
from bulrushflow.rollouts import ExposureBudget
from bulrushflow.rollouts import RolloutSchedule
from bulrushflow.rollouts import StepDecision
from bulrushflow.rollouts import decide_step
from bulrushflow.rollouts.schedule import MIN_LAST_PERMILLE


def analysis_result(analysis_outcome: AnalysisOutcome, stage_calls: int = 100) -> AnalysisResult:
    return AnalysisResult(analysis_outcome, "rule", "evidence", stage_calls)


HEALTHY = analysis_result(AnalysisOutcome.HEALTHY)


def run(
    schedule: RolloutSchedule, result: AnalysisResult, starts_s: float = 0.0
) -> tuple[str, float, list[int]]:
    """Run a rollout on a constant analysis result; return its outcome, end time and shares."""
    share, stage_started_s, shares = 0, 0.0, [0]
    now_s = starts_s
    while now_s <= schedule.finish_by_s + 1:
        decision = decide_step(schedule, share, result, now_s, now_s - stage_started_s)
        if decision.completed or decision.roll_back:
            return ("completed" if decision.completed else "rolled back"), now_s, shares
        if decision.share_permille > share:
            share, stage_started_s = decision.share_permille, now_s
            shares.append(share)
        now_s += 0.25
    return "open", now_s, shares


class DecideStepTests(unittest.TestCase):
    @settings(max_examples=60)
    @given(st.floats(10, 5000), st.floats(0, 10_000))
    def test_a_healthy_rollout_completes_before_its_deadline(
        self, span_s: float, rate: float
    ) -> None:
        outcome, ended_s, shares = run(RolloutSchedule(span_s, rate), HEALTHY)
        self.assertEqual(outcome, "completed")
        self.assertLess(ended_s, span_s)
        self.assertGreaterEqual(shares[-1], MIN_LAST_PERMILLE)
        self.assertEqual(shares, sorted(shares))

    @settings(max_examples=60)
    @given(
        st.sampled_from(AnalysisOutcome),
        st.integers(0, 100),
        st.integers(0, 1000),
        st.floats(0, 200),
        st.floats(0, 100),
    )
    def test_the_share_never_falls_and_ends_in_one_way(
        self,
        analysis_outcome: AnalysisOutcome,
        calls: int,
        share: int,
        now_s: float,
        stage_s: float,
    ) -> None:
        result = analysis_result(analysis_outcome, calls)
        decision = decide_step(RolloutSchedule(100, 50), share, result, now_s, min(stage_s, now_s))
        self.assertGreaterEqual(decision.share_permille, share)
        self.assertFalse(decision.completed and decision.roll_back)
        self.assertEqual(
            decision.roll_back, decision.roll_back or analysis_outcome is AnalysisOutcome.FAULTY
        )
        if decision.completed:
            self.assertGreaterEqual(share, MIN_LAST_PERMILLE)

    def test_a_late_start_still_completes_before_the_deadline(self) -> None:
        outcome, ended_s, _ = run(RolloutSchedule(100, 50), HEALTHY, starts_s=60.0)
        self.assertEqual(outcome, "completed")
        self.assertLess(ended_s, 100)

    def test_without_calls_the_share_is_not_raised_and_the_deadline_rolls_back(self) -> None:
        outcome, ended_s, shares = run(
            RolloutSchedule(100, 50), analysis_result(AnalysisOutcome.INSUFFICIENT, 0)
        )
        self.assertEqual((outcome, ended_s), ("rolled back", 100))
        self.assertEqual(len(shares), 2)

    def test_the_deadline_overrides_few_calls_but_not_a_suspect_version(self) -> None:
        cases = {AnalysisOutcome.INSUFFICIENT: "completed", AnalysisOutcome.SUSPECT: "rolled back"}
        for analysis_outcome, expected in cases.items():
            with self.subTest(analysis_outcome):
                outcome, _, _ = run(RolloutSchedule(100, 50), analysis_result(analysis_outcome, 10))
                self.assertEqual(outcome, expected)

    def test_at_the_deadline_few_calls_lower_the_tolerated_signal_strength(self) -> None:
        cases = {(10, 0.3): "completed", (10, 0.5): "", (200, 0.5): "completed", (200, 0.7): ""}
        for (calls, strength), expected in cases.items():
            with self.subTest(calls=calls, strength=strength):
                result = AnalysisResult(
                    AnalysisOutcome.INSUFFICIENT, "rule", "evidence", calls, strength
                )
                decision = decide_step(RolloutSchedule(100, 50), 950, result, 97.0, 10.0)
                self.assertEqual("completed" if decision.completed else "", expected)

    def test_a_deadline_at_risk_is_reported_before_it_passes(self) -> None:
        cases = {
            "no time": (RolloutSchedule(3, 50), 0, HEALTHY, 0.0, 0.0),
            "no calls": (
                RolloutSchedule(100, 50),
                10,
                analysis_result(AnalysisOutcome.INSUFFICIENT, 0),
                45.0,
                40.0,
            ),
            "suspicion": (
                RolloutSchedule(100, 50),
                10,
                analysis_result(AnalysisOutcome.SUSPECT, 50),
                45.0,
                40.0,
            ),
        }
        for name, (schedule, share, result, now_s, stage_s) in cases.items():
            with self.subTest(name):
                decision = decide_step(schedule, share, result, now_s, stage_s)
                self.assertTrue(decision.at_risk)
                self.assertEqual(decision.share_permille, share)

    def test_a_baked_rollout_completes_even_after_its_deadline(self) -> None:
        decision = decide_step(RolloutSchedule(100, 50), 950, HEALTHY, 130.0, 60.0)
        self.assertTrue(decision.completed)

    def test_the_first_share_is_higher_at_low_call_rates(self) -> None:
        shares = [
            decide_step(RolloutSchedule(600, rate), 0, HEALTHY, 20.0, 20.0).share_permille
            for rate in (0.1, 1.0, 5.0, 500.0)
        ]
        self.assertEqual(shares, sorted(shares, reverse=True))
        self.assertGreater(shares[0], shares[-1])


class ExposureTests(unittest.TestCase):
    def decide(self, strength: float, stage_strength: float, used: int) -> StepDecision:
        result = AnalysisResult(
            AnalysisOutcome.INSUFFICIENT, "unclear evidence", "", 50, strength, stage_strength
        )
        schedule = RolloutSchedule(14, 200, ExposureBudget(300, used))
        return decide_step(schedule, 800, result, 11.0, 0.8)

    def test_a_growing_signal_rolls_back_before_the_exposure_is_exhausted(self) -> None:
        self.assertTrue(self.decide(0.5, 0.1, 200).roll_back)
        self.assertFalse(self.decide(0.3, 0.1, 200).roll_back)
        self.assertFalse(self.decide(0.5, 0.1, 100).roll_back)

    def test_a_weakening_signal_rolls_back_only_at_the_exposure_limit(self) -> None:
        self.assertFalse(self.decide(0.5, 0.6, 299).roll_back)
        self.assertTrue(self.decide(0.5, 0.6, 300).roll_back)

    def test_an_exhausted_budget_below_the_last_share_rolls_back(self) -> None:
        for used, rolled_back in ((299, False), (300, True)):
            decision = decide_step(
                RolloutSchedule(14, 200, ExposureBudget(300, used)), 100, HEALTHY, 8.0, 1.0
            )
            self.assertEqual(decision.roll_back, rolled_back)

    def test_the_share_is_not_raised_beyond_the_remaining_calls(self) -> None:
        for used, raised in ((0, True), (250, False)):
            schedule = RolloutSchedule(14, 200, ExposureBudget(300, used))
            decision = decide_step(schedule, 50, HEALTHY, 9.8, 9.0)
            self.assertEqual(decision.share_permille > 50, raised)
