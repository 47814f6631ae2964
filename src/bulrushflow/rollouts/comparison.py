"""Compares the calls to the old and the new version on one route, block by block."""

import typing as t

import msgspec

from bulrushflow.rollouts.evidence import FailureKind
from bulrushflow.rollouts.evidence import RouteCounts
from bulrushflow.rollouts.evidence import empty_buckets
from bulrushflow.rollouts.sequential import MAX_UNCONTROLLED_LOG_RATIO
from bulrushflow.rollouts.sequential import ChangeDetector
from bulrushflow.rollouts.sequential import Sample

MIN_BLOCK_S = 0.5
"""Minimum length of a block, which normally also needs calls to both versions."""
MAX_BLOCK_S = 5.0
"""A block with calls to both versions is closed after this time, however few the old one had."""
MAX_ONE_SIDED_BLOCK_S = 20.0
"""A block without calls to one of the versions is closed after this time."""
MAX_BUSY_BLOCK_S = 1.2
"""A block with :data:`BUSY_BLOCK_CALLS` is closed after this time, however few calls the old
version had. Nodes report the old version's calls once a second."""
BUSY_BLOCK_CALLS = 10
"""Calls to the new version that are enough to detect a fault without calls to the old one."""
MIN_CONTROL_CALLS = 3
"""Calls to the old version that close a block before :data:`MAX_BLOCK_S`."""
HALF_LIFE_S = 30.0
"""Half-life of the old version's counts; see :data:`MIN_RETAINED_CALLS`."""
MIN_RETAINED_CALLS = 400.0
"""The old version's counts are not decayed below this number of calls."""
MIN_HISTORY_CALLS = 20
"""Calls to the old version that are needed to use its latency quantiles."""
ERROR_TOLERANCE = 0.005
SLOW_TOLERANCE = 0.05
COMPARED_KINDS: t.Final = (FailureKind.RETURNED, FailureKind.UNANSWERED)
"""Kinds of failure that are compared with their own kind only."""
TYPICAL_QUANTILE = 0.5
TAIL_QUANTILE = 0.95
SLOW_BUCKET_MARGIN = 1
"""A call is slow if it is more than this many buckets above the old version's quantile."""
SLOWER: t.Final = "slower than the old version"


class _DecayedRate(msgspec.Struct):
    """Exponentially decayed calls, and how many of them failed in one way."""

    calls: float = 0.0
    bad: float = 0.0

    def add(self, sample: Sample, decay_factor: float) -> None:
        self.calls = self.calls * decay_factor + sample.calls
        self.bad = self.bad * decay_factor + sample.bad

    def value(self) -> float:
        return (self.bad + 0.05) / (self.calls + 5)


class _History(msgspec.Struct):
    """Exponentially decayed counts of the old version."""

    calls: float = 0.0
    errors: _DecayedRate = msgspec.field(default_factory=_DecayedRate)
    rates_by_kind: dict[FailureKind, _DecayedRate] = msgspec.field(
        default_factory=lambda: {kind: _DecayedRate() for kind in COMPARED_KINDS}
    )
    latency_buckets: list[float] = msgspec.field(
        default_factory=lambda: [0.0] * len(empty_buckets())
    )

    def add(self, block: RouteCounts, elapsed_s: float) -> None:
        calls = block.calls
        decay_factor = 0.5 ** (elapsed_s / HALF_LIFE_S)
        if self.calls:
            decay_factor = max(decay_factor, min(1.0, (MIN_RETAINED_CALLS - calls) / self.calls))
        self.calls = self.calls * decay_factor + calls
        self.errors.add(Sample(calls, block.errors), decay_factor)
        for kind, rate in self.rates_by_kind.items():
            rate.add(_sample_of_kind(block, kind), decay_factor)
        for i, count in enumerate(block.latency_buckets):
            self.latency_buckets[i] = self.latency_buckets[i] * decay_factor + count

    def first_slow_bucket(self, quantile: float) -> int | None:
        """Return the first bucket that counts as slow, ``None`` if there are too few calls."""
        total = sum(self.latency_buckets)
        if total < MIN_HISTORY_CALLS:
            return None
        below = 0.0
        for i, count in enumerate(self.latency_buckets):
            below += count
            if below >= quantile * total:
                return i + 1 + SLOW_BUCKET_MARGIN
        return None

    def slow_rate(self, first_slow_bucket: int) -> float:
        return sum(self.latency_buckets[first_slow_bucket:]) / sum(self.latency_buckets)


class RegressionSignal(msgspec.Struct, frozen=True):
    """An indication on one route that the new version is worse than the old one.

    From a ``strength`` of 1 on the new version counts as faulty. ``figures`` are totals since the
    rollout began.
    """

    strength: float
    rule: str
    figures: str


def slow_call_detectors() -> dict[float, ChangeDetector]:
    """Return a detector of slow calls for each quantile that is compared."""
    return {q: ChangeDetector(SLOW_TOLERANCE) for q in (TYPICAL_QUANTILE, TAIL_QUANTILE)}


