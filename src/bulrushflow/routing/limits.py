"""Limits on what runs at once: an adaptive concurrency limit and a budget of buffered bytes."""

MIN_LIMIT_RATIO = 0.25
"""Part of the slots that the limit never goes below."""
BACKOFF_FACTOR = 0.85
"""Factor on the limit after a window whose latency grew too far."""
LATENCY_TOLERANCE_FACTOR = 2.0
"""How many times the baseline latency a window may show."""
LATENCY_SLACK_S = 0.005
"""Latency above the baseline that is never taken for queueing."""
MIN_UTILIZATION = 0.8
"""Part of the limit that must have been in use before it is raised."""
BASELINE_DRIFT_FACTOR = 1.02
"""Factor by which the baseline follows a lastingly higher latency, once a window."""
WINDOW_S = 0.25
MIN_WINDOW_SAMPLES = 20


class ConcurrencyLimit:
    """A concurrency limit at or below a target's slots, additive up and multiplicative down.

    The limit falls when the mean latency of a window exceeds the baseline by ``TOLERANCE``, or when
    the target shed or lost calls; it rises by one a window while it is in use. The baseline is the
    lowest window mean seen, and drifts upwards so that a target which became slower for good is
    not held at the floor. A lower concurrency can't speed such a target up.
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
        """Calls that may run at once."""
        return int(self._limit)

    @property
    def baseline_s(self) -> float | None:
        """Latency in seconds of the target without queueing; ``None`` before the first window."""
        return self._baseline_s

    def observe(self, now: float, seconds: float, in_flight: int) -> None:
        """Take in one answered call.

        :param in_flight: calls that ran when this one ended, itself included.
        """
        self._samples += 1
        self._latency_sum_s += seconds
        self._peak_in_flight = max(self._peak_in_flight, in_flight)
        self._end_window_if_due(now)

    def observe_dropped(self, now: float, in_flight: int) -> None:
        """Take in one call that the target shed, lost or did not answer in time."""
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
        # Single drops are usual for a target with faults of its own; a tenth is not.
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
    """A bound on bytes buffered at once."""

    __slots__ = ("_max_bytes", "used_bytes")

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self.used_bytes = 0

    def reserve(self, size: int) -> bool:
        """Take ``size`` bytes; ``False`` when they are not free."""
        if self.used_bytes + size > self._max_bytes:
            return False
        self.used_bytes += size
        return True

    def force_reserve(self, size: int) -> None:
        """Take ``size`` bytes that are held already, free or not."""
        self.used_bytes += size

    def release(self, size: int) -> None:
        """Give ``size`` bytes back."""
        self.used_bytes -= size
