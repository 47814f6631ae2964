"""Limits on the calls that reach a new version before it is proven healthy."""

import collections
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


RECENT_S = 3.0
"""Time over which a rate counts as the recent one; nodes report about once a second."""
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

    __slots__ = ("_first", "_newest", "_recent")

    def __init__(self) -> None:
        self._first: tuple[int, float] | None = None
        self._newest: tuple[int, float] | None = None
        self._recent: collections.deque[tuple[int, float]] = collections.deque()
        """Calls and times of the latest reports, back to :data:`RECENT_S` before the newest."""

    @property
    def calls_per_s(self) -> float:
        """Mean rate, 0 if it isn't known yet."""
        if self._first is None or self._newest is None:
            return 0.0
        calls = self._newest[0] - self._first[0]
        seconds = self._newest[1] - self._first[1]
        return calls / seconds if seconds >= MIN_RATE_SPAN_S else 0.0

    def expected_per_s(self, elapsed_share: float) -> float:
        """Return the mean rate that is expected until the deadline, 0 if it isn't known yet.

        A rate that falls below its mean is expected to stay there: the calls that a version was
        planned with would be too many for those that arrive.

        :param elapsed_share: part of the time until the deadline that is over, from 0 to 1.
        """
        mean = self.calls_per_s
        coming = min(mean, self._recent_per_s)
        return mean * elapsed_share + coming * (1 - elapsed_share)

    @property
    def _recent_per_s(self) -> float:
        """Rate of the latest reports; infinite while they span too little time."""
        if not self._recent:
            return math.inf
        (first_calls, first_s), (calls, newest_s) = self._recent[0], self._recent[-1]
        if newest_s - first_s < RECENT_S:
            return math.inf
        return (calls - first_calls) / (newest_s - first_s)

    def update(self, calls: int, now_s: float) -> None:
        """Update with the calls of all versions since the order.

        :param now_s: this node's monotonic clock.
        """
        if self._first is None and calls:
            self._first = (calls, now_s)
        if self._newest is None or calls != self._newest[0]:
            self._newest = (calls, now_s)
        self._recent.append((calls, now_s))
        while len(self._recent) > 1 and now_s - self._recent[1][1] >= RECENT_S:
            self._recent.popleft()
