"""Tests of load balancing among targets."""

import random
import unittest

from bulrushflow.membership import Member
from bulrushflow.membership import Target
from bulrushflow.membership import TargetState
from bulrushflow.routing.balancer import LOAD_HALF_LIFE_S
from bulrushflow.routing.balancer import OWN_TARGET_MAX_LOAD
from bulrushflow.routing.balancer import Balancer


def member(node_id: str, data_centre: str = "near") -> Member:
    """Return a node with a ready target of ten slots."""
    target = Target("payments", "v1", TargetState.READY, 10)
    return Member(node_id, data_centre, "127.0.0.1", 1, 0, target=target)


class BalancerTests(unittest.TestCase):
    def setUp(self) -> None:
        self.own_load = 0.0
        self.balancer = Balancer("own", "near", lambda: self.own_load, random.Random(1))
        self.own, self.a, self.b = member("own"), member("a"), member("b")
        self.far = member("far", "far")

    def chosen(self, candidates: list[Member], now: float = 0.0) -> set[str]:
        found = {self.balancer.choose(candidates, set(), now) for _ in range(50)}
        return {m.node_id for m in found if m is not None}

    def test_own_target_is_preferred_below_its_maximum_load(self) -> None:
        self.assertEqual(self.chosen([self.a, self.own, self.b]), {"own"})
        self.own_load = OWN_TARGET_MAX_LOAD
        self.assertEqual(self.chosen([self.a, self.own, self.b]), {"a", "b"})

    def test_full_data_centre_spills_over_to_less_loaded_targets(self) -> None:
        self.assertEqual(self.chosen([self.a, self.b, self.far]), {"a", "b"})
        self.balancer.record_load("a", 1.0, 0.0)
        self.balancer.record_load("b", 1.5, 0.0)
        self.assertEqual(self.chosen([self.a, self.b, self.far]), {"far"})
        self.balancer.record_load("far", 3.0, 0.0)
        self.assertNotIn("far", self.chosen([self.a, self.far]))

    def test_reported_load_decays(self) -> None:
        self.balancer.record_load("a", 1.0, 0.0)
        self.assertEqual(self.balancer.load(self.a, LOAD_HALF_LIFE_S), 0.5)
        self.assertEqual(self.chosen([self.a, self.far], LOAD_HALF_LIFE_S), {"a"})

    def test_own_attempts_count_immediately(self) -> None:
        for _ in range(5):
            self.balancer.begin_attempt("a")
        self.assertEqual(self.chosen([self.a, self.b]), {"b"})
        for _ in range(5):
            self.balancer.end_attempt("a")
        self.assertEqual(self.balancer.in_flight_by_id, {})

    def test_excluded_targets_are_not_chosen(self) -> None:
        self.assertIsNone(self.balancer.choose([self.a], {"a"}, 0.0))
