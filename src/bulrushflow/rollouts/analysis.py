"""Analysis of a new version from evidence alone, without a clock or I/O."""

import enum

import msgspec

from bulrushflow.rollouts.comparison import SLOWER
from bulrushflow.rollouts.comparison import RegressionSignal
from bulrushflow.rollouts.comparison import RouteComparison
from bulrushflow.rollouts.comparison import slow_call_detectors
from bulrushflow.rollouts.evidence import RouteCounts
from bulrushflow.rollouts.evidence import VersionRoute

SUSPECT_STRENGTH = 0.65
"""Strength of a regression signal that prevents raising the share and completing the rollout."""
UNCLEAR_STRENGTH = 0.4
"""Strength of a regression signal from which to wait for more calls while there is time."""
MIN_STAGE_CALLS = 30
"""Calls to the new version that a stage needs for a healthy outcome."""
MIN_STAGE_ROUTE_CALLS = 8
"""The same on each route with traffic."""
MIN_ROUTE_TRAFFIC_FRACTION = 0.02
"""Routes with a smaller fraction of the service's calls aren't waited for."""

ALL_ROUTES = "all"
"""Name in reasons for the routes of a signal that concerns all of them."""
NO_SIGNAL = RegressionSignal(0.0, "", "")


class AnalysisOutcome(enum.Enum):
    """Outcome of an analysis of the new version."""

    HEALTHY = "healthy"
    INSUFFICIENT = "insufficient evidence"
    SUSPECT = "suspect"
    FAULTY = "faulty"


class AnalysisResult(msgspec.Struct, frozen=True):
    """Outcome of an analysis, the rule that gave it and the figures behind it.

    ``stage_calls`` is the number of calls to the new version in the current stage, ``strength``
    that of the strongest regression signal, and ``stage_strength`` its value when the stage began.
    From a strength of 1 on the version counts as faulty.
    """

    outcome: AnalysisOutcome
    rule: str
    evidence: str
    stage_calls: int = 0
    strength: float = 0.0
    stage_strength: float = 0.0


class CanaryAnalysis:
    """Compares the new version with the old one on each route, over the same time windows."""

    __slots__ = (
        "_by_route",
        "_from_version",
        "_share_permille",
        "_slow_on_all_routes",
        "_stage_base",
        "_stage_strength",
        "_started_s",
        "_strength",
        "_to_version",
        "stage_started_s",
    )

    def __init__(self, from_version: str, to_version: str, now_s: float) -> None:
        self._from_version = from_version
        self._to_version = to_version
        self._by_route: dict[str, RouteComparison] = {}
        self._slow_on_all_routes = slow_call_detectors()
        self._share_permille = 0
        self._stage_base: dict[str, int] = {}
        self._strength = 0.0
        self._stage_strength = 0.0
        self._started_s = now_s
        self.stage_started_s = now_s

    def update(
        self, totals: dict[VersionRoute, RouteCounts], share_permille: int, now_s: float
    ) -> AnalysisResult:
        """Update with the current totals and return the result.

        :param now_s: this node's monotonic clock.
        """
        new_by_route = self._counts_by_route(totals, self._to_version)
        old_by_route = self._counts_by_route(totals, self._from_version)
        if share_permille != self._share_permille:
            self._share_permille = share_permille
            self.stage_started_s = now_s
            self._stage_strength = self._strength
            self._stage_base = {route: new.calls for route, new in new_by_route.items()}
        for route in sorted(new_by_route.keys() | old_by_route.keys()):
            comparison = self._by_route.get(route)
            if comparison is None:
                comparison = RouteComparison(self._started_s, self._slow_on_all_routes)
                self._by_route[route] = comparison
            old = old_by_route.get(route) or RouteCounts()
            new = new_by_route.get(route) or RouteCounts()
            comparison.update(old, new, now_s)
        return self._result(old_by_route, new_by_route)

    def calls_per_s(self, totals: dict[VersionRoute, RouteCounts], now_s: float) -> float:
        """Return the service's mean call rate since the analysis began."""
        calls = sum(counts.calls for counts in totals.values())
        return calls / max(1e-3, now_s - self._started_s)

    def _counts_by_route(
        self, totals: dict[VersionRoute, RouteCounts], wanted: str
    ) -> dict[str, RouteCounts]:
        return {route: counts for (version, route), counts in totals.items() if version == wanted}

    def _result(
        self, old_by_route: dict[str, RouteCounts], new_by_route: dict[str, RouteCounts]
    ) -> AnalysisResult:
        stage_calls = sum(self._calls_in_stage(route, new_by_route) for route in self._by_route)
        signals = [
            (comparison.strongest_signal(), route) for route, comparison in self._by_route.items()
        ]
        signals.append((self._slow_signal_of_all(old_by_route, new_by_route), ALL_ROUTES))
        signal, worst_route = max(signals, key=lambda s: s[0].strength)
        strength = self._strength = signal.strength
        test = f"test strength {strength:.2f} of 1"
        if strength >= SUSPECT_STRENGTH:
            outcome = AnalysisOutcome.FAULTY if strength >= 1 else AnalysisOutcome.SUSPECT
            rule, evidence = signal.rule, f"route {worst_route}: {signal.figures}, {test}"
        elif strength >= UNCLEAR_STRENGTH:
            outcome = AnalysisOutcome.INSUFFICIENT
            rule, evidence = "unclear evidence", f"route {worst_route}: {test}"
        elif missing := self._missing_calls(old_by_route, new_by_route, stage_calls):
            outcome = AnalysisOutcome.INSUFFICIENT
            rule, evidence = "too few calls", missing
        else:
            outcome = AnalysisOutcome.HEALTHY
            rule = "no route worse than the old version"
            evidence = f"{stage_calls} calls at this share, highest {test}"
        return AnalysisResult(outcome, rule, evidence, stage_calls, strength, self._stage_strength)

    def _slow_signal_of_all(
        self, old_by_route: dict[str, RouteCounts], new_by_route: dict[str, RouteCounts]
    ) -> RegressionSignal:
        """Return the signal of slow calls on all routes together.

        A version that is slower on each route shows here after fewer calls than on one of them.
        """
        strength = max(detector.strength for detector in self._slow_on_all_routes.values())
        new = sum(counts.calls for counts in new_by_route.values())
        old = sum(counts.calls for counts in old_by_route.values())
        return RegressionSignal(strength, SLOWER, f"{new} calls, old {old}")

    def _calls_in_stage(self, route: str, new_by_route: dict[str, RouteCounts]) -> int:
        new = new_by_route.get(route)
        return new.calls - self._stage_base.get(route, 0) if new else 0

    def _missing_calls(
        self,
        old_by_route: dict[str, RouteCounts],
        new_by_route: dict[str, RouteCounts],
        stage_calls: int,
    ) -> str:
        if stage_calls < MIN_STAGE_CALLS:
            return f"{stage_calls} of {MIN_STAGE_CALLS} calls at this share"
        total = sum(counts.calls for counts in old_by_route.values())
        for route, old in sorted(old_by_route.items()):
            calls = self._calls_in_stage(route, new_by_route)
            if old.calls >= MIN_ROUTE_TRAFFIC_FRACTION * total and calls < MIN_STAGE_ROUTE_CALLS:
                return f"route {route}: {calls} of {MIN_STAGE_ROUTE_CALLS} calls at this share"
        return ""
