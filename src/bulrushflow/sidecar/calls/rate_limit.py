"""A limit on the rate at which calls start (generic cell rate algorithm)."""

import math

BURST_S = 0.2
"""Time for which calls may run ahead of an even spacing."""
MIN_RATE_PER_S = 0.25
"""Rate that is kept up below it too: only the response to a call can lift a target's limit."""
ROUNDING_S = 1e-9
"""Shorter waits are errors of the arithmetic with the clock's times."""


class RateLimit:
    """Spaces calls evenly. All times are event loop times in seconds.

    In any interval of ``s`` seconds at most ``(s + BURST_S) * per_s + 1`` calls start.
    """

    __slots__ = ("_due_at", "per_s")

    def __init__(self) -> None:
        self.per_s: float | None = None
        """Calls per second; ``None`` without a limit."""
        self._due_at = -math.inf
        """Time at which the next call is due if calls are spaced evenly."""

    def change(self, per_s: float | None, now: float) -> None:
        """Replace the limit; a raised one shortens the wait that the old one required."""
        if per_s is not None:
            per_s = max(per_s, MIN_RATE_PER_S)
        if per_s is not None and self.per_s is not None:
            ahead_s = max(0.0, self._due_at - now)
            self._due_at = now + ahead_s * min(1.0, self.per_s / per_s)
        self.per_s = per_s

    def wait_s(self, now: float, calls_ahead: int = 0) -> float:
        """Return the seconds until a call may start behind others that wait."""
        if self.per_s is None:
            return 0.0
        wait_s = self._due_at - BURST_S + calls_ahead / self.per_s - now
        return wait_s if wait_s > ROUNDING_S else 0.0

    def consume(self, now: float) -> None:
        """Count a call that starts."""
        if self.per_s is not None:
            self._due_at = max(self._due_at, now) + 1 / self.per_s

    def refund(self) -> None:
        """Take back the count of a call that was not sent after all."""
        if self.per_s is not None:
            self._due_at -= 1 / self.per_s
