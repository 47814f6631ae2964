"""Recognition of calls that their callers sent again.

Load: callers that were refused return within the time that their call has left. All times are in
seconds of one monotonic clock.
"""

import typing as t

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

    __slots__ = ("_longest_objective_s", "_objective_s_by_route", "_times_left", "_version")

    def __init__(self) -> None:
        self._version = -1
        self._longest_objective_s = 0.0
        self._objective_s_by_route: dict[str, float] = {}
        self._times_left = RouteObjectives()

    def configure(self, version: int, objectives: t.Iterable[tuple[str, float]]) -> None:
        """Replace the latency objectives by route, if ``version`` of the configuration is new.

        Objectives that calls show would not do: some nodes receive inner calls only.
        """
        if version == self._version:
            return
        self._version = version
        self._objective_s_by_route = dict(objectives)
        self._longest_objective_s = max(self._objective_s_by_route.values(), default=0.0)

    def is_short(self, route: str) -> bool:
        """Return whether a route's latency objective is far below the longest one."""
        objective_s = self._objective_s_by_route.get(route, self._longest_objective_s)
        return objective_s < self._longest_objective_s * SHORT_OBJECTIVE_FRACTION

    def record(self, route: str, left_s: float, now: float) -> Arrival:
        """Record a call that arrives with ``left_s`` until its caller's deadline."""
        self._times_left.record(route, left_s, now)
        return self.classify(route, left_s)

    def classify(self, route: str, left_s: float) -> Arrival:
        """Compare a call with those recorded before, without recording it."""
        usual_s = self._times_left.seconds(route)
        if usual_s is None or self.is_short(route):
            return Arrival(False, 0.0)
        spent_s = max(0.0, usual_s - left_s)
        return Arrival(spent_s >= MIN_SPENT_S, spent_s)
