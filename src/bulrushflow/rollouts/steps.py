"""The pace of a move: which share of calls the new version may have now."""

import math
from dataclasses import dataclass

from bulrushflow.rollouts.analysis import STAGE_CALLS
from bulrushflow.rollouts.analysis import SUSPECT_STRENGTH
from bulrushflow.rollouts.analysis import UNCLEAR_STRENGTH
from bulrushflow.rollouts.analysis import AnalysisOutcome
from bulrushflow.rollouts.analysis import AnalysisResult
from bulrushflow.rollouts.schedule import FULL_PERMILLE
from bulrushflow.rollouts.schedule import MIN_BAKE_S
from bulrushflow.rollouts.schedule import MIN_STAGE_S
from bulrushflow.rollouts.schedule import SLACK_S
from bulrushflow.rollouts.schedule import STAGES_PERMILLE
from bulrushflow.rollouts.schedule import RolloutSchedule

MAX_FIRST_PERMILLE = 250
FIRST_STAGE_CALLS = 30
"""Calls that the first share should bring within its time."""
FLOOR_CALLS = 3
"""Calls to the new version without which no share is raised, whatever the deadline."""
FINER = 0.9
"""Step between the first shares that are weighed."""
PATIENCE = 0.5
"""Part of a stage's time by which it may run over to wait for calls."""


@dataclass(frozen=True, slots=True)
class StepDecision:
    """The share that a move may be at, whether it ends here, and whether its deadline is at risk.

    At most one of ``completed`` and ``roll_back`` is true.
    """

    share_permille: int
    rule: str
    completed: bool = False
    roll_back: bool = False
    at_risk: bool = False


def decide_step(
    plan: RolloutSchedule,
    share_permille: int,
    verdict: AnalysisResult,
    now_s: float,
    stage_s: float,
) -> StepDecision:
    """Return the next step of a move; the share stays where the evidence doesn't allow more.

    :param now_s: seconds since the move was stated.
    :param stage_s: seconds for which the present share has been in force.
    """
    if verdict.outcome is AnalysisOutcome.FAULTY:
        return StepDecision(share_permille, verdict.rule, roll_back=True)
    if share_permille and _is_exposed(plan, share_permille, verdict):
        rule = f"{verdict.rule}, and no calls are left that it may get unproved"
        return StepDecision(share_permille, rule, roll_back=True)
    if share_permille >= FULL_PERMILLE:
        return _bake(plan, share_permille, verdict, now_s, stage_s)
    if now_s >= plan.finish_by_s:
        return _late(share_permille, verdict)
    if now_s > plan.latest_s:
        return StepDecision(
            share_permille,
            f"too little time for {MIN_BAKE_S:g} s at the last share: {verdict.rule}",
            at_risk=True,
        )
    if share_permille == 0:
        return _first(plan, now_s)
    return _raise(plan, share_permille, verdict, now_s, stage_s)


def first_permille(plan: RolloutSchedule, stage_s: float) -> int:
    """Return the first share: higher where few calls would take too long to tell anything."""
    wanted = 1000 * FIRST_STAGE_CALLS / max(1e-6, plan.calls_per_s * stage_s)
    return max(STAGES_PERMILLE[0], min(MAX_FIRST_PERMILLE, math.ceil(wanted)))


def _first(plan: RolloutSchedule, now_s: float) -> StepDecision:
    if now_s < plan.baseline_s:
        return StepDecision(0, "learning the old version's figures")
    left_s = max(0.0, plan.bake_start_s - now_s)
    share = first_permille(plan, max(MIN_STAGE_S, left_s / len(STAGES_PERMILLE)))
    while share > STAGES_PERMILLE[0] and not _is_affordable(plan, share, left_s):
        share = max(STAGES_PERMILLE[0], int(share * FINER))
    return StepDecision(share, "first share")


def _is_affordable(plan: RolloutSchedule, share_permille: int, left_s: float) -> bool:
    due_s = plan.due_s(plan.stages_above(share_permille), left_s)
    return due_s <= plan.stage_s(share_permille)


