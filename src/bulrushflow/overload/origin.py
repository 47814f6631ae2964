"""What an origin node limits when targets can't serve all calls."""

import random

from bulrushflow.overload.caller_waits import CallerWaits
from bulrushflow.overload.retry_after import RetryPlanner

PROBE_INTERVAL_S = 0.1
"""Interval at which a call is sent to an overloaded service all the same. Its queues empty within
that time, and only answers show it."""
MAX_PROBED_SERVICES = 256
LOADED_WAIT_S = 0.02
"""Expected wait from which a target counts as loaded, so that no call is sent to it twice."""


class OriginLimits:
    """The waits of callers, the probes of overloaded services, and the turns of refused callers.

    :param rng: spreads refused callers.
    """

    __slots__ = ("_probed_at_by_service", "caller_waits", "planner")

    def __init__(self, rng: random.Random) -> None:
        self.caller_waits = CallerWaits()
        self.planner = RetryPlanner(rng)
        self._probed_at_by_service: dict[str, float] = {}

    def is_probe_due(self, service: str, now: float) -> bool:
        """Return whether the next call is a probe, without counting one."""
        probed_at = self._probed_at_by_service.get(service, -PROBE_INTERVAL_S)
        return now - probed_at >= PROBE_INTERVAL_S

    def may_probe(self, service: str, now: float) -> bool:
        """Return whether a call may be sent although no target can answer it by its deadline."""
        probed_at_by_service = self._probed_at_by_service
        if not self.is_probe_due(service, now):
            return False
        if service in probed_at_by_service or len(probed_at_by_service) < MAX_PROBED_SERVICES:
            probed_at_by_service[service] = now
        return True
