"""Compares the calls to the old and the new version on one route, block by block."""

import msgspec

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
TYPICAL_QUANTILE = 0.5
TAIL_QUANTILE = 0.95
SLOW_BUCKET_MARGIN = 1
"""A call is slow if it is more than this many buckets above the old version's quantile."""


class _History(msgspec.Struct):
    """Exponentially decayed counts of the old version."""

    calls: float = 0.0
    errors: float = 0.0
    latency_buckets: list[float] = msgspec.field(
        default_factory=lambda: [0.0] * len(empty_buckets())
    )

    def add(self, calls: int, errors: int, buckets: list[int], elapsed_s: float) -> None:
        decay_factor = 0.5 ** (elapsed_s / HALF_LIFE_S)
        if self.calls:
            decay_factor = max(decay_factor, min(1.0, (MIN_RETAINED_CALLS - calls) / self.calls))
        self.calls = self.calls * decay_factor + calls
        self.errors = self.errors * decay_factor + errors
        for i, count in enumerate(buckets):
            self.latency_buckets[i] = self.latency_buckets[i] * decay_factor + count

    def error_rate(self) -> float:
        return (self.errors + 0.05) / (self.calls + 5)

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


class RouteComparison:
    """Compares errors and slow calls of the new version with those of the old one."""

    __slots__ = (
        "_block_started_s",
        "_errors",
        "_history",
        "_new",
        "_old",
        "_slow",
    )

    def __init__(self, now_s: float) -> None:
        self._block_started_s = now_s
        self._old = RouteCounts()
        self._new = RouteCounts()
        self._history = _History()
        self._errors = ChangeDetector(ERROR_TOLERANCE, MAX_UNCONTROLLED_LOG_RATIO)
        self._slow = {
            quantile: ChangeDetector(SLOW_TOLERANCE)
            for quantile in (TYPICAL_QUANTILE, TAIL_QUANTILE)
        }

    def strongest_signal(self) -> RegressionSignal:
        """Return the strongest regression signal."""
        new, old = self._new, self._old
        slow = max(detector.strength for detector in self._slow.values())
        if self._errors.strength >= slow:
            figures = f"{new.errors}/{new.calls} errors, old {old.errors}/{old.calls}"
            return RegressionSignal(
                self._errors.strength, "more errors than the old version", figures
            )
        figures = f"mean {_mean_ms(new):.0f} ms, old {_mean_ms(old):.0f} ms"
        return RegressionSignal(slow, "slower than the old version", figures)

    def update(self, old: RouteCounts, new: RouteCounts, now_s: float) -> None:
        """Update with cumulative counts, and close the current block if it is due."""
        age_s = now_s - self._block_started_s
        if age_s < MIN_BLOCK_S:
            return
        old_calls = old.calls - self._old.calls
        new_calls = new.calls - self._new.calls
        if not _is_block_due(old_calls, new_calls, age_s):
            return
        if new_calls:
            self._compare(old, new)
        old_buckets = _difference(old.latency_buckets, self._old.latency_buckets)
        self._history.add(old_calls, old.errors - self._old.errors, old_buckets, age_s)
        self._block_started_s = now_s
        self._old = _copy(old)
        self._new = _copy(new)

    def _compare(self, old: RouteCounts, new: RouteCounts) -> None:
        old_errors = Sample(old.calls - self._old.calls, old.errors - self._old.errors)
        new_errors = Sample(new.calls - self._new.calls, new.errors - self._new.errors)
        self._errors.add(old_errors, new_errors, self._history.error_rate())
        old_buckets = _difference(old.latency_buckets, self._old.latency_buckets)
        new_buckets = _difference(new.latency_buckets, self._new.latency_buckets)
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
            detector.add(old_slow, new_slow, self._history.slow_rate(first_slow_bucket))


def _is_block_due(old_calls: int, new_calls: int, age_s: float) -> bool:
    if new_calls >= BUSY_BLOCK_CALLS and age_s >= MAX_BUSY_BLOCK_S:
        return True
    if not old_calls or not new_calls:
        return age_s >= MAX_ONE_SIDED_BLOCK_S
    return old_calls >= MIN_CONTROL_CALLS or age_s >= MAX_BLOCK_S


def _difference(later: list[int], earlier: list[int]) -> list[int]:
    return [a - b for a, b in zip(later, earlier, strict=True)]


def _copy(counts: RouteCounts) -> RouteCounts:
    copied = RouteCounts()
    copied.add(counts)
    return copied


def _mean_ms(counts: RouteCounts) -> float:
    return 1000 * counts.latency_sum_s / max(1, sum(counts.latency_buckets))