def _raise(
    plan: RolloutSchedule,
    share_permille: int,
    verdict: AnalysisResult,
    now_s: float,
    stage_s: float,
) -> StepDecision:
    stages = plan.stages_above(share_permille)
    # The time of the present share is part of what is divided, so that a late start is made up.
    due_s = plan.due_s(stages, plan.bake_start_s - now_s + stage_s)
    if stage_s < due_s and not _is_last_chance(plan, share_permille, stages[0], stage_s):
        return StepDecision(share_permille, "ahead of the schedule")
    if verdict.outcome is AnalysisOutcome.SUSPECT:
        return StepDecision(share_permille, f"held: {verdict.rule}", at_risk=stage_s > 2 * due_s)
    rule = "healthy and due by the schedule"
    if verdict.outcome is AnalysisOutcome.INSUFFICIENT:
        overdue = stage_s >= (1 + PATIENCE) * due_s or now_s + SLACK_S > plan.latest_s
        if not overdue or verdict.stage_calls < FLOOR_CALLS:
            return StepDecision(share_permille, verdict.rule, at_risk=stage_s > 2 * due_s)
        # On few calls no share is left out, however late it is.
        rule = f"{verdict.rule}, but the deadline allows no longer wait"
        return _if_allowed(plan, share_permille, stages[0], rule)
    # The bake time gives way before any share is left out.
    left_s = plan.finish_by_s - plan.margin_s - max(MIN_BAKE_S, plan.bake_s / 2) - now_s
    return _if_allowed(plan, share_permille, _next_stage(stages, left_s), rule)


def _is_exposed(plan: RolloutSchedule, share_permille: int, verdict: AnalysisResult) -> bool:
    """Tell whether the version had as many calls as it may get with what is known of it."""
    unclear = verdict.strength >= UNCLEAR_STRENGTH
    if plan.exposure.is_used_up:
        # Below the last share it can't be raised any more either.
        return unclear or share_permille < FULL_PERMILLE
    if not unclear:
        return False
    # A sign that was there before this share and fades is no fault that shows at this share.
    grows = verdict.strength > verdict.stage_strength
    return grows and not plan.exposure.allows(plan.reaction_calls(share_permille))


def _is_last_chance(
    plan: RolloutSchedule, share_permille: int, raised_permille: int, stage_s: float
) -> bool:
    """Tell whether the present share's calls would soon forbid a higher one."""
    if stage_s < MIN_STAGE_S or not plan.exposure.is_bounded:
        return False
    calls = plan.reaction_calls(share_permille) + plan.reaction_calls(raised_permille)
    return not plan.exposure.allows(calls)


def _if_allowed(
    plan: RolloutSchedule, share_permille: int, raised_permille: int, rule: str
) -> StepDecision:
    """Raise the share, unless a fault that shows only there would hit too many calls."""
    if plan.exposure.allows(plan.reaction_calls(raised_permille)):
        return StepDecision(raised_permille, rule)
    rule = f"{rule}, but {raised_permille / 10:g}% would bring too many calls if it is faulty"
    return StepDecision(share_permille, rule, at_risk=True)


def _next_stage(stages: list[int], left_s: float) -> int:
    """Return the next share; some are left out when the time doesn't do for all."""
    possible = max(1, int(left_s / MIN_STAGE_S) + 1)
    step = math.ceil(len(stages) / possible)
    return stages[min(step, len(stages)) - 1]


def _bake(
    plan: RolloutSchedule,
    share_permille: int,
    verdict: AnalysisResult,
    now_s: float,
    stage_s: float,
) -> StepDecision:
    # A move that has baked is done even when the log takes its record only after the deadline.
    if stage_s >= plan.bake_s and verdict.outcome is AnalysisOutcome.HEALTHY:
        return StepDecision(share_permille, "bake time at the last share is over", completed=True)
    end_s = plan.finish_by_s - plan.margin_s
    if now_s < end_s:
        rule = "bake time at the last share"
        if verdict.outcome is AnalysisOutcome.SUSPECT:
            rule = f"held: {verdict.rule}"
        return StepDecision(share_permille, rule)
    # The fewer the calls, the less of a sign of a fault is let pass.
    few = verdict.stage_calls < STAGE_CALLS
    limit = UNCLEAR_STRENGTH if few else SUSPECT_STRENGTH
    enough = stage_s >= MIN_BAKE_S and verdict.stage_calls >= FLOOR_CALLS
    if enough and verdict.strength < limit:
        rule = f"the deadline cut the bake time to {stage_s:.0f} s"
        return StepDecision(share_permille, rule, completed=True)
    if now_s >= plan.finish_by_s:
        return _late(share_permille, verdict)
    return StepDecision(share_permille, verdict.rule, at_risk=True)


def _late(share_permille: int, verdict: AnalysisResult) -> StepDecision:
    rule = f"the deadline passed at {share_permille / 10:g}%: {verdict.rule}"
    return StepDecision(share_permille, rule, roll_back=True)
