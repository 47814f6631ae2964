"""Random draws of call outcomes."""

import math
import random
import typing as t

from bulrushflow.rollouts.evidence import LATENCY_BOUNDS_S

MEDIAN_LATENCY_S = 0.010
LATENCY_LOG_SIGMA = 0.5
MIN_NORMAL_VARIANCE = 8.0
"""Variance from which a binomial draw is approximated by a normal one."""


def draw_binomial(rng: random.Random, trials: int, probability: float) -> int:
    """Draw the number of successes."""
    if trials <= 0 or probability <= 0:
        return 0
    if probability >= 1:
        return trials
    if probability > 0.5:
        return trials - draw_binomial(rng, trials, 1 - probability)
    variance = trials * probability * (1 - probability)
    if variance > MIN_NORMAL_VARIANCE:
        successes = round(rng.gauss(trials * probability, math.sqrt(variance)))
        return max(0, min(trials, successes))
    # Jumps from success to success.
    log_failure = math.log1p(-probability)
    successes = 0
    position = math.floor(math.log(1.0 - rng.random()) / log_failure)
    while position < trials:
        successes += 1
        position += 1 + math.floor(math.log(1.0 - rng.random()) / log_failure)
    return successes


def draw_poisson(rng: random.Random, mean: float) -> int:
    """Draw a Poisson count."""
    if mean > 50:
        return max(0, round(rng.gauss(mean, math.sqrt(mean))))
    threshold = math.exp(-mean)
    product = rng.random()
    count = 0
    while product > threshold:
        count += 1
        product *= rng.random()
    return count


LatencyDistribution = tuple[tuple[int, float], ...]
"""Bucket indices with the probability of each, given that no earlier one was drawn."""


def latency_distribution(
    scale: float, tail_fraction: float = 0.0, tail_scale: float = 1.0
) -> LatencyDistribution:
    """Return a log-normal latency over the sketch's buckets, with a part of calls slower."""
    mixture = [(1 - tail_fraction, scale), (tail_fraction, tail_scale)]
    probabilities = []
    cdf_below = 0.0
    for bound in (*LATENCY_BOUNDS_S, math.inf):
        cdf = sum(
            weight * _normal_cdf(bound, component_scale) for weight, component_scale in mixture
        )
        probabilities.append(cdf - cdf_below)
        cdf_below = cdf
    distribution: list[tuple[int, float]] = []
    remaining = 1.0
    for i, probability in enumerate(probabilities):
        if probability < 1e-4:
            continue
        distribution.append((i, min(1.0, probability / remaining)))
        remaining -= probability
    index, _ = distribution[-1]
    distribution[-1] = (index, 1.0)
    return tuple(distribution)


def draw_latencies(
    rng: random.Random, calls: int, distribution: LatencyDistribution
) -> t.Iterator[tuple[int, int]]:
    """Draw the buckets of some calls, as bucket index and count."""
    for index, probability in distribution:
        if not calls:
            return
        count = draw_binomial(rng, calls, probability)
        if count:
            yield index, count
            calls -= count


def _normal_cdf(bound_s: float, scale: float) -> float:
    if math.isinf(bound_s):
        return 1.0
    z = (math.log(bound_s) - math.log(MEDIAN_LATENCY_S * scale)) / LATENCY_LOG_SIGMA
    return 0.5 * (1 + math.erf(z / math.sqrt(2)))
