"""Tests of the pace of a move."""

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


def verdict(judgement: AnalysisOutcome, stage_calls: int = 100) -> AnalysisResult:
    return AnalysisResult(judgement, "rule", "evidence", stage_calls)


HEALTHY = verdict(AnalysisOutcome.HEALTHY)


def run(
    plan: RolloutSchedule, judged: AnalysisResult, begins_s: float = 0.0
) -> tuple[str, float, list[int]]:
    """Pace a move under one verdict; return how and when it ended, and its shares."""
    share, stage_started_s, shares = 0, 0.0, [0]
    now_s = begins_s
    while now_s <= plan.finish_by_s + 1:
        pace = decide_step(plan, share, judged, now_s, now_s - stage_started_s)
        if pace.completed or pace.roll_back:
            return ("done" if pace.completed else "taken back"), now_s, shares
        if pace.share_permille > share:
            share, stage_started_s = pace.share_permille, now_s
            shares.append(share)
        now_s += 0.25
    return "open", now_s, shares


class PaceTests(unittest.TestCase):
    @settings(max_examples=60)
    @given(st.floats(10, 5000), st.floats(0, 10_000))
    def test_a_healthy_move_is_done_before_its_deadline(self, span_s: float, rate: float) -> None:
        outcome, ended_s, shares = run(RolloutSchedule(span_s, rate), HEALTHY)
        self.assertEqual(outcome, "done")
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
        self, judgement: AnalysisOutcome, calls: int, share: int, now_s: float, stage_s: float
    ) -> None:
        judged = verdict(judgement, calls)
        pace = decide_step(RolloutSchedule(100, 50), share, judged, now_s, min(stage_s, now_s))
        self.assertGreaterEqual(pace.share_permille, share)
        self.assertFalse(pace.completed and pace.roll_back)
        self.assertEqual(pace.roll_back, pace.roll_back or judgement is AnalysisOutcome.FAULTY)
        if pace.completed:
            self.assertGreaterEqual(share, MIN_LAST_PERMILLE)

    def test_a_late_start_is_made_up_for(self) -> None:
        outcome, ended_s, _ = run(RolloutSchedule(100, 50), HEALTHY, begins_s=60.0)
        self.assertEqual(outcome, "done")
        self.assertLess(ended_s, 100)

    def test_without_calls_the_share_stays_and_the_move_is_taken_back_at_its_deadline(self) -> None:
        outcome, ended_s, shares = run(
            RolloutSchedule(100, 50), verdict(AnalysisOutcome.INSUFFICIENT, 0)
        )
        self.assertEqual((outcome, ended_s), ("taken back", 100))
        self.assertEqual(len(shares), 2)

    def test_few_calls_give_way_to_the_deadline_and_a_suspicion_does_not(self) -> None:
        cases = {AnalysisOutcome.INSUFFICIENT: "done", AnalysisOutcome.SUSPECT: "taken back"}
        for judgement, expected in cases.items():
            with self.subTest(judgement):
                outcome, _, _ = run(RolloutSchedule(100, 50), verdict(judgement, 10))
                self.assertEqual(outcome, expected)

    def test_at_the_deadline_a_sign_of_a_fault_weighs_more_on_few_calls(self) -> None:
        cases = {(10, 0.3): "done", (10, 0.5): "", (200, 0.5): "done", (200, 0.7): ""}
        for (calls, strength), expected in cases.items():
            with self.subTest(calls=calls, strength=strength):
                judged = AnalysisResult(
                    AnalysisOutcome.INSUFFICIENT, "rule", "evidence", calls, strength
                )
                pace = decide_step(RolloutSchedule(100, 50), 950, judged, 97.0, 10.0)
                self.assertEqual("done" if pace.completed else "", expected)

    def test_a_deadline_at_risk_is_told_before_it_passes(self) -> None:
        cases = {
            "no time": (RolloutSchedule(3, 50), 0, HEALTHY, 0.0, 0.0),
            "no calls": (
                RolloutSchedule(100, 50),
                10,
                verdict(AnalysisOutcome.INSUFFICIENT, 0),
                45.0,
                40.0,
            ),
            "suspicion": (
                RolloutSchedule(100, 50),
                10,
                verdict(AnalysisOutcome.SUSPECT, 50),
                45.0,
                40.0,
            ),
        }
        for name, (plan, share, judged, now_s, stage_s) in cases.items():
            with self.subTest(name):
                pace = decide_step(plan, share, judged, now_s, stage_s)
                self.assertTrue(pace.at_risk)
                self.assertEqual(pace.share_permille, share)

    def test_a_baked_move_is_done_also_when_its_record_is_late(self) -> None:
        pace = decide_step(RolloutSchedule(100, 50), 950, HEALTHY, 130.0, 60.0)
        self.assertTrue(pace.completed)

    def test_the_first_share_is_higher_where_calls_are_few(self) -> None:
        shares = [
            decide_step(RolloutSchedule(600, rate), 0, HEALTHY, 20.0, 20.0).share_permille
            for rate in (0.1, 1.0, 5.0, 500.0)
        ]
        self.assertEqual(shares, sorted(shares, reverse=True))
        self.assertGreater(shares[0], shares[-1])


class ExposureTests(unittest.TestCase):
    def pace(self, strength: float, stage_strength: float, used: int) -> StepDecision:
        judged = AnalysisResult(
            AnalysisOutcome.INSUFFICIENT, "unclear evidence", "", 50, strength, stage_strength
        )
        plan = RolloutSchedule(14, 200, ExposureBudget(300, used))
        return decide_step(plan, 800, judged, 11.0, 0.8)

    def test_a_sign_that_grows_at_a_share_ends_a_move_before_its_calls_are_used_up(self) -> None:
        self.assertTrue(self.pace(0.5, 0.1, 200).roll_back)
        self.assertFalse(self.pace(0.3, 0.1, 200).roll_back)
        self.assertFalse(self.pace(0.5, 0.1, 100).roll_back)

    def test_a_sign_that_fades_is_waited_for_while_calls_are_left(self) -> None:
        self.assertFalse(self.pace(0.5, 0.6, 299).roll_back)
        self.assertTrue(self.pace(0.5, 0.6, 300).roll_back)

    def test_a_version_that_can_not_be_raised_any_more_is_taken_back(self) -> None:
        for used, taken_back in ((299, False), (300, True)):
            pace = decide_step(
                RolloutSchedule(14, 200, ExposureBudget(300, used)), 100, HEALTHY, 8.0, 1.0
            )
            self.assertEqual(pace.roll_back, taken_back)

    def test_no_share_is_raised_that_the_rest_of_the_calls_does_not_allow(self) -> None:
        for used, raised in ((0, True), (250, False)):
            plan = RolloutSchedule(14, 200, ExposureBudget(300, used))
            pace = decide_step(plan, 50, HEALTHY, 9.8, 9.0)
            self.assertEqual(pace.share_permille > 50, raised)
