"""The limit on repeated calls that reach a target, so that the fleet keeps its bound together."""

import collections

RATIO_FRACTION = 0.3
"""Part of the allowed ratio that is used here. The rest is for calls that repeated calls make, each
of which may make several."""
SLACK_FRACTION = 0.3
BUCKET_S = 0.5
"""Length of the spans that a window is counted in."""


class TargetRetryBudget:
    """Counts first and repeated calls at one target over a sliding window.

    Each target keeps its part of the service's bound, so that no messages are needed.

    :param ratio: repeated calls allowed for each first one, over the service.
    :param slack: repeated calls allowed in a window beyond the ratio, over the service.
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
        self._first_attempts = 0.0
        self._retries = 0.0
        self.target_count = 1
        """Targets of the service that share the slack."""

    def configure(self, ratio: float, slack: float, window_s: float) -> None:
        """Put other bounds in force."""
        self._ratio = ratio * RATIO_FRACTION
        self._slack = slack * SLACK_FRACTION
        self._window_s = window_s

    def record_first_attempt(self, now: float) -> None:
        """Count a call that was not sent to a target before."""
        self._current_bucket(now)[1] += 1
        self._first_attempts += 1

    def try_consume(self, now: float) -> bool:
        """Count a repeated call; ``False`` when it is one too many."""
        bucket = self._current_bucket(now)
        allowed = self._ratio * self._first_attempts + self._slack / max(1, self.target_count)
        if self._retries + 1 > allowed:
            return False
        bucket[2] += 1
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
