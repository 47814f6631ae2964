"""Simulates one rollout under an exposure limit: draws blocks of calls and passes on the counts.

Calls in flight and reports that are on their way are modelled, since they are what an exposure
limit is exceeded by.
"""

import random
import typing as t

import msgspec

from benchmarks.exposure_model.conditions import FAULTS_BY_NAME
from benchmarks.exposure_model.conditions import HEALTHY
from benchmarks.exposure_model.conditions import LATER_S
from benchmarks.exposure_model.conditions import OLD_BY_NAME
from benchmarks.exposure_model.conditions import Outcome
from benchmarks.move_model.draws import draw_binomial
from benchmarks.move_model.draws import draw_latencies
from benchmarks.move_model.draws import draw_poisson
from bulrushflow.rollouts import RouteCounts
from bulrushflow.rollouts import VersionRoute

DURATION_S = 15.0
TICK_S = 0.25
"""Interval of the decisions, and of the reports on the new version."""
OLD_REPORT_TICKS = 4
"""Interval of the reports on the old version, in ticks."""
SPREAD_TICKS = 1
"""Time until all nodes follow a decision, in ticks."""
ANSWER_TICKS = 1
SLOW_ANSWER_TICKS = 4
DEADLINE_TICKS = 8
"""Times until calls end, in ticks: usual ones, those of slow targets, and at their deadline."""
OLD = "old"
NEW = "v2"
ROUTE = "r"
SHARE_LIMIT = 0.1
SLACK_CALLS = 50

Totals = dict[VersionRoute, RouteCounts]


class Method(t.Protocol):
    """Decides on the new version's share; at most one of the two ends is true."""

    completed: bool
    rolled_back: bool
    share_permille: int

    def tick(self, totals: Totals, given: int, now_s: float) -> None:
        """Decide on cumulative counts.

        :param given: calls that the nodes beside the new targets report as sent to them.
        """


class RunResult(msgspec.Struct):
    """Outcome of one run; ``given`` and ``calls`` are those up to the deadline."""

    completed: bool
    completed_s: float
    given: int
    calls: int

    @property
    def is_over(self) -> bool:
        """Whether the new version got more calls than a faulty one may get."""
        return self.given > SHARE_LIMIT * self.calls + SLACK_CALLS


class Run:
    """One rollout.

    :param later: whether the fault shows only after some time.
    """

    def __init__(
        self, method: Method, fault: str, later: bool, old: str, rate_per_s: float, seed: str
    ) -> None:
        self._rng = random.Random(seed)
        self._method = method
        self._fault = FAULTS_BY_NAME[fault]
        self._fault_from_s = self._rng.uniform(*LATER_S) if later else 0.0
        self._old_outcomes = OLD_BY_NAME[old]
        self._rate_per_s = rate_per_s
        self._ended: Totals = {(version, ROUTE): RouteCounts() for version in (OLD, NEW)}
        self._ending: dict[int, list[tuple[str, RouteCounts]]] = {}
        """Calls in flight, by the tick at which they end."""
        self._given = 0
        self._calls = 0

    def run_to_end(self) -> RunResult:
        """Run until the deadline."""
        shares = [0] * (SPREAD_TICKS + 1)
        reported_old = RouteCounts()
        reported_new, reported_given = RouteCounts(), 0
        completed_s: float | None = None
        for tick in range(round(DURATION_S / TICK_S)):
            now_s = tick * TICK_S
            self._draw_tick(tick, now_s, shares[-1 - SPREAD_TICKS])
            if tick % OLD_REPORT_TICKS == 0:
                reported_old = _copy(self._ended[OLD, ROUTE])
            totals = {(OLD, ROUTE): reported_old, (NEW, ROUTE): reported_new}
            if not self._method.rolled_back and completed_s is None:
                self._method.tick(totals, reported_given, now_s)
                if self._method.completed:
                    completed_s = now_s
            # A report arrives before the next decision.
            reported_new, reported_given = _copy(self._ended[NEW, ROUTE]), self._given
            shares.append(0 if self._method.rolled_back else self._method.share_permille)
        return RunResult(
            completed_s is not None, completed_s or 0.0, given=self._given, calls=self._calls
        )

    def _draw_tick(self, tick: int, now_s: float, share_permille: int) -> None:
        calls = draw_poisson(self._rng, self._rate_per_s * TICK_S)
        new = draw_binomial(self._rng, calls, share_permille / 1000)
        self._calls += calls
        self._given += new
        self._draw(tick, NEW, self._fault if now_s >= self._fault_from_s else HEALTHY, new)
        left = calls - new
        remaining = 1.0
        for fraction, outcome in self._old_outcomes(now_s):
            part = draw_binomial(self._rng, left, min(1.0, fraction / remaining))
            self._draw(tick, OLD, outcome, part)
            left -= part
            remaining -= fraction
        for version, counts in self._ending.pop(tick, []):
            self._ended[version, ROUTE].add(counts)

    def _draw(self, tick: int, version: str, outcome: Outcome, calls: int) -> None:
        if not calls:
            return
        unanswered = draw_binomial(self._rng, calls, outcome.unanswered)
        returned = draw_binomial(self._rng, calls - unanswered, outcome.returned)
        answered = RouteCounts(calls=calls - unanswered, errors=returned, returned=returned)
        answered.classified = answered.calls
        for bucket, count in draw_latencies(self._rng, answered.calls, outcome.latency):
            answered.latency_buckets[bucket] += count
        slow = outcome.latency is not HEALTHY.latency
        end = tick + (SLOW_ANSWER_TICKS if slow else ANSWER_TICKS)
        self._ending.setdefault(end, []).append((version, answered))
        if unanswered:
            late = RouteCounts(calls=unanswered, errors=unanswered, unanswered=unanswered)
            late.classified = unanswered
            late.latency_buckets[18] += unanswered
            self._ending.setdefault(tick + DEADLINE_TICKS, []).append((version, late))


def _copy(counts: RouteCounts) -> RouteCounts:
    copied = RouteCounts()
    copied.add(counts)
    return copied
