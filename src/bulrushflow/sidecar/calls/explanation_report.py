"""The report on where a request would go, as the node returns it and the command line reads it."""

import msgspec


class ServiceWeight(msgspec.Struct, frozen=True):
    """One service of a route's split."""

    service: str
    weight: float


class RouteReport(msgspec.Struct, frozen=True):
    """The route of a request."""

    name: str
    host: str
    prefix: str
    services: tuple[ServiceWeight, ...]
    timeout_s: float
    latency_objective_s: float
    max_attempts: int
    idempotent: bool
    priority: int
    """Priority of the call, by its organisation or its route; 0 is the most important."""
    disabled: str = ""
    """Why the route's calls are refused; empty if they are served."""


class RolloutReport(msgspec.Struct, frozen=True):
    """The newest rollout of the chosen service."""

    to_version: str
    phase: str
    share_permille: int
    """Share of the calls that go to the ordered version, in thousandths."""
    in_use: str
    """Version that the other calls go to; empty if it isn't known."""


class AllowanceReport(msgspec.Struct, frozen=True):
    """What this node knows of an organisation's allowance."""

    limit_per_s: float
    """Calls per second allowed over all nodes."""
    share_per_s: float
    """Part of it that this node holds."""
    demand_per_s: float
    tokens: float
    """Requests that the share lets pass now."""
    granted_tokens: int
    """Further requests that the home granted, until they expire."""
    home_answers: bool
    """Whether the home answered the latest report; true before the first one."""
    decision: str
    """``pass``, ``refuse``, or ``ask`` if the home would be asked first."""


class CandidateReport(msgspec.Struct, frozen=True):
    """One target of the chosen service, with the figures by which targets are compared."""

    node: str
    data_centre: str
    version: str
    available: bool
    """Whether the call could be sent there."""
    reason: str
    """Why not, or what lowers its chance; empty for neither."""
    load: float
    """Calls per slot."""
    expected_wait_s: float | None
    """``None`` where targets don't report their work."""
    expected_response_s: float | None
    """Expected time to a response, with the cost of the way; ``None`` for evacuated targets."""


class RefusalReport(msgspec.Struct, frozen=True):
    """The refusal that the request would get."""

    status: int
    reason: str
    retry_after_min_s: float | None = None
    """Least ``Retry-After``; ``None`` without one."""
    retry_after_max_s: float | None = None
    """Greatest one; the value is drawn in between."""


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """Where a request would go now from this node, and why. It has no key and no digest."""

    node: str
    data_centre: str
    host: str
    path: str
    caller: str
    """Service of the caller."""
    configuration: int
    """Version in force; 0 for none."""
    time_left_s: float
    """Time until the call's deadline, by its caller and its route."""
    route: RouteReport | None = None
    organisation: str = ""
    allowance: AllowanceReport | None = None
    service: str = ""
    """The service of the next call of the route."""
    rollout: RolloutReport | None = None
    withdrawn_versions: tuple[str, ...] = ()
    candidates: tuple[CandidateReport, ...] = ()
    choice: str = ""
    """Node of the chosen target: one draw of a random choice, the next call may go elsewhere."""
    waits_for_target: bool = False
    """Whether the call would wait briefly for a target to become available."""
    probes: bool = False
    """Whether the call would be sent to an overloaded service to learn whether it still is."""
    refusal: RefusalReport | None = None