class RouteComparison:
    """Compares errors and slow calls of the new version with those of the old one.

    :param slow_on_all_routes: detectors that also get the blocks of the service's other routes.
    """

    __slots__ = (
        "_block_started_s",
        "_errors",
        "_errors_by_kind",
        "_history",
        "_new",
        "_old",
        "_slow",
        "_slow_on_all_routes",
    )

    def __init__(self, now_s: float, slow_on_all_routes: dict[float, ChangeDetector]) -> None:
        self._block_started_s = now_s
        self._old = RouteCounts()
        self._new = RouteCounts()
        self._history = _History()
        self._errors = ChangeDetector(ERROR_TOLERANCE, MAX_UNCONTROLLED_LOG_RATIO)
        self._errors_by_kind = {
            kind: ChangeDetector(ERROR_TOLERANCE, MAX_UNCONTROLLED_LOG_RATIO)
            for kind in COMPARED_KINDS
        }
        self._slow = slow_call_detectors()
        self._slow_on_all_routes = slow_on_all_routes

    def strongest_signal(self) -> RegressionSignal:
        """Return the strongest regression signal."""
        new, old = self._new, self._old
        slow = max(detector.strength for detector in self._slow.values())
        errors = self._errors_signal()
        if errors.strength >= slow:
            return errors
        figures = f"mean {_mean_ms(new):.0f} ms, old {_mean_ms(old):.0f} ms"
        return RegressionSignal(slow, SLOWER, figures)

    def _errors_signal(self) -> RegressionSignal:
        """Return the strongest signal of errors: of one kind, or of all where it is as strong."""
        new, old, strength = self._new, self._old, self._errors.strength
        kind, detector = max(self._errors_by_kind.items(), key=lambda item: item[1].strength)
        rule = "more errors than the old version"
        if strength >= detector.strength:
            figures = f"{new.errors}/{new.calls} errors, old {old.errors}/{old.calls}"
            return RegressionSignal(strength, rule, figures)
        new_sample, old_sample = _sample_of_kind(new, kind), _sample_of_kind(old, kind)
        figures = (
            f"{new_sample.bad:g}/{new_sample.calls:g} errors {kind.value}, "
            f"old {old_sample.bad:g}/{old_sample.calls:g}"
        )
        return RegressionSignal(detector.strength, rule, figures)

    def update(self, old: RouteCounts, new: RouteCounts, now_s: float) -> None:
        """Update with cumulative counts, and close the current block if it is due."""
        age_s = now_s - self._block_started_s
        if age_s < MIN_BLOCK_S:
            return
        old_calls = old.calls - self._old.calls
        new_calls = new.calls - self._new.calls
        if not _is_block_due(old_calls, new_calls, age_s):
            return
        old_block = _difference(old, self._old)
        if new_calls:
            self._compare(old_block, _difference(new, self._new))
        self._history.add(old_block, age_s)
        self._block_started_s = now_s
        self._old = _copy(old)
        self._new = _copy(new)

    def _compare(self, old: RouteCounts, new: RouteCounts) -> None:
        """Compare the calls of one block."""
        old_errors, new_errors = Sample(old.calls, old.errors), Sample(new.calls, new.errors)
        self._errors.add(old_errors, new_errors, self._history.errors.value())
        # Nodes of the earlier release don't tell kinds apart; what they alone saw isn't compared.
        if new.classified and (old.classified or not old.calls):
            for kind, detector in self._errors_by_kind.items():
                expected = self._history.rates_by_kind[kind].value()
                detector.add(_sample_of_kind(old, kind), _sample_of_kind(new, kind), expected)
        self._compare_latencies(old.latency_buckets, new.latency_buckets)

    def _compare_latencies(self, old_buckets: list[int], new_buckets: list[int]) -> None:
        new_total = sum(new_buckets)
        if not new_total:
            return
        old_total = sum(old_buckets)
        for quantile, detector in self._slow.items():
            first_slow_bucket = self._history.first_slow_bucket(quantile)
            if first_slow_bucket is None:
                return
            old_slow = Sample(old_total, sum(old_buckets[first_slow_bucket:]))
            new_slow = Sample(new_total, sum(new_buckets[first_slow_bucket:]))
            expected = self._history.slow_rate(first_slow_bucket)
            detector.add(old_slow, new_slow, expected)
            self._slow_on_all_routes[quantile].add(old_slow, new_slow, expected)


def _is_block_due(old_calls: int, new_calls: int, age_s: float) -> bool:
    if new_calls >= BUSY_BLOCK_CALLS and age_s >= MAX_BUSY_BLOCK_S:
        return True
    if not old_calls or not new_calls:
        return age_s >= MAX_ONE_SIDED_BLOCK_S
    return old_calls >= MIN_CONTROL_CALLS or age_s >= MAX_BLOCK_S


def _sample_of_kind(counts: RouteCounts, kind: FailureKind) -> Sample:
    failed = counts.returned if kind is FailureKind.RETURNED else counts.unanswered
    return Sample(counts.classified, failed)


def _difference(later: RouteCounts, earlier: RouteCounts) -> RouteCounts:
    """Return the counts of one block; latency sums are left out."""
    buckets = zip(later.latency_buckets, earlier.latency_buckets, strict=True)
    return RouteCounts(
        calls=later.calls - earlier.calls,
        errors=later.errors - earlier.errors,
        latency_buckets=[a - b for a, b in buckets],
        classified=later.classified - earlier.classified,
        returned=later.returned - earlier.returned,
        unanswered=later.unanswered - earlier.unanswered,
    )


def _copy(counts: RouteCounts) -> RouteCounts:
    copied = RouteCounts()
    copied.add(counts)
    return copied


def _mean_ms(counts: RouteCounts) -> float:
    return 1000 * counts.latency_sum_s / max(1, sum(counts.latency_buckets))
