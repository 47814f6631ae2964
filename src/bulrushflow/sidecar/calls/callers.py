"""HTTP server for the callers on this instance."""

import asyncio
import math
import random
import typing as t

from aiohttp import web
from result import Err
from result import Ok
from result import Result

from bulrushflow.bodies import BodyReservation
from bulrushflow.bodies import read_body
from bulrushflow.metrics import Metrics
from bulrushflow.overload import OriginLimits
from bulrushflow.overload import ServiceTimes
from bulrushflow.routing import BodyStream
from bulrushflow.routing import ByteBudget
from bulrushflow.routing import Call
from bulrushflow.routing import CallFailure
from bulrushflow.routing import CallResult
from bulrushflow.routing import Outcome
from bulrushflow.routing import Response
from bulrushflow.routing import unknown
from bulrushflow.sidecar.calls.allowances import AllowanceService
from bulrushflow.sidecar.calls.call_builder import CallBuilder
from bulrushflow.sidecar.calls.dispatcher import Dispatcher
from bulrushflow.sidecar.calls.headers import HeaderNames
from bulrushflow.sidecar.calls.http_server import HttpServer
from bulrushflow.sidecar.calls.keys import KeyCheck
from bulrushflow.sidecar.calls.keys import RefusedRequest
from bulrushflow.sidecar.calls.outcomes import CallOutcomes
from bulrushflow.sidecar.calls.refusals import failure_status
from bulrushflow.sidecar.calls.responses import ResponseBuilder
from bulrushflow.sidecar.calls.route_lookup import MissingRoute
from bulrushflow.sidecar.calls.route_lookup import RouteLookup
from bulrushflow.sidecar.calls.streaming import StreamProgress
from bulrushflow.sidecar.calls.streaming import read_whole
from bulrushflow.sidecar.calls.streaming import stream_body
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.model import Route
from bulrushflow.sidecar.model import Routing
from bulrushflow.sidecar.records.replica import Replica

KEEPALIVE_TIMEOUT_S = 75.0
"""Idle time after which a caller's connection is closed; callers close theirs earlier."""
LAST_WRITE_S = 0.2
"""Time before a stop's end that is left for writing a response that was held until it was whole."""
MAX_LINE_BYTES = 64 << 10
MAX_HELD_BODY_BYTES = 24 << 20
"""Bound on the bodies that are held at the same time: those of requests, from the first byte to
the call's outcome, and those of responses that a stopping node completes before it passes them on.
A body is copied up to four times on its way, and instances have as little as 200 MB."""


