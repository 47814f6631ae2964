"""Proof that a new version is not faulty, which it needs to get more calls than its allowance.

A regression signal that hasn't been found yet proves nothing: after few calls none can be. The
proof is Wald's sequential test: the calls must be much likelier with the old version's rate of
errors than with one that is higher by an effect. The effect is the smallest one that the calls of
the allowance can rule out.
"""

import math

import msgspec

from bulrushflow.rollouts.evidence import RouteCounts
from bulrushflow.rollouts.sequential import Sample

MISS_PROBABILITY = 0.05
"""Probability at which a version that is worse by the effect passes as proven healthy."""
LOG_RATIO_RESERVE = 9.0
"""Log likelihood ratio expected of a healthy version over the planned calls. It is three times what
the proof needs, since a healthy version has errors as well."""
MIN_EFFECT = 0.04
MAX_EFFECT = 0.4
TOLERANCE = 0.005
"""Increase of the old version's rate that counts as none."""
MIN_RATE = 0.002
MAX_RATE = 0.95


class HealthSamples(msgspec.Struct, frozen=True):
    """Calls of both versions since the order, and those that their targets answered with errors."""

    new: Sample = Sample(0, 0)
    old: Sample = Sample(0, 0)

    def excludes(self, effect: float) -> bool:
        """Return whether an increase of the errors by a fraction of the calls is ruled out."""
        rate = (self.old.bad + 0.05) / (self.old.calls + 5) + TOLERANCE
        rate = max(MIN_RATE, min(MAX_RATE, rate))
        faulty_rate = rate + effect * (1 - rate)
        ratio = self.new.bad * math.log(faulty_rate / rate)
        ratio += (self.new.calls - self.new.bad) * math.log((1 - faulty_rate) / (1 - rate))
        return ratio <= math.log(MISS_PROBABILITY)


def health_samples(new: RouteCounts, old: RouteCounts) -> HealthSamples:
    """Return the samples of all routes together.

    Calls of unknown kinds of failure count if there are no others; calls that were not answered are
    compared by the analysis alone, since slow old targets cause them as well.
    """
    if new.classified == new.calls and old.classified == old.calls:
        new_sample = Sample(new.calls, new.returned)
        return HealthSamples(new_sample, Sample(old.calls, old.returned))
    return HealthSamples(Sample(new.calls, new.errors), Sample(old.calls, old.errors))


def detectable_effect(calls: float) -> float:
    """Return the smallest effect that this number of calls can rule out."""
    return max(MIN_EFFECT, min(MAX_EFFECT, LOG_RATIO_RESERVE / max(1.0, calls)))
