"""Plain data of the sidecar: routes, services, targets, orders to move traffic."""

import enum
import typing as t
from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on what a caller may send, and how long it may stay idle."""

    max_header_bytes: int = 16 << 10
    max_body_bytes: int = 64 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One service of a route and its part of the route's calls."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """What is done with the calls of one host below one path prefix."""

    name: str
    host: str
    prefix: str
    services: tuple[WeightedService, ...]
    idempotent: bool
    timeout_s: float
    latency_objective_s: float
    max_attempts: int
    priority: int
    """0 is the most important."""


@dataclass(frozen=True, slots=True)
class ServiceSettings:
    """What the operator says of one service."""

    name: str
    health_path: str
    max_connections: int


@dataclass(frozen=True, slots=True)
class Routing:
    """One whole configuration; replaced as a whole, never changed."""

    version: int
    routes_by_host: t.Mapping[str, t.Mapping[str, Route]] = field(default_factory=dict)
    services_by_name: t.Mapping[str, ServiceSettings] = field(default_factory=dict)
    limits: Limits = Limits()

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest prefix that begins ``path``."""
        routes_by_prefix = self.routes_by_host.get(host)
        if routes_by_prefix is None:
            routes_by_prefix = self.routes_by_host.get(host.partition(":")[0])
        if routes_by_prefix is None:
            return None
        end = len(path.partition("?")[0])
        while (end := path.rfind("/", 0, end)) >= 0:
            route = routes_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        return None


class TargetState(enum.StrEnum):
    """Whether a target takes new calls."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """What a node tells the others of the target beside it.

    ``incarnation`` and ``sequence`` order what one target says of itself.
    """

    target_id: str
    incarnation: int
    sequence: int
    service: str
    version: str
    slots: int
    state: TargetState
    warm_at_ms: int
    """Epoch milliseconds at which the target is expected to reach its usual speed."""

    @property
    def revision(self) -> tuple[int, int]:
        """Position among all that targets at one address say."""
        return self.incarnation, self.sequence


@dataclass(frozen=True, slots=True)
class NodeEntry:
    """One node, where the others reach it, and its target."""

    node_id: str
    data_centre: str
    address: str
    peer_port: int
    target: TargetEntry | None

    @property
    def endpoint(self) -> tuple[str, int]:
        """Where the other nodes connect to."""
        return self.address, self.peer_port


class RolloutPhase(enum.StrEnum):
    """Where a move of traffic between two versions stands."""

    RUNNING = "running"
    COMPLETED = "done"
    ROLLED_BACK = "taken back"


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """The operator's wish to have a service's traffic on a version by a time."""

    service: str
    to_version: str
    duration_s: float
    order_id: int
    """Offset of the order in the store; a later order of the service has a higher one."""


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """The state of a move that all nodes follow; kept in the store.

    A status with a higher ``step`` of the same order replaces a lower one.
    """

    service: str
    to_version: str
    order_id: int
    step: int
    share_permille: int
    phase: RolloutPhase
    stated_at_ms: int
    finish_by_ms: int
    reason: str = ""
    decided_by: str = ""
