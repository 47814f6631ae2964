"""Recognition of calls that their callers sent again.

Load: callers that were refused return within the time that their call has left. All times are in
seconds of one monotonic clock.
"""

import msgspec

from bulrushflow.overload.service_times import RouteObjectives

SHORT_OBJECTIVE_FRACTION = 0.5
"""Routes whose latency objective is below this fraction of the longest one are mostly those of
calls that running calls make, which pass on the time that those have left."""
MIN_SPENT_S = 0.05
"""Time gone from which a call counts as sent again."""


class Arrival(msgspec.Struct, frozen=True):
    """What a call's remaining time says of it."""

    returned: bool
    spent_s: float
    """Time since its caller sent it first."""


class ReturnDetector:
    """Compares the time that callers have left with the most that callers of the route had."""

    __slots__ = ("_objectives", "_times_left")

    def __init__(self) -> None:
        self._objectives = RouteObjectives()
        self._times_left = RouteObjectives()

    def is_short(self, route: str) -> bool:
        """Return whether a route's latency objective is far below the longest one."""
        objective_s = self._objectives.seconds(route)
        longest_s = self._objectives.longest_s
        return objective_s is not None and objective_s < longest_s * SHORT_OBJECTIVE_FRACTION

    def record(self, route: str, objective_s: float, left_s: float, now: float) -> Arrival:
        """Record a call that arrives with ``left_s`` until its caller's deadline."""
        self._objectives.record(route, objective_s, now)
        self._times_left.record(route, left_s, now)
        return self.classify(route, left_s)

    def classify(self, route: str, left_s: float) -> Arrival:
        """Compare a call with those recorded before, without recording it."""
        usual_s = self._times_left.seconds(route)
        if usual_s is None or self.is_short(route):
            return Arrival(False, 0.0)
        spent_s = max(0.0, usual_s - left_s)
        return Arrival(spent_s >= MIN_SPENT_S, spent_s)
