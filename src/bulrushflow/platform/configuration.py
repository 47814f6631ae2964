"""Decoding of the operator's configuration into the project's types."""

import typing as t

import msgspec
from result import Err
from result import Ok
from result import Result

from bulrushflow.documents import decode_document
from bulrushflow.platform.organisations import OrganisationsDecoder
from bulrushflow.platform.settings import parse_duration
from bulrushflow.sidecar.model import Limits
from bulrushflow.sidecar.model import Route
from bulrushflow.sidecar.model import Routing
from bulrushflow.sidecar.model import ServiceSettings
from bulrushflow.sidecar.model import WeightedService

CONFIGURATION_KEY = "config"
IDEMPOTENT_BY_KIND = {
    "safe": True,
    "download": True,
    "unsafe": False,
    "keyed": False,
    "upload": False,
}
"""Whether calls of a kind of route may be retried after they may have run."""


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
    allowAnonymous: bool = False  # noqa: N815  accepts calls without a key


class _Listener(msgspec.Struct):
    host: str
    ruleSet: list[msgspec.Raw]  # noqa: N815


class _Cluster(msgspec.Struct):
    name: str
    healthPath: str = "/health"  # noqa: N815
    maxConnections: int = 100  # noqa: N815  to one target, from all nodes
    coldStart: str = "0s"  # noqa: N815  for which a target is cold after its start
    coldPerS: float = 0.0  # noqa: N815  calls per second that a cold target can take; 0: no limit


class _Limits(msgspec.Struct):
    maxHeaderBytes: int = 16384  # noqa: N815
    maxBodyBytes: int = 67108864  # noqa: N815
    headerTimeout: str = "3s"  # noqa: N815
    idleTimeout: str = "15s"  # noqa: N815


class _Configuration(msgspec.Struct):
    version: int
    listeners: list[msgspec.Raw]
    clusters: msgspec.Raw
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: msgspec.Raw = msgspec.field(default_factory=msgspec.Raw)


class _HostRoutes(msgspec.Struct, frozen=True):
    """The decoded routes of one host."""

    host: str
    routes_by_document: t.Mapping[bytes, Route]
    routes_by_prefix: t.Mapping[str, Route]
    routes_by_service: t.Mapping[str, Route]
    """One of the routes that name the service."""


