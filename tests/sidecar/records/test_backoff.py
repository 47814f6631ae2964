import random
import unittest

from bulrushflow.sidecar.records.backoff import Backoff


class BackoffTests(unittest.TestCase):
    def setUp(self) -> None:
        self.backoff = Backoff(0.1, 0.5, random.Random(1))

    def check_bounds(self, *bounds_s: float) -> None:
        for bound_s in bounds_s:
            wait_s = self.backoff.next_s()
            self.assertTrue(bound_s / 2 <= wait_s <= bound_s, f"{wait_s} s, bound {bound_s} s")

    def test_the_bound_doubles_up_to_the_maximum(self) -> None:
        self.check_bounds(0.1, 0.2, 0.4, 0.5, 0.5)

    def test_a_success_resets_the_bound(self) -> None:
        self.check_bounds(0.1, 0.2, 0.4)
        self.backoff.reset()
        self.check_bounds(0.1, 0.2)
