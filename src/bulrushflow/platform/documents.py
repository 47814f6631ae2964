"""Decoding of the operator's documents and the targets' announcements into the project's types."""

import time
import typing as t

import msgspec
from result import Err
from result import Ok
from result import Result

from bulrushflow.platform.settings import parse_duration
from bulrushflow.sidecar.model import Limits
from bulrushflow.sidecar.model import RolloutOrder
from bulrushflow.sidecar.model import RolloutPhase
from bulrushflow.sidecar.model import RolloutStatus
from bulrushflow.sidecar.model import Route
from bulrushflow.sidecar.model import Routing
from bulrushflow.sidecar.model import ServiceSettings
from bulrushflow.sidecar.model import TargetEntry
from bulrushflow.sidecar.model import TargetState
from bulrushflow.sidecar.model import WeightedService
from bulrushflow.sidecar.storage import KeyedRecord

CONFIGURATION_KEY = "config"
ROLLOUT_KEY_PREFIX = "rollout/"
"""Prefix of the keys of orders, and of statuses in their own topic."""
IDEMPOTENT_BY_KIND = {"safe": True, "unsafe": False, "keyed": False, "upload": False}
"""Whether calls of a kind of route may be retried after they may have run."""
STATE_BY_PHASE = {
    RolloutPhase.RUNNING: "running",
    RolloutPhase.COMPLETED: "completed",
    RolloutPhase.ROLLED_BACK: "rolled_back",
}
TARGET_STATE_BY_NAME = {"ready": TargetState.READY, "draining": TargetState.DRAINING}


class _SplitPart(msgspec.Struct):
    service: str
    weight: float


class _Action(msgspec.Struct):
    timeout: str
    maxAttempts: int  # noqa: N815  targets that a call may be sent to
    service: str | None = None
    trafficSplit: list[_SplitPart] = []  # noqa: N815  instead of ``service``


class _Match(msgspec.Struct):
    pathPrefix: str  # noqa: N815


class _Rule(msgspec.Struct):
    name: str
    kind: str
    match: _Match
    action: _Action
    targetLatency: str = "1s"  # noqa: N815  later responses count as late
    priority: int = 0


class _Listener(msgspec.Struct):
    host: str
    ruleSet: list[_Rule]  # noqa: N815


class _Cluster(msgspec.Struct):
    name: str
    healthPath: str = "/health"  # noqa: N815
    maxConnections: int = 100  # noqa: N815  to one target, from all nodes


class _Limits(msgspec.Struct):
    maxHeaderBytes: int = 16384  # noqa: N815
    maxBodyBytes: int = 67108864  # noqa: N815
    headerTimeout: str = "3s"  # noqa: N815
    idleTimeout: str = "15s"  # noqa: N815


class _Configuration(msgspec.Struct):
    version: int
    listeners: list[_Listener]
    clusters: list[_Cluster]
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Rollout(msgspec.Struct):
    service: str
    targetVersion: str  # noqa: N815
    duration: str


class _Status(msgspec.Struct):
    move: RolloutStatus


class _Announcement(msgspec.Struct):
    service: str
    address: str
    zone: str
    version: str  # version of the service that the target runs
    slots: int
    state: str
    seq: int
    born: int  # start of the target, in epoch milliseconds
    coldRemaining: str = "0ms"  # noqa: N815  time until the target is warm


def decode_configuration(data: bytes) -> Result[Routing, str]:
    """Decode the operator's configuration; one invalid part rejects all of it."""
    try:
        document = msgspec.json.decode(data, type=_Configuration)
        return _convert_configuration(document)
    except (msgspec.MsgspecError, ValueError) as exc:
        return Err(f"configuration: {exc}")


def decode_rollout_order(record: KeyedRecord) -> Result[RolloutOrder, str]:
    """Decode the operator's order to roll out a version of a service.

    The offset of the record becomes the order's id.
    """
    key = record.key
    try:
        document = msgspec.json.decode(record.value, type=_Rollout)
        duration_s = parse_duration(document.duration)
    except (msgspec.MsgspecError, ValueError) as exc:
        return Err(f"{key}: {exc}")
    if key != ROLLOUT_KEY_PREFIX + document.service:
        return Err(f"{key}: names service {document.service}")
    return Ok(
        RolloutOrder(
            document.service, document.targetVersion, duration_s, record.offset, record.era
        )
    )


