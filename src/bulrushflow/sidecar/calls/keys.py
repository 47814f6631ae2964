"""Check of the API key of a caller's request, and of its organisation's allowance."""

import math
import typing as t

import msgspec
from multidict import CIMultiDictProxy
from result import Err
from result import Ok
from result import Result

from bulrushflow.metrics import Metrics
from bulrushflow.organisations import KeyRefusal
from bulrushflow.organisations import Organisation
from bulrushflow.overload import ServiceTimes
from bulrushflow.sidecar.calls.allowances import AllowanceService
from bulrushflow.sidecar.calls.headers import AUTHORIZATION
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.model import Route
from bulrushflow.sidecar.model import Routing
from bulrushflow.sidecar.records.replica import Replica

UNAUTHORIZED = 401
TOO_MANY_REQUESTS = 429


class RefusedRequest(msgspec.Struct, frozen=True):
    """The response to a request without a valid key or beyond its organisation's allowance."""

    status: int
    reason: str
    retry_after_s: float | None = None

    @property
    def headers(self) -> dict[str, str]:
        """The headers of the response that depend on the refusal."""
        if self.status == UNAUTHORIZED:
            return {"WWW-Authenticate": "Bearer"}
        if self.retry_after_s is None:
            return {}
        # Rounded up, since a caller that comes back too early is refused again.
        return {"Retry-After": f"{math.ceil(self.retry_after_s * 100) / 100:.2f}"}


class KeyCheck:
    """Identifies the organisation of each request in the configuration in force.

    :param orders: replica of the operator's records, which the configuration is one of.
    :param response_times: usual time to an answer by route.
    """

    __slots__ = ("_allowances", "_decisions", "_metrics", "_orders", "_response_times")

    def __init__(
        self,
        orders: Replica,
        allowances: AllowanceService,
        response_times: ServiceTimes,
        metrics: Metrics,
        decisions: DecisionLog,
    ) -> None:
        self._allowances = allowances
        self._response_times = response_times
        self._orders = orders
        self._metrics = metrics
        self._decisions = decisions

    async def admit(
        self, headers: "CIMultiDictProxy[str]", route: Route, routing: Routing, request_id: str
    ) -> Result[Organisation | None, RefusedRequest]:
        """Identify a request's organisation, and count the request against its allowance."""
        found = self.identify(headers, route, routing, request_id)
        organisation = found.unwrap_or(None)
        if organisation is None or not organisation.rate_per_s:
            return found
        # Beyond it the answer would be late, and the caller is better told when there is room.
        wait_s = max(0.0, route.latency_objective_s - self._response_times.mean_s(route.name))
        retry_after_s = await self._allowances.admit(organisation.name, wait_s)
        if retry_after_s is None:
            return found
        return Err(self.beyond_allowance(organisation, retry_after_s))

    def beyond_allowance(self, organisation: Organisation, retry_after_s: float) -> RefusedRequest:
        """Return the refusal of a request beyond its organisation's allowance."""
        reason = f"{organisation.name} is beyond its limit of {organisation.rate_per_s:g} calls/s"
        return RefusedRequest(TOO_MANY_REQUESTS, reason, retry_after_s)

    def identify(
        self, headers: "CIMultiDictProxy[str]", route: Route, routing: Routing, request_id: str
    ) -> Result[Organisation | None, RefusedRequest]:
        """Return the organisation of a request, or ``None`` for one that needs no key.

        A refusal is final (401) only if no newer configuration, which may have the key, can be
        missing here.
        """
        found = _find(headers.getall(AUTHORIZATION, []), route, routing)
        return found.map_err(lambda refusal: self._refuse(refusal, route, routing, request_id))

    def check(
        self, authorizations: t.Sequence[str], route: Route, routing: Routing
    ) -> Result[Organisation | None, RefusedRequest]:
        """Decide as :meth:`identify` does, without counting or logging a refusal."""
        found = _find(authorizations, route, routing)
        return found.map_err(lambda refusal: self._refused(refusal, routing))

    def _refuse(
        self, refusal: KeyRefusal, route: Route, routing: Routing, request_id: str
    ) -> RefusedRequest:
        refused = self._refused(refusal, routing)
        self._metrics.count_key_refusal(refusal.value, refused.status)
        self._decisions.event(
            "key refused",
            request=request_id,
            route=route.name,
            status=refused.status,
            reason=refusal.value,
            configuration=routing.version,
            records_behind=self._orders.records_behind,
            store_connected=self._orders.connected,
        )
        return refused

    def _refused(self, refusal: KeyRefusal, routing: Routing) -> RefusedRequest:
        current = self._orders.is_current
        reason = f"{refusal.value} in configuration {routing.version}"
        if not current:
            reason += ", which may be outdated"
        return RefusedRequest(UNAUTHORIZED if current else 503, reason)


def _find(
    authorizations: t.Sequence[str], route: Route, routing: Routing
) -> Result[Organisation | None, KeyRefusal]:
    if routing.organisations is None:
        return Ok(None)
    return routing.organisations.identify(authorizations, route.allow_anonymous)
