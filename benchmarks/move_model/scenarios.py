"""The rows of the table: what calls to the old and the new version meet, moment by moment."""

import random
import typing as t
from dataclasses import dataclass

from benchmarks.move_model.draws import LatencyDistribution
from benchmarks.move_model.draws import latency_distribution

ROUTES: t.Final = (("/balances", 0.6), ("/entries", 0.3), ("/yearly", 0.1))
FAULTY_ROUTE = "/yearly"
BASE_ERROR_RATE = 0.005
LOAD_FAULT_SHARE_PERMILLE = 400
"""Share of calls from which a fault that needs load shows."""

NORMAL_LATENCY = latency_distribution(1.0)
BUSY_LATENCY = latency_distribution(2.0)
COLD_LATENCY = latency_distribution(8.0)
LONG_TAIL_LATENCY = latency_distribution(1.0, tail_fraction=0.1, tail_scale=8.0)
SLOW_LATENCY_BY_FACTOR: t.Final = {
    factor: latency_distribution(factor) for factor in (2.0, 3.0, 8.0)
}


@dataclass(slots=True)
class Outcome:
    """What calls to one version on one route meet in one tick."""

    errors: float = BASE_ERROR_RATE
    latency: LatencyDistribution = NORMAL_LATENCY


class Scenario:
    """One run's conditions; subclasses change what the base, a good version, shows.

    :param span_s: seconds from the move's statement to its deadline.
    """

    bad = False
    rate_factor = 1.0
    cold_start = False

    def __init__(self, rng: random.Random, span_s: float) -> None:
        self.rng = rng
        self.span_s = span_s

    def load_factor(self, now_s: float) -> float:
        """Return the factor on the rate of calls."""
        return 1.0

    def is_faulty(self, now_s: float, share_permille: int) -> bool:
        """Tell whether the new version's fault shows now."""
        return False

    def old_outcome(self, now_s: float, route: str) -> Outcome:
        """Return what the old version shows."""
        return Outcome()

    def new_outcome(self, now_s: float, route: str, share_permille: int) -> Outcome:
        """Return what the new version shows."""
        return self.old_outcome(now_s, route)


class ColdStart(Scenario):
    """Each new target is slow for its first seconds and calls."""

    cold_start = True


class LoadBurst(Scenario):
    """Three times the calls for a while, with both versions slower and shedding some."""

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
    """A dependency fails for a while, under both versions."""

    def __init__(self, rng: random.Random, span_s: float) -> None:
        super().__init__(rng, span_s)
        self._start_s = rng.uniform(0.15, 0.8) * span_s
        self._end_s = self._start_s + 0.1 * span_s

    def old_outcome(self, now_s: float, route: str) -> Outcome:
        if self._start_s <= now_s < self._end_s:
            return Outcome(0.4, SLOW_LATENCY_BY_FACTOR[8.0])
        return Outcome()


class NoisyOutcomes(Scenario):
    """Error rates that wander apart at random, and a long tail of latency, in both versions."""

    def old_outcome(self, now_s: float, route: str) -> Outcome:
        return Outcome(self.rng.uniform(0.0, 0.04), LONG_TAIL_LATENCY)


class Fails(Scenario):
    """Part of the new version's calls fail."""

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
    """All of the new version's calls take longer."""

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
    def __init__(self, rng: random.Random, span_s: float) -> None:
        super().__init__(rng, span_s)
        self._fault_start_s = rng.uniform(0.1, 0.8) * span_s

    def is_faulty(self, now_s: float, share_permille: int) -> bool:
        return now_s >= self._fault_start_s


class FailsLater(_DelayedFault, Fails):
    """Failures begin at a random time of the move."""


class SlowsLater(_DelayedFault, Slows):
    """Slowness begins at a random time of the move."""


class FailsUnderLoad(Fails):
    """Failures show only once the new version has much of the load."""

    def is_faulty(self, now_s: float, share_permille: int) -> bool:
        return share_permille >= LOAD_FAULT_SHARE_PERMILLE


class SlowsUnderLoad(Slows):
    """Slowness shows only once the new version has much of the load."""

    def is_faulty(self, now_s: float, share_permille: int) -> bool:
        return share_permille >= LOAD_FAULT_SHARE_PERMILLE


class FailsOnOneRoute(Fails):
    """Failures on the route with the fewest calls only."""

    def new_outcome(self, now_s: float, route: str, share_permille: int) -> Outcome:
        return (
            super().new_outcome(now_s, route, share_permille)
            if route == FAULTY_ROUTE
            else Outcome()
        )


class MisleadingHealthCheck(Fails):
    """Fails at once while its health endpoint claims to be well; health isn't read."""


class FewCallsGood(Scenario):
    """A good version with a tenth of the calls."""

    rate_factor = 0.1


class FewCallsFails(Fails):
    """A version that fails at once, with a tenth of the calls."""

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
