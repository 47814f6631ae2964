"""Random draws of call counts and latencies."""

import math
import random
import typing as t

from bulrushflow.rollouts.evidence import LATENCY_BOUNDS_S

MEDIAN_LATENCY_S = 0.010
LATENCY_LOG_SIGMA = 0.5
MIN_NORMAL_VARIANCE = 8.0
"""Variance above which a binomial draw is approximated by a normal one."""


def draw_binomial(rng: random.Random, trials: int, probability: float) -> int:
    """Return the number of successes in ``trials``."""
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
    # Gaps between successes are geometric: draw the gaps instead of every trial.
    log_failure = math.log1p(-probability)
    successes = 0
    position = math.floor(math.log(1.0 - rng.random()) / log_failure)
    while position < trials:
        successes += 1
        position += 1 + math.floor(math.log(1.0 - rng.random()) / log_failure)
    return successes


def draw_poisson(rng: random.Random, mean: float) -> int:
    """Return a Poisson-distributed count; above a mean of 50 by the normal approximation."""
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
"""Bucket indices, each with its probability given that no earlier bucket was drawn."""


def latency_distribution(
    scale: float, tail_fraction: float = 0.0, tail_scale: float = 1.0
) -> LatencyDistribution:
    """Return a log-normal latency distribution over the histogram's buckets.

    Buckets with a probability below 0.0001 are left out.

    :param scale: factor on the median.
    :param tail_fraction: fraction of calls in the slow tail.
    :param tail_scale: factor on the median of the tail.
    """
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
    """Draw latencies of ``calls`` calls; yield index and count of each non-empty bucket."""
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
