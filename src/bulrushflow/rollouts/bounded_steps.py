"""Steps of a rollout whose new version has an allowance of calls until it is proven healthy.

The test share is chosen so that the allowance lasts until the last share is due, as late as the
deadline permits: evidence grows with the calls, and a fault that begins later is met by few of
them. Without proof the version gets a share only if the allowance covers it up to the deadline.
"""

from bulrushflow.rollouts.analysis import UNCLEAR_STRENGTH
from bulrushflow.rollouts.analysis import AnalysisOutcome
from bulrushflow.rollouts.analysis import AnalysisResult
from bulrushflow.rollouts.schedule import MIN_BAKE_S
from bulrushflow.rollouts.schedule import MIN_LAST_PERMILLE
from bulrushflow.rollouts.schedule import MIN_STAGE_S
from bulrushflow.rollouts.schedule import SCHEDULING_SLACK_S
from bulrushflow.rollouts.schedule import RolloutSchedule
from bulrushflow.rollouts.steps import StepDecision
from bulrushflow.rollouts.steps import bake
from bulrushflow.rollouts.steps import deadline_passed

FIRST_PERMILLE = 50
"""First share, which is within any allowance while the call rate is hardly known."""
MAX_TEST_PERMILLE = 600
"""Highest share before the last one; the old version's calls are needed for comparison."""
MIN_LATE_BAKE_S = 1.25
"""Least time at the last share where a step is late: a node that takes over from the driver decides
1.2 s after it, more than the usual bake time leaves."""
MIN_SHARE_FACTOR = 1.25
"""Smallest change of the test share that is worth a step."""


def last_share_s(schedule: RolloutSchedule) -> float:
    """Return when the last share is due; a late step only shortens its time."""
    return schedule.bake_start_s + SCHEDULING_SLACK_S


def decide_bounded_step(
    schedule: RolloutSchedule,
    share_permille: int,
    result: AnalysisResult,
    now_s: float,
    stage_s: float,
) -> StepDecision:
    """Return the next step; see :func:`~bulrushflow.rollouts.steps.decide_step`."""
    if result.outcome is AnalysisOutcome.FAULTY:
        return StepDecision(share_permille, result.rule, roll_back=True)
    if share_permille and _is_exhausted(schedule, share_permille, result, now_s):
        rule = f"{result.rule}, and no calls are left that it may get unproved{_used(schedule)}"
        return StepDecision(share_permille, rule, roll_back=True)
    if share_permille >= MIN_LAST_PERMILLE:
        return bake(schedule, share_permille, result, now_s, stage_s, MIN_LATE_BAKE_S)
    if now_s >= schedule.finish_by_s:
        return deadline_passed(share_permille, result)
    if now_s > schedule.latest_bake_start_s + MIN_BAKE_S - MIN_LATE_BAKE_S:
        rule = f"too little time for {MIN_LATE_BAKE_S:g} s at the last share: {result.rule}"
        return StepDecision(share_permille, rule, at_risk=True)
    if share_permille == 0:
        if now_s < schedule.baseline_s:
            return StepDecision(0, "learning the old version's figures")
        return StepDecision(FIRST_PERMILLE, "first share")
    if now_s >= last_share_s(schedule):
        return _raise_to_last(schedule, share_permille, result, now_s)
    return _adjust_test_share(schedule, share_permille, result, now_s, stage_s)


def _is_exhausted(
    schedule: RolloutSchedule, share_permille: int, result: AnalysisResult, now_s: float
) -> bool:
    """Return whether the version has had all calls that the evidence allows."""
    due = schedule.calls_before_rollback(share_permille)
    if schedule.proven:
        if result.strength < UNCLEAR_STRENGTH:
            return False
        # A weakening signal from before this stage is no fault that appears at this share.
        grows = result.strength > result.stage_strength
        return schedule.exposure.is_exhausted or (grows and not schedule.exposure.allows(due))
    return not schedule.exposure.allows(min(due, schedule.calls_left(share_permille, now_s)))


def _raise_to_last(
    schedule: RolloutSchedule, share_permille: int, result: AnalysisResult, now_s: float
) -> StepDecision:
    last = schedule.last_permille
    if result.outcome is AnalysisOutcome.SUSPECT:
        return StepDecision(share_permille, f"held: {result.rule}", at_risk=True)
    unclear = result.strength >= UNCLEAR_STRENGTH or not schedule.proven
    if schedule.is_covered(last, now_s):
        return StepDecision(last, f"its allowance lasts until the deadline{_used(schedule)}")
    if unclear:
        rule = f"{result.rule}, not proven healthy yet{_used(schedule)}"
        return StepDecision(share_permille, rule, at_risk=True)
    return StepDecision(last, f"proven healthy and due by the schedule{_used(schedule)}")


def _used(schedule: RolloutSchedule) -> str:
    return f" ({schedule.exposure.used} of {schedule.exposure.limit:.0f} calls used)"


def _adjust_test_share(
    schedule: RolloutSchedule,
    share_permille: int,
    result: AnalysisResult,
    now_s: float,
    stage_s: float,
) -> StepDecision:
    """Spread what is left of the planned test calls over the time until the last share."""
    if stage_s < MIN_STAGE_S:
        return StepDecision(share_permille, "ahead of the schedule")
    left = schedule.test_calls - schedule.exposure.used
    left_s = max(MIN_STAGE_S, last_share_s(schedule) - now_s)
    share = int(1000 * max(0.0, left) / (max(1e-6, schedule.calls_per_s) * left_s))
    share = max(FIRST_PERMILLE, min(MAX_TEST_PERMILLE, share))
    if MIN_SHARE_FACTOR > share / share_permille > 1 / MIN_SHARE_FACTOR:
        return StepDecision(share_permille, "ahead of the schedule")
    if share > share_permille and result.outcome is AnalysisOutcome.SUSPECT:
        return StepDecision(share_permille, f"held: {result.rule}")
    if share > share_permille and now_s > last_share_s(schedule) - MIN_STAGE_S:
        return StepDecision(share_permille, "too late for a higher test share")
    return StepDecision(share, f"share for which its allowance lasts{_used(schedule)}")
