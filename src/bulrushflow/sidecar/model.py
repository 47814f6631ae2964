"""Data model of the sidecar: routes, services, nodes and their targets, rollouts."""

import enum
import typing as t

import msgspec

from bulrushflow.documents import Count
from bulrushflow.documents import EpochMs
from bulrushflow.documents import Port
from bulrushflow.organisations import Organisations

Slots = t.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
LinkMbps = t.Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Permille = t.Annotated[int, msgspec.Meta(ge=0, le=1000)]


class Limits(msgspec.Struct, frozen=True):
    """Limits on the size of callers' requests and on the idle time of their connections."""

    max_header_bytes: int = 16 << 10
    max_body_bytes: int = 64 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class WeightedService(msgspec.Struct, frozen=True):
    """One service of a route, and its weight in the split of the route's calls."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Handling of the calls to one host below one path prefix."""

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
    disabled: str = ""
    """Why the route's calls are refused; empty if they are served."""
    allow_anonymous: bool = False
    """Whether calls without a key are accepted where the configuration has organisations."""


class ServiceSettings(msgspec.Struct, frozen=True):
    """The operator's settings of one service."""

    name: str
    health_path: str
    max_connections: int
    cold_start_s: float = 0.0
    """Seconds for which a target is cold after its start."""
    cold_per_s: float = 0.0
    """Calls per second that a cold target can take; 0 for no limit."""


class Routing(msgspec.Struct, frozen=True):
    """One version of the routing configuration; immutable, replaced as a whole."""

    version: int
    routes_by_host: t.Mapping[str, t.Mapping[str, Route]] = msgspec.field(default_factory=dict)
    services_by_name: t.Mapping[str, ServiceSettings] = msgspec.field(default_factory=dict)
    limits: Limits = Limits()
    organisations: Organisations | None = None
    """``None`` where keys aren't checked."""

    def latency_objectives(self) -> t.Iterator[tuple[str, float]]:
        """Yield the name and the latency objective in seconds of each route."""
        for routes_by_prefix in self.routes_by_host.values():
            for route in routes_by_prefix.values():
                yield route.name, route.latency_objective_s

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest prefix of ``path``, or ``None``.

        A host with a port falls back to the routes of the host without one. A disabled route is
        returned too: its calls must not be sent to the services of a shorter prefix.
        """
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

    def disabled_routes(self) -> list[Route]:
        """Return the routes whose calls are refused."""
        return [
            route
            for routes_by_prefix in self.routes_by_host.values()
            for route in routes_by_prefix.values()
            if route.disabled
        ]


class TargetState(enum.StrEnum):
    """Whether a target accepts new calls."""

    READY = "ready"
    DRAINING = "draining"


class _TargetProcess:
    """Names one run of a target; part of the types that have its id and incarnation."""

    __slots__ = ()
    target_id: str
    incarnation: int

    @property
    def process(self) -> tuple[str, int]:
        """Id and incarnation, which together identify one run of the target."""
        return self.target_id, self.incarnation


class TargetEntry(_TargetProcess, msgspec.Struct, frozen=True):
    """The state of one target, as its node publishes it to the other nodes.

    ``incarnation`` and ``sequence`` order the announcements of a target.
    """

    target_id: str
    incarnation: Count
    sequence: Count
    service: str
    version: str
    slots: Slots
    state: TargetState
    warm_at_ms: EpochMs
    """Epoch milliseconds at which the target is expected to reach its usual speed."""
    leaving: bool = False
    """Whether a response of the target announced that it leaves; such a target stays draining."""
    warmth_stated: bool = True
    """Whether the target's announcement said when it will be warm."""

    @property
    def revision(self) -> tuple[int, int]:
        """Sort key of the announcements of targets at one address; the highest is the newest."""
        return self.incarnation, self.sequence

    def is_same_for_peers(self, other: "TargetEntry") -> bool:
        """Return whether the fields that other nodes act on are equal, but for cold phases."""
        return (self.service, self.version, self.slots, self.state) == (
            other.service,
            other.version,
            other.slots,
            other.state,
        )


class NamedLimit(_TargetProcess, msgspec.Struct, frozen=True):
    """The rate limit that one target process named in a response."""

    target_id: str
    incarnation: int
    calls_per_s: float


class DepartedTarget(msgspec.Struct, frozen=True):
    """A target that left for good or began to drain; what it announced before is rejected."""

    target_id: str
    incarnation: Count
    """Latest start of the target whose announcements are rejected."""
    at_ms: EpochMs
    """Epoch milliseconds of the node's clock."""
    drained_at: Count | None = None
    """Sequence of the announcement with which that start began to drain: it isn't ready by an
    earlier one. ``None`` if it left for good."""


