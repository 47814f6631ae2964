"""Limits on the calls that reach a new version before it is proven healthy."""

import math

import msgspec

SAFETY_FACTOR = 0.9
"""Fraction of the limit to plan with, since evidence arrives late and call rates change."""
STAGES_BEFORE_LAST = 2
"""Number of stages before the last one that the calls are divided between."""
MIN_TEST_FRACTION = 0.3
MAX_TEST_FRACTION = 0.6
"""Bounds on the fraction of the planned calls for the shares before the last one. The remainder is
what a fault that appears at the last share may affect before it is rolled back."""
RESERVE_FACTOR = 1.25
"""Factor on the calls reserved for the last share, since a test share overruns its calls."""


MIN_RATE_SPAN_S = 1.0
"""Least time to measure the call rate over, since nodes report the old version once a second."""


class ExposureLimits(msgspec.Struct, frozen=True):
    """Limit on a faulty version's calls between the order and its deadline."""

    share: float
    """Fraction of all calls of the service in that time."""
    slack: float
    """Calls allowed beyond that fraction."""

    def max_calls(self, calls_per_s: float, span_s: float) -> float:
        """Return the number of calls that a rollout is planned with."""
        return SAFETY_FACTOR * (self.share * calls_per_s * span_s + self.slack)


class ExposureBudget(msgspec.Struct, frozen=True):
    """Limit on the new version's calls until it is proven healthy, and the calls so far."""

    limit: float = math.inf
    used: int = 0

    @property
    def is_bounded(self) -> bool:
        """Whether there is a limit."""
        return math.isfinite(self.limit)

    @property
    def is_exhausted(self) -> bool:
        """Whether the version has had all calls allowed before it is proven healthy."""
        return self.used >= self.limit

    def allows(self, calls: float) -> bool:
        """Return whether the limit allows this many further calls."""
        return self.used + calls <= self.limit

    def test_calls(self, reserved: float) -> float:
        """Return the number of calls for the shares before the last one.

        :param reserved: calls reserved for the last share.
        """
        most = MAX_TEST_FRACTION * self.limit
        return max(
            MIN_TEST_FRACTION * self.limit, min(most, self.limit - RESERVE_FACTOR * reserved)
        )

    def calls_per_stage(self, reserved: float) -> float:
        """Return the number of calls for each stage before the last.

        :param reserved: calls reserved for the last stage.
        """
        return max(0.0, self.limit - reserved) / STAGES_BEFORE_LAST


class CallRate:
    """A service's call rate, measured between reports.

    The rate since the order would be too low at first, since calls are counted when they have ended
    and been reported, and a share planned with it would spend the budget too soon.
    """

    __slots__ = ("_first", "_newest")

    def __init__(self) -> None:
        self._first: tuple[int, float] | None = None
        self._newest: tuple[int, float] | None = None

    @property
    def calls_per_s(self) -> float:
        """Mean rate, 0 if it isn't known yet."""
        if self._first is None or self._newest is None:
            return 0.0
        calls = self._newest[0] - self._first[0]
        seconds = self._newest[1] - self._first[1]
        return calls / seconds if seconds >= MIN_RATE_SPAN_S else 0.0

    def update(self, calls: int, now_s: float) -> None:
        """Update with the calls of all versions since the order.

        :param now_s: this node's monotonic clock.
        """
        if self._first is None and calls:
            self._first = (calls, now_s)
        if self._newest is None or calls != self._newest[0]:
            self._newest = (calls, now_s)
