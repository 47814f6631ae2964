"""Scenarios: error rates and latencies of the old and the new version over time."""

import random
import typing as t
from dataclasses import dataclass

from benchmarks.move_model.draws import LatencyDistribution
from benchmarks.move_model.draws import latency_distribution

ROUTES: t.Final = (("/balances", 0.6), ("/entries", 0.3), ("/yearly", 0.1))
FAULTY_ROUTE = "/yearly"
BASE_ERROR_RATE = 0.005
LOAD_FAULT_SHARE_PERMILLE = 400
"""Traffic share from which a fault that depends on load shows."""

NORMAL_LATENCY = latency_distribution(1.0)
BUSY_LATENCY = latency_distribution(2.0)
COLD_LATENCY = latency_distribution(8.0)
LONG_TAIL_LATENCY = latency_distribution(1.0, tail_fraction=0.1, tail_scale=8.0)
SLOW_LATENCY_BY_FACTOR: t.Final = {
    factor: latency_distribution(factor) for factor in (2.0, 3.0, 8.0)
}


@dataclass(slots=True)
class Outcome:
    """Error rate and latencies of the calls to one version on one route in one tick."""

    errors: float = BASE_ERROR_RATE
    latency: LatencyDistribution = NORMAL_LATENCY


class Scenario:
    """Conditions of one run; the base class has a healthy new version, subclasses differ.

    :param span_s: seconds from the rollout order to its deadline.
    """

    bad = False
    rate_factor = 1.0
    cold_start = False

    def __init__(self, rng: random.Random, span_s: float) -> None:
        self.rng = rng
        self.span_s = span_s

    def load_factor(self, now_s: float) -> float:
        """Return the factor on the call rate."""
        return 1.0

    def is_faulty(self, now_s: float, share_permille: int) -> bool:
        """Return whether the new version's fault shows now."""
        return False

    def affects(self, route: str) -> bool:
        """Return whether the new version's fault affects the calls on a route."""
        return True

    def old_outcome(self, now_s: float, route: str) -> Outcome:
        """Return the outcome of calls to the old version."""
        return Outcome()

    def new_outcome(self, now_s: float, route: str, share_permille: int) -> Outcome:
        """Return the outcome of calls to the new version."""
        return self.old_outcome(now_s, route)


class ColdStart(Scenario):
    """Each target of the new version is slow during its cold start."""

    cold_start = True


class LoadBurst(Scenario):
    """Triple load for a while; both versions are slower and fail 3 % of calls."""

    def __init__(self, rng: random.Random, span_s: float) -> None:
        super().__init__(rng, span_s)
        self._start_s = rng.uniform(0.15, 0.75) * span_s
        self._end_s = self._start_s + 0.15 * span_s

    def load_factor(self, now_s: float) -> float:
        return 3.0 if self._start_s <= now_s < self._end_s else 1.0

    def old_outcome(self, now_s: float, route: str) -> Outcome:
        if self._start_s <= now_s < self._end_s:
            return Outcome(0.03, BUSY_LATENCY)
        return Outcome()


class FaultInBothVersions(Scenario):
    """A dependency of both versions fails for a while."""

    def __init__(self, rng: random.Random, span_s: float) -> None:
        super().__init__(rng, span_s)
        self._start_s = rng.uniform(0.15, 0.8) * span_s
        self._end_s = self._start_s + 0.1 * span_s

    def old_outcome(self, now_s: float, route: str) -> Outcome:
        if self._start_s <= now_s < self._end_s:
            return Outcome(0.4, SLOW_LATENCY_BY_FACTOR[8.0])
        return Outcome()


class NoisyOutcomes(Scenario):
    """Both versions have a long latency tail and error rates drawn anew for each tick and route."""

    def old_outcome(self, now_s: float, route: str) -> Outcome:
        return Outcome(self.rng.uniform(0.0, 0.04), LONG_TAIL_LATENCY)


class Fails(Scenario):
    """A fixed fraction of the new version's calls fails."""

    bad = True

    def __init__(self, rng: random.Random, span_s: float) -> None:
        super().__init__(rng, span_s)
        self._error_rate = rng.choice((0.1, 0.3, 1.0))

    def is_faulty(self, now_s: float, share_permille: int) -> bool:
        return True

    def new_outcome(self, now_s: float, route: str, share_permille: int) -> Outcome:
        if not self.is_faulty(now_s, share_permille):
            return Outcome()
        return Outcome(max(BASE_ERROR_RATE, self._error_rate))


class Slows(Scenario):
    """All calls to the new version are slower by a fixed factor."""

    bad = True

    def __init__(self, rng: random.Random, span_s: float) -> None:
        super().__init__(rng, span_s)
        self._latency = SLOW_LATENCY_BY_FACTOR[rng.choice((2.0, 3.0, 8.0))]

    def is_faulty(self, now_s: float, share_permille: int) -> bool:
        return True

    def new_outcome(self, now_s: float, route: str, share_permille: int) -> Outcome:
        if not self.is_faulty(now_s, share_permille):
            return Outcome()
        return Outcome(BASE_ERROR_RATE, self._latency)


class _DelayedFault(Scenario):
    """Delays the fault to a random time of the rollout."""

    def __init__(self, rng: random.Random, span_s: float) -> None:
        super().__init__(rng, span_s)
        self._fault_start_s = rng.uniform(0.1, 0.8) * span_s

    def is_faulty(self, now_s: float, share_permille: int) -> bool:
        return now_s >= self._fault_start_s


class FailsLater(_DelayedFault, Fails):
    """Failures begin at a random time of the rollout."""


class SlowsLater(_DelayedFault, Slows):
    """Slowness begins at a random time of the rollout."""


class FailsUnderLoad(Fails):
    """Failures show only from a high traffic share on."""

    def is_faulty(self, now_s: float, share_permille: int) -> bool:
        return share_permille >= LOAD_FAULT_SHARE_PERMILLE


class SlowsUnderLoad(Slows):
    """Slowness shows only from a high traffic share on."""

    def is_faulty(self, now_s: float, share_permille: int) -> bool:
        return share_permille >= LOAD_FAULT_SHARE_PERMILLE


class FailsOnOneRoute(Fails):
    """Only the route with the fewest calls fails."""

    def affects(self, route: str) -> bool:
        return route == FAULTY_ROUTE

    def new_outcome(self, now_s: float, route: str, share_permille: int) -> Outcome:
        if not self.affects(route):
            return Outcome()
        return super().new_outcome(now_s, route, share_permille)


class MisleadingHealthCheck(Fails):
    """Calls fail while the health endpoint reports success.

    No policy reads health checks and the model has none, so these are more draws of :class:`Fails`.
    """


class FewCallsGood(Scenario):
    """A healthy version at a tenth of the call rate."""

    rate_factor = 0.1


class FewCallsFails(Fails):
    """Calls fail from the start, at a tenth of the call rate."""

    rate_factor = 0.1


SCENARIOS_BY_NAME: t.Final[dict[str, type[Scenario]]] = {
    "good": Scenario,
    "good, cold start": ColdStart,
    "good, load burst": LoadBurst,
    "good, fault in both": FaultInBothVersions,
    "good, noisy": NoisyOutcomes,
    "good, few calls": FewCallsGood,
    "fails at once": Fails,
    "slows at once": Slows,
    "fails later": FailsLater,
    "slows later": SlowsLater,
    "fails under load": FailsUnderLoad,
    "slows under load": SlowsUnderLoad,
    "fails on one route": FailsOnOneRoute,
    "fails, lying health": MisleadingHealthCheck,
    "fails, few calls": FewCallsFails,
}
