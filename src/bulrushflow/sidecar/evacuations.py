"""The evacuations in force at this node, and what follows from them for its own target."""

import typing as t

from bulrushflow.placement import Evacuations
from bulrushflow.sidecar.calls.admission_controller import AdmissionController
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.records.directory import Directory
from bulrushflow.sidecar.records.replica import Replica
from bulrushflow.timers import Clock

STARTUP_S = 2.0
"""Time after the start of the process in which it reads the operator's orders if it can. Later the
store is away, and to wait would only delay the refusal of a call."""
MAX_ORDERS_WAIT_S = 0.4
"""Time for which a call waits for that; others refuse it after as long in a queue."""


class EvacuationOrders:
    """Applies the operator's orders to the directory and to the admission of calls.

    :param data_centre: returns this node's data centre.
    :param orders: replica of the operator's records.
    :param admission: returns the admission control of the own target, which asks this object
        whether a call may begin.
    """

    def __init__(
        self,
        data_centre: t.Callable[[], str],
        directory: Directory,
        orders: t.Callable[[], Replica],
        admission: t.Callable[[], AdmissionController],
        decisions: DecisionLog,
        clock: Clock,
    ) -> None:
        self._data_centre = data_centre
        self._directory = directory
        self._orders = orders
        self._admission = admission
        self._decisions = decisions
        self._clock = clock
        self._started_at = clock.monotonic()

    def order(self, data_centre: str) -> None:
        """Evacuate a data centre; it may be ordered already."""
        self._apply(self._directory.evacuations.with_order(data_centre))

    def withdraw(self, data_centre: str) -> None:
        """Withdraw the order to evacuate a data centre, if there is one."""
        self._apply(self._directory.evacuations.without_order(data_centre))

    def suspension(self) -> str | None:
        """Return why the own target gets no calls whatever its state, or ``None``."""
        if not self._orders().loaded:
            return "this node has not read the operator's orders yet"
        return self._directory.evacuations.refusal(self._data_centre())

    async def wait_until_known(self) -> None:
        """Wait until this node has read the operator's orders, if it has just started.

        Load: all processes restart at the same moment. Calls of the nodes that start first reach
        the others before they have read the orders; refused at once, they used up their retries.
        """
        orders = self._orders()
        if orders.loaded:
            return
        startup_left_s = self._started_at + STARTUP_S - self._clock.monotonic()
        if startup_left_s > 0:
            await orders.wait_loaded(min(startup_left_s, MAX_ORDERS_WAIT_S))

    def _apply(self, evacuations: Evacuations) -> None:
        before = self._directory.evacuations
        if evacuations == before:
            return
        self._decisions.event(
            "evacuations in force",
            data_centres=sorted(evacuations.data_centres),
            before=sorted(before.data_centres),
        )
        self._directory.apply_evacuations(evacuations, self._clock.wall_ms())
        reason = evacuations.refusal(self._data_centre())
        if reason is not None:
            self._admission().suspend(reason)
        elif before.refusal(self._data_centre()) is not None:
            self._admission().await_warmth("end of an evacuation")
