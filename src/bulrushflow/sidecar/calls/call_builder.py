"""Builds calls from callers' HTTP requests."""

import typing as t

from aiohttp import web
from msgspec.structs import replace

from bulrushflow.organisations import Organisation
from bulrushflow.overload import OriginLimits
from bulrushflow.routing import Call
from bulrushflow.sidecar.calls.headers import HeaderNames
from bulrushflow.sidecar.calls.request_headers import RequestHeaders
from bulrushflow.sidecar.model import Route
from bulrushflow.sidecar.model import Routing

DEFAULT_TIMEOUT_S = 60.0
"""Timeout of a call whose caller sets none; the route's shorter timeout applies as well."""


class CallBuilder:
    """Builds calls, with the time that their callers have left for them.

    :param routing: returns the configuration in force.
    :param own_service: returns the service of this instance.
    :param choose_service: returns one of a route's services.
    :param limits: recognises calls that return, if it is given.
    """

    __slots__ = (
        "_choose_service",
        "_header_names",
        "_limits",
        "_own_service",
        "_request_headers",
        "_routing",
    )

    def __init__(
        self,
        header_names: HeaderNames,
        routing: t.Callable[[], Routing],
        own_service: t.Callable[[], str],
        choose_service: t.Callable[[Route], str],
        limits: OriginLimits | None,
    ) -> None:
        self._header_names = header_names
        self._request_headers = RequestHeaders(header_names)
        self._routing = routing
        self._own_service = own_service
        self._choose_service = choose_service
        self._limits = limits

    def build(
        self,
        request: web.BaseRequest,
        route: Route,
        body: bytes,
        started_at: float,
        deadline: float,
    ) -> Call:
        """Return the call of a request whose body has arrived.

        :param started_at: event loop time at which the request arrived.
        :param deadline: event loop time.
        """
        headers = request.headers
        waited_s = self._waited_s(request, route, started_at)
        return Call(
            request_id=headers[self._header_names.request_id],
            tenant=self._own_service(),
            service=self._choose_service(route),
            version="",
            route=route.name,
            method=request.method,
            path=request.raw_path,
            headers=self._request_headers.passed_on(headers),
            body=body,
            deadline=deadline,
            idempotent=route.idempotent,
            priority=route.priority,
            late_after=started_at + max(0.0, route.latency_objective_s - waited_s),
        )

    def with_organisation(self, call: Call, organisation: Organisation | None) -> Call:
        """Return the call of an organisation, or of none, without its key."""
        headers = self._request_headers.without_key(call.headers)
        if organisation is None:
            return replace(call, headers=headers)
        priority = call_priority(call.priority, organisation)
        return replace(call, headers=headers, organisation=organisation.name, priority=priority)

    def timeout_s(self, request: web.BaseRequest, route: Route) -> float:
        """Return the time limit of a call in seconds: its caller's, or its route's if shorter."""
        return min(self.caller_timeout_s(request), route.timeout_s)

    def caller_timeout_s(self, request: web.BaseRequest) -> float:
        """Return the time limit that the caller set, in seconds."""
        return _parse_timeout_s(request.headers.get(self._header_names.timeout_ms))

    def _waited_s(self, request: web.BaseRequest, route: Route, started_at: float) -> float:
        """Return for how long the caller has been waiting for this call, if it is known."""
        # Beside callers that set no time limit, all others would seem to have little time left.
        if self._limits is None or self._header_names.timeout_ms not in request.headers:
            return 0.0
        routing = self._routing()
        waits = self._limits.caller_waits
        waits.configure(routing.version, routing.latency_objectives())
        return waits.record(route.name, self.caller_timeout_s(request), started_at)


def call_priority(route_priority: int, organisation: Organisation | None) -> int:
    """Return a call's priority: its organisation's, or else its route's."""
    if organisation is None or organisation.priority is None:
        return route_priority
    return organisation.priority


def _parse_timeout_s(text: str | None) -> float:
    """Return the seconds in a header given in milliseconds, at most ``DEFAULT_TIMEOUT_S``."""
    if text is None or not (text.isascii() and text.isdigit()):
        return DEFAULT_TIMEOUT_S
    return min(DEFAULT_TIMEOUT_S, int(text[:9]) / 1000)
