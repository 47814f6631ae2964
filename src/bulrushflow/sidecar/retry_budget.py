"""The limit on repeated calls that reach a target, so that the fleet keeps its bound together."""

import collections

RATIO_PART = 0.3
"""Part of the allowed ratio that is used here. The rest is for calls that repeated calls make, each
of which may make several."""
SLACK_PART = 0.3
SPAN_S = 0.5
"""Length of the spans that a window is counted in."""


class TargetRetryBudget:
    """Counts first and repeated calls at one target over a sliding window.

    Each target keeps its part of the service's bound, so that no messages are needed.

    :param ratio: repeated calls allowed for each first one, over the service.
    :param slack: repeated calls allowed in a window beyond the ratio, over the service.
    """

    __slots__ = ("_firsts", "_ratio", "_repeats", "_slack", "_spans", "_window_s", "target_count")

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self.configure(ratio, slack, window_s)
        self._spans: collections.deque[list[float]] = collections.deque()
        self._firsts = 0.0
        self._repeats = 0.0
        self.target_count = 1
        """Targets of the service that share the slack."""

    def configure(self, ratio: float, slack: float, window_s: float) -> None:
        """Put other bounds in force."""
        self._ratio = ratio * RATIO_PART
        self._slack = slack * SLACK_PART
        self._window_s = window_s

    def record_first_attempt(self, now: float) -> None:
        """Count a call that was not sent to a target before."""
        self._span(now)[1] += 1
        self._firsts += 1

    def try_consume(self, now: float) -> bool:
        """Count a repeated call; ``False`` when it is one too many."""
        span = self._span(now)
        allowed = self._ratio * self._firsts + self._slack / max(1, self.target_count)
        if self._repeats + 1 > allowed:
            return False
        span[2] += 1
        self._repeats += 1
        return True

    def _span(self, now: float) -> list[float]:
        while self._spans and self._spans[0][0] <= now - self._window_s:
            _, firsts, repeats = self._spans.popleft()
            self._firsts -= firsts
            self._repeats -= repeats
        if not self._spans or self._spans[-1][0] <= now - SPAN_S:
            self._spans.append([now, 0.0, 0.0])
        return self._spans[-1]
