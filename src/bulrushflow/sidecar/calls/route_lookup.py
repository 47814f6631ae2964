"""Look-up of a request's route, and the refusal of a request without one."""

import typing as t

from result import Err
from result import Ok
from result import Result

from bulrushflow.sidecar.calls.keys import RefusedRequest
from bulrushflow.sidecar.model import Route
from bulrushflow.sidecar.model import Routing
from bulrushflow.sidecar.records.replica import Replica


class MissingRoute(RefusedRequest, frozen=True):
    """The response to a request that no route matches."""


class RouteLookup:
    """Finds the routes of requests; changes nothing.

    :param rejected_configuration: returns why the newest configuration was rejected, or ``None``.
    :param orders: replica of the operator's records, which the configuration is one of.
    """

    __slots__ = ("_orders", "_rejected_configuration")

    def __init__(self, rejected_configuration: t.Callable[[], str | None], orders: Replica) -> None:
        self._rejected_configuration = rejected_configuration
        self._orders = orders

    def find(self, routing: Routing, host: str, path: str) -> Result[Route, RefusedRequest]:
        """Return the route of a request, or its refusal if it has none or a disabled one.

        :param path: the path as sent, with its query.
        """
        if not routing.version:
            return Err(RefusedRequest(503, self._missing_configuration_reason()))
        route = routing.match(host.lower(), path)
        if route is None:
            return Err(self._missing_route(routing.version))
        if route.disabled:
            return Err(RefusedRequest(503, f"route {route.name} is disabled: {route.disabled}"))
        return Ok(route)

    def _missing_configuration_reason(self) -> str:
        rejected = self._rejected_configuration()
        if rejected is None:
            return "no configuration received yet"
        return f"the only configuration received was rejected: {rejected}"

    def _missing_route(self, version: int) -> MissingRoute:
        """Return 404, which is final for callers, only if no newer configuration may be missing."""
        reason = f"no route in configuration {version}"
        if self._orders.is_current:
            return MissingRoute(404, reason)
        return MissingRoute(503, reason + ", which may be outdated")
