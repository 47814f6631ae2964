"""One node's analysis and decisions for one rollout; evidence and times are passed in."""

import msgspec

from bulrushflow.rollouts.analysis import AnalysisOutcome
from bulrushflow.rollouts.analysis import AnalysisResult
from bulrushflow.rollouts.analysis import CanaryAnalysis
from bulrushflow.rollouts.evidence import RouteCounts
from bulrushflow.rollouts.evidence import VersionRoute
from bulrushflow.rollouts.exposure import ExposureBudget
from bulrushflow.rollouts.exposure import ExposureLimits
from bulrushflow.rollouts.schedule import RolloutSchedule
from bulrushflow.rollouts.steps import StepDecision
from bulrushflow.rollouts.steps import decide_step


class RolloutTimes(msgspec.Struct, frozen=True):
    """Order time and deadline of a rollout in epoch milliseconds."""

    stated_at_ms: int
    finish_by_ms: int

    @property
    def span_s(self) -> float:
        """Time from the order to the deadline in seconds."""
        return (self.finish_by_ms - self.stated_at_ms) / 1000


class RolloutController:
    """Analyses the new version, and decides on steps where this node drives the rollout.

    :param limits: limit the calls of a version not yet proven healthy; ``None`` means no limit.
    """

    __slots__ = (
        "_analysis",
        "_calls_per_s",
        "_limits",
        "_new_calls",
        "_times",
        "_to_version",
        "latest_result",
    )

    def __init__(
        self,
        from_version: str,
        to_version: str,
        times: RolloutTimes,
        now_s: float,
        limits: ExposureLimits | None = None,
    ) -> None:
        self._to_version = to_version
        self._limits = limits
        self._new_calls = 0
        self._analysis = CanaryAnalysis(from_version, to_version, now_s)
        self._times = times
        self._calls_per_s = 0.0
        self.latest_result = AnalysisResult(
            AnalysisOutcome.INSUFFICIENT, "too few calls", "0 calls"
        )

    def update_analysis(
        self, totals: dict[VersionRoute, RouteCounts], share_permille: int, now_s: float
    ) -> AnalysisResult:
        """Update the analysis with the current totals, and return its result.

        :param now_s: this node's monotonic clock.
        """
        self.latest_result = self._analysis.update(totals, share_permille, now_s)
        self._calls_per_s = self._analysis.calls_per_s(totals, now_s)
        self._new_calls = sum(
            counts.calls for (version, _), counts in totals.items() if version == self._to_version
        )
        return self.latest_result

    def next_step(self, share_permille: int, now_ms: int, now_s: float) -> StepDecision:
        """Return the decision on the next step, for the node that drives the rollout.

        :param now_ms: epoch milliseconds, compared with the deadline.
        """
        schedule = RolloutSchedule(self._times.span_s, self._calls_per_s, self._exposure_budget())
        elapsed_s = (now_ms - self._times.stated_at_ms) / 1000
        stage_s = now_s - self._analysis.stage_started_s
        return decide_step(schedule, share_permille, self.latest_result, elapsed_s, stage_s)

    def _exposure_budget(self) -> ExposureBudget:
        if self._limits is None:
            return ExposureBudget()
        limit = self._limits.max_calls(self._calls_per_s, self._times.span_s)
        return ExposureBudget(limit, self._new_calls)
