"""Decides on the next step of a rollout: raise the traffic share, complete, roll back or wait."""

import math

import msgspec

from bulrushflow.rollouts.analysis import MIN_STAGE_CALLS
from bulrushflow.rollouts.analysis import SUSPECT_STRENGTH
from bulrushflow.rollouts.analysis import UNCLEAR_STRENGTH
from bulrushflow.rollouts.analysis import AnalysisOutcome
from bulrushflow.rollouts.analysis import AnalysisResult
from bulrushflow.rollouts.schedule import MIN_BAKE_S
from bulrushflow.rollouts.schedule import MIN_LAST_PERMILLE
from bulrushflow.rollouts.schedule import MIN_STAGE_S
from bulrushflow.rollouts.schedule import SCHEDULING_SLACK_S
from bulrushflow.rollouts.schedule import STAGES_PERMILLE
from bulrushflow.rollouts.schedule import RolloutSchedule

MAX_FIRST_PERMILLE = 250
FIRST_STAGE_CALLS = 30
"""Calls to the new version that the first stage should yield."""
MIN_STEP_CALLS = 3
"""Minimum calls to the new version in a stage before the next step, even at the deadline."""
FIRST_SHARE_STEP_FACTOR = 0.9
"""Ratio between successive candidates for the first traffic share."""
STAGE_OVERRUN_FRACTION = 0.5
"""Fraction of its planned time by which a stage may overrun to wait for calls."""


class StepDecision(msgspec.Struct, frozen=True):
    """The allowed traffic share, whether the rollout ends, and whether its deadline is at risk.

    At most one of ``completed`` and ``roll_back`` is true.
    """

    share_permille: int
    rule: str
    completed: bool = False
    roll_back: bool = False
    at_risk: bool = False


def decide_step(
    schedule: RolloutSchedule,
    share_permille: int,
    result: AnalysisResult,
    now_s: float,
    stage_s: float,
) -> StepDecision:
    """Return the next step; the traffic share stays unless the evidence allows a higher one.

    :param now_s: seconds since the rollout was ordered.
    :param stage_s: seconds since the current traffic share came into force.
    """
    if result.outcome is AnalysisOutcome.FAULTY:
        return StepDecision(share_permille, result.rule, roll_back=True)
    if share_permille and _is_exposure_exhausted(schedule, share_permille, result):
        rule = f"{result.rule}, and no calls are left that it may get unproved"
        return StepDecision(share_permille, rule, roll_back=True)
    if share_permille >= MIN_LAST_PERMILLE:
        return bake(schedule, share_permille, result, now_s, stage_s)
    if now_s >= schedule.finish_by_s:
        return deadline_passed(share_permille, result)
    if now_s > schedule.latest_bake_start_s:
        return StepDecision(
            share_permille,
            f"too little time for {MIN_BAKE_S:g} s at the last share: {result.rule}",
            at_risk=True,
        )
    if share_permille == 0:
        return _first_stage(schedule, now_s)
    return _raise_share(schedule, share_permille, result, now_s, stage_s)


def first_permille(schedule: RolloutSchedule, stage_s: float) -> int:
    """Return the first traffic share, higher where few calls would yield evidence too slowly."""
    wanted = 1000 * FIRST_STAGE_CALLS / max(1e-6, schedule.calls_per_s * stage_s)
    return max(STAGES_PERMILLE[0], min(MAX_FIRST_PERMILLE, math.ceil(wanted)))


def _first_stage(schedule: RolloutSchedule, now_s: float) -> StepDecision:
    if now_s < schedule.baseline_s:
        return StepDecision(0, "learning the old version's figures")
    left_s = max(0.0, schedule.bake_start_s - now_s)
    share = first_permille(schedule, max(MIN_STAGE_S, left_s / len(STAGES_PERMILLE)))
    while share > STAGES_PERMILLE[0] and not _is_affordable(schedule, share, left_s):
        share = max(STAGES_PERMILLE[0], int(share * FIRST_SHARE_STEP_FACTOR))
    return StepDecision(share, "first share")


def _is_affordable(schedule: RolloutSchedule, share_permille: int, left_s: float) -> bool:
    planned_stage_s = schedule.planned_stage_s(schedule.stages_above(share_permille), left_s)
    return planned_stage_s <= schedule.max_stage_s(share_permille)


