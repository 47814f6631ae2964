"""Check of the API key of a caller's request."""

import msgspec
from multidict import CIMultiDictProxy
from result import Ok
from result import Result

from bulrushflow.metrics import Metrics
from bulrushflow.organisations import KeyRefusal
from bulrushflow.organisations import Organisation
from bulrushflow.sidecar.calls.headers import AUTHORIZATION
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.model import Route
from bulrushflow.sidecar.model import Routing
from bulrushflow.sidecar.records.replica import Replica


class RefusedKey(msgspec.Struct, frozen=True):
    """The response to a request without a valid key."""

    status: int
    reason: str


class KeyCheck:
    """Identifies the organisation of each request in the configuration in force.

    :param orders: replica of the operator's records, which the configuration is one of.
    """

    __slots__ = ("_decisions", "_metrics", "_orders")

    def __init__(self, orders: Replica, metrics: Metrics, decisions: DecisionLog) -> None:
        self._orders = orders
        self._metrics = metrics
        self._decisions = decisions

    def identify(
        self, headers: "CIMultiDictProxy[str]", route: Route, routing: Routing, request_id: str
    ) -> Result[Organisation | None, RefusedKey]:
        """Return the organisation of a request, or ``None`` for one that needs no key.

        A refusal is final (401) only if no newer configuration, which may have the key, can be
        missing here.
        """
        if routing.organisations is None:
            return Ok(None)
        found = routing.organisations.identify(
            headers.getall(AUTHORIZATION, []), route.allow_anonymous
        )
        return found.map_err(lambda refusal: self._refuse(refusal, route, routing, request_id))

    def _refuse(
        self, refusal: KeyRefusal, route: Route, routing: Routing, request_id: str
    ) -> RefusedKey:
        current = self._orders.is_current
        status = 401 if current else 503
        self._metrics.count_key_refusal(refusal.value, status)
        self._decisions.event(
            "key refused",
            request=request_id,
            route=route.name,
            status=status,
            reason=refusal.value,
            configuration=routing.version,
            records_behind=self._orders.records_behind,
            store_connected=self._orders.connected,
        )
        reason = f"{refusal.value} in configuration {routing.version}"
        if not current:
            reason += ", which may be outdated"
        return RefusedKey(status, reason)