class ConfigurationDecoder:
    """Decodes configurations, and reuses the parts that didn't change since the last one.

    The operator sends the whole configuration with each change, which mostly concerns few routes.
    """

    __slots__ = ("_clusters", "_hosts_by_document", "_organisations", "_services")

    def __init__(self) -> None:
        self._hosts_by_document: dict[bytes, _HostRoutes] = {}
        self._clusters = b""
        """Document of the services of the last configuration."""
        self._services: t.Mapping[str, ServiceSettings] = {}
        self._organisations = OrganisationsDecoder()

    def decode(self, data: bytes) -> Result[Routing, str]:
        """Decode a configuration; one invalid part rejects all of it.

        A route of an unknown kind is valid and disabled: its operator knows a kind that this
        release doesn't, and the other routes must not wait for the next release.
        """
        match decode_document(data, _Configuration):
            case Err(reason):
                return Err(f"configuration: {reason}")
            case Ok(document):
                pass
        try:
            return self._convert(document)
        except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
            return Err(f"configuration: {exc}")

    def _convert(self, document: _Configuration) -> Result[Routing, str]:
        clusters = bytes(document.clusters)
        match self._decode_services(clusters):
            case Err(reason):
                return Err(f"configuration {document.version}: {reason}")
            case Ok(services):
                pass
        hosts_by_document: dict[bytes, _HostRoutes] = {}
        for raw in document.listeners:
            match self._host_routes(bytes(raw)):
                case Err(reason):
                    return Err(f"configuration {document.version}: {reason}")
                case Ok(host):
                    hosts_by_document[bytes(raw)] = host
            for service, route in host.routes_by_service.items():
                if service not in services:
                    return Err(
                        f"configuration {document.version}: route {route.name}: "
                        f"service {service!r} isn't defined"
                    )
        match self._organisations.decode(bytes(document.tenants)):
            case Err(reason):
                return Err(f"configuration {document.version}: {reason}")
            case Ok(organisations):
                pass
        self._hosts_by_document = hosts_by_document
        self._clusters = clusters
        self._services = services
        limits = document.limits
        return Ok(
            Routing(
                document.version,
                _merge_hosts(hosts_by_document.values()),
                services,
                Limits(
                    limits.maxHeaderBytes,
                    limits.maxBodyBytes,
                    parse_duration(limits.headerTimeout),
                    parse_duration(limits.idleTimeout),
                ),
                organisations,
            )
        )

    def _decode_services(self, clusters: bytes) -> Result[t.Mapping[str, ServiceSettings], str]:
        if clusters == self._clusters:
            return Ok(self._services)
        match decode_document(clusters, list[_Cluster]):
            case Err(reason):
                return Err(f"clusters: {reason}")
            case Ok(documents):
                pass
        services: dict[str, ServiceSettings] = {}
        for cluster in documents:
            match _convert_cluster(cluster):
                case Err(reason):
                    return Err(reason)
                case Ok(service_settings):
                    services[cluster.name] = service_settings
        return Ok(services)

    def _host_routes(self, document: bytes) -> Result[_HostRoutes, str]:
        known = self._hosts_by_document.get(document)
        if known is not None:
            return Ok(known)
        listener = msgspec.json.decode(document, type=_Listener)
        known_by_document = self._known_routes(listener.host)
        routes: list[Route] = []
        routes_by_document: dict[bytes, Route] = {}
        for raw in listener.ruleSet:
            rule_document = bytes(raw)
            route = known_by_document.get(rule_document)
            if route is None:
                match _decode_rule(listener.host, rule_document):
                    case Err(reason):
                        return Err(reason)
                    case Ok(route):
                        pass
            routes.append(route)
            routes_by_document[rule_document] = route
        return Ok(
            _HostRoutes(
                listener.host,
                routes_by_document,
                {route.prefix: route for route in routes},
                {part.service: route for route in routes for part in route.services},
            )
        )

    def _known_routes(self, host: str) -> t.Mapping[bytes, Route]:
        """Return the routes that the last configuration had for a host, by their documents."""
        routes: dict[bytes, Route] = {}
        for known in self._hosts_by_document.values():
            if known.host == host:
                routes |= known.routes_by_document
        return routes


def _merge_hosts(hosts: t.Iterable[_HostRoutes]) -> dict[str, t.Mapping[str, Route]]:
    routes_by_host: dict[str, t.Mapping[str, Route]] = {}
    for item in hosts:
        earlier = routes_by_host.get(item.host)
        routes = item.routes_by_prefix
        routes_by_host[item.host] = routes if earlier is None else {**earlier, **routes}
    return routes_by_host


def _convert_cluster(cluster: _Cluster) -> Result[ServiceSettings, str]:
    if cluster.coldPerS < 0:
        return Err(f"service {cluster.name!r}: coldPerS {cluster.coldPerS} must not be negative")
    return Ok(
        ServiceSettings(
            cluster.name,
            cluster.healthPath,
            cluster.maxConnections,
            parse_duration(cluster.coldStart),
            cluster.coldPerS,
        )
    )


def _decode_rule(host: str, document: bytes) -> Result[Route, str]:
    rule = msgspec.json.decode(document, type=_Rule)
    match _convert_rule(host, rule):
        case Err(reason):
            return Err(f"route {rule.name}: {reason}")
        case Ok(route):
            return Ok(route)


def _convert_rule(host: str, rule: _Rule) -> Result[Route, str]:
    action = rule.action
    weighted = [WeightedService(part.service, part.weight) for part in action.trafficSplit]
    if action.service is not None:
        weighted = [WeightedService(action.service, 1.0)]
    if not weighted:
        return Err("names no service")
    if sum(part.weight for part in weighted) <= 0 or any(part.weight < 0 for part in weighted):
        return Err("weights must not be negative and their sum must be positive")
    # A part of weight 0 is left out: its credit from an earlier weight would still bring it calls.
    weighted = [part for part in weighted if part.weight]
    disabled = "" if rule.kind in IDEMPOTENT_BY_KIND else f"unknown kind {rule.kind[:40]!r}"
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
            idempotent=IDEMPOTENT_BY_KIND.get(rule.kind, False),
            timeout_s=parse_duration(action.timeout),
            latency_objective_s=parse_duration(rule.targetLatency),
            max_attempts=action.maxAttempts,
            priority=rule.priority,
            disabled=disabled,
            allow_anonymous=rule.allowAnonymous,
        )
    )
