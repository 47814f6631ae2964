"""One node's analysis and decisions for one rollout; evidence and times are passed in."""

import msgspec
from msgspec.structs import replace

from bulrushflow.rollouts.analysis import AnalysisOutcome
from bulrushflow.rollouts.analysis import AnalysisResult
from bulrushflow.rollouts.analysis import CanaryAnalysis
from bulrushflow.rollouts.bounded_steps import decide_bounded_step
from bulrushflow.rollouts.evidence import RouteCounts
from bulrushflow.rollouts.evidence import VersionRoute
from bulrushflow.rollouts.exposure import CallRate
from bulrushflow.rollouts.exposure import ExposureBudget
from bulrushflow.rollouts.exposure import ExposureLimits
from bulrushflow.rollouts.health import HealthSamples
from bulrushflow.rollouts.health import detectable_effect
from bulrushflow.rollouts.health import health_samples
from bulrushflow.rollouts.schedule import RolloutSchedule
from bulrushflow.rollouts.steps import StepDecision
from bulrushflow.rollouts.steps import decide_step

REPORT_DELAY_S = 0.5
"""Age of the nodes' reports: they are sent every 0.25 s, and read up to 0.25 s later."""


class RolloutTimes(msgspec.Struct, frozen=True):
    """Order time and deadline of a rollout in epoch milliseconds."""

    stated_at_ms: int
    finish_by_ms: int

    margin_s: float = 0.0
    """Time after ``finish_by_ms`` in which calls count as exposure."""

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
        "_call_rate",
        "_calls_per_s",
        "_from_version",
        "_given",
        "_health",
        "_limits",
        "_share_permille",
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
        self._from_version = from_version
        self._to_version = to_version
        self._limits = limits
        self._given = 0
        self._health = HealthSamples()
        self._share_permille = 0
        self._analysis = CanaryAnalysis(from_version, to_version, now_s)
        self._times = times
        self._calls_per_s = 0.0
        self._call_rate = CallRate()
        self.latest_result = AnalysisResult(
            AnalysisOutcome.INSUFFICIENT, "too few calls", "0 calls"
        )

    def update_analysis(
        self,
        totals: dict[VersionRoute, RouteCounts],
        share_permille: int,
        now_s: float,
        given: int = 0,
    ) -> AnalysisResult:
        """Update the analysis with the current totals, and return its result.

        :param now_s: this node's monotonic clock.
        :param given: calls to the new version that were sent to its targets, ended or not.
        """
        self.latest_result = self._analysis.update(totals, share_permille, now_s)
        self._calls_per_s = self._analysis.calls_per_s(totals, now_s)
        self._call_rate.update(sum(counts.calls for counts in totals.values()), now_s)
        new = _sum_of_routes(totals, self._to_version)
        self._health = health_samples(new, _sum_of_routes(totals, self._from_version))
        self._given = max(given, new.calls)
        self._share_permille = share_permille
        return self.latest_result

    def next_step(self, share_permille: int, now_ms: int, now_s: float) -> StepDecision:
        """Return the decision on the next step, for the node that drives the rollout.

        :param now_ms: epoch milliseconds, compared with the deadline.
        """
        elapsed_s = (now_ms - self._times.stated_at_ms) / 1000
        stage_s = now_s - self._analysis.stage_started_s
        if self._limits is None:
            schedule = RolloutSchedule(self._times.span_s, self._calls_per_s)
            return decide_step(schedule, share_permille, self.latest_result, elapsed_s, stage_s)
        schedule = self._bounded_schedule(self._limits, elapsed_s)
        return decide_bounded_step(schedule, share_permille, self.latest_result, elapsed_s, stage_s)

    def _bounded_schedule(self, limits: ExposureLimits, elapsed_s: float) -> RolloutSchedule:
        span_s = self._times.span_s
        deadline_s = span_s + self._times.margin_s
        rate = self._call_rate.calls_per_s or self._calls_per_s
        elapsed_share = min(1.0, max(0.0, elapsed_s / deadline_s))
        expected = self._call_rate.expected_per_s(elapsed_share) or self._calls_per_s
        limit = limits.max_calls(expected, deadline_s)
        # Calls that were given since the last reports of the nodes that give them.
        unreported = rate * self._share_permille / 1000 * REPORT_DELAY_S
        budget = ExposureBudget(limit, self._given + round(unreported))
        schedule = RolloutSchedule(span_s, rate, budget, deadline_s=deadline_s)
        effect = detectable_effect(schedule.test_calls)
        return replace(schedule, proven=self._health.excludes(effect))


def _sum_of_routes(totals: dict[VersionRoute, RouteCounts], wanted: str) -> RouteCounts:
    counts = RouteCounts()
    for (version, _), of_route in totals.items():
        if version == wanted:
            counts.add(of_route)
    return counts
