"""Forwarding of calls between nodes."""

import asyncio
import math
import typing as t

import msgspec
from result import Err
from result import Ok

from bulrushflow.bodies import BodyReservation
from bulrushflow.bodies import no_space_error
from bulrushflow.placement import WorkReport
from bulrushflow.routing import ByteBudget
from bulrushflow.routing import Call
from bulrushflow.routing import CallResult
from bulrushflow.routing import not_run
from bulrushflow.routing import refused
from bulrushflow.routing import unknown
from bulrushflow.sidecar.calls.admission_controller import AdmissionController
from bulrushflow.sidecar.calls.body_reservations import BodyReservations
from bulrushflow.sidecar.calls.transfers import ResponseTransfers
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.model import NamedLimit
from bulrushflow.sidecar.records.directory import Peer
from bulrushflow.sidecar.records.replica import Replica
from bulrushflow.wire import codec
from bulrushflow.wire import messages
from bulrushflow.wire.link import Link
from bulrushflow.wire.links import Links
from bulrushflow.wire.transfers import ChunkedResponse

CONNECT_TIMEOUT_S = 0.3
"""Time that a call waits for a connection to a node before another target is tried."""
CONNECT_TIME_FRACTION = 0.9
"""Fraction of a call's remaining time that it spends on steps before it is sent."""
LARGE_BODY_BYTES = 8 << 10
"""Size from which on a body is sent only to a node that would admit its call. An admission request
takes some 300 bytes and a round trip."""
ADMISSION_TIMEOUT_S = 1.0
"""Time after which a node that answers no admission request counts as unreachable."""
MAX_REPORTED_MS = 3_600_000
"""Bound on reported times, which have 32 bits in a message."""
MAX_HELD_BODY_BYTES = 24 << 20
"""Bound on the bodies of other nodes' calls that wait here or run at the target."""
MIN_RECHECK_INTERVAL_S = 0.02
MAX_RECHECK_INTERVAL_S = 1.5
"""Bounds of the exponential backoff between attempts to connect to an unreachable node."""


class PeerReport(msgspec.Struct, frozen=True):
    """What one attempt showed about the other node, besides the call's outcome."""

    reached: bool
    """Whether the node responded at all."""
    load: float | None = None
    """Calls per slot; ``None`` while the node's target accepts no calls."""
    cold_ms: int | None = None
    """Milliseconds for which the target is expected to be cold; ``None`` if the node didn't say."""
    link_reported: bool = False
    """Whether the node knows the bandwidth of its link."""
    link_backlog_s: float = 0.0
    """Time for which the node's link is busy with the responses that it has accepted."""
    link_full: bool = False
    """Whether the call was refused because of the link, which says nothing of the target."""
    work: WorkReport | None = None
    """Work of the node's target; ``None`` if the node doesn't report it."""


