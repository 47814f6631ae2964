"""Schedule of a rollout's traffic shares, computed backwards from the deadline.

A margin is left before the deadline, and before it the bake time at the last traffic share. The
earlier stages get equal times, or shorter ones where they would exhaust the exposure budget.
"""

import typing as t

import msgspec

from bulrushflow.rollouts.exposure import ExposureBudget

STAGES_PERMILLE: t.Final = (10, 50, 100, 250, 500)
"""Traffic shares before the last one."""
MIN_LAST_PERMILLE = 750
"""From this value on a traffic share counts as the last one before the rollout completes."""
CONTROL_CALLS_PER_S = 2.0
"""Calls per second that stay with the old version until the end, for comparison."""
MIN_CONTROL_PERMILLE = 50
BOUNDED_CONTROL_PERMILLE = 200
"""The same under an exposure limit, where a faulty version has to be detected sooner."""
MARGIN_FRACTION = 0.05
MIN_MARGIN_S = 0.5
MAX_MARGIN_S = 60.0
BAKE_FRACTION = 0.2
"""Fraction of a rollout's time that is planned for the last traffic share."""
MIN_BAKE_S = 3.0
MIN_STAGE_S = 2.0
"""Minimum length of a stage: detecting a fault and disseminating the result take about as long."""
ROLLBACK_DELAY_S = 0.9
"""Time from the first calls at a traffic share until a fault there is rolled back everywhere."""
BASELINE_FRACTION = 0.05
MAX_BASELINE_S = 10.0
"""Maximum time to measure the call rate and the old version before the first stage."""
SCHEDULING_SLACK_S = 0.5
"""Possible delay of a step, since decisions are made periodically."""

UNBOUNDED: t.Final = ExposureBudget()


class RolloutSchedule(msgspec.Struct, frozen=True):
    """Times of a rollout in seconds since its order, the call rate, and the exposure budget."""

    finish_by_s: float
    calls_per_s: float
    exposure: ExposureBudget = UNBOUNDED
    proven: bool = False
    """Whether the new version is proven healthy, so that the exposure budget binds it no more."""
    deadline_s: float | None = None
    """End of the time in which calls count, if it is after ``finish_by_s``."""

    @property
    def margin_s(self) -> float:
        """Time left free before the deadline."""
        return max(MIN_MARGIN_S, min(MAX_MARGIN_S, MARGIN_FRACTION * self.finish_by_s))

    @property
    def bake_s(self) -> float:
        """Planned time at the last traffic share."""
        return max(MIN_BAKE_S, BAKE_FRACTION * self.finish_by_s)

    @property
    def bake_start_s(self) -> float:
        """Planned start of the last stage."""
        return self.finish_by_s - self.margin_s - self.bake_s - SCHEDULING_SLACK_S

    @property
    def latest_bake_start_s(self) -> float:
        """Latest start of the last stage."""
        return self.finish_by_s - self.margin_s - MIN_BAKE_S

    @property
    def baseline_s(self) -> float:
        """Time before the first stage."""
        return min(MAX_BASELINE_S, BASELINE_FRACTION * self.finish_by_s)

    @property
    def last_permille(self) -> int:
        """The last traffic share; the remainder stays with the old version for comparison."""
        control = 1000 * CONTROL_CALLS_PER_S / max(self.calls_per_s, 1e-6)
        least = BOUNDED_CONTROL_PERMILLE if self.exposure.is_bounded else MIN_CONTROL_PERMILLE
        kept = max(least, min(1000 - MIN_LAST_PERMILLE, round(control)))
        return 1000 - kept

    def new_calls_per_s(self, share_permille: int) -> float:
        """Return the new version's calls per second at a traffic share."""
        return self.calls_per_s * share_permille / 1000

    def calls_before_rollback(self, share_permille: int) -> float:
        """Return the number of calls that a fault affects before it is rolled back."""
        return self.new_calls_per_s(share_permille) * ROLLBACK_DELAY_S

    @property
    def test_calls(self) -> float:
        """Number of calls for the shares before the last one, under an exposure limit."""
        return self.exposure.test_calls(self.calls_before_rollback(self.last_permille))

    def calls_left(self, share_permille: int, now_s: float) -> float:
        """Return the number of calls up to the deadline at a traffic share."""
        end_s = self.finish_by_s if self.deadline_s is None else self.deadline_s
        return self.new_calls_per_s(share_permille) * max(0.0, end_s - now_s)

    def is_covered(self, share_permille: int, now_s: float) -> bool:
        """Return whether the budget lasts at a share until the rollout ends, and then for all."""
        end_s = self.finish_by_s - self.margin_s
        calls = self.new_calls_per_s(share_permille) * max(0.0, end_s - now_s)
        return self.exposure.allows(calls + self.calls_left(1000, end_s))

    def stages_above(self, share_permille: int) -> list[int]:
        """Return the traffic shares that may follow one, including the last."""
        # A stage barely above the current share would only cost time.
        stages = [s for s in STAGES_PERMILLE if s >= 1.5 * share_permille and s > share_permille]
        if self.exposure.is_bounded:
            # Each stage consumes calls of the budget; the highest one it allows shows the most.
            stages = [s for s in stages if self._leaves_calls_for_last_stage(s)][-1:]
        return [*stages, self.last_permille]

    def _leaves_calls_for_last_stage(self, share_permille: int) -> bool:
        """Return whether the shortest stage at a share leaves calls for the last stage."""
        calls = self.new_calls_per_s(share_permille) * MIN_STAGE_S
        calls += self.calls_before_rollback(share_permille)
        return self.exposure.allows(calls + self.calls_before_rollback(self.last_permille))

    def max_stage_s(self, share_permille: int) -> float:
        """Return the maximum time at a traffic share before the last one."""
        calls = self.exposure.calls_per_stage(self.calls_before_rollback(self.last_permille))
        return calls / max(1e-6, self.new_calls_per_s(share_permille))

    def planned_stage_s(self, stages: list[int], left_s: float) -> float:
        """Return the planned time of the current stage if ``stages`` follow in the time left."""
        equal_s = left_s / len(stages)
        later_s = sum(min(equal_s, self.max_stage_s(stage)) for stage in stages[:-1])
        return max(MIN_STAGE_S, left_s - later_s)
