"""A node: what the sidecar does with a call and at a stop, around the product's own links.

``serve`` follows ``CallerServer``, ``_try_targets`` the dispatcher, and ``stop`` the sidecar's
``on_stop``: what changes there has to change here.
"""

import asyncio
import math
import random
import typing as t
from types import SimpleNamespace

from aiohttp import web
from result import Err
from result import Ok

from benchmarks.stop_model.callers import CallerConnection
from benchmarks.stop_model.callers import CallerRequest
from benchmarks.stop_model.callers import CallerResponse
from benchmarks.stop_model.ledger import CallEntry
from benchmarks.stop_model.links import ModelLinks
from benchmarks.stop_model.network import Uplink
from benchmarks.stop_model.scenario import Scenario
from benchmarks.stop_model.target import Target
from bulrushflow.metrics import Metrics
from bulrushflow.placement import LinkPacer
from bulrushflow.routing import BodyStream
from bulrushflow.routing import Call
from bulrushflow.routing import CallResult
from bulrushflow.routing import Outcome
from bulrushflow.routing import not_run
from bulrushflow.routing import unknown
from bulrushflow.sidecar.application import ANSWER_MARGIN_S
from bulrushflow.sidecar.application import DRAIN_POLL_S
from bulrushflow.sidecar.application import READINESS_PROPAGATION_S
from bulrushflow.sidecar.application import SHUTDOWN_MARGIN_S
from bulrushflow.sidecar.calls.admission_controller import AdmissionController
from bulrushflow.sidecar.calls.callers import LAST_WRITE_S
from bulrushflow.sidecar.calls.dispatcher import TARGET_NEWS_S
from bulrushflow.sidecar.calls.dispatcher import TARGET_POLL_S
from bulrushflow.sidecar.calls.forwarding import PeerForwarder
from bulrushflow.sidecar.calls.refusals import failure_status
from bulrushflow.sidecar.calls.streaming import StreamProgress
from bulrushflow.sidecar.calls.streaming import read_whole
from bulrushflow.sidecar.calls.streaming import stream_body
from bulrushflow.sidecar.calls.transfers import ResponseTransfers
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.listeners import CONNECTION_CLOSE_TIMEOUT_S
from bulrushflow.sidecar.records.directory import Peer
from bulrushflow.sidecar.records.replica import Replica

ROUTE = "downloads"
MAX_ATTEMPTS = 3
ERROR_BYTES = 300
ROUTE_LABELS = 4


class StopTimes(t.NamedTuple):
    """Times of a stop, in seconds; a test of the check changes them."""

    readiness_propagation_s: float = READINESS_PROPAGATION_S
    shutdown_margin_s: float = SHUTDOWN_MARGIN_S
    answer_margin_s: float = ANSWER_MARGIN_S


DEFAULT_STOP_TIMES: t.Final = StopTimes()


