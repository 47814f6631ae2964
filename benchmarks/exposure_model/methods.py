"""Methods of judging a new version, under one and the same plan for its share of the calls.

The plan keeps a test share within the exposure limit until the evidence is clear, and gives the
version the last share, and then all calls, as late as the deadline allows. ``deployed`` is the
controller that the nodes run, with its own plan.
"""

import enum
import math
import typing as t

import msgspec

from benchmarks.exposure_model.run import DURATION_S
from benchmarks.exposure_model.run import NEW
from benchmarks.exposure_model.run import OLD
from benchmarks.exposure_model.run import ROUTE
from benchmarks.exposure_model.run import SHARE_LIMIT
from benchmarks.exposure_model.run import SLACK_CALLS
from benchmarks.exposure_model.run import Method
from benchmarks.exposure_model.run import Totals
from bulrushflow.rollouts import AnalysisOutcome
from bulrushflow.rollouts import ExposureLimits
from bulrushflow.rollouts import RolloutController
from bulrushflow.rollouts import RolloutTimes
from bulrushflow.rollouts import RouteCounts

FINISH_MARGIN_S = 3.0
DRAIN_S = 1.75
FULL_PERMILLE = 1000
LAST_PERMILLE = 800
BASELINE_S = 0.75
LAST_SHARE_FROM_S = 8.5
COMPLETE_FROM_S = 12.0
SAFETY_FACTOR = 0.9
PLANNED_FRACTION = 0.7
"""Fraction of the limit that is planned for the test share."""
MIN_CALLS = 30
TOLERANCE = 0.005
EFFECT = 0.05
"""Increase of a rate that a version is tested for."""
SLOW_EFFECT = 0.2
SLOW_QUANTILE = 0.9
THRESHOLD = 0.05
"""Increase of a rate from which the fixed threshold finds a fault."""
ALPHA = 0.01
"""Probability at which a good version may be found faulty."""
BETA = 0.05
"""Probability at which a faulty version may be found healthy."""
MIXTURE_CALLS = 50.0
"""Calls at which the confidence sequence is narrowest."""


class Finding(enum.Enum):
    """What the evidence says of the new version."""

    CLEAR = enum.auto()
    UNCLEAR = enum.auto()
    FAULTY = enum.auto()


class Sample(msgspec.Struct, frozen=True):
    """Bad calls of both versions in one way of being bad."""

    new_calls: int
    new_bad: int
    old_calls: int
    old_bad: int
    effect: float

    @property
    def old_rate(self) -> float:
        """Estimate of the old version's rate."""
        return (self.old_bad + 0.05) / (self.old_calls + 5)


Judgement = t.Callable[[Sample], Finding]


def fixed_threshold(sample: Sample) -> Finding:
    """Compare rates once there are some calls."""
    if sample.new_calls < MIN_CALLS:
        return Finding.UNCLEAR
    increase = sample.new_bad / sample.new_calls - sample.old_rate
    return Finding.FAULTY if increase > THRESHOLD * sample.effect / EFFECT else Finding.CLEAR


def sequential_ratio(sample: Sample) -> Finding:
    """Wald's test of the old version's rate against one that is higher by the effect."""
    rate = min(0.9, sample.old_rate + TOLERANCE)
    faulty_rate = rate + sample.effect * (1 - rate)
    good = sample.new_calls - sample.new_bad
    ratio = sample.new_bad * math.log(faulty_rate / rate)
    ratio += good * math.log((1 - faulty_rate) / (1 - rate))
    if ratio >= math.log((1 - BETA) / ALPHA):
        return Finding.FAULTY
    return Finding.CLEAR if ratio <= math.log(BETA / (1 - ALPHA)) else Finding.UNCLEAR


def confidence_sequence(sample: Sample) -> Finding:
    """Compare bounds that hold at all times at once (normal mixture over Bernoulli data)."""
    if not sample.new_calls or not sample.old_calls:
        return Finding.UNCLEAR
    new_rate, new_radius = _sequence(sample.new_calls, sample.new_bad, BETA)
    old_rate, old_radius = _sequence(sample.old_calls, sample.old_bad, BETA)
    if new_rate - new_radius > old_rate + old_radius + TOLERANCE:
        return Finding.FAULTY
    is_clear = new_rate + new_radius < max(0.0, old_rate - old_radius) + 2 * sample.effect
    return Finding.CLEAR if is_clear else Finding.UNCLEAR


