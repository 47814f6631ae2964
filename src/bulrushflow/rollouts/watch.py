"""Watches a version after its rollout, when no other version is left to compare it with.

A fault of the version shows at most of its targets. The half of the targets with the most errors is
left out, so that faults of single targets don't count.
"""

import typing as t

from bulrushflow.rollouts.analysis import NO_SIGNAL
from bulrushflow.rollouts.analysis import UNCLEAR_STRENGTH
from bulrushflow.rollouts.comparison import RegressionSignal
from bulrushflow.rollouts.evidence import Evidence
from bulrushflow.rollouts.evidence import Source
from bulrushflow.rollouts.sequential import MAX_UNCONTROLLED_LOG_RATIO
from bulrushflow.rollouts.sequential import ChangeDetector
from bulrushflow.rollouts.sequential import Sample

BLOCK_S = 1.0
"""Length of a block, in which each node with new errors reports at least once."""
MAX_REPORT_INTERVAL_S = 6.0
"""Time in which each node whose target gets calls reports new counts."""
ERROR_TOLERANCE = 0.05
"""Fraction of the calls by which errors may increase."""
NO_CALLS: t.Final = Sample(0, 0)


class _RouteWatch:
    """Errors on one route, against their rate until now."""

    __slots__ = ("_calls", "_detector", "_errors")

    def __init__(self) -> None:
        self._calls = 0.0
        self._errors = 0.0
        self._detector = ChangeDetector(0.0, MAX_UNCONTROLLED_LOG_RATIO, ERROR_TOLERANCE)

    @property
    def signal(self) -> RegressionSignal:
        """Strength of the increase, and the figures before it."""
        figures = f"{self._errors:g}/{self._calls:g} errors before"
        return RegressionSignal(self._detector.strength, "more errors after completion", figures)

    def add(self, block: Sample) -> None:
        """Add a block; one that may show a fault doesn't count as the usual rate."""
        expected = (self._errors + 0.05) / (self._calls + 5)
        self._detector.add(NO_CALLS, block, expected)
        if self._detector.strength < UNCLEAR_STRENGTH:
            self.add_usual(block)

    def add_usual(self, calls: Sample) -> None:
        """Add calls from which the usual rate of errors is learnt."""
        self._calls += calls.calls
        self._errors += calls.bad


class CompletedRolloutWatch:
    """Detects that a version with all of its service's calls has become faulty.

    :param version: the version.
    :param now_s: this node's monotonic clock.
    """

    __slots__ = (
        "_active_until_by_source",
        "_block_started_s",
        "_counted",
        "_started_s",
        "_version",
        "_watches_by_route",
    )

    def __init__(self, version: str, now_s: float) -> None:
        self._version = version
        self._started_s = now_s
        self._active_until_by_source: dict[Source, float] = {}
        # What was counted until now is read at the first update.
        self._block_started_s = now_s - BLOCK_S
        self._counted: dict[tuple[Source, str], Sample] = {}
        """Calls and errors of each node on each route at the end of the last block."""
        self._watches_by_route: dict[str, _RouteWatch] = {}

    def update(
        self, reports: t.Iterable[Evidence], target_count: int, now_s: float
    ) -> tuple[RegressionSignal, str]:
        """Update with each node's cumulative counts; return the strongest signal and its route.

        :param target_count: available targets of the version.
        """
        if now_s - self._block_started_s >= BLOCK_S:
            self._block_started_s = now_s
            samples_by_route = self._new_samples(reports, now_s)
            left_out = self._active_target_count(target_count, now_s) // 2
            for route, samples in samples_by_route.items():
                block = _least_faulty(samples, left_out)
                if block.calls:
                    self._watches_by_route.setdefault(route, _RouteWatch()).add(block)
        signals = [(watch.signal, route) for route, watch in self._watches_by_route.items()]
        return max(signals, key=lambda signal: signal[0].strength, default=(NO_SIGNAL, ""))

    def _active_target_count(self, target_count: int, now_s: float) -> int:
        """Return how many targets get calls; those without a new report have no new errors.

        At first not all of them have reported yet. Later, targets that ended don't count.
        """
        self._active_until_by_source = {
            source: until for source, until in self._active_until_by_source.items() if until > now_s
        }
        active = len(self._active_until_by_source)
        if now_s - self._started_s < MAX_REPORT_INTERVAL_S:
            return max(active, target_count)
        return active

    def _new_samples(self, reports: t.Iterable[Evidence], now_s: float) -> dict[str, list[Sample]]:
        """Return each node's calls and errors since the last block, by route."""
        samples_by_route: dict[str, list[Sample]] = {}
        for report in reports:
            for (version, route), counts in report.counts_by_version_route.items():
                if version != self._version:
                    continue
                key = (report.source, route)
                total = Sample(counts.calls, counts.errors)
                before = self._counted.get(key)
                self._counted[key] = total
                if before is None:
                    # The first report covers the time of the rollout, which was analysed.
                    self._watches_by_route.setdefault(route, _RouteWatch()).add_usual(total)
                    continue
                new = Sample(total.calls - before.calls, total.bad - before.bad)
                if new.calls > 0:
                    self._active_until_by_source[report.source] = now_s + MAX_REPORT_INTERVAL_S
                    samples_by_route.setdefault(route, []).append(new)
        return samples_by_route


def _least_faulty(samples: list[Sample], left_out: int) -> Sample:
    """Return the sum of the samples without the ``left_out`` ones with the most errors."""
    by_error_rate = sorted(samples, key=lambda sample: sample.bad / sample.calls, reverse=True)
    kept = by_error_rate[left_out:]
    return Sample(sum(sample.calls for sample in kept), sum(sample.bad for sample in kept))
