"""When refused callers should come back.

Load: callers that were refused together return together, and fill the queues again. A caller is
refused because no target can answer it in the time that it has, so it comes back as late as that
time allows, when some of the load is gone. All times are in seconds.
"""

import random

MIN_WAIT_S = 0.05
MAX_WAIT_FRACTION = 1 / 3
"""Fraction of the time they have left up to which callers honour a ``Retry-After``."""
SPREAD_FRACTION = 0.5
"""Fraction of the longest wait over which callers are spread that were refused together."""


class RetryPlanner:
    """Chooses the waits of refused callers.

    :param rng: spreads the callers.
    """

    __slots__ = ("_rng",)

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def wait_s(self, backlog_s: float, useful_s: float, left_s: float) -> float:
        """Return the seconds after which a refused caller should come back.

        :param backlog_s: expected time until the service's targets start a call that arrives now.
        :param useful_s: time within which a call that comes back can still be answered in time.
        :param left_s: time that the caller has left for its call.
        """
        longest_s = left_s * MAX_WAIT_FRACTION
        if backlog_s < useful_s < longest_s:
            longest_s = useful_s
        # Before the backlog is worked off it would be refused again.
        shortest_s = max(longest_s * (1 - SPREAD_FRACTION), min(backlog_s, longest_s))
        return max(MIN_WAIT_S, self._rng.uniform(shortest_s, longest_s))

    def wait_range_s(self, left_s: float) -> tuple[float, float]:
        """Return the shortest and the longest wait of a refused caller.

        :param left_s: time that the caller has left for its call.
        """
        return MIN_WAIT_S, max(MIN_WAIT_S, left_s * MAX_WAIT_FRACTION)
