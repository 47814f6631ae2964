"""The plan of a move: its times and shares, worked out backwards from the deadline.

A margin is kept before the deadline, then the bake time at the last share. The shares before it
have equal times, or shorter ones where their calls would use up what an unproved version may get.
"""

import typing as t
from dataclasses import dataclass

from bulrushflow.rollouts.exposure import ExposureBudget

STAGES_PERMILLE: t.Final = (10, 50, 100, 250, 500)
"""Shares before the last one."""
MIN_LAST_PERMILLE = 750
"""From here on a share counts as the last one before the move is done."""
CONTROL_CALLS_PER_S = 2.0
"""Calls a second that stay with the old version until the end, to compare with."""
MIN_CONTROL_PERMILLE = 50
BOUNDED_CONTROL_PERMILLE = 200
"""The same where a faulty version may get few calls, and so has to be told sooner."""
MARGIN_FRACTION = 0.05
MIN_MARGIN_S = 0.5
MAX_MARGIN_S = 60.0
BAKE_FRACTION = 0.2
"""Part of a move's time that is kept at the last share before it is done."""
MIN_BAKE_S = 3.0
MIN_STAGE_S = 2.0
"""Shortest time at one share: detection and the spreading of its outcome take about as long."""
ROLLBACK_DELAY_S = 0.9
"""Time from the first calls at a share until a fault that shows there is taken back everywhere."""
BASELINE_FRACTION = 0.05
MAX_BASELINE_S = 10.0
"""Longest time to learn the rate of calls and the old version's figures before the first share."""
SCHEDULING_SLACK_S = 0.5
"""Time by which a step may come late because decisions are taken periodically."""

UNBOUNDED: t.Final = ExposureBudget()


@dataclass(frozen=True, slots=True)
class RolloutSchedule:
    """A move's times in seconds since it was stated, the service's calls, and their exposure."""

    finish_by_s: float
    calls_per_s: float
    exposure: ExposureBudget = UNBOUNDED

    @property
    def margin_s(self) -> float:
        """Time kept free before the deadline."""
        return max(MIN_MARGIN_S, min(MAX_MARGIN_S, MARGIN_FRACTION * self.finish_by_s))

    @property
    def bake_s(self) -> float:
        """Time planned at the last share."""
        return max(MIN_BAKE_S, BAKE_FRACTION * self.finish_by_s)

    @property
    def bake_start_s(self) -> float:
        """Planned start of the last share."""
        return self.finish_by_s - self.margin_s - self.bake_s - SCHEDULING_SLACK_S

    @property
    def latest_bake_start_s(self) -> float:
        """Latest start of the last share."""
        return self.finish_by_s - self.margin_s - MIN_BAKE_S

    @property
    def baseline_s(self) -> float:
        """Time before the first share."""
        return min(MAX_BASELINE_S, BASELINE_FRACTION * self.finish_by_s)

    @property
    def last_permille(self) -> int:
        """The last share; what is missing to the whole stays with the old version to compare."""
        control = 1000 * CONTROL_CALLS_PER_S / max(self.calls_per_s, 1e-6)
        least = BOUNDED_CONTROL_PERMILLE if self.exposure.is_bounded else MIN_CONTROL_PERMILLE
        kept = max(least, min(1000 - MIN_LAST_PERMILLE, round(control)))
        return 1000 - kept

    def new_calls_per_s(self, share_permille: int) -> float:
        """Return the new version's calls a second at a share."""
        return self.calls_per_s * share_permille / 1000

    def calls_before_rollback(self, share_permille: int) -> float:
        """Return the calls that a fault at a share hits before it is taken back."""
        return self.new_calls_per_s(share_permille) * ROLLBACK_DELAY_S

    def stages_above(self, share_permille: int) -> list[int]:
        """Return the shares that may follow one, the last one included."""
        # A stage that is hardly above the present share would only cost time.
        stages = [s for s in STAGES_PERMILLE if s >= 1.5 * share_permille and s > share_permille]
        if self.exposure.is_bounded:
            # Each share costs calls without proof: the highest that can be paid tells most.
            stages = [s for s in stages if self._leaves_calls_for_last_stage(s)][-1:]
        return [*stages, self.last_permille]

    def _leaves_calls_for_last_stage(self, share_permille: int) -> bool:
        """Tell whether calls are left for the last share after a share of the shortest time."""
        calls = self.new_calls_per_s(share_permille) * MIN_STAGE_S
        calls += self.calls_before_rollback(share_permille)
        return self.exposure.allows(calls + self.calls_before_rollback(self.last_permille))

    def max_stage_s(self, share_permille: int) -> float:
        """Return the longest time at a share before the last one."""
        calls = self.exposure.calls_per_stage(self.calls_before_rollback(self.last_permille))
        return calls / max(1e-6, self.new_calls_per_s(share_permille))

    def planned_stage_s(self, stages: list[int], left_s: float) -> float:
        """Return the time for the present share, when ``stages`` follow within the time left."""
        equal_s = left_s / len(stages)
        later_s = sum(min(equal_s, self.max_stage_s(stage)) for stage in stages[:-1])
        return max(MIN_STAGE_S, left_s - later_s)
