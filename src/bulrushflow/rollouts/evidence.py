"""Evidence on a move: what calls to the old and the new version showed, route by route."""

import bisect
import typing as t
from dataclasses import dataclass
from dataclasses import field

LATENCY_BOUNDS_S: t.Final = tuple(0.001 * 1.5**i for i in range(24))
"""Upper bounds of the latency sketch's buckets; one more bucket takes what is above."""

MAX_ROUTES = 32
"""Routes told apart in one node's evidence; the others share one entry."""
OTHER_ROUTES = "*"

VersionRoute = tuple[str, str]
Source = tuple[str, int]
"""A node's id and the incarnation of its process."""


def empty_buckets() -> list[int]:
    """Return a latency sketch without calls."""
    return [0] * (len(LATENCY_BOUNDS_S) + 1)


@dataclass(slots=True)
class RouteCounts:
    """Cumulative counts for one version on one route.

    Calls to a target that is warming up count towards calls and errors, not towards latency.
    """

    calls: int = 0
    errors: int = 0
    latency_sum_s: float = 0.0
    latency_square_sum: float = 0.0
    latency_buckets: list[int] = field(default_factory=empty_buckets)

    def observe(self, failed: bool, latency_s: float, warming: bool = False) -> None:
        """Count one finished call."""
        self.calls += 1
        self.errors += failed
        if warming:
            return
        self.latency_sum_s += latency_s
        self.latency_square_sum += latency_s * latency_s
        self.latency_buckets[bisect.bisect_left(LATENCY_BOUNDS_S, latency_s)] += 1

    def add(self, other: "RouteCounts") -> None:
        """Add another node's counts."""
        self.calls += other.calls
        self.errors += other.errors
        self.latency_sum_s += other.latency_sum_s
        self.latency_square_sum += other.latency_square_sum
        for i, count in enumerate(other.latency_buckets):
            self.latency_buckets[i] += count


@dataclass(slots=True)
class Evidence:
    """One node's cumulative counts for one move; a higher sequence replaces a lower one.

    A node that restarts begins again from nothing under a higher incarnation.
    """

    rollout_id: int
    node_id: str
    sequence: int = 0
    counts_by_version_route: dict[VersionRoute, RouteCounts] = field(default_factory=dict)
    incarnation: int = 0

    @property
    def source(self) -> Source:
        """The node's process that counted."""
        return self.node_id, self.incarnation

    def observe(
        self, version: str, route: str, failed: bool, latency_s: float, warming: bool = False
    ) -> None:
        """Count one finished call at this node's own target."""
        key = (version, route)
        if key not in self.counts_by_version_route:
            if len(self.counts_by_version_route) >= MAX_ROUTES:
                key = (version, OTHER_ROUTES)
            self.counts_by_version_route.setdefault(key, RouteCounts())
        self.counts_by_version_route[key].observe(failed, latency_s, warming)
        self.sequence += 1


class EvidenceStore:
    """The newest evidence of each node's process on each move, and when it came.

    What a node counted before it left or restarted stays in the totals.
    """

    __slots__ = ("_last_report_at", "_own_source", "by_rollout")

    def __init__(self, own_id: str, incarnation: int = 0) -> None:
        self._own_source: Source = (own_id, incarnation)
        self._last_report_at: dict[tuple[int, str], float] = {}
        self.by_rollout: dict[int, dict[Source, Evidence]] = {}

    def local(self, rollout_id: int) -> Evidence:
        """Return this process's own evidence, to be added to."""
        by_source = self.by_rollout.setdefault(rollout_id, {})
        current = by_source.get(self._own_source)
        if current is None:
            node_id, incarnation = self._own_source
            current = Evidence(rollout_id, node_id, incarnation=incarnation)
            by_source[self._own_source] = current
        return current

    def merge(self, evidence: Evidence, now_s: float = 0.0) -> None:
        """Take in another node's evidence unless a newer one is held.

        :param now_s: this node's monotonic clock.
        """
        if evidence.source == self._own_source:
            return
        key = (evidence.rollout_id, evidence.node_id)
        self._last_report_at[key] = max(now_s, self._last_report_at.get(key, now_s))
        by_source = self.by_rollout.setdefault(evidence.rollout_id, {})
        current = by_source.get(evidence.source)
        if current is None or current.sequence < evidence.sequence:
            by_source[evidence.source] = evidence

    def last_report_at(self, rollout_id: int, node_id: str) -> float | None:
        """Return when a node last reported, on this node's monotonic clock."""
        return self._last_report_at.get((rollout_id, node_id))

    def totals(self, rollout_id: int) -> dict[VersionRoute, RouteCounts]:
        """Return the sum over all nodes."""
        totals: dict[VersionRoute, RouteCounts] = {}
        for evidence in self.by_rollout.get(rollout_id, {}).values():
            for key, counts in evidence.counts_by_version_route.items():
                totals.setdefault(key, RouteCounts()).add(counts)
        return totals

    def retain(self, rollout_ids: t.Collection[int]) -> None:
        """Drop the evidence on finished moves."""
        for rollout_id in list(self.by_rollout):
            if rollout_id not in rollout_ids:
                del self.by_rollout[rollout_id]
        for key in list(self._last_report_at):
            if key[0] not in rollout_ids:
                del self._last_report_at[key]
