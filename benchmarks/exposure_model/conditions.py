"""Conditions of a rollout: what the new version does wrong, and the state of the old targets."""

import typing as t

import msgspec

from benchmarks.move_model.draws import LatencyDistribution
from benchmarks.move_model.draws import latency_distribution

BASE_ERROR_RATE = 0.005
LATER_S = (3.0, 9.0)
"""Bounds of the time at which a fault that shows later begins."""
SLOW_UNTIL_S = 9.0
"""Time until which one old target is slow."""
OVERLOAD_PERIOD_S = 4.0
"""Half of each period the old targets are overloaded."""


class Outcome(msgspec.Struct, frozen=True):
    """What calls to some targets result in.

    ``latency`` is that of the calls that get a response.
    """

    returned: float
    """Fraction of the calls to which the target responds with an error."""
    unanswered: float
    """Fraction of the calls that reach their deadline."""
    latency: LatencyDistribution


_LATENCIES: t.Final = {
    factor: latency_distribution(5.0 * factor) for factor in (1.0, 1.5, 3.0, 5.0, 12.0)
}
HEALTHY: t.Final = Outcome(BASE_ERROR_RATE, 0.0, _LATENCIES[1.0])
SLOW_TARGET: t.Final = Outcome(BASE_ERROR_RATE, 0.3, _LATENCIES[12.0])
GREY_TARGET: t.Final = Outcome(0.2, 0.0, _LATENCIES[1.0])
OVERLOADED: t.Final = Outcome(0.01, 0.06, _LATENCIES[3.0])

OldOutcomes = tuple[tuple[float, Outcome], ...]
"""Fractions of the old version's calls, each with its outcome."""


def _healthy(now_s: float) -> OldOutcomes:
    return ((1.0, HEALTHY),)


def _slow(now_s: float) -> OldOutcomes:
    # One of three targets, of which the balancer makes less use.
    return ((0.15, SLOW_TARGET), (0.85, HEALTHY)) if now_s < SLOW_UNTIL_S else _healthy(now_s)


def _grey(now_s: float) -> OldOutcomes:
    return ((0.2, GREY_TARGET), (0.8, HEALTHY))


def _overloaded(now_s: float) -> OldOutcomes:
    overloaded = now_s % OVERLOAD_PERIOD_S < OVERLOAD_PERIOD_S / 2
    return ((1.0, OVERLOADED),) if overloaded else _healthy(now_s)


OLD_BY_NAME: t.Final[dict[str, t.Callable[[float], OldOutcomes]]] = {
    "healthy": _healthy,
    "slow": _slow,
    "grey": _grey,
    "overloaded": _overloaded,
}

FAULTS_BY_NAME: t.Final[dict[str, Outcome]] = {
    "good": HEALTHY,
    **{
        f"fails {percent}%": Outcome(percent / 100, 0.0, _LATENCIES[1.0])
        for percent in (3, 5, 7, 10, 15, 30)
    },
    **{
        f"{factor:g} x slower": Outcome(BASE_ERROR_RATE, 0.0, _LATENCIES[factor])
        for factor in (1.5, 3.0, 5.0)
    },
}
