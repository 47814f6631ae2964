"""The operator's orders in force: the configuration, rollouts and evacuations."""

import asyncio
import typing as t

from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.evacuations import EvacuationOrders
from bulrushflow.sidecar.model import RolloutOrder
from bulrushflow.sidecar.model import Routing
from bulrushflow.sidecar.rollouts.tracker import Rollouts


class OperatorOrders:
    """The :class:`OrderSink` of the operator's decoded records.

    :param source: returns where the records come from.
    :param age_s: returns for how long the store hasn't confirmed the records, in seconds.
    :param on_configuration: called after a configuration is in force, with whether its
        organisations are others than before.
    """

    __slots__ = (
        "_age_s",
        "_decisions",
        "_evacuations",
        "_on_configuration",
        "_rollouts",
        "_source",
        "rejected_configuration",
        "routing",
    )

    def __init__(
        self,
        rollouts: Rollouts,
        evacuations: EvacuationOrders,
        source: t.Callable[[], str],
        age_s: t.Callable[[], float | None],
        on_configuration: t.Callable[[bool], None],
        decisions: DecisionLog,
    ) -> None:
        self.routing = Routing(0)
        self.rejected_configuration: str | None = None
        """Why the newest configuration was rejected; ``None`` if it is in force."""
        self._rollouts = rollouts
        self._evacuations = evacuations
        self._source = source
        self._age_s = age_s
        self._on_configuration = on_configuration
        self._decisions = decisions

    def apply_configuration(self, routing: Routing) -> None:
        """See :meth:`OrderSink.apply_configuration`; ignores a version that isn't newer."""
        self.rejected_configuration = None
        before = self.routing
        if routing.version <= before.version:
            return
        self._decisions.event(
            "configuration in force",
            version=routing.version,
            before=before.version,
            source=self._source(),
            unconfirmed_s=self._age_s(),
        )
        disabled_before = before.disabled_routes()
        for route in routing.disabled_routes():
            if route not in disabled_before:
                self._decisions.event(
                    "route disabled", route=route.name, host=route.host, reason=route.disabled
                )
        self.routing = routing
        self._on_configuration(routing.organisations is not before.organisations)

    def reject_configuration(self, reason: str) -> None:
        """See :meth:`OrderSink.reject_configuration`."""
        self.rejected_configuration = reason

    def order_rollout(self, order: RolloutOrder) -> None:
        """See :meth:`OrderSink.order_rollout`."""
        self._rollouts.apply_order(order, asyncio.get_running_loop().time())

    def withdraw_rollout(self, service: str) -> None:
        """See :meth:`OrderSink.withdraw_rollout`."""
        self._rollouts.remove_order(service)

    def order_evacuation(self, data_centre: str) -> None:
        """See :meth:`OrderSink.order_evacuation`."""
        self._evacuations.order(data_centre)

    def withdraw_evacuation(self, data_centre: str) -> None:
        """See :meth:`OrderSink.withdraw_evacuation`."""
        self._evacuations.withdraw(data_centre)

    def report_unreadable(self, key: str, reason: str) -> None:
        """See :meth:`OrderSink.report_unreadable`."""
        self._decisions.event("record unreadable", key=key, reason=reason)
