"""The services and routes of a run, and the operator's configurations."""

import json
import random

import msgspec
from msgspec.structs import replace

HOST = "soak.test"
IDLE_ROUTES = 40
FINDER, BOOKINGS, MAPS = "finder", "bookings", "maps"


class RouteLoad(msgspec.Struct, frozen=True):
    """A route that is called, and the load on it."""

    name: str
    kind: str
    services: tuple[str, ...]
    objective_s: float
    deadline_s: float
    """Time limit of the callers."""
    timeouts_s: tuple[float, ...]
    """Timeouts of the route that changes choose from."""
    work_s: float
    """Mean time at the target."""
    mean_bytes: int
    max_bytes: int
    calls_per_s: float

    @property
    def unsafe(self) -> bool:
        """Whether a call may run once at most."""
        return self.kind == "unsafe"


DOWNLOADS = RouteLoad(
    "download", "download", (MAPS,), 1.5, 5.0, (5.0, 6.0, 8.0), 0.16, 90_000, 540_000, 0.0
)
"""Its rate follows from the links' bandwidth, and its objective is drawn."""
ARCHIVES = RouteLoad(
    "archive", "download", (MAPS,), 4.0, 5.0, (5.0, 6.0, 8.0), 0.16, 90_000, 540_000, 0.0
)
"""Downloads that become late only shortly before their deadline; the rate is part of the others'.
"""
ROUTES = (
    RouteLoad("search", "safe", (FINDER,), 0.8, 5.0, (2.5, 4.0), 0.05, 1500, 9000, 24.0),
    RouteLoad("mixed", "safe", (FINDER, BOOKINGS), 0.8, 5.0, (2.5, 4.0), 0.05, 1500, 9000, 12.0),
    RouteLoad("book", "unsafe", (BOOKINGS,), 0.8, 6.0, (3.0, 4.0), 0.1, 1500, 9000, 16.0),
    DOWNLOADS,
    ARCHIVES,
)


def services_of(nodes: int) -> list[str]:
    """Return the service of each node's target; a fifth of the targets have the downloads."""
    services = []
    for node in range(nodes):
        if node % 5 == 0:
            services.append(MAPS)
        else:
            services.append(FINDER if node % 5 in (1, 3) else BOOKINGS)
    return services


class Configurations:
    """Draws one configuration after the other; each differs from the last in a few routes.

    :param objective_s: latency objective of the downloads.
    """

    def __init__(self, rng: random.Random, objective_s: float) -> None:
        self._rng = rng
        self._routes = tuple(
            replace(route, objective_s=objective_s) if route is DOWNLOADS else route
            for route in ROUTES
        )
        self._version = 0
        self._idle = {f"idle{i}" for i in range(IDLE_ROUTES)}
        self._weights = [1.0, 1.0]
        self.timeout_s_by_route = {route.name: route.timeouts_s[0] for route in ROUTES}

    def next(self) -> bytes:
        """Return the next configuration's document."""
        if self._version:
            self._change()
        self._version += 1
        rules = [self._rule(route) for route in self._routes]
        rules += [
            {
                "name": name,
                "kind": "safe",
                "targetLatency": "1s",
                "match": {"pathPrefix": f"/{name}/"},
                "action": {"service": FINDER, "timeout": "5s", "maxAttempts": 2},
            }
            for name in sorted(self._idle)
        ]
        return json.dumps(
            {
                "version": self._version,
                "listeners": [{"host": HOST, "ruleSet": rules}],
                "clusters": [{"name": name} for name in (FINDER, BOOKINGS, MAPS)],
            }
        ).encode()

    def _change(self) -> None:
        rng = self._rng
        route = rng.choice(ROUTES)
        self.timeout_s_by_route[route.name] = rng.choice(route.timeouts_s)
        self._weights = [rng.uniform(0.5, 2.0), rng.uniform(0.5, 2.0)]
        self._idle ^= {f"idle{rng.randrange(2 * IDLE_ROUTES)}" for _ in range(3)}

    def _rule(self, route: RouteLoad) -> dict[str, object]:
        action: dict[str, object] = {
            "timeout": f"{round(self.timeout_s_by_route[route.name] * 1000)}ms",
            "maxAttempts": 3,
        }
        if len(route.services) == 1:
            action["service"] = route.services[0]
        else:
            action["trafficSplit"] = [
                {"service": service, "weight": weight}
                for service, weight in zip(route.services, self._weights, strict=True)
            ]
        return {
            "name": route.name,
            "kind": route.kind,
            "priority": 2 if route.kind == DOWNLOADS.kind else 1,
            "targetLatency": f"{round(route.objective_s * 1000)}ms",
            "match": {"pathPrefix": f"/{route.name}/"},
            "action": action,
        }