class CallerServer:
    """Accepts HTTP requests as calls, dispatches them, and returns their outcomes as responses.

    :param routing: returns the configuration in force.
    :param rejected_configuration: returns why the newest configuration was rejected, or ``None``.
    :param orders: replica of the operator's records, which the configuration is one of.
    :param own_service: returns the service of this instance.
    :param limits: recognises calls that return, and says when refused ones should, if it is given.
    """

    def __init__(
        self,
        header_names: HeaderNames,
        routing: t.Callable[[], Routing],
        rejected_configuration: t.Callable[[], str | None],
        orders: Replica,
        own_service: t.Callable[[], str],
        dispatcher: Dispatcher,
        allowances: AllowanceService,
        metrics: Metrics,
        decisions: DecisionLog,
        rng: random.Random,
        limits: OriginLimits | None = None,
    ) -> None:
        self._limits = limits
        self._response_times = ServiceTimes()
        """Usual time to an answer by route, as this node's callers see it."""
        self._header_names = header_names
        self._calls = CallBuilder(
            header_names, routing, own_service, dispatcher.choose_service, limits
        )
        self.routes = RouteLookup(rejected_configuration, orders)
        self.keys = KeyCheck(orders, allowances, self._response_times, metrics, decisions)
        self._routing = routing
        self._orders = orders
        self._dispatcher = dispatcher
        self._metrics = metrics
        self.outcomes = CallOutcomes(metrics, decisions)
        self._decisions = decisions
        self._responses = ResponseBuilder(header_names, rng)
        self.body_budget = ByteBudget(MAX_HELD_BODY_BYTES)
        self.in_flight = 0
        self._server: HttpServer | None = None
        self.stopping = False
        """Whether each response closes its connection, which makes the caller open another one."""
        self._answer_by = math.inf
        """Event loop time by which each call has to be answered, since the node stops then."""
        self._timeouts: set[asyncio.Timeout] = set()
        """Timeouts of the calls in flight."""
        self.closed = False
        """Whether new calls are refused, since they might not complete before the process stops."""

    @property
    def busy(self) -> bool:
        """Whether a call is in flight, or a caller has not received the end of its response."""
        return self.in_flight > 0 or (self._server is not None and self._server.has_unsent)

    def server(self) -> web.Server:
        """Return the HTTP server. A caller that disconnects cancels its call."""
        self._server = HttpServer(
            self._handle,
            self._decisions,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
        )
        return self._server

    def stopping_refusal(self) -> RefusedRequest | None:
        """Return the refusal of all new requests, or ``None`` while they are accepted."""
        return RefusedRequest(503, "this node is stopping") if self.closed else None

    def begin_stop(self, answer_by: float) -> None:
        """Close each connection with its response, and answer all calls by a time.

        :param answer_by: event loop time.
        """
        self.stopping = True
        self._answer_by = answer_by
        for timeout in self._timeouts:
            timeout.reschedule(answer_by)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        refused = self.stopping_refusal()
        if refused is not None:
            request_id = request.headers.get(self._header_names.request_id, "")
            rejection = self._responses.error(request_id, refused.status, refused.reason)
            rejection.force_close()
            return rejection
        self.in_flight += 1
        try:
            response = await self._serve(request)
            if response.prepared:
                # Its body was written as it arrived.
                return response
            if self.stopping:
                response.force_close()
            try:
                await response.prepare(request)
                await response.write_eof()
            except ConnectionResetError:
                # The caller disconnected while the response was sent.
                self._decisions.event(
                    "caller left before its answer",
                    request=request.headers.get(self._header_names.request_id),
                    status=response.status,
                )
            return response
        finally:
            self.in_flight -= 1

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        started_at = asyncio.get_running_loop().time()
        request_id = request.headers.get(self._header_names.request_id, "")
        routing = self._routing()
        match self.routes.find(routing, request.headers.get("Host", ""), request.raw_path):
            case Err(refused):
                if isinstance(refused, MissingRoute):
                    self._log_missing_route(request, request_id, routing.version, refused.status)
                return self._responses.error(request_id, refused.status, refused.reason)
            case Ok(route):
                pass
        if not request_id:
            reason = f"missing header {self._header_names.request_id}"
            return self._responses.error(request_id, 400, reason)
        match await self.keys.admit(request.headers, route, routing, request_id):
            case Err(refused):
                return self._responses.refused(request_id, refused)
            case Ok(_):
                pass
        deadline = min(started_at + self._calls.timeout_s(request, route), self._answer_by)
        with BodyReservation(self.body_budget) as reservation:
            max_bytes = routing.limits.max_body_bytes
            match await self._read_body(request, max_bytes, deadline, reservation):
                case Err(response):
                    return response
                case Ok(body):
                    pass
            # A key may be withdrawn while the body arrives, which takes seconds on slow links.
            in_force = self._routing()
            match self.keys.identify(request.headers, route, in_force, request_id):
                case Err(refused):
                    return self._responses.refused(request_id, refused)
                case Ok(organisation):
                    pass
            call = self._calls.build(request, route, body, started_at, deadline)
            if in_force.organisations is not None:
                call = self._calls.with_organisation(call, organisation)
            caller_deadline = started_at + self._calls.caller_timeout_s(request)
            return await self._run(
                request, route, call, routing.version, started_at, caller_deadline
            )

    async def _run(
        self,
        request: web.BaseRequest,
        route: Route,
        call: Call,
        version: int,
        started_at: float,
        caller_deadline: float,
    ) -> web.StreamResponse:
        running = self._dispatcher.dispatch(route, call)
        result = await self._until_stop(
            call,
            running,
            lambda: unknown("this node stops, and the target has not answered"),
            started_at,
        )
        if result.is_ok() and result.unwrap().stream is not None:
            size = t.cast(BodyStream, result.unwrap().stream).total
            if not self.stopping or not self.body_budget.reserve(size):
                return await self._stream(request, call, result.unwrap(), version, started_at)
            try:
                result = await self._receive_whole(call, result.unwrap(), started_at)
            finally:
                self.body_budget.release(size)
        seconds = self.outcomes.count(call, result, started_at)
        return self._result_response(call, result, version, seconds, caller_deadline)

    async def _receive_whole(
        self, call: Call, target_response: Response, started_at: float
    ) -> CallResult:
        """Return a response once all of its body is there, or a failure while there is time.

        A response whose status was sent could only be cut where this node stops before its end.
        """
        progress = StreamProgress(t.cast(BodyStream, target_response.stream).total)
        deadline = min(call.deadline, self._answer_by - LAST_WRITE_S)
        return await self._until_stop(
            call,
            read_whole(target_response, deadline, progress),
            lambda: progress.broken_off("this node stops"),
            started_at,
        )

    async def _stream(
        self,
        request: web.BaseRequest,
        call: Call,
        target_response: Response,
        version: int,
        started_at: float,
    ) -> web.StreamResponse:
        """Pass a response on as its body arrives; the call's outcome is recorded at its end."""
        response = web.StreamResponse(
            status=target_response.status, headers=self._responses.headers(call, target_response)
        )
        if self.stopping:
            response.force_close()
        progress = StreamProgress(t.cast(BodyStream, target_response.stream).total)
        streaming = stream_body(request, response, target_response, call.deadline, progress)
        try:
            result = await self._until_stop(
                call, streaming, lambda: progress.broken_off("this node stops"), started_at
            )
        except ConnectionResetError:
            # A write noticed the disconnect before this task was cancelled for it.
            self.outcomes.record_cancelled(call, started_at)
            return response
        seconds = self.outcomes.count(call, result, started_at)
        if result.is_ok():
            self._response_times.record(call.route, seconds)
            self.outcomes.log_answered(call, target_response, version, seconds)
        else:
            status = target_response.status
            self.outcomes.log_failed(call, result.unwrap_err(), status, version, seconds)
        return response

    def _log_missing_route(
        self, request: web.BaseRequest, request_id: str, version: int, status: int
    ) -> None:
        self._decisions.event(
            "no route",
            request=request_id,
            status=status,
            host=request.headers.get("Host"),
            path=request.raw_path,
            configuration=version,
            records_behind=self._orders.records_behind,
            store_connected=self._orders.connected,
        )

    async def _until_stop(
        self,
        call: Call,
        running: t.Coroutine[t.Any, t.Any, CallResult],
        stopped: t.Callable[[], CallResult],
        started_at: float,
    ) -> CallResult:
        """Return a call's result, or that of ``stopped`` once this node has to stop."""
        timeout = asyncio.timeout_at(None if math.isinf(self._answer_by) else self._answer_by)
        try:
            async with timeout:
                self._timeouts.add(timeout)
                return await running
        except TimeoutError:
            return stopped()
        except asyncio.CancelledError:
            self.outcomes.record_cancelled(call, started_at)
            raise
        finally:
            self._timeouts.discard(timeout)

    def _retry_after_s(self, call: Call, caller_deadline: float) -> float | None:
        """Return when a refused caller should come back; ``None`` if nothing is known of that."""
        if self._limits is None:
            return None
        now = asyncio.get_running_loop().time()
        backlog_s = self._dispatcher.backlog_s(call.service)
        left_s = max(0.0, caller_deadline - now)
        useful_s = call.late_after - now - self._response_times.mean_s(call.route)
        return self._limits.planner.wait_s(backlog_s, useful_s, left_s)

    async def _read_body(
        self,
        request: web.BaseRequest,
        max_bytes: int,
        deadline: float,
        reservation: BodyReservation,
    ) -> Result[bytes, web.Response]:
        """Return the body, or the response to a request whose body is refused."""
        request_id = request.headers[self._header_names.request_id]
        try:
            async with asyncio.timeout_at(deadline):
                read = await read_body(request, max_bytes, reservation)
        except TimeoutError:
            reason = "the body did not arrive before the call's deadline"
            response = self._responses.error(request_id, 408, reason)
        else:
            match read:
                case Ok(body):
                    return Ok(body)
                case Err(error):
                    pass
            response = self._responses.error(request_id, error.status, error.reason)
        # The rest of the body would be taken for the next request.
        response.force_close()
        return Err(response)

    def _result_response(
        self,
        call: Call,
        result: CallResult,
        version: int,
        seconds: float,
        caller_deadline: float,
    ) -> web.Response:
        match result:
            case Ok(target_response):
                if not target_response.is_failure:
                    self._response_times.record(call.route, seconds)
                self.outcomes.log_answered(call, target_response, version, seconds)
                return self._responses.forwarded(call, target_response)
            case Err(failure):
                return self._failure_response(call, failure, version, seconds, caller_deadline)

    def _failure_response(
        self,
        call: Call,
        failure: CallFailure,
        version: int,
        seconds: float,
        caller_deadline: float,
    ) -> web.Response:
        status = failure_status(failure)
        if (
            failure.outcome is Outcome.UNKNOWN
            and asyncio.get_running_loop().time() >= call.deadline
        ):
            status = 504
        wait_s = self._retry_after_s(call, caller_deadline) if status == 503 else None
        self.outcomes.log_failed(call, failure, status, version, seconds, wait_s)
        response = self._responses.error(
            call.request_id, status, failure.reason, failure.retry_after_s
        )
        if wait_s is not None:
            response.headers["Retry-After"] = f"{wait_s:.2f}"
        return response
