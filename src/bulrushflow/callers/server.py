"""The HTTP server for callers."""

import asyncio
import typing as t
import uuid

from aiohttp import web
from loguru import logger
from result import Err
from result import Ok
from result import Result

from bulrushflow.bodies import BodyReservation
from bulrushflow.bodies import read_body
from bulrushflow.callers.dispatcher import Dispatcher
from bulrushflow.callers.responses import refusal_response
from bulrushflow.callers.responses import to_http_response
from bulrushflow.configuration import Configuration
from bulrushflow.configuration import ConfigurationStore
from bulrushflow.configuration import Route
from bulrushflow.metrics import Metrics
from bulrushflow.routing import ByteBudget
from bulrushflow.routing import Call
from bulrushflow.routing import CallResult
from bulrushflow.routing import match_route
from bulrushflow.routing import outcome_label
from bulrushflow.settings import CallSettings
from bulrushflow.targets.client import ATTEMPT_HEADER
from bulrushflow.targets.client import HOP_BY_HOP_HEADERS
from bulrushflow.targets.client import REQUEST_ID_HEADER
from bulrushflow.targets.client import TENANT_HEADER
from bulrushflow.targets.client import TIMEOUT_HEADER
from bulrushflow.unsent import has_unsent

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})
STRIPPED_REQUEST_HEADERS = HOP_BY_HOP_HEADERS | {
    ATTEMPT_HEADER,
    "expect",
    REQUEST_ID_HEADER,
    TENANT_HEADER,
    TIMEOUT_HEADER,
}
NO_TENANT = "none"
MAX_ATTEMPT = 1_000
MAX_NUMBER_DIGITS = 9
WRITE_TIMEOUT_S = 10.0
"""Time within which a caller has to read its response before its connection is closed."""
DRAIN_QUIET_S = 0.5
"""Time without a request after which a draining node may close its callers' connections."""
DRAIN_POLL_S = 0.05


