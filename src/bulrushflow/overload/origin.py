"""What an origin node limits when targets can't serve all calls."""

import random

from bulrushflow.overload.queue import OVERLOAD_RULES
from bulrushflow.overload.retry_after import RetryPlanner
from bulrushflow.overload.returns import ReturnDetector

EARLY_REFUSAL_FACTOR = 0.9
"""Multiple of the longest wait from which a call isn't even sent. Targets refuse calls beyond that
wait, so that they hardly ever report a longer one."""
PROBE_INTERVAL_S = 0.1
"""Interval at which a call is sent to an overloaded service all the same. Its queues empty within
that time, and only answers show it."""
MAX_PROBED_SERVICES = 256
LOADED_WAIT_S = 0.02
"""Expected wait from which a target counts as loaded, so that no call is sent to it twice."""


class OriginLimits:
    """Limits of the attempts of one call, and the turns of refused callers.

    :param rng: spreads refused callers.
    """

    __slots__ = ("_probed_at_by_service", "planner", "returns")

    def __init__(self, rng: random.Random) -> None:
        self.returns = ReturnDetector()
        self.planner = RetryPlanner(rng)
        self._probed_at_by_service: dict[str, float] = {}

    def is_probe_due(self, service: str, now: float) -> bool:
        """Return whether the next call is a probe, without counting one."""
        probed_at = self._probed_at_by_service.get(service, -PROBE_INTERVAL_S)
        return now - probed_at >= PROBE_INTERVAL_S

    def may_probe(self, service: str, now: float) -> bool:
        """Return whether a call may be sent although all targets report long waits."""
        probed_at_by_service = self._probed_at_by_service
        if not self.is_probe_due(service, now):
            return False
        if service in probed_at_by_service or len(probed_at_by_service) < MAX_PROBED_SERVICES:
            probed_at_by_service[service] = now
        return True

    def retry_window_s(self, route: str, latency_objective_s: float) -> float:
        """Return the time from its arrival within which a refused call is tried elsewhere."""
        if self.returns.is_short(route):
            return latency_objective_s * OVERLOAD_RULES.max_short_wait_fraction
        return latency_objective_s * OVERLOAD_RULES.max_wait_fraction

    def max_expected_wait_s(self, route: str, latency_objective_s: float) -> float:
        """Return the expected wait at every target from which a call isn't sent at all."""
        return self.retry_window_s(route, latency_objective_s) * EARLY_REFUSAL_FACTOR
