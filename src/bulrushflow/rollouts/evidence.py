"""Evidence on a rollout: counts and latencies of both versions' calls by route."""

import bisect
import enum
import typing as t

import msgspec

LATENCY_BOUNDS_S: t.Final = tuple(0.001 * 1.5**i for i in range(24))
"""Upper bounds of the latency histogram's buckets; one more bucket counts all above."""

MAX_ROUTES = 32
"""Pairs of version and route counted separately by one node; a version's other routes share one."""
OTHER_ROUTES = "*"

VersionRoute = tuple[str, str]
Source = tuple[str, int]
"""Node id, and incarnation of the node's process."""
Revision = tuple[int, int]
"""Incarnation and sequence of a node's report."""


def empty_buckets() -> list[int]:
    """Return an empty latency histogram."""
    return [0] * (len(LATENCY_BOUNDS_S) + 1)


class FailureKind(enum.Enum):
    """How a call to a target failed, if it did."""

    NONE = "none"
    RETURNED = "returned"
    """The target itself responded with an error."""
    UNANSWERED = "unanswered"
    """The call reached its deadline or lost its connection, which slow targets cause as well."""


class RouteCounts(msgspec.Struct):
    """Cumulative counts of the calls to one version on one route.

    Calls to a target that is warming up are left out of the latency fields. Nodes of the earlier
    release, and those of the log design, count ``errors`` without their kinds.
    """

    calls: int = 0
    errors: int = 0
    latency_sum_s: float = 0.0
    latency_square_sum: float = 0.0
    latency_buckets: list[int] = msgspec.field(default_factory=empty_buckets)
    classified: int = 0
    """Calls of which the kind of failure is known."""
    returned: int = 0
    unanswered: int = 0

    def observe(
        self,
        failed: bool,
        latency_s: float,
        warming: bool = False,
        kind: FailureKind | None = None,
    ) -> None:
        """Count one finished call.

        :param kind: ``None`` if the kinds aren't told apart.
        """
        self.calls += 1
        self.errors += failed
        if kind is not None:
            self.classified += 1
            self.returned += kind is FailureKind.RETURNED
            self.unanswered += kind is FailureKind.UNANSWERED
        if warming:
            return
        self.latency_sum_s += latency_s
        self.latency_square_sum += latency_s * latency_s
        self.latency_buckets[bisect.bisect_left(LATENCY_BOUNDS_S, latency_s)] += 1

    def add(self, other: "RouteCounts") -> None:
        """Add another node's counts."""
        self.calls += other.calls
        self.errors += other.errors
        self.classified += other.classified
        self.returned += other.returned
        self.unanswered += other.unanswered
        self.latency_sum_s += other.latency_sum_s
        self.latency_square_sum += other.latency_square_sum
        for i, count in enumerate(other.latency_buckets):
            self.latency_buckets[i] += count


class Evidence(msgspec.Struct):
    """One node's cumulative counts for one rollout; a higher sequence replaces a lower one.

    A restarted node counts from zero under a higher incarnation.
    """

    rollout_id: int
    node_id: str
    sequence: int = 0
    counts_by_version_route: dict[VersionRoute, RouteCounts] = msgspec.field(default_factory=dict)
    incarnation: int = 0
    given: int = 0
    """Calls of the version under test that were sent to this node's target, ended or not; 0 from a
    node of the earlier release."""

    @property
    def error_count(self) -> int:
        """Failed calls of all versions and routes."""
        return sum(counts.errors for counts in self.counts_by_version_route.values())

    @property
    def source(self) -> Source:
        """The process that counted the calls."""
        return self.node_id, self.incarnation

    def observe(
        self,
        version: str,
        route: str,
        failed: bool,
        latency_s: float,
        warming: bool = False,
        kind: FailureKind | None = None,
    ) -> None:
        """Count one finished call at this node's own target."""
        key = (version, route)
        if key not in self.counts_by_version_route:
            if len(self.counts_by_version_route) >= MAX_ROUTES:
                key = (version, OTHER_ROUTES)
            self.counts_by_version_route.setdefault(key, RouteCounts())
        self.counts_by_version_route[key].observe(failed, latency_s, warming, kind)
        self.sequence += 1

    def count_given(self) -> None:
        """Count a call of the version under test that is sent to this node's target."""
        self.given += 1
        self.sequence += 1

    def calls(self, version: str) -> int:
        """Return the ended calls to a version on all routes."""
        return sum(
            counts.calls
            for (of, _), counts in self.counts_by_version_route.items()
            if of == version
        )
