"""Latencies of both versions without those of targets that are slow by themselves.

Load: some targets of the old version run many times slower, beside a new version that is slower
for a part of its calls. Compared with all old calls, the new version is no slower. A fault of the
version shows at each of its targets, so a target that is slower than the others of its version says
nothing about the version, neither of the old nor of the new one.
"""

import math
import typing as t

from bulrushflow.rollouts.evidence import Evidence
from bulrushflow.rollouts.evidence import RouteCounts
from bulrushflow.rollouts.evidence import Source
from bulrushflow.rollouts.evidence import VersionRoute
from bulrushflow.rollouts.evidence import empty_buckets

WINDOW_S = 0.5
"""Interval at which targets are compared; those of the old version report once a second."""
HALF_LIFE_S = 2.0
"""Half-life of the latencies that the median is taken of, since load changes within seconds."""
SLOW_BUCKETS = 3
"""A call is slow if it is more than this many buckets above the median, 3.4 times slower."""
USUAL_SLOW_RATE = 0.1
"""Least fraction of slow calls that is expected of any target."""
OUTLIER_SLOW_RATE = 0.6
"""Fraction of slow calls of a target that is slow by itself."""
OUTLIER_LOG_RATIO = math.log(1000)
"""Log likelihood ratio from which a target counts as slow by itself."""
UNCLEAR_LOG_RATIO = math.log(5)
"""The same from which a target's calls wait until it is clear, at most :data:`MAX_WAIT_S`."""
MAX_LOG_RATIO = 2 * OUTLIER_LOG_RATIO
"""Bound, so that a target is soon used again once it is as fast as the others."""
MAX_WAIT_S = 2.0

Latencies = dict[str, RouteCounts]
"""Counts by route, of which only the latency fields are used."""


class _TargetLatencies:
    """Latencies of one version's calls to one target, and whether it is slow by itself."""

    __slots__ = ("log_ratio", "seen_by_route", "waiting_by_route", "waiting_since")

    def __init__(self) -> None:
        self.seen_by_route: Latencies = {}
        self.waiting_by_route: Latencies = {}
        self.waiting_since = 0.0
        self.log_ratio = 0.0

    def take_new(self, counts_by_route: t.Mapping[str, RouteCounts]) -> Latencies:
        """Return the latencies since the last time."""
        new_by_route: Latencies = {}
        for route, counts in counts_by_route.items():
            seen = self.seen_by_route.get(route) or RouteCounts()
            if sum(counts.latency_buckets) > sum(seen.latency_buckets):
                new_by_route[route] = _latencies_since(counts, seen)
                self.seen_by_route[route] = _latencies_since(counts, RouteCounts())
        return new_by_route

    def test(self, slow: int, calls: int, usual_rate: float) -> None:
        """Test whether the target is slow by itself, by its calls in one window."""
        if usual_rate >= OUTLIER_SLOW_RATE:
            return
        log_ratio = slow * math.log(OUTLIER_SLOW_RATE / usual_rate)
        log_ratio += (calls - slow) * math.log((1 - OUTLIER_SLOW_RATE) / (1 - usual_rate))
        self.log_ratio = min(MAX_LOG_RATIO, max(0.0, self.log_ratio + log_ratio))

    def release(self, now_s: float) -> Latencies:
        """Return the latencies that are known to be of a usual target; the others wait."""
        is_outlier = self.log_ratio >= OUTLIER_LOG_RATIO
        waits = now_s - self.waiting_since < MAX_WAIT_S and self.log_ratio >= UNCLEAR_LOG_RATIO
        if waits and not is_outlier:
            return {}
        waiting, self.waiting_by_route = self.waiting_by_route, {}
        return {} if is_outlier else waiting


class _VersionLatencies:
    """Latencies of the usual targets of one version."""

    __slots__ = ("_recent_by_route", "_targets_by_source", "usual_by_route")

    def __init__(self) -> None:
        self._targets_by_source: dict[Source, _TargetLatencies] = {}
        self._recent_by_route: dict[str, list[float]] = {}
        self.usual_by_route: Latencies = {}

    def update(self, reports: t.Mapping[Source, Latencies], now_s: float, elapsed_s: float) -> None:
        """Compare the targets by what they reported since the last window."""
        new_by_source: dict[Source, Latencies] = {}
        for source, counts_by_route in reports.items():
            target = self._targets_by_source.setdefault(source, _TargetLatencies())
            new = target.take_new(counts_by_route)
            if not new:
                continue
            new_by_source[source] = new
            if not target.waiting_by_route:
                target.waiting_since = now_s
            _add_all(target.waiting_by_route, new)
        self._add_recent(new_by_source.values(), 0.5 ** (elapsed_s / HALF_LIFE_S))
        self._test_targets(new_by_source)
        for target in self._targets_by_source.values():
            _add_all(self.usual_by_route, target.release(now_s))

    def _add_recent(self, added: t.Iterable[Latencies], decay_factor: float) -> None:
        for buckets in self._recent_by_route.values():
            buckets[:] = [count * decay_factor for count in buckets]
        for latencies in added:
            for route, counts in latencies.items():
                recent = self._recent_by_route.setdefault(route, [0.0] * len(empty_buckets()))
                for i, count in enumerate(counts.latency_buckets):
                    recent[i] += count

    def _test_targets(self, new_by_source: t.Mapping[Source, Latencies]) -> None:
        first_slow = {route: _first_slow(recent) for route, recent in self._recent_by_route.items()}
        samples = {source: _slow_sample(new, first_slow) for source, new in new_by_source.items()}
        usual_rate = max(USUAL_SLOW_RATE, _median_rate(samples.values()))
        for source, (slow, calls) in samples.items():
            self._targets_by_source[source].test(slow, calls, usual_rate)