def _raise_share(
    schedule: RolloutSchedule,
    share_permille: int,
    result: AnalysisResult,
    now_s: float,
    stage_s: float,
) -> StepDecision:
    stages = schedule.stages_above(share_permille)
    # The elapsed time of the current stage is divided as well, to make up for a late start.
    planned_stage_s = schedule.planned_stage_s(stages, schedule.bake_start_s - now_s + stage_s)
    if stage_s < planned_stage_s and not _is_last_chance(
        schedule, share_permille, stages[0], stage_s
    ):
        return StepDecision(share_permille, "ahead of the schedule")
    if result.outcome is AnalysisOutcome.SUSPECT:
        return StepDecision(
            share_permille, f"held: {result.rule}", at_risk=stage_s > 2 * planned_stage_s
        )
    rule = "healthy and due by the schedule"
    if result.outcome is AnalysisOutcome.INSUFFICIENT:
        overdue = (
            stage_s >= (1 + STAGE_OVERRUN_FRACTION) * planned_stage_s
            or now_s + SCHEDULING_SLACK_S > schedule.latest_bake_start_s
        )
        if not overdue or result.stage_calls < MIN_STEP_CALLS:
            return StepDecision(share_permille, result.rule, at_risk=stage_s > 2 * planned_stage_s)
        # With few calls no stage is skipped, however late the rollout is.
        rule = f"{result.rule}, but the deadline allows no longer wait"
        return _raise_within_exposure(schedule, share_permille, stages[0], rule)
    # The bake time is shortened before any stage is skipped.
    left_s = schedule.finish_by_s - schedule.margin_s - max(MIN_BAKE_S, schedule.bake_s / 2) - now_s
    return _raise_within_exposure(schedule, share_permille, _next_stage(stages, left_s), rule)


def _is_exposure_exhausted(
    schedule: RolloutSchedule, share_permille: int, result: AnalysisResult
) -> bool:
    """Return whether the version has had all calls that the current evidence allows."""
    unclear = result.strength >= UNCLEAR_STRENGTH
    if schedule.exposure.is_exhausted:
        # Below the last stage the traffic share can't be raised any more either.
        return unclear or share_permille < MIN_LAST_PERMILLE
    if not unclear:
        return False
    # A weakening signal from before this stage is no fault that appears at this traffic share.
    grows = result.strength > result.stage_strength
    return grows and not schedule.exposure.allows(schedule.calls_before_rollback(share_permille))


def _is_last_chance(
    schedule: RolloutSchedule, share_permille: int, raised_permille: int, stage_s: float
) -> bool:
    """Return whether further calls at this traffic share would soon rule out a higher one."""
    if stage_s < MIN_STAGE_S or not schedule.exposure.is_bounded:
        return False
    calls = schedule.calls_before_rollback(share_permille) + schedule.calls_before_rollback(
        raised_permille
    )
    return not schedule.exposure.allows(calls)


def _raise_within_exposure(
    schedule: RolloutSchedule, share_permille: int, raised_permille: int, rule: str
) -> StepDecision:
    """Raise the traffic share, unless a fault that appears there would affect too many calls."""
    if schedule.exposure.allows(schedule.calls_before_rollback(raised_permille)):
        return StepDecision(raised_permille, rule)
    rule = f"{rule}, but {raised_permille / 10:g}% would bring too many calls if it is faulty"
    return StepDecision(share_permille, rule, at_risk=True)


def _next_stage(stages: list[int], left_s: float) -> int:
    """Return the next traffic share, skipping stages if there isn't time for all."""
    possible = max(1, int(left_s / MIN_STAGE_S) + 1)
    step = math.ceil(len(stages) / possible)
    return stages[min(step, len(stages)) - 1]


def bake(
    schedule: RolloutSchedule,
    share_permille: int,
    result: AnalysisResult,
    now_s: float,
    stage_s: float,
    min_bake_s: float = MIN_BAKE_S,
) -> StepDecision:
    """Return the step of a rollout at its last share."""
    # A baked rollout completes even if the log takes its record only after the deadline.
    if stage_s >= schedule.bake_s and result.outcome is AnalysisOutcome.HEALTHY:
        return StepDecision(share_permille, "bake time at the last share is over", completed=True)
    end_s = schedule.finish_by_s - schedule.margin_s
    if now_s < end_s:
        rule = "bake time at the last share"
        if result.outcome is AnalysisOutcome.SUSPECT:
            rule = f"held: {result.rule}"
        return StepDecision(share_permille, rule)
    # The fewer the calls, the weaker a regression signal has to be to be tolerated.
    few = result.stage_calls < MIN_STAGE_CALLS
    limit = UNCLEAR_STRENGTH if few else SUSPECT_STRENGTH
    enough = stage_s >= min_bake_s and result.stage_calls >= MIN_STEP_CALLS
    if enough and result.strength < limit:
        rule = f"the deadline cut the bake time to {stage_s:.0f} s"
        return StepDecision(share_permille, rule, completed=True)
    if now_s >= schedule.finish_by_s:
        return deadline_passed(share_permille, result)
    return StepDecision(share_permille, result.rule, at_risk=True)


def deadline_passed(share_permille: int, result: AnalysisResult) -> StepDecision:
    """Return the rollback of a rollout that did not complete in time."""
    rule = f"the deadline passed at {share_permille / 10:g}%: {result.rule}"
    return StepDecision(share_permille, rule, roll_back=True)
