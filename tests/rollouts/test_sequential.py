"""Tests of the sequential test."""

import random
import unittest

from bulrushflow.rollouts.sequential import ChangeDetector
from bulrushflow.rollouts.sequential import Sample


def sample(rng: random.Random, calls: int, rate: float) -> Sample:
    return Sample(calls, sum(rng.random() < rate for _ in range(calls)))


class ChangeDetectorTests(unittest.TestCase):
    def test_equal_rates_are_rarely_reported_and_unequal_ones_nearly_always(self) -> None:
        cases = {
            "equal": (0.02, 0.02, 0, 4),
            "equal and high": (0.4, 0.4, 0, 4),
            "worse": (0.02, 0.3, 98, 100),
        }
        for name, (old_rate, new_rate, at_least, at_most) in cases.items():
            with self.subTest(name):
                rng = random.Random(name)
                detected = 0
                for _ in range(100):
                    detector = ChangeDetector(0.005)
                    strengths = []
                    for _ in range(60):
                        old, new = sample(rng, 20, old_rate), sample(rng, 4, new_rate)
                        detector.add(old, new, old_rate)
                        strengths.append(detector.strength)
                    detected += max(strengths) >= 1
                self.assertGreaterEqual(detected, at_least)
                self.assertLessEqual(detected, at_most)

    def test_one_block_alone_cannot_decide(self) -> None:
        detector = ChangeDetector(0.005)
        detector.add(Sample(1000, 0), Sample(1000, 1000), 0.005)
        self.assertLess(detector.strength, 1)

    def test_an_unexpected_rate_that_both_versions_share_is_no_fault(self) -> None:
        detector = ChangeDetector(0.005)
        for _ in range(50):
            detector.add(Sample(40, 20), Sample(40, 20), 0.005)
            self.assertLess(detector.strength, 0.5)
