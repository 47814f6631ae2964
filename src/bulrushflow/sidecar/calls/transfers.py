"""Large responses between nodes: what is sent in chunks, and what arrives in chunks."""

import asyncio
import contextlib
import typing as t

from msgspec.structs import replace
from result import Err
from result import Ok

from bulrushflow.metrics import Metrics
from bulrushflow.placement.links import LARGE_RESPONSE_BYTES
from bulrushflow.placement.links import MAX_WINDOW_BYTES
from bulrushflow.placement.links import LinkPacer
from bulrushflow.placement.links import ResponseSizes
from bulrushflow.routing import ByteBudget
from bulrushflow.routing import Call
from bulrushflow.routing import CallResult
from bulrushflow.routing import Outcome
from bulrushflow.routing import unknown
from bulrushflow.routing.model import SERVER_ERROR
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.wire import messages
from bulrushflow.wire.chunks import COMPLETION_MARGIN_S
from bulrushflow.wire.chunks import TransferEnd
from bulrushflow.wire.frames import MAX_FRAME_BYTES
from bulrushflow.wire.transfers import ChunkedResponse
from bulrushflow.wire.transfers import IncomingBody

MAX_HELD_RESPONSE_BYTES = 32 << 20
"""Bound on the responses that the target has delivered and the link has not. Instances have as
little as 200 MB."""


class ResponseTransfers:
    """Sends large responses in chunks to nodes that take them, and receives them.

    The target is read at full speed, so that its slot is free again, and the whole response waits
    here within a bound.

    :param pacer: what this node's link carries; ``None`` if its bandwidth isn't known.
    """

    def __init__(self, pacer: LinkPacer | None, metrics: Metrics, decisions: DecisionLog) -> None:
        self._pacer = pacer
        self.window_bytes = MAX_WINDOW_BYTES if pacer is None else pacer.window_bytes
        """Bytes of one response that this node takes before it grants more."""
        self._sizes = ResponseSizes()
        self._metrics = metrics
        self._decisions = decisions
        self.budget = ByteBudget(MAX_HELD_RESPONSE_BYTES)

    @property
    def backlog_s(self) -> float | None:
        """Time for which the link is busy with accepted responses; ``None`` if it isn't known."""
        if self._pacer is None:
            return None
        return self._pacer.backlog_s(asyncio.get_running_loop().time())

    def refusal(self, call: Call) -> str | None:
        """Return why the link can't deliver the response to another node's call in time.

        ``None`` if it can, if the route's responses aren't large, or if no large response waits: a
        mean size that was learned wrong must not refuse every call that could correct it.
        """
        size = self._sizes.large_bytes(call.route)
        if self._pacer is None or not size:
            return None
        now = asyncio.get_running_loop().time()
        # A response that would be late everywhere is still of some use until the deadline, which
        # comes before the latency objective where the origin node stops.
        due_at = call.deadline - COMPLETION_MARGIN_S
        if call.late_after > now:
            due_at = min(due_at, call.late_after)
        remaining_s = max(0.0, due_at - now)
        if not self._pacer.pending_bytes or self._pacer.can_deliver(size, remaining_s, now):
            return None
        reason = (
            f"the link would deliver a response of {size:.0f} bytes, the route's mean, after "
            f"{self._pacer.delivery_s(size, now):.2f} s; {remaining_s:.2f} s are left"
        )
        self._metrics.link_refusals.inc({"service": call.service})
        self._decisions.refused(call, reason, link_backlog_s=round(self._pacer.backlog_s(now), 3))
        return reason

    @contextlib.contextmanager
    def expecting(self, call: Call) -> t.Iterator[None]:
        """Count the response of an accepted call as backlog until the target has delivered it."""
        size = self._sizes.large_bytes(call.route)
        if self._pacer is None or not size:
            yield
            return
        key = object()
        self._pacer.expect(key, size)
        try:
            yield
        finally:
            self._pacer.settle(key)

    def answer(
        self, request: t.Any, answer: t.Any, late_after: float, deadline: float
    ) -> dict[str, t.Any] | ChunkedResponse:
        """Return how the answer to a call request is sent: as one frame, or in chunks.

        A response without space is lost: its call may have run.

        :param late_after: event loop time after which the response counts as late.
        :param deadline: event loop time after which the other node doesn't take it any more.
        """
        size = len(answer.body)
        if answer.outcome == Outcome.ANSWERED and answer.status < SERVER_ERROR:
            self._sizes.record(request.route, size)
        window = request.chunk_window or 0
        if window <= 0 or size <= LARGE_RESPONSE_BYTES:
            return {"call_answer": answer}
        if not self.budget.reserve(size):
            return {"call_answer": self._refuse_space(request, answer, size)}
        body, answer.body, answer.chunked_bytes = answer.body, b"", size

        def end(transfer: TransferEnd) -> None:
            self.budget.release(size)
            self._metrics.count_transfer(transfer.complete)
            if not transfer.complete:
                self._log_incomplete(request.request_id, transfer, late_after)

        return ChunkedResponse({"call_answer": answer}, body, window, end, late_after, deadline)

    def _log_incomplete(self, request_id: str, transfer: TransferEnd, late_after: float) -> None:
        now = asyncio.get_running_loop().time()
        self._decisions.event(
            "response not sent to its end",
            request=request_id,
            size=transfer.size,
            sent=transfer.sent_bytes,
            seconds=round(transfer.seconds, 3),
            grant_wait_s=round(transfer.grant_wait_s, 3),
            late_s=round(now - late_after, 3),
            link_backlog_s=None if self.backlog_s is None else round(self.backlog_s, 3),
        )

    async def receive(self, result: CallResult, body: IncomingBody, deadline: float) -> CallResult:
        """Return the result of a call whose response's body follows in chunks.

        Until the first bytes are there the call may still be tried elsewhere. The body of an error
        is read as a whole, since the call may be tried elsewhere after it.

        :param deadline: event loop time after which the body is no longer awaited.
        """
        taken = False
        try:
            async with asyncio.timeout_at(deadline):
                received = await self._receive(result, body)
            taken = received.is_ok() and received.unwrap().stream is not None
            return received
        except TimeoutError:
            return unknown("no part of the response's body arrived in time")
        finally:
            if not taken:
                body.close()

    async def _receive(self, result: CallResult, body: IncomingBody) -> CallResult:
        match result:
            case Err():
                return result
            case Ok(response):
                pass
        if not response.is_failure:
            match await body.wait_begun():
                case Err(reason):
                    return unknown(f"the response's body did not arrive: {reason}")
                case Ok():
                    return replace(response, stream=body).as_result()
        if body.total > MAX_FRAME_BYTES:
            return unknown(f"an error with a body of {body.total} bytes")
        match await body.read_all():
            case Err(reason):
                return unknown(f"the response's body broke off: {reason}")
            case Ok(data):
                return replace(response, body=data).as_result()

    def _refuse_space(self, request: t.Any, answer: t.Any, size: int) -> t.Any:
        reason = (
            f"no buffer space for a response of {size} bytes: {self.budget.used_bytes} of at "
            f"most {self.budget.max_bytes} bytes wait for the link"
        )
        self._decisions.event("response dropped", request=request.request_id, reason=reason)
        return messages.CallAnswer(
            outcome=int(Outcome.UNKNOWN),
            status=0,
            headers=[],
            body=b"",
            reason=reason,
            in_flight=answer.in_flight,
            capacity=answer.capacity,
        )