class CrashReport(_TargetProcess, msgspec.Struct, frozen=True):
    """A target process ended while it ran a request."""

    target_id: str
    incarnation: Count
    fingerprint: str
    """Identifies the request, see :func:`~bulrushflow.sidecar.calls.fingerprints.fingerprint`."""
    at_ms: EpochMs
    """Epoch milliseconds of the reporting node's clock."""


class ClearedRequest(msgspec.Struct, frozen=True):
    """A request that was reported for crashes, and was answered successfully."""

    fingerprint: str
    at_ms: EpochMs
    """Epoch milliseconds of the clearing node's clock."""


class NodeEntry(msgspec.Struct, frozen=True):
    """One node, its address for other nodes, and the target beside it."""

    node_id: str
    data_centre: str
    address: str
    peer_port: Port
    target: TargetEntry | None
    relays_records: bool = False
    """Whether other nodes may request the store's records from the node."""
    answers_admission: bool = False
    """Whether the node says in advance if it would refuse a call."""
    link_mbps: LinkMbps = 1.0
    """Bandwidth of the node's link in megabits per second."""
    crash_reports: tuple[CrashReport, ...] = ()
    """Crashes of the targets beside the node, with the requests that they ran."""
    cleared_requests: tuple[ClearedRequest, ...] = ()
    divides_allowances: bool = False
    """Whether the node can be the home of an organisation."""
    departed_targets: tuple[DepartedTarget, ...] = ()
    """Targets that left the node recently, as earlier releases wrote them. They are only read: an
    older entry that is written late would replace them, so each has a record of its own."""

    @property
    def endpoint(self) -> tuple[str, int]:
        """Address and port that other nodes connect to."""
        return self.address, self.peer_port


class RolloutPhase(enum.StrEnum):
    """The phase of a rollout."""

    RUNNING = "running"
    COMPLETED = "done"
    ROLLED_BACK = "taken back"


class OrderKey(t.NamedTuple):
    """Identifies an order of a service.

    A restored store gives offsets out again, so an order of another version may have the same one.
    """

    offset: int
    to_version: str


class OrderPosition(t.NamedTuple):
    """Where an order stands in the store's history."""

    era: int
    """Era of the store in which the order was read last; 0 if it isn't known."""
    offset: int

    def is_after(self, other: "OrderPosition") -> bool:
        """Return whether an order here replaces one of the same service at ``other``.

        Offsets of different eras can't be compared; the order that the later era has is in force.
        """
        if not self.era or not other.era:
            return self.offset > other.offset
        return self > other


class _OrderIdentity:
    """Identity and place of an order; part of the order and of its statuses."""

    __slots__ = ()
    to_version: str
    order_id: int
    era: int

    @property
    def key(self) -> OrderKey:
        """Identity of the order among those of its service."""
        return OrderKey(self.order_id, self.to_version)

    @property
    def position(self) -> OrderPosition:
        """Where the order stands in the store's history."""
        return OrderPosition(self.era, self.order_id)


class RolloutOrder(_OrderIdentity, msgspec.Struct, frozen=True):
    """The operator's order to shift a service's traffic to a version within a duration."""

    service: str
    to_version: str
    duration_s: float
    order_id: int
    """Offset of the order in the store; within an era, later orders have higher ones."""
    era: int = 0
    """Era of the store in which the order was read; 0 if it isn't known."""


class RolloutStatus(_OrderIdentity, msgspec.Struct, frozen=True):
    """The state of a rollout, kept in the store and followed by all nodes.

    Of two statuses of one order, the one with the higher ``step`` replaces the other.
    """

    service: str
    to_version: str
    order_id: Count
    step: Count
    share_permille: Permille
    phase: RolloutPhase
    stated_at_ms: EpochMs
    finish_by_ms: EpochMs
    reason: str = ""
    decided_by: str = ""
    era: Count = 0
    """Era of the store in which the deciding node read the order; 0 if it isn't known."""
    from_version: str = ""
    """Version in use before the order; empty if it isn't known."""
    withdrawn: tuple[str, ...] = ()
    """Versions that were rolled back before the order and not ordered since, latest last."""

    def is_after(self, other: "RolloutStatus") -> bool:
        """Return whether this is a later step than ``other``, or one of a later order."""
        if self.key == other.key:
            return self.step > other.step
        return self.position.is_after(other.position)