class CallerServer:
    """Accepts HTTP requests, dispatches them as calls, and returns the results.

    :param byte_budget: bounds the buffered bytes of request bodies and responses.
    :param is_ready: returns whether this node may accept calls.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        dispatcher: Dispatcher,
        metrics: Metrics,
        settings: CallSettings,
        byte_budget: ByteBudget,
        is_ready: t.Callable[[], bool],
    ) -> None:
        self._store = store
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._settings = settings
        self._byte_budget = byte_budget
        self._is_ready = is_ready
        self._in_flight = 0
        self._server: web.Server | None = None
        self._draining = False
        self._last_refused_at = 0.0

    def server(self) -> web.Server:
        """Return the low-level HTTP server; it cancels the call of a caller that disconnects."""
        self._server = web.Server(
            self._handle, handler_cancellation=True, access_log=None, auto_decompress=False
        )
        return self._server

    @property
    def _busy(self) -> bool:
        """Whether a call is in flight, or a caller has not received the end of its response."""
        return self._in_flight > 0 or (self._server is not None and has_unsent(self._server))

    async def drain(self, timeout_s: float) -> bool:
        """Refuse new calls and wait for those in flight; return whether all ended.

        A call has ended once its response has left this process.

        Every response closes its connection, so that callers connect to another node. The drain
        ends only after ``DRAIN_QUIET_S`` without a request, since a request that is sent on a
        connection that is just being closed would be lost.

        :param timeout_s: time after which the drain ends in any case.
        """
        self._draining = True
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while loop.time() - started_at < timeout_s:
            quiet_s = loop.time() - max(self._last_refused_at, started_at)
            if not self._busy and quiet_s >= DRAIN_QUIET_S:
                return True
            await asyncio.sleep(DRAIN_POLL_S)
        return not self._busy

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if self._draining or not self._is_ready():
            self._last_refused_at = asyncio.get_running_loop().time()
            return refusal_response(503, "this node is not ready or is draining", close=True)
        if self._in_flight >= self._settings.max_in_flight:
            return refusal_response(
                503,
                f"too many calls in flight at this node: {self._in_flight}, "
                f"at most {self._settings.max_in_flight} are accepted",
            )
        self._in_flight += 1
        try:
            response = await self._handle_call(request)
            if self._draining:
                response.force_close()
            # Written here, not by the server afterwards, so that a drain waits for it.
            return await self._write(request, response)
        finally:
            self._in_flight -= 1

    async def _write(self, request: web.BaseRequest, response: web.Response) -> web.Response:
        size = response.content_length or 0
        self._byte_budget.force_reserve(size)
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                await response.prepare(request)
                await response.write_eof()
        except TimeoutError:
            logger.warning(
                "caller did not read its response within {} s; closing its connection",
                WRITE_TIMEOUT_S,
            )
            if request.transport is not None:
                request.transport.abort()
        finally:
            self._byte_budget.release(size)
        return response

    async def _handle_call(self, request: web.BaseRequest) -> web.Response:
        started_at = asyncio.get_running_loop().time()
        configuration = self._store.current
        route = match_route(configuration, request.path)
        if route is None:
            return refusal_response(404, f"no route for {request.path}")
        if not _is_utf8(request):
            return refusal_response(400, "the path and the headers must be UTF-8")
        with BodyReservation(self._byte_budget) as reservation:
            match await self._read_body(request, route, started_at, reservation):
                case Err(response):
                    return response
                case Ok(body):
                    call = _build_call(request, route, body, started_at)
                    return await self._run(configuration, call, started_at)

    async def _read_body(
        self,
        request: web.BaseRequest,
        route: Route,
        started_at: float,
        reservation: BodyReservation,
    ) -> Result[bytes, web.Response]:
        """Return the body, or the response to a request whose body is refused."""
        try:
            async with asyncio.timeout_at(started_at + route.timeout_ms / 1000):
                read = await read_body(request, self._settings.max_body_bytes, reservation)
        except TimeoutError:
            reason = f"the body did not arrive in time (within {route.timeout_ms} ms)"
            return Err(refusal_response(408, reason, close=True))
        return read.map_err(lambda error: refusal_response(error.status, error.reason, close=True))

    async def _run(
        self, configuration: Configuration, call: Call, started_at: float
    ) -> web.Response:
        result = await self._dispatch(configuration, call)
        seconds = asyncio.get_running_loop().time() - started_at
        self._metrics.observe_call(call.tenant, call.service, outcome_label(result), seconds)
        return to_http_response(call, result)

    async def _dispatch(self, configuration: Configuration, call: Call) -> CallResult:
        try:
            return await self._dispatcher.dispatch(configuration, call)
        except asyncio.CancelledError:
            self._metrics.observe_call(call.tenant, call.service, "cancelled", 0.0)
            raise


def _build_call(request: web.BaseRequest, route: Route, body: bytes, started_at: float) -> Call:
    headers = request.headers
    return Call(
        request_id=headers.get(REQUEST_ID_HEADER) or uuid.uuid4().hex,
        tenant=headers.get(TENANT_HEADER) or NO_TENANT,
        service=route.service,
        version="",
        route=route.path,
        method=request.method,
        path=request.raw_path,
        headers=tuple(
            (k, v) for k, v in headers.items() if k.lower() not in STRIPPED_REQUEST_HEADERS
        ),
        body=body,
        deadline=started_at + _parse_number(headers.get(TIMEOUT_HEADER), route.timeout_ms) / 1000,
        idempotent=request.method in IDEMPOTENT_METHODS or route.is_idempotent(request.method),
        attempt=min(MAX_ATTEMPT, _parse_number(headers.get(ATTEMPT_HEADER), MAX_ATTEMPT, 0)),
    )


def _parse_number(text: str | None, limit: int, default: int | None = None) -> int:
    """Return the number in a header, at most ``limit``.

    Without a valid number, return ``default``, or ``limit`` if there is no default.
    """
    if text is None or not (text.isascii() and text.isdigit()):
        return limit if default is None else default
    return limit if len(text) > MAX_NUMBER_DIGITS else min(limit, int(text))


def _is_utf8(request: web.BaseRequest) -> bool:
    # aiohttp decodes other bytes to surrogate escapes, and refuses to forward those.
    try:
        "".join(request.headers.values()).encode()
        request.raw_path.encode()
    except UnicodeEncodeError:
        return False
    return True
