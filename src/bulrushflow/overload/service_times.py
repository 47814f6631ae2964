"""Service times and latency objectives of one target's calls, by route."""

import msgspec

SERVICE_TIME_SMOOTHING = 0.1
"""Weight of the newest call in the exponential moving average of service times."""
DEFAULT_SERVICE_TIME_S = 0.05
"""Service time assumed for a route that has no response yet."""

MAX_TRACKED_ROUTES = 256
"""Routes with values of their own; further ones use the defaults."""
OBJECTIVE_TTL_S = 60.0
"""Time after which a route's objective is forgotten unless a call confirms it."""
OBJECTIVE_TOLERANCE = 0.95
"""Fraction of a route's objective from which on a call confirms it. Calls arrive with what the way
here left of it."""


class ServiceTimes:
    """Moving averages of the time for which calls of a route occupy a slot, in seconds."""

    __slots__ = ("_seconds_by_route",)

    def __init__(self) -> None:
        self._seconds_by_route: dict[str, float] = {}

    def mean_s(self, route: str) -> float:
        """Return the service time of a route's calls."""
        return self._seconds_by_route.get(route, DEFAULT_SERVICE_TIME_S)

    @property
    def overall_mean_s(self) -> float:
        """Mean of the routes' service times; 0 before the first response."""
        times = self._seconds_by_route.values()
        return sum(times) / max(1, len(times))

    @property
    def longest_s(self) -> float:
        """Longest service time of a route; 0 before the first response."""
        return max(self._seconds_by_route.values(), default=0.0)

    def record(self, route: str, seconds: float) -> None:
        """Record the service time of a call that was answered."""
        known = route in self._seconds_by_route
        if not known and len(self._seconds_by_route) >= MAX_TRACKED_ROUTES:
            return
        current = self._seconds_by_route.get(route, seconds)
        self._seconds_by_route[route] = current + (seconds - current) * SERVICE_TIME_SMOOTHING


class _Objective(msgspec.Struct):
    seconds: float
    confirmed_at: float


class RouteObjectives:
    """Latency objectives of routes: the most that any of a route's recent calls had left."""

    __slots__ = ("_by_route",)

    def __init__(self) -> None:
        self._by_route: dict[str, _Objective] = {}

    @property
    def longest_s(self) -> float:
        """Longest objective of a route; 0 before the first call."""
        return max((objective.seconds for objective in self._by_route.values()), default=0.0)

    def seconds(self, route: str) -> float | None:
        """Return a route's objective; ``None`` before its first call."""
        objective = self._by_route.get(route)
        return objective.seconds if objective is not None else None

    def record(self, route: str, seconds_left: float, now: float) -> None:
        """Record what a call that arrives has left of its route's objective."""
        objective = self._by_route.get(route)
        if objective is None:
            if len(self._by_route) < MAX_TRACKED_ROUTES:
                self._by_route[route] = _Objective(seconds_left, now)
            return
        expired = now - objective.confirmed_at > OBJECTIVE_TTL_S
        if expired or seconds_left >= objective.seconds:
            objective.seconds = seconds_left
        if expired or seconds_left >= objective.seconds * OBJECTIVE_TOLERANCE:
            objective.confirmed_at = now