def encode_status(status: RolloutStatus) -> bytes:
    """Encode a rollout status: the operators' fields, and the whole status under ``move``."""
    return msgspec.json.encode(
        {
            "service": status.service,
            "targetVersion": status.to_version,
            "state": STATE_BY_PHASE[status.phase],
            "move": status,
        }
    )


def decode_status(data: bytes) -> Result[RolloutStatus, str]:
    """Decode the whole status, under ``move``, of an encoded rollout status."""
    try:
        return Ok(msgspec.json.decode(data, type=_Status).move)
    except msgspec.MsgspecError as exc:
        return Err(f"status: {exc}")


def decode_announcement(target_id: str, data: bytes) -> Result[tuple[TargetEntry, str], str]:
    """Decode a target's announcement into its entry and its address."""
    try:
        announcement = msgspec.json.decode(data, type=_Announcement)
        cold_s = parse_duration(announcement.coldRemaining)
    except (msgspec.MsgspecError, ValueError) as exc:
        return Err(f"announcement: {exc}")
    state = TARGET_STATE_BY_NAME.get(announcement.state)
    if state is None:
        return Err(f"announcement: unknown state {announcement.state!r}")
    if (
        not target_id
        or announcement.slots < 1
        or not announcement.service
        or not announcement.address
    ):
        return Err(
            "announcement: id, service and address must not be empty and slots must be at least 1, "
            f"got slots {announcement.slots}"
        )
    warm_at_ms = int(time.time() * 1000 + cold_s * 1000) if cold_s else 0
    entry = TargetEntry(
        target_id=target_id,
        incarnation=announcement.born,
        sequence=announcement.seq,
        service=announcement.service,
        version=announcement.version,
        slots=announcement.slots,
        state=state,
        warm_at_ms=warm_at_ms,
    )
    return Ok((entry, announcement.address))


def _convert_configuration(document: _Configuration) -> Result[Routing, str]:
    services = {
        c.name: ServiceSettings(c.name, c.healthPath, c.maxConnections) for c in document.clusters
    }
    routes_by_host: dict[str, dict[str, Route]] = {}
    for listener in document.listeners:
        routes = routes_by_host.setdefault(listener.host, {})
        for rule in listener.ruleSet:
            match _convert_rule(listener.host, rule, services):
                case Err(reason):
                    return Err(f"configuration {document.version}: route {rule.name}: {reason}")
                case Ok(route):
                    routes[route.prefix] = route
    limits = document.limits
    return Ok(
        Routing(
            document.version,
            routes_by_host,
            services,
            Limits(
                limits.maxHeaderBytes,
                limits.maxBodyBytes,
                parse_duration(limits.headerTimeout),
                parse_duration(limits.idleTimeout),
            ),
        )
    )


def _convert_rule(host: str, rule: _Rule, services: t.Mapping[str, t.Any]) -> Result[Route, str]:
    action = rule.action
    weighted = [WeightedService(part.service, part.weight) for part in action.trafficSplit]
    if action.service is not None:
        weighted = [WeightedService(action.service, 1.0)]
    if not weighted or any(part.service not in services for part in weighted):
        return Err("names no service, or one that isn't defined")
    if sum(part.weight for part in weighted) <= 0 or any(part.weight < 0 for part in weighted):
        return Err("weights must not be negative and their sum must be positive")
    if rule.kind not in IDEMPOTENT_BY_KIND:
        return Err(f"unknown kind {rule.kind!r}")
    prefix = rule.match.pathPrefix
    if not (prefix.startswith("/") and prefix.endswith("/")) or action.maxAttempts < 1:
        return Err(
            f"prefix {prefix!r} must begin and end with a slash, and maxAttempts "
            f"{action.maxAttempts} must be at least 1"
        )
    return Ok(
        Route(
            name=rule.name,
            host=host,
            prefix=prefix,
            services=tuple(weighted),
            idempotent=IDEMPOTENT_BY_KIND[rule.kind],
            timeout_s=parse_duration(action.timeout),
            latency_objective_s=parse_duration(rule.targetLatency),
            max_attempts=action.maxAttempts,
            priority=rule.priority,
        )
    )
