"""Exposure: the calls that a version may get before it is proved, and those it had."""

import math
from dataclasses import dataclass

SAFETY_FACTOR = 0.9
"""Part of the bound that is planned with; evidence comes late and rates of calls change."""
STAGES_BEFORE_LAST = 2
"""Shares before the last one that the calls are divided between."""


@dataclass(frozen=True, slots=True)
class ExposureLimits:
    """Bound on a faulty version's calls between the order and its deadline."""

    share: float
    """Part of all calls of the service in that time."""
    slack: float
    """Calls beyond that share."""

    def max_calls(self, calls_per_s: float, span_s: float) -> float:
        """Return the calls that a move is planned with."""
        return SAFETY_FACTOR * (self.share * calls_per_s * span_s + self.slack)


@dataclass(frozen=True, slots=True)
class ExposureBudget:
    """The new version's calls so far, and how many it may get as long as it isn't proved."""

    limit: float = math.inf
    used: int = 0

    @property
    def is_bounded(self) -> bool:
        """Whether there is a limit at all."""
        return math.isfinite(self.limit)

    @property
    def is_exhausted(self) -> bool:
        """Whether the version had all calls that one without proof may get."""
        return self.used >= self.limit

    def allows(self, calls: float) -> bool:
        """Tell whether the version may get so many more calls."""
        return self.used + calls <= self.limit

    def calls_per_stage(self, reserved: float) -> float:
        """Return the calls for one share before the last.

        :param reserved: calls that are kept for the last share.
        """
        return max(0.0, self.limit - reserved) / STAGES_BEFORE_LAST