def _sequence(calls: int, bad: int, alpha: float) -> tuple[float, float]:
    rate = (bad + 0.5) / (calls + 1)
    variance = calls * rate * (1 - rate)
    scale = MIXTURE_CALLS * 0.05
    bound = math.sqrt((variance + scale) * math.log((variance + scale) / (scale * alpha**2)))
    return rate, bound / calls


class PlannedMethod:
    """One judgement under the common plan."""

    def __init__(self, judgement: Judgement, rate_per_s: float) -> None:
        self._judgement = judgement
        self.completed = False
        self.rolled_back = False
        self.share_permille = 0
        self._limit = SAFETY_FACTOR * (SHARE_LIMIT * rate_per_s * DURATION_S + SLACK_CALLS)
        test_s = LAST_SHARE_FROM_S - BASELINE_S
        share = PLANNED_FRACTION * self._limit / (rate_per_s * test_s)
        self._test_permille = min(500, round(1000 * share))
        self._full_since: float | None = None

    def tick(self, totals: Totals, given: int, now_s: float) -> None:
        """See :meth:`Method.tick`."""
        if now_s < BASELINE_S:
            return
        finding = self._finding(totals)
        if self._full_since is not None:
            self.completed = now_s >= self._full_since + DRAIN_S
            return
        if finding is Finding.FAULTY or (finding is Finding.UNCLEAR and given >= self._limit):
            self.rolled_back = True
            return
        if self.share_permille < LAST_PERMILLE:
            self.share_permille = self._test_permille
            if now_s >= LAST_SHARE_FROM_S and finding is Finding.CLEAR:
                self.share_permille = LAST_PERMILLE
        if now_s >= COMPLETE_FROM_S:
            if self.share_permille == LAST_PERMILLE:
                self._full_since = now_s
                self.share_permille = FULL_PERMILLE
            else:
                self.rolled_back = True

    def _finding(self, totals: Totals) -> Finding:
        old, new = totals[OLD, ROUTE], totals[NEW, ROUTE]
        first_slow = _first_slow_bucket(old)
        samples = [
            Sample(new.calls, new.returned, old.calls, old.returned, EFFECT),
            Sample(new.calls, new.unanswered, old.calls, old.unanswered, EFFECT),
            Sample(
                new.calls,
                sum(new.latency_buckets[first_slow:]),
                old.calls,
                sum(old.latency_buckets[first_slow:]),
                SLOW_EFFECT,
            ),
        ]
        findings = {self._judgement(sample) for sample in samples}
        if Finding.FAULTY in findings:
            return Finding.FAULTY
        return Finding.UNCLEAR if Finding.UNCLEAR in findings else Finding.CLEAR


def _first_slow_bucket(old: RouteCounts) -> int:
    below = 0
    for i, count in enumerate(old.latency_buckets):
        below += count
        if below >= SLOW_QUANTILE * old.calls:
            return i + 1
    return len(old.latency_buckets)


class DeployedMethod:
    """The controller that the nodes run."""

    def __init__(self) -> None:
        times = RolloutTimes(0, int((DURATION_S - FINISH_MARGIN_S) * 1000), FINISH_MARGIN_S)
        limits = ExposureLimits(SHARE_LIMIT, SLACK_CALLS)
        self._controller = RolloutController(OLD, NEW, times, 0.0, limits)
        self.completed = False
        self.rolled_back = False
        self.share_permille = 0
        self._full_since: float | None = None

    def tick(self, totals: Totals, given: int, now_s: float) -> None:
        """See :meth:`Method.tick`."""
        result = self._controller.update_analysis(totals, self.share_permille, now_s, given)
        if result.outcome is AnalysisOutcome.FAULTY:
            self.rolled_back = True
            return
        if self._full_since is not None:
            self.completed = now_s >= self._full_since + DRAIN_S
            return
        decision = self._controller.next_step(self.share_permille, int(now_s * 1000), now_s)
        self.rolled_back = decision.roll_back
        self.share_permille = decision.share_permille
        if decision.completed:
            self._full_since = now_s
            self.share_permille = FULL_PERMILLE


METHODS_BY_NAME: t.Final[dict[str, t.Callable[[float], Method]]] = {
    "deployed": lambda rate_per_s: DeployedMethod(),
    "threshold": lambda rate_per_s: PlannedMethod(fixed_threshold, rate_per_s),
    "ratio test": lambda rate_per_s: PlannedMethod(sequential_ratio, rate_per_s),
    "confidence": lambda rate_per_s: PlannedMethod(confidence_sequence, rate_per_s),
}