class PeerForwarder:
    """Sends calls to other nodes, and runs the calls that they send.

    Calls and responses carry the sender's read offset in the operator's records, by which a node
    notices that its own reads lag behind.

    :param orders: replica of the operator's records.
    :param is_current: returns whether the directory still contains a peer.
    :param transfers: sends and receives large responses.
    """

    def __init__(
        self,
        links: Links,
        admission: AdmissionController,
        orders: Replica,
        is_current: t.Callable[[Peer], bool],
        transfers: ResponseTransfers,
        decisions: DecisionLog,
    ) -> None:
        self._links = links
        self._admission = admission
        self._orders = orders
        self._is_current = is_current
        self._transfers = transfers
        self._decisions = decisions
        self.body_budget = ByteBudget(MAX_HELD_BODY_BYTES)
        self._reservations = BodyReservations(self.body_budget)
        self._rechecks: set[asyncio.Task[None]] = set()
        self._answer_by = math.inf
        """Event loop time by which other nodes' calls have to be answered, since the node stops."""
        links.handle("call_request", self._serve)
        links.handle("admission_request", self._serve_admission)

    async def send(self, peer: Peer, call: Call) -> tuple[CallResult, PeerReport]:
        """Run a call through another node.

        A large body is sent only if the node wouldn't refuse the call, if it can say so in advance:
        the bodies of refused calls would fill the links.
        """
        call = self._limited(call)
        loop = asyncio.get_running_loop()
        remaining_s = call.deadline - loop.time()
        if remaining_s <= 0:
            return _no_time_left(remaining_s)
        # Ends before the call's deadline, after which a call that was never sent looks like one
        # that may run.
        timeout_s = min(remaining_s * CONNECT_TIME_FRACTION, CONNECT_TIMEOUT_S)
        match await self._links.connect(peer.entry.endpoint, timeout_s):
            case Err(error):
                return not_run(error.reason), PeerReport(False)
            case Ok(link):
                pass
        if peer.entry.answers_admission and len(call.body) >= LARGE_BODY_BYTES:
            refusal = await self._request_admission(link, call)
            if refusal is not None:
                return refusal
        return await self._send_call(link, call, peer.named_limit)

    async def _request_admission(
        self, link: Link, call: Call
    ) -> tuple[CallResult, PeerReport] | None:
        """Ask whether a call would be refused; return the refusal, or ``None``."""
        now = asyncio.get_running_loop().time()
        remaining_s = call.deadline - now
        if remaining_s < codec.MIN_TIMEOUT_S:
            return _no_time_left(remaining_s)
        request = messages.AdmissionRequest(
            call=_call_message(call, now), body_bytes=len(call.body)
        )
        request.call.body = b""
        timeout_s = min(remaining_s * CONNECT_TIME_FRACTION, ADMISSION_TIMEOUT_S)
        match await link.exchange(timeout_s, admission_request=request):
            case Err(error):
                return not_run(f"admission request: {error.reason}"), PeerReport(False)
            case Ok(frame) if frame.admission_answer is not None:
                response = frame.admission_answer.refusal
            case _:
                reason = "unexpected message instead of an admission answer"
                return not_run(reason), PeerReport(False)
        if response is None:
            return None
        return codec.result_from_message(response), _report(response, True)

    async def _send_call(
        self, link: Link, call: Call, named_limit: NamedLimit | None
    ) -> tuple[CallResult, PeerReport]:
        # The stop may have begun since, and peers are told of calls that are open then.
        call = self._limited(call)
        # The other node counts the times from the message's arrival, so what was spent on the
        # connection must be gone from them.
        now = asyncio.get_running_loop().time()
        remaining_s = call.deadline - now
        if remaining_s < codec.MIN_TIMEOUT_S:
            return _no_time_left(remaining_s)
        request = _call_message(call, now)
        request.read_offset = self._orders.offset
        request.read_era = self._orders.era
        request.named_limit = _limit_to_message(named_limit)
        request.chunk_window = self._transfers.window_bytes
        match await link.exchange(remaining_s, call_request=request):
            case Err(error):
                result = (unknown if error.sent else not_run)(error.reason)
                return result, PeerReport(False)
            case Ok(frame) if frame.call_answer is not None:
                response = frame.call_answer
                body = link.take_body(frame)
            case _:
                return unknown("unexpected message instead of a call answer"), PeerReport(False)
        self._orders.note_peer_offset(response.read_offset or 0, response.read_era)
        result = codec.result_from_message(response)
        if body is not None:
            result = await self._transfers.receive(result, body, call.deadline)
        return result, _report(response, not link.lost or result.is_ok())

    @property
    def recheck_count(self) -> int:
        """Number of unreachable nodes that are being reconnected to."""
        return len(self._rechecks)

    def mark_unreachable(self, peer: Peer) -> None:
        """Exclude a node from calls until a connection to it can be opened.

        Connecting is retried in the background; no call waits for it.
        """
        if peer.unreachable:
            return
        peer.unreachable = True
        self._decisions.event("node unreachable", node=peer.entry.node_id)
        task = asyncio.get_running_loop().create_task(self._recheck(peer))
        self._rechecks.add(task)
        task.add_done_callback(self._rechecks.discard)

    def begin_stop(self, answer_by: float) -> None:
        """Have all calls of other nodes, and all that other nodes run, answered by a time.

        :param answer_by: event loop time.
        """
        self._answer_by = answer_by
        self._links.limit_deadlines(answer_by)

    def close(self) -> None:
        """Stop reconnecting to unreachable nodes."""
        for task in self._rechecks:
            task.cancel()

    async def _recheck(self, peer: Peer) -> None:
        wait_s = MIN_RECHECK_INTERVAL_S
        while self._is_current(peer):
            if await self._links.ensure_connected(peer.entry.endpoint):
                peer.unreachable = False
                self._decisions.event("node reached", node=peer.entry.node_id)
                return
            await asyncio.sleep(wait_s)
            wait_s = min(MAX_RECHECK_INTERVAL_S, wait_s * 2)

    async def _serve_admission(self, message: t.Any) -> dict[str, t.Any]:
        now = asyncio.get_running_loop().time()
        call = self._received_call(message.call, now)
        link_refusal = self._transfers.refusal(call)
        reason = (
            link_refusal
            or self._admission.refusal(call)
            or self._reserve_space(call, message.body_bytes, now)
        )
        if reason is None:
            return {"admission_answer": messages.AdmissionAnswer()}
        refusal = self._call_answer(not_run(reason), call.route)
        refusal.link_full = link_refusal is not None
        return {"admission_answer": messages.AdmissionAnswer(refusal=refusal)}

    def _received_call(self, message: t.Any, now: float) -> Call:
        """Return another node's call, which ends before this node stops."""
        return self._limited(codec.call_from_message(message, now))

    def _limited(self, call: Call) -> Call:
        """Return a call whose deadline is no later than the end of this node's stop."""
        if call.deadline <= self._answer_by:
            return call
        return msgspec.structs.replace(call, deadline=self._answer_by)

    def _reserve_space(self, call: Call, body_bytes: int, now: float) -> str | None:
        """Reserve space for the body that follows; return why that is impossible, or ``None``."""
        if self._reservations.reserve(call.request_id, body_bytes, now, call.deadline):
            return None
        return no_space_error(self.body_budget, body_bytes).reason

    async def _serve(self, message: t.Any) -> dict[str, t.Any] | ChunkedResponse:
        self._orders.note_peer_offset(message.read_offset or 0, message.read_era)
        if message.named_limit is not None:
            self._admission.apply_named_limit(_limit_from_message(message.named_limit))
        call = self._received_call(message, asyncio.get_running_loop().time())
        link_refusal = self._transfers.refusal(call)
        if link_refusal is not None:
            self._reservations.release(call.request_id)
            response = self._call_answer(not_run(link_refusal), call.route)
            response.link_full = True
        else:
            with self._transfers.expecting(call):
                result = await self._run(call)
            response = self._call_answer(result, call.route)
        response.read_offset = self._orders.offset
        response.read_era = self._orders.era
        return self._transfers.answer(message, response, call.late_after, call.deadline)

    def _call_answer(self, result: CallResult, route: str) -> t.Any:
        admission = self._admission
        answer = codec.result_to_message(result, admission.load, admission.capacity)
        answer.cold_ms = admission.cold_ms
        backlog_s = self._transfers.backlog_s
        if backlog_s is not None:
            answer.link_backlog_ms = _to_ms(backlog_s)
        work = admission.work_report(route)
        if work is not None:
            answer.work_ms = _to_ms(work.work_s)
            answer.free_slots = work.free_slots
            answer.wait_ms = _to_ms(work.wait_s)
            answer.service_ms = _to_ms(work.service_s)
        return answer

    async def _run(self, call: Call) -> CallResult:
        size = len(call.body)
        self._reservations.expire(asyncio.get_running_loop().time())
        self._reservations.release(call.request_id)
        with BodyReservation(self.body_budget) as reservation:
            if not reservation.grow(size):
                return not_run(reservation.refusal(size).reason)
            return await self._admission.run(call)


