"""Retry budget of one target: its part of the bound on a service's retries over all nodes."""

import collections

RATIO_FRACTION = 0.3
"""Fraction of the service's ratio that retries of its own use. The rest is left for the calls that
a retried call makes in turn, which may be several."""
SLACK_FRACTION = 0.3
"""Fraction of the service's slack, for the same reason."""
BUCKET_S = 0.5
"""Length of the buckets that the sliding window is counted in."""


class TargetRetryBudget:
    """Bounds the retries delivered to one target, relative to first attempts in a sliding window.

    Each target enforces its part of the service's bound, so nodes need not coordinate.

    :param ratio: retries allowed per first attempt, over the service.
    :param slack: retries allowed per window beyond the ratio, over the service.
    :param window_s: length of the window in seconds.
    """

    __slots__ = (
        "_buckets",
        "_first_attempts",
        "_ratio",
        "_retries",
        "_slack",
        "_window_s",
        "target_count",
    )

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self.configure(ratio, slack, window_s)
        self._buckets: collections.deque[list[float]] = collections.deque()
        """Start time, first attempts and retries of each bucket."""
        self._first_attempts = 0.0
        self._retries = 0.0
        self.target_count = 1
        """Number of the service's targets, which share the slack evenly."""

    def configure(self, ratio: float, slack: float, window_s: float) -> None:
        """Replace the bounds; calls that were counted already stay counted."""
        self._ratio = ratio * RATIO_FRACTION
        self._slack = slack * SLACK_FRACTION
        self._window_s = window_s

    def record_first_attempt(self, now: float) -> None:
        """Count a call's first attempt, which replenishes the budget."""
        self._current_bucket(now)[1] += 1
        self._first_attempts += 1

    def is_exhausted(self, now: float) -> bool:
        """Return whether a retry would be refused now."""
        self._current_bucket(now)
        allowed = self._ratio * self._first_attempts + self._slack / max(1, self.target_count)
        return self._retries + 1 > allowed

    def try_consume(self, now: float) -> bool:
        """Consume one retry; ``False`` when the budget is exhausted."""
        if self.is_exhausted(now):
            return False
        self._current_bucket(now)[2] += 1
        self._retries += 1
        return True

    def _current_bucket(self, now: float) -> list[float]:
        while self._buckets and self._buckets[0][0] <= now - self._window_s:
            _, first_attempts, retries = self._buckets.popleft()
            self._first_attempts -= first_attempts
            self._retries -= retries
        if not self._buckets or self._buckets[-1][0] <= now - BUCKET_S:
            self._buckets.append([now, 0.0, 0.0])
        return self._buckets[-1]
