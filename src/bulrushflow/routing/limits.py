"""Limits on what runs at once: an adaptive concurrency limit and a budget of buffered bytes."""

FLOOR_SHARE = 0.25
"""Part of the slots that the limit never goes below."""
BACKOFF = 0.85
"""Factor on the limit after a window whose latency grew too far."""
TOLERANCE = 2.0
"""How many times the baseline latency a window may show."""
SLACK_S = 0.005
"""Latency above the baseline that is never taken for queueing."""
BUSY_SHARE = 0.8
"""Part of the limit that must have been in use before it is raised."""
DRIFT = 1.02
"""Factor by which the baseline follows a lastingly higher latency, once a window."""
WINDOW_S = 0.25
WINDOW_SAMPLES = 20


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
        "_peak",
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
        self._peak = 0

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
        self._peak = max(self._peak, in_flight)
        self._end_window(now)

    def observe_dropped(self, now: float, in_flight: int) -> None:
        """Take in one call that the target shed, lost or did not answer in time."""
        self._dropped += 1
        self._peak = max(self._peak, in_flight)
        self._end_window(now)

    def _end_window(self, now: float) -> None:
        if now < self._window_ends_at or self._samples + self._dropped < WINDOW_SAMPLES:
            return
        if self._samples:
            mean_s = self._latency_sum_s / self._samples
            grown = self._has_grown(mean_s)
            self._follow(mean_s)
        else:
            grown = True
        # Single drops are usual for a target with faults of its own; a tenth is not.
        if grown or self._dropped * 10 > self._samples:
            self._limit = max(1.0, self._slots * FLOOR_SHARE, self._limit * BACKOFF)
        elif self._peak >= int(self._limit) * BUSY_SHARE:
            self._limit = min(float(self._slots), self._limit + 1)
        self._begin_window(now)

    def _has_grown(self, mean_s: float) -> bool:
        if self._baseline_s is None:
            return False
        return mean_s > self._baseline_s * TOLERANCE + SLACK_S

    def _follow(self, mean_s: float) -> None:
        if self._baseline_s is None or mean_s < self._baseline_s:
            self._baseline_s = mean_s
            return
        self._baseline_s = min(mean_s, self._baseline_s * DRIFT)

    def _begin_window(self, now: float) -> None:
        self._samples = 0
        self._dropped = 0
        self._latency_sum_s = 0.0
        self._peak = 0
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