def _no_time_left(remaining_s: float) -> tuple[CallResult, PeerReport]:
    return refused(f"no time left: {remaining_s:.4f} s"), PeerReport(True, 0.0)


def _call_message(call: Call, now: float) -> t.Any:
    message = codec.call_to_message(call, call.deadline - now)
    message.useful_ms = max(0, int((call.late_after - now) * 1000))
    return message


def _report(response: t.Any, reached: bool) -> PeerReport:
    return PeerReport(
        reached,
        _load(response),
        cold_ms=response.cold_ms,
        work=_work(response),
        link_reported=response.link_backlog_ms is not None,
        link_backlog_s=(response.link_backlog_ms or 0) / 1000,
        link_full=bool(response.link_full),
    )


def _work(response: t.Any) -> WorkReport | None:
    """Return the report in an answer; ``None`` if it has none, or one with impossible values."""
    values = (response.work_ms, response.free_slots, response.wait_ms, response.service_ms)
    if any(value is None or value < 0 for value in values):
        return None
    work_ms, free_slots, wait_ms, service_ms = values
    return WorkReport(work_ms / 1000, free_slots, wait_ms / 1000, service_ms / 1000)


def _to_ms(seconds: float) -> int:
    return min(MAX_REPORTED_MS, round(seconds * 1000))


def _load(response: t.Any) -> float | None:
    return response.in_flight / response.capacity if response.capacity else None


def _limit_to_message(limit: NamedLimit | None) -> t.Any:
    if limit is None:
        return None
    return messages.NamedLimit(
        target_id=limit.target_id, incarnation=limit.incarnation, calls_per_s=limit.calls_per_s
    )


def _limit_from_message(message: t.Any) -> NamedLimit:
    return NamedLimit(message.target_id, message.incarnation, message.calls_per_s)
