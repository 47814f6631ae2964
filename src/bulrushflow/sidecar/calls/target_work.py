"""Expected work of the calls at this node's target, for the reports to other nodes."""

import asyncio

import msgspec

from bulrushflow.placement import CostModel
from bulrushflow.placement import RunningWork
from bulrushflow.placement import WorkReport
from bulrushflow.routing import Call
from bulrushflow.sidecar.calls.slots import SlotPool


class Run(msgspec.Struct, frozen=True):
    """One call that runs."""

    number: int
    call: Call


class TargetWork:
    """Learns the costs of the calls to one target, and reports the work that they have left."""

    __slots__ = ("_costs", "_running")

    def __init__(self) -> None:
        self._costs = CostModel()
        self._running = RunningWork()

    def begin(self, call: Call) -> Run:
        """Count a call that is sent to the target."""
        histogram = self._costs.histogram(call.route, call.organisation, call.path)
        now = asyncio.get_running_loop().time()
        return Run(self._running.begin(histogram, now), call)

    def end(self, run: Run, seconds: float | None) -> None:
        """Count a call's end.

        :param seconds: its service time; ``None`` when it got no response.
        """
        self._running.end(run.number)
        if seconds is not None:
            call = run.call
            self._costs.record(call.route, call.organisation, call.path, seconds)

    def report(self, slots: SlotPool, route: str) -> WorkReport:
        """Return the report with the answer to a call on ``route``."""
        usable = slots.usable
        return self._running.report(
            usable,
            max(0, usable - slots.load),
            slots.queued_work_s,
            self._costs.route_mean_s(route),
            asyncio.get_running_loop().time(),
        )