class UsualLatencies:
    """Sums the nodes' evidence, with the latencies of both versions' usual targets only.

    What a target did while it was slow by itself is left out of the latency fields, not out of the
    calls and errors.
    """

    __slots__ = ("_updated_s", "_versions")

    def __init__(self) -> None:
        self._updated_s = float("-inf")
        self._versions: dict[str, _VersionLatencies] = {}

    def totals(
        self, reports: t.Collection[Evidence], now_s: float
    ) -> dict[VersionRoute, RouteCounts]:
        """Return the counts summed over all nodes.

        :param reports: the newest evidence of each node's process.
        :param now_s: this node's monotonic clock.
        """
        elapsed_s = now_s - self._updated_s
        if elapsed_s >= WINDOW_S:
            self._updated_s = now_s
            self._update(reports, now_s, elapsed_s)
        totals: dict[VersionRoute, RouteCounts] = {}
        for report in reports:
            for key, counts in report.counts_by_version_route.items():
                totals.setdefault(key, RouteCounts()).add(counts)
        for (version, route), counts in totals.items():
            latencies = self._versions.get(version)
            usual = latencies.usual_by_route.get(route) if latencies is not None else None
            _replace_latencies(counts, usual or RouteCounts())
        return totals

    def _update(self, reports: t.Iterable[Evidence], now_s: float, elapsed_s: float) -> None:
        by_version: dict[str, dict[Source, Latencies]] = {}
        for report in reports:
            for (version, route), counts in report.counts_by_version_route.items():
                by_source = by_version.setdefault(version, {})
                by_source.setdefault(report.source, {})[route] = counts
        for version, by_source in by_version.items():
            latencies = self._versions.setdefault(version, _VersionLatencies())
            latencies.update(by_source, now_s, elapsed_s)


def _add_all(sums: Latencies, added: Latencies) -> None:
    for route, counts in added.items():
        sums.setdefault(route, RouteCounts()).add(counts)


def _latencies_since(later: RouteCounts, earlier: RouteCounts) -> RouteCounts:
    buckets = zip(later.latency_buckets, earlier.latency_buckets, strict=True)
    return RouteCounts(
        latency_sum_s=later.latency_sum_s - earlier.latency_sum_s,
        latency_square_sum=later.latency_square_sum - earlier.latency_square_sum,
        latency_buckets=[a - b for a, b in buckets],
    )


def _replace_latencies(counts: RouteCounts, latencies: RouteCounts) -> None:
    counts.latency_sum_s = latencies.latency_sum_s
    counts.latency_square_sum = latencies.latency_square_sum
    counts.latency_buckets = list(latencies.latency_buckets)


def _first_slow(buckets: t.Sequence[float]) -> int:
    """Return the first bucket that counts as slow beside these latencies."""
    half = sum(buckets) / 2
    below = 0.0
    for i, count in enumerate(buckets):
        below += count
        if below >= half:
            return i + 1 + SLOW_BUCKETS
    return len(buckets)


def _slow_sample(latencies: Latencies, first_slow_by_route: t.Mapping[str, int]) -> tuple[int, int]:
    """Return the slow calls of one target, and all."""
    slow = calls = 0
    for route, counts in latencies.items():
        calls += sum(counts.latency_buckets)
        slow += sum(counts.latency_buckets[first_slow_by_route[route] :])
    return slow, calls


def _median_rate(samples: t.Collection[tuple[int, int]]) -> float:
    """Return the median of the targets' fractions of slow calls, weighted by their calls."""
    half = sum(calls for _, calls in samples) / 2
    below = 0
    for slow, calls in sorted(samples, key=lambda sample: sample[0] / sample[1]):
        below += calls
        if below >= half:
            return slow / calls
    return 0.0
