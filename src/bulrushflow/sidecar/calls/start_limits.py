"""The limits on the rate at which a target's calls start, of which the stricter one holds."""

from bulrushflow.placement import ColdLimit
from bulrushflow.sidecar.calls.rate_limit import RateLimit


class StartLimits:
    """The limit that a target names, and the one while it is cold. Times are in seconds.

    :param cold: limit while the target is cold.
    """

    __slots__ = ("_cold", "_named")

    def __init__(self, cold: ColdLimit | None = None) -> None:
        self._named = RateLimit()
        self._cold = ColdLimit() if cold is None else cold

    def change_named(self, per_s: float | None, now: float) -> None:
        """Replace the limit that the target names; ``None`` lifts it."""
        self._named.change(per_s, now)

    def is_cold(self, now: float) -> bool:
        """Return whether the limit of a cold target holds."""
        return self._cold.per_s(now) is not None

    def per_s(self, now: float) -> float | None:
        """Return the calls per second that may start; ``None`` without a limit."""
        limits = (self._named.per_s, self._cold.per_s(now))
        return min((limit for limit in limits if limit is not None), default=None)

    def wait_s(self, now: float, calls_ahead: int = 0) -> float:
        """Return the seconds until both limits admit a call behind others that wait."""
        return max(self._named.wait_s(now, calls_ahead), self._cold.wait_s(now, calls_ahead))

    def consume(self, now: float) -> None:
        """Count a call that starts."""
        self._named.consume(now)
        self._cold.consume(now)

    def refund(self, now: float) -> None:
        """Take back the count of a call that was not sent after all."""
        self._named.refund()
        self._cold.refund(now)

    def refuse_cold(self, count: int = 1) -> None:
        """Count calls that were refused because the target is cold."""
        self._cold.refused += count
