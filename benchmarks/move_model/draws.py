"""Random draws of call outcomes."""

import math
import random
import typing as t

from bulrushflow.rollouts.evidence import LATENCY_BOUNDS_S

MEDIAN_S = 0.010
SIGMA = 0.5
NORMAL_VARIANCE = 8.0
"""Variance from which a binomial draw is approximated by a normal one."""


def binomial(rng: random.Random, trials: int, probability: float) -> int:
    """Draw the number of successes."""
    if trials <= 0 or probability <= 0:
        return 0
    if probability >= 1:
        return trials
    if probability > 0.5:
        return trials - binomial(rng, trials, 1 - probability)
    variance = trials * probability * (1 - probability)
    if variance > NORMAL_VARIANCE:
        drawn = round(rng.gauss(trials * probability, math.sqrt(variance)))
        return max(0, min(trials, drawn))
    # Jumps from success to success.
    log_miss = math.log1p(-probability)
    successes = 0
    position = math.floor(math.log(1.0 - rng.random()) / log_miss)
    while position < trials:
        successes += 1
        position += 1 + math.floor(math.log(1.0 - rng.random()) / log_miss)
    return successes


def poisson(rng: random.Random, mean: float) -> int:
    """Draw a Poisson count."""
    if mean > 50:
        return max(0, round(rng.gauss(mean, math.sqrt(mean))))
    limit = math.exp(-mean)
    product = rng.random()
    count = 0
    while product > limit:
        count += 1
        product *= rng.random()
    return count


LatencyParts = tuple[tuple[int, float], ...]
"""Bucket indices with the probability of each, given that no earlier one was drawn."""


def latency_parts(scale: float, tail_share: float = 0.0, tail_scale: float = 1.0) -> LatencyParts:
    """Return a log-normal latency over the sketch's buckets, with a part of calls slower."""
    mixture = [(1 - tail_share, scale), (tail_share, tail_scale)]
    masses = []
    below = 0.0
    for bound in (*LATENCY_BOUNDS_S, math.inf):
        upto = sum(part * _normal_cdf(bound, factor) for part, factor in mixture)
        masses.append(upto - below)
        below = upto
    parts: list[tuple[int, float]] = []
    left = 1.0
    for i, mass in enumerate(masses):
        if mass < 1e-4:
            continue
        parts.append((i, min(1.0, mass / left)))
        left -= mass
    index, _ = parts[-1]
    parts[-1] = (index, 1.0)
    return tuple(parts)


def latencies(rng: random.Random, calls: int, parts: LatencyParts) -> t.Iterator[tuple[int, int]]:
    """Draw the buckets of some calls, as bucket index and count."""
    for index, probability in parts:
        if not calls:
            return
        count = binomial(rng, calls, probability)
        if count:
            yield index, count
            calls -= count


def _normal_cdf(bound_s: float, scale: float) -> float:
    if math.isinf(bound_s):
        return 1.0
    z = (math.log(bound_s) - math.log(MEDIAN_S * scale)) / SIGMA
    return 0.5 * (1 + math.erf(z / math.sqrt(2)))
