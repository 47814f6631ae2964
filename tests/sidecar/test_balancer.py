import random
import unittest
from collections import Counter

from bulrushflow.sidecar.balancer import Balancer
from bulrushflow.sidecar.directory import Peer
from tests.sidecar.samples import peer


class BalancerTests(unittest.TestCase):
    def setUp(self) -> None:
        self.balancer = Balancer("a", random.Random(5), lambda: 0)
        self.near = [peer(1), peer(2)]
        self.far = [peer(3, data_centre="b")]

    def chosen(self, excluded: frozenset[str] = frozenset(), count: int = 200) -> Counter[str]:
        found: Counter[str] = Counter()
        for _ in range(count):
            choice = self.balancer.choose([*self.near, *self.far], excluded, 10.0, 0.5)
            found[choice.entry.node_id if choice else ""] += 1
        return found

    def test_the_own_data_centre_is_preferred_while_it_has_room(self) -> None:
        self.assertEqual(set(self.chosen()), {"n-1", "n-2"})

    def test_a_full_data_centre_spills_over(self) -> None:
        for near in self.near:
            near.latency_s, near.in_flight = 0.1, 30
        self.assertEqual(set(self.chosen()), {"n-1", "n-2"})
        for near in self.near:
            near.in_flight = 50
        self.assertEqual(set(self.chosen()), {"n-3"})

    def test_where_calls_wait_everywhere_they_stay_near_unless_that_takes_much_longer(self) -> None:
        self.far = [peer(number, data_centre="b") for number in range(3, 9)]
        for one in (*self.near, *self.far):
            one.latency_s, one.in_flight = 0.1, 60
        self.assertEqual(set(self.chosen()), {"n-1", "n-2"})
        for near in self.near:
            near.in_flight = 100
        found = self.chosen()
        self.assertLess(found["n-1"] + found["n-2"], 100)

    def test_a_near_target_with_free_slots_is_preferred_though_its_calls_are_long(self) -> None:
        for one in (*self.near, *self.far):
            one.latency_s = 0.9
        self.assertEqual(set(self.chosen()), {"n-1", "n-2"})

    def test_one_target_that_was_lucky_makes_no_others_slow(self) -> None:
        self.far = [peer(number, data_centre="b") for number in range(3, 7)]
        for one in (*self.near, *self.far):
            one.latency_s = 0.5
        self.far[0].latency_s = 0.01
        self.assertEqual(set(self.chosen()), {"n-1", "n-2"})

    def test_near_targets_that_turned_slow_are_not(self) -> None:
        for near in self.near:
            near.latency_s = 2.0
        self.far[0].latency_s = 0.1
        found = self.chosen()
        self.assertGreater(found["n-3"], found["n-1"] + found["n-2"])

    def test_a_slow_target_gets_less(self) -> None:
        self.near[0].latency_s, self.near[1].latency_s = 0.3, 0.1
        found = self.chosen()
        self.assertGreater(found["n-2"], found["n-1"])

    def test_a_target_that_has_not_answered_yet_gets_calls(self) -> None:
        self.near[0].latency_s = 0.001
        self.near[0].in_flight = 1
        self.assertIn("n-2", self.chosen())

    def test_an_unavailable_and_an_excluded_target_get_nothing(self) -> None:
        self.near[0].unavailable_until = 11.0
        self.assertEqual(set(self.chosen(frozenset({"10.0.0.2"}))), {"n-3"})

    def test_failing_targets_are_passed_over_but_never_all(self) -> None:
        for _ in range(20):
            self.near[0].record_response(0.1, True, 10.0)
        self.assertEqual(set(self.chosen()), {"n-2"})
        everyone: list[Peer] = [*self.near, *self.far]
        for one in everyone:
            for _ in range(20):
                one.record_response(0.1, True, 10.0)
        self.assertNotIn("", self.chosen())

    def test_none_is_chosen_where_none_is_left(self) -> None:
        self.assertIsNone(self.balancer.choose([], (), 0.0, 0.5))
