"""How long callers have been waiting, by the time that they have left.

A caller whose call was refused comes back within the time that it has for the call, so its user has
waited longer than the call has been on its way. Users count their wait, and so does the latency
objective, from the first time that the call was sent. All times are in seconds of one monotonic
clock.
"""

import typing as t

from bulrushflow.overload.service_times import RouteObjectives

SHORT_OBJECTIVE_FRACTION = 0.5
"""Routes whose latency objective is below this fraction of the longest one are mostly those of
calls that running calls make, which pass on the time that those have left."""


class CallerWaits:
    """Compares the time that a caller has left with the most that callers of the route had."""

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

    def record(self, route: str, left_s: float, now: float) -> float:
        """Record a call that arrives; return the seconds for which its caller has been waiting.

        :param left_s: time until the caller's deadline.
        """
        self._times_left.record(route, left_s, now)
        usual_s = self._times_left.seconds(route)
        if usual_s is None or self._is_short(route):
            return 0.0
        return max(0.0, usual_s - left_s)

    def _is_short(self, route: str) -> bool:
        objective_s = self._objective_s_by_route.get(route, self._longest_objective_s)
        return objective_s < self._longest_objective_s * SHORT_OBJECTIVE_FRACTION
