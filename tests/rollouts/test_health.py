"""Tests of the proof that a new version is healthy."""

import random
import unittest

from bulrushflow.rollouts import RouteCounts
from bulrushflow.rollouts.health import MAX_EFFECT
from bulrushflow.rollouts.health import MIN_EFFECT
from bulrushflow.rollouts.health import MISS_PROBABILITY
from bulrushflow.rollouts.health import HealthSamples
from bulrushflow.rollouts.health import detectable_effect
from bulrushflow.rollouts.health import health_samples
from bulrushflow.rollouts.sequential import Sample

OLD = Sample(400, 2)


def proofs(error_rate: float, effect: float, calls: int, runs: int) -> float:
    """Return the fraction of runs that ever prove the version healthy, checked after each call."""
    rng = random.Random(5)
    proven = 0
    for _ in range(runs):
        bad = 0
        for i in range(1, calls + 1):
            bad += rng.random() < error_rate
            if HealthSamples(Sample(i, bad), OLD).excludes(effect):
                proven += 1
                break
    return proven / runs


class HealthTests(unittest.TestCase):
    def test_few_calls_prove_nothing(self) -> None:
        self.assertFalse(HealthSamples(Sample(10, 0), OLD).excludes(0.1))
        self.assertTrue(HealthSamples(Sample(60, 0), OLD).excludes(0.1))

    def test_a_version_worse_by_the_effect_is_rarely_proven_healthy(self) -> None:
        for effect in (0.05, 0.1, 0.2):
            with self.subTest(effect=effect):
                # The sampling error of 400 runs is 0.011.
                missed = proofs(0.01 + effect, effect, 500, 400)
                self.assertLessEqual(missed, MISS_PROBABILITY + 0.02)

    def test_a_healthy_version_is_mostly_proven_by_the_calls_that_the_effect_is_chosen_for(
        self,
    ) -> None:
        for calls in (30, 70, 200):
            with self.subTest(calls=calls):
                effect = detectable_effect(calls)
                self.assertGreaterEqual(proofs(0.005, effect, calls, 400), 0.98)

    def test_the_effect_is_bounded(self) -> None:
        self.assertEqual(detectable_effect(0), MAX_EFFECT)
        self.assertEqual(detectable_effect(1e6), MIN_EFFECT)

    def test_calls_without_an_answer_are_not_held_against_a_version_beside_slow_targets(
        self,
    ) -> None:
        new = RouteCounts(calls=9, errors=3, classified=9, returned=1, unanswered=2)
        old = RouteCounts(calls=50, errors=10, classified=50, unanswered=10)
        samples = health_samples(new, old)
        self.assertEqual((samples.new, samples.old), (Sample(9, 1), Sample(50, 0)))
        old.classified = 20
        samples = health_samples(new, old)
        self.assertEqual((samples.new, samples.old), (Sample(9, 3), Sample(50, 10)))
