"""Cumulative counts as the nodes of a service would report them, for tests."""

from dataclasses import dataclass
from dataclasses import field

from bulrushflow.rollouts import FailureKind
from bulrushflow.rollouts import RouteCounts
from bulrushflow.rollouts import VersionRoute

OLD = "v1"
NEW = "v2"
ROUTE = "/dues"


@dataclass
class Totals:
    """Counts that grow step by step, with evenly spread outcomes so that no chance is involved."""

    counts: dict[VersionRoute, RouteCounts] = field(default_factory=dict)

    def add(
        self,
        version: str,
        calls: int,
        errors: int = 0,
        latency_s: float = 0.010,
        route: str = ROUTE,
        warming: bool = False,
        kind: FailureKind | None = None,
    ) -> None:
        counts = self.counts.setdefault((version, route), RouteCounts())
        for i in range(calls):
            failed = i < errors
            own_kind = FailureKind.NONE if kind is not None and not failed else kind
            seconds = latency_s * (0.8 + 0.4 * (i % 5) / 4)
            counts.observe(failed, seconds, warming, own_kind)
