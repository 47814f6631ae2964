"""Load balancing among the ready targets of a service version."""

import random
import typing as t

import msgspec

if t.TYPE_CHECKING:
    from bulrushflow.membership import Member


OWN_TARGET_MAX_LOAD = 0.7
"""Load per slot below which the node's own target is preferred, which saves a network hop."""
LOAD_HALF_LIFE_S = 1.0
"""Time in which the weight of a reported load halves."""
REPORT_TTL_S = 10.0


class _ReportedLoad(msgspec.Struct):
    """Calls per slot that a node reported, or that were assumed after it failed a call."""

    load: float
    reported_at: float


class Balancer:
    """Power of two choices on load per slot; prefers the node's own target and data centre.

    When every target of the own data centre is at full load, calls spill over to the other data
    centres. Reported load decays, so that a target that receives no calls is tried again.

    :param own_load: returns the current load per slot of the node's own target.
    """

    __slots__ = (
        "_data_centre",
        "_own_id",
        "_own_load",
        "_reports_by_id",
        "_rng",
        "in_flight_by_id",
    )

    def __init__(
        self, own_id: str, data_centre: str, own_load: t.Callable[[], float], rng: random.Random
    ) -> None:
        self._own_id = own_id
        self._data_centre = data_centre
        self._own_load = own_load
        self._rng = rng
        self.in_flight_by_id: dict[str, int] = {}
        self._reports_by_id: dict[str, _ReportedLoad] = {}

    def choose(self, candidates: "list[Member]", excluded: set[str], now: float) -> "Member | None":
        """Return the node to send one attempt to; ``None`` when every candidate is excluded."""
        remaining = [m for m in candidates if m.node_id not in excluded] if excluded else candidates
        if not remaining:
            return None
        for member in remaining:
            if member.node_id == self._own_id and self._own_load() < OWN_TARGET_MAX_LOAD:
                return member
        pool = self._preferred(remaining, now)
        if len(pool) == 1:
            return pool[0]
        first, second = self._rng.sample(pool, 2)
        return first if self.load(first, now) <= self.load(second, now) else second

    def load(self, member: "Member", now: float) -> float:
        """Return the estimated calls in flight per slot.

        For another node this is the larger of its decayed report and this node's own attempts.
        """
        if member.node_id == self._own_id:
            return self._own_load()
        slots = member.target.slots if member.target else 1
        own = self.in_flight_by_id.get(member.node_id, 0) / max(1, slots)
        report = self._reports_by_id.get(member.node_id)
        if report is None:
            return own
        return max(own, report.load * 0.5 ** ((now - report.reported_at) / LOAD_HALF_LIFE_S))

    def begin_attempt(self, node_id: str) -> None:
        """Count an attempt that starts."""
        self.in_flight_by_id[node_id] = self.in_flight_by_id.get(node_id, 0) + 1

    def end_attempt(self, node_id: str) -> None:
        """Count an attempt that ended."""
        remaining = self.in_flight_by_id.get(node_id, 1) - 1
        if remaining > 0:
            self.in_flight_by_id[node_id] = remaining
        else:
            self.in_flight_by_id.pop(node_id, None)

    def record_load(self, node_id: str, load: float, now: float) -> None:
        """Record a node's load per slot, as reported with a response or assumed after a failure."""
        report = self._reports_by_id.get(node_id)
        if report is None:
            self._evict_expired_reports(now)
            self._reports_by_id[node_id] = _ReportedLoad(load, now)
            return
        report.load = load
        report.reported_at = now

    def _preferred(self, remaining: "list[Member]", now: float) -> "list[Member]":
        local = [
            m for m in remaining if m.data_centre == self._data_centre and self.load(m, now) < 1
        ]
        if local:
            return local
        free = [m for m in remaining if self.load(m, now) < 1]
        return free or remaining

    def _evict_expired_reports(self, now: float) -> None:
        expired = [
            k
            for k, report in self._reports_by_id.items()
            if now - report.reported_at > REPORT_TTL_S
        ]
        for node_id in expired:
            del self._reports_by_id[node_id]
