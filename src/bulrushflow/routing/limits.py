"""Resource limits: an adaptive concurrency limit and a budget of buffered bytes."""

MIN_LIMIT_RATIO = 0.25
"""Fraction of the slots below which the limit never falls."""
BACKOFF_FACTOR = 0.85
"""Factor applied to the limit after a window with increased latency or too many dropped calls."""
LATENCY_TOLERANCE_FACTOR = 2.0
"""Multiple of the baseline latency up to which a window's mean latency is acceptable."""
LATENCY_SLACK_S = 0.005
"""Latency above the tolerated multiple that is not attributed to queueing."""
MIN_UTILIZATION = 0.8
"""Fraction of the limit that must have been in use in a window before the limit is raised."""
BASELINE_DRIFT_FACTOR = 1.02
"""Largest factor by which one window raises the baseline, so that it follows a lasting change."""
WINDOW_S = 0.25
MIN_WINDOW_SAMPLES = 20


class ConcurrencyLimit:
    """An adaptive concurrency limit (AIMD) that never exceeds a target's slots.

    The limit decreases when the mean latency of a window exceeds the tolerated multiple of the
    baseline, or when the target shed or lost calls. It increases by one per window while it is in
    use. The baseline is the lowest window mean so far, and drifts upwards: a target that became
    permanently slower would otherwise stay at the minimum, and a lower concurrency can't make
    such a target faster.
    """

    __slots__ = (
        "_baseline_s",
        "_dropped",
        "_latency_sum_s",
        "_limit",
        "_peak_in_flight",
        "_samples",
        "_slots",
        "_window_ends_at",
    )

    def __init__(self, slots: int) -> None:
        self._slots = max(1, slots)
        self._limit = float(self._slots)
        self._baseline_s: float | None = None
        self._window_ends_at = 0.0
        self._samples = 0
        self._dropped = 0
        self._latency_sum_s = 0.0
        self._peak_in_flight = 0

    @property
    def value(self) -> int:
        """Number of calls that may run at once."""
        return int(self._limit)

    @property
    def baseline_s(self) -> float | None:
        """Latency of the target without queueing, in seconds; ``None`` before the first window."""
        return self._baseline_s

    def observe(self, now: float, seconds: float, in_flight: int) -> None:
        """Record the latency of a call that was answered.

        :param in_flight: calls in flight when this one ended, itself included.
        """
        self._samples += 1
        self._latency_sum_s += seconds
        self._peak_in_flight = max(self._peak_in_flight, in_flight)
        self._end_window_if_due(now)

    def observe_dropped(self, now: float, in_flight: int) -> None:
        """Record a call that the target shed, lost or did not answer in time."""
        self._dropped += 1
        self._peak_in_flight = max(self._peak_in_flight, in_flight)
        self._end_window_if_due(now)

    def _end_window_if_due(self, now: float) -> None:
        if now < self._window_ends_at or self._samples + self._dropped < MIN_WINDOW_SAMPLES:
            return
        if self._samples:
            mean_s = self._latency_sum_s / self._samples
            exceeded = self._latency_exceeds_baseline(mean_s)
            self._update_baseline(mean_s)
        else:
            exceeded = True
        # A faulty target may drop single calls without being overloaded; more than one dropped
        # call for every ten answered ones indicates overload.
        if exceeded or self._dropped * 10 > self._samples:
            self._limit = max(1.0, self._slots * MIN_LIMIT_RATIO, self._limit * BACKOFF_FACTOR)
        elif self._peak_in_flight >= int(self._limit) * MIN_UTILIZATION:
            self._limit = min(float(self._slots), self._limit + 1)
        self._begin_window(now)

    def _latency_exceeds_baseline(self, mean_s: float) -> bool:
        if self._baseline_s is None:
            return False
        return mean_s > self._baseline_s * LATENCY_TOLERANCE_FACTOR + LATENCY_SLACK_S

    def _update_baseline(self, mean_s: float) -> None:
        if self._baseline_s is None or mean_s < self._baseline_s:
            self._baseline_s = mean_s
            return
        self._baseline_s = min(mean_s, self._baseline_s * BASELINE_DRIFT_FACTOR)

    def _begin_window(self, now: float) -> None:
        self._samples = 0
        self._dropped = 0
        self._latency_sum_s = 0.0
        self._peak_in_flight = 0
        self._window_ends_at = now + WINDOW_S


class ByteBudget:
    """A bound on the bytes that are buffered at once."""

    __slots__ = ("max_bytes", "used_bytes")

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.used_bytes = 0

    def reserve(self, size: int) -> bool:
        """Reserve ``size`` bytes; return ``False``, with nothing reserved, beyond the bound."""
        if self.used_bytes + size > self.max_bytes:
            return False
        self.used_bytes += size
        return True

    def force_reserve(self, size: int) -> None:
        """Count ``size`` bytes that are in memory already, even beyond the bound."""
        self.used_bytes += size

    def release(self, size: int) -> None:
        """Release ``size`` reserved bytes."""
        self.used_bytes -= size