class Node:
    """One process of a node, from its start to its end.

    :param find: returns the node's process at an address; ``None`` while none runs there.
    :param target_addresses: addresses of the nodes that have a target.
    """

    def __init__(
        self,
        address: str,
        scenario: Scenario,
        uplink: Uplink,
        target: Target | None,
        find: "t.Callable[[str], Node | None]",
        target_addresses: t.Sequence[str],
        rng: random.Random,
        stop_times: StopTimes,
    ) -> None:
        self.address = address
        self.target = target
        self._scenario = scenario
        self._uplink = uplink
        self._find = find
        self._target_addresses = target_addresses
        self._rng = rng
        self._stop_times = stop_times
        pacer = LinkPacer(scenario.link_mbps)
        self.links = ModelLinks(address, uplink, pacer, self._find_links)
        decisions = DecisionLog()
        self.transfers = ResponseTransfers(pacer, Metrics(ROUTE_LABELS), decisions)
        orders = SimpleNamespace(offset=0, era=None, note_peer_offset=lambda offset, era: None)
        self._forwarder = PeerForwarder(
            self.links,
            t.cast(AdmissionController, target),
            t.cast(Replica, orders),
            lambda peer: True,
            self.transfers,
            decisions,
        )
        self._backlog_by_address: dict[str, tuple[float, float]] = {}
        self._calls: dict[asyncio.Task[None], CallerConnection] = {}
        self._connections: dict[int, CallerConnection] = {}
        self._answer_by = math.inf
        self._timeouts: dict[int, asyncio.Timeout] = {}
        self.stopped_at: float | None = None
        self.closed = False
        self.gone = False

    @property
    def busy(self) -> bool:
        """Whether a call is in flight, or a caller has not received the end of its response."""
        return bool(self._calls) or any(c.unsent_bytes for c in self._connections.values())

    def accept(self, entry: CallEntry, reading_mbps: float) -> None:
        """Take a call from its caller."""
        connection = CallerConnection(entry, self._uplink, reading_mbps)
        self._connections[entry.call] = connection
        task = asyncio.get_running_loop().create_task(self._serve(entry, connection))
        self._calls[task] = connection
        task.add_done_callback(lambda task: self._calls.pop(task, None))

    async def check_links(self) -> None:
        """Check the keep-alive of the connections to other nodes."""
        await self.links.check()

    def send_records(self, size: int) -> None:
        """Send records, which share the link."""
        self._uplink.transmit(size, lambda: None)
        self.links.sender.record_written(size)

    async def stop(self) -> None:
        """Stop as planned."""
        loop = asyncio.get_running_loop()
        self.stopped_at = loop.time()
        times = self._stop_times
        deadline = self.stopped_at + self._scenario.grace_s - times.shutdown_margin_s
        self._answer_by = deadline - times.answer_margin_s
        for timeout in self._timeouts.values():
            timeout.reschedule(self._answer_by)
        self._forwarder.begin_stop(self._answer_by)
        await asyncio.sleep(times.readiness_propagation_s)
        self.closed = True
        await self.links.drain(deadline - loop.time())
        await self._wait_idle(deadline)
        await self._close_connections()
        self.gone = True
        await self.links.on_stop()

    async def _wait_idle(self, deadline: float) -> None:
        while self.busy or (self.target is not None and self.target.in_flight):
            if asyncio.get_running_loop().time() >= deadline:
                return
            await asyncio.sleep(DRAIN_POLL_S)

    async def _close_connections(self) -> None:
        """End the callers' connections, which have some time to send what they hold."""
        await self._wait_idle(asyncio.get_running_loop().time() + CONNECTION_CLOSE_TIMEOUT_S)
        for task in list(self._calls):
            task.cancel()
        if self._calls:
            await asyncio.wait(list(self._calls))
        for connection in self._connections.values():
            connection.end()

    async def _serve(self, entry: CallEntry, connection: CallerConnection) -> None:
        if self.closed:
            await self._answer(connection, 503, ERROR_BYTES)
            return
        now = asyncio.get_running_loop().time()
        call = self._call(entry, now)
        stopped = unknown("this node stops, and the target has not answered")
        result = await self._until_stop(entry.call, self._dispatch(call), stopped)
        if result.is_ok() and result.unwrap().stream is not None:
            if math.isinf(self._answer_by):
                await self._stream(entry, call, connection, result)
                return
            response = result.unwrap()
            progress = StreamProgress(t.cast(BodyStream, response.stream).total)
            until = min(call.deadline, self._answer_by - LAST_WRITE_S)
            whole = read_whole(response, until, progress)
            result = await self._until_stop(entry.call, whole, stopped)
        match result:
            case Ok(response):
                await self._answer(connection, response.status, len(response.body))
            case Err(failure):
                await self._answer(connection, failure_status(failure), ERROR_BYTES)

    def _call(self, entry: CallEntry, now: float) -> Call:
        deadline = min(entry.timeout_at, self._answer_by)
        return Call(
            request_id=str(entry.call),
            tenant="caller",
            service="maps",
            version="",
            route=ROUTE,
            method="GET",
            path="/",
            headers=(),
            body=b"",
            deadline=deadline,
            idempotent=True,
            late_after=now + self._scenario.objective_s,
        )

    async def _answer(self, connection: CallerConnection, status: int, size: int) -> None:
        connection.entry.begin(status, size)
        await connection.write(size)

    async def _stream(
        self, entry: CallEntry, call: Call, connection: CallerConnection, result: CallResult
    ) -> None:
        response = result.unwrap()
        streaming = stream_body(
            t.cast(web.BaseRequest, CallerRequest(connection)),
            t.cast(web.StreamResponse, CallerResponse(connection)),
            response,
            call.deadline,
            StreamProgress(t.cast(BodyStream, response.stream).total),
        )
        await self._until_stop(entry.call, streaming, unknown("this node stops"))

    async def _until_stop(
        self, key: int, running: t.Coroutine[t.Any, t.Any, CallResult], stopped: CallResult
    ) -> CallResult:
        timeout = asyncio.timeout_at(None if math.isinf(self._answer_by) else self._answer_by)
        try:
            async with timeout:
                self._timeouts[key] = timeout
                return await running
        except TimeoutError:
            return stopped
        finally:
            self._timeouts.pop(key, None)

    async def _dispatch(self, call: Call) -> CallResult:
        try:
            async with asyncio.timeout_at(call.deadline):
                return await self._try_targets(call)
        except TimeoutError:
            return unknown("no answer in time")

    async def _try_targets(self, call: Call) -> CallResult:
        loop = asyncio.get_running_loop()
        result = not_run("no target")
        wait_until = loop.time() + TARGET_NEWS_S
        pause_s = TARGET_POLL_S
        possible_runs = 0
        tried: set[str] = set()
        while loop.time() < call.deadline:
            address = self._choose(tried)
            if address is None:
                if possible_runs or loop.time() + pause_s > wait_until:
                    break
                tried.clear()
                await asyncio.sleep(pause_s)
                pause_s *= 2
                continue
            tried.add(address)
            result = await self._attempt(address, call)
            if result.is_ok() or result.unwrap_err().outcome not in _RETRIED:
                break
            wait_until = max(wait_until, call.late_after)
            possible_runs += result.unwrap_err().outcome is Outcome.UNKNOWN
            if possible_runs >= MAX_ATTEMPTS:
                break
        return result

    async def _attempt(self, address: str, call: Call) -> CallResult:
        if address == self.address:
            return await t.cast(Target, self.target).run(call)
        entry = SimpleNamespace(endpoint=(address, 0), answers_admission=True)
        peer = SimpleNamespace(entry=entry, named_limit=None)
        result, report = await self._forwarder.send(t.cast(Peer, peer), call)
        now = asyncio.get_running_loop().time()
        self._backlog_by_address[address] = now, report.link_backlog_s
        return result

    def _choose(self, tried: set[str]) -> str | None:
        """Return the target that should answer first by the backlog that its node reported."""
        now = asyncio.get_running_loop().time()

        def backlog_s(address: str) -> tuple[float, float]:
            reported_at, backlog = self._backlog_by_address.get(address, (now, 0.0))
            return max(0.0, backlog - (now - reported_at)), self._rng.random()

        left = [address for address in self._target_addresses if address not in tried]
        left = [address for address in left if self._is_reachable(address)]
        return min(left, key=backlog_s) if left else None

    def _is_reachable(self, address: str) -> bool:
        node = self._find(address)
        return node is not None and (node is self or node.links.accepting)

    def _find_links(self, address: str) -> ModelLinks | None:
        node = self._find(address)
        return None if node is None else node.links


_RETRIED: t.Final = frozenset({Outcome.NOT_RUN, Outcome.UNKNOWN})
