"""Forwarding of calls to the node that runs next to the chosen target."""

import asyncio
import typing as t

import msgspec
from result import Err
from result import Ok

from bulrushflow.membership import Member
from bulrushflow.routing import Call
from bulrushflow.routing import CallResult
from bulrushflow.routing import not_run
from bulrushflow.routing import refused
from bulrushflow.routing import unknown
from bulrushflow.wire import codec
from bulrushflow.wire.links import Links

RESPONSE_MARGIN_FRACTION = 0.1
MAX_RESPONSE_MARGIN_S = 0.02
"""The other node's deadline is earlier by the fraction of the time left, at most by this margin.

Its response, including a refusal for lack of time, then arrives before the caller's deadline.
"""


class CallRunner(t.Protocol):
    """Admits calls to this node's own target and runs them."""

    @property
    def load(self) -> int:
        """Occupied slots plus queued calls."""

    @property
    def capacity(self) -> int:
        """Calls that may run concurrently now."""

    async def run(self, call: Call) -> CallResult:
        """Run a call on the target, or refuse it."""


class LoadReport(msgspec.Struct, frozen=True):
    """A target's load, as its node reports it with a response."""

    load: int
    capacity: int


class Forwarding:
    """Forwards calls to other nodes, and runs the calls that they forward."""

    def __init__(self, links: Links, runner: CallRunner) -> None:
        self._links = links
        self._runner = runner
        links.handle("call_request", self._serve)

    async def send(self, member: Member, call: Call) -> tuple[CallResult, LoadReport | None]:
        """Run a call through another node; return the result, and the load that it reports."""
        loop = asyncio.get_running_loop()
        left_s = call.deadline - loop.time()
        if left_s <= 0:
            return refused("no time left"), None
        match await self._links.connect(member.endpoint, left_s):
            case Err(error):
                return not_run(error.reason), None
            case Ok(link):
                pass
        # The other node counts the time from the message's arrival, so what was spent on the
        # connection must be gone from it.
        left_s = call.deadline - loop.time()
        timeout_s = left_s - min(MAX_RESPONSE_MARGIN_S, left_s * RESPONSE_MARGIN_FRACTION)
        if timeout_s < codec.MIN_TIMEOUT_S:
            return refused(f"no time left for another node: {timeout_s:.4f} s"), None
        request = codec.call_to_message(call, timeout_s)
        match await link.exchange(left_s, call_request=request):
            case Err(error):
                return (unknown if error.sent else not_run)(error.reason), None
            case Ok(frame) if frame.call_answer is not None:
                response = frame.call_answer
            case _:
                return unknown("the other node responded with another kind of message"), None
        report = LoadReport(response.in_flight or 0, response.capacity or 0)
        return codec.result_from_message(response), report

    async def _serve(self, message: t.Any) -> dict[str, t.Any]:
        call = codec.call_from_message(message, asyncio.get_running_loop().time())
        result = await self._runner.run(call)
        runner = self._runner
        return {"call_answer": codec.result_to_message(result, runner.load, runner.capacity)}
