"""The evacuations in force at this node, and what follows from them for its own target."""

import typing as t

from bulrushflow.placement import Evacuations
from bulrushflow.sidecar.calls.admission_controller import AdmissionController
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.records.directory import Directory
from bulrushflow.timers import Clock


class EvacuationOrders:
    """Applies the operator's orders to the directory and to the admission of calls.

    :param data_centre: returns this node's data centre.
    :param admission: returns the admission control of the own target, which asks this object
        whether a call may begin.
    """

    def __init__(
        self,
        data_centre: t.Callable[[], str],
        directory: Directory,
        admission: t.Callable[[], AdmissionController],
        decisions: DecisionLog,
        clock: Clock,
    ) -> None:
        self._data_centre = data_centre
        self._directory = directory
        self._admission = admission
        self._decisions = decisions
        self._clock = clock

    def order(self, data_centre: str) -> None:
        """Evacuate a data centre; it may be ordered already."""
        self._apply(self._directory.evacuations.with_order(data_centre))

    def withdraw(self, data_centre: str) -> None:
        """Withdraw the order to evacuate a data centre, if there is one."""
        self._apply(self._directory.evacuations.without_order(data_centre))

    def suspension(self) -> str | None:
        """Return why the own target gets no calls whatever its state, or ``None``."""
        return self._directory.evacuations.refusal(self._data_centre())

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
