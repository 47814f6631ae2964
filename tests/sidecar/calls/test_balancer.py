import random
import unittest
from collections import Counter

from msgspec.structs import replace

from bulrushflow.placement import ColdStart
from bulrushflow.sidecar.calls.balancer import Balancer
from bulrushflow.sidecar.records.directory import Peer
from tests.sidecar.samples import peer


class BalancerTests(unittest.TestCase):
    def setUp(self) -> None:
        self.balancer = Balancer("a", random.Random(5), lambda: 0)
        self.local = [peer(1), peer(2)]
        self.remote = [peer(3, data_centre="b")]

    def choose_repeatedly(
        self,
        excluded: frozenset[str] = frozenset(),
        count: int = 200,
        response_bytes: float = 0.0,
        now: float = 10.0,
    ) -> Counter[str]:
        counts: Counter[str] = Counter()
        candidates = [*self.local, *self.remote]
        for _ in range(count):
            chosen = self.balancer.choose(candidates, excluded, now, 0.5, None, response_bytes)
            counts[chosen.entry.node_id if chosen else ""] += 1
        return counts

    def test_local_targets_with_free_slots_are_preferred(self) -> None:
        self.assertEqual(set(self.choose_repeatedly()), {"n-1", "n-2"})

    def report_links(self, *backlogs_s: float) -> None:
        for one, backlog_s in zip([*self.local, *self.remote], backlogs_s, strict=True):
            one.entry = replace(one.entry, link_mbps=10.0)
            one.record_link_backlog(backlog_s, 10.0)

    def test_large_responses_avoid_a_link_with_a_backlog_until_it_is_sent(self) -> None:
        """A narrow link is busy for seconds while the slots of its target are free."""
        self.report_links(2.0, 0.0, 0.0)
        self.assertEqual(set(self.choose_repeatedly(response_bytes=90_000)), {"n-2"})
        counts = self.choose_repeatedly(response_bytes=90_000, now=12.0)
        self.assertGreater(min(counts["n-1"], counts["n-2"]), 50)
        self.assertEqual(counts["n-3"], 0)

    def test_large_responses_leave_the_data_centre_only_if_its_links_are_too_busy(self) -> None:
        self.report_links(0.3, 0.3, 0.0)
        self.assertEqual(set(self.choose_repeatedly(response_bytes=10_000)), {"n-1", "n-2"})
        self.report_links(2.0, 2.0, 0.0)
        counts = self.choose_repeatedly(response_bytes=10_000)
        self.assertGreater(counts["n-3"], 100)

    def test_small_responses_and_nodes_without_a_report_are_chosen_as_without_links(self) -> None:
        self.report_links(2.0, 0.0, 0.0)
        counts = self.choose_repeatedly()
        self.assertGreater(min(counts["n-1"], counts["n-2"]), 50)
        for one in (*self.local, *self.remote):
            one.link_reported_at = None
        counts = self.choose_repeatedly(response_bytes=90_000)
        self.assertGreater(min(counts["n-1"], counts["n-2"]), 50)

    def test_a_link_of_no_bandwidth_is_no_division_by_zero(self) -> None:
        """Entries of other writers may state a bandwidth of 0."""
        self.report_links(0.0, 0.0, 0.0)
        self.local[0].entry = replace(self.local[0].entry, link_mbps=0.0)
        self.assertEqual(set(self.choose_repeatedly(response_bytes=90_000)), {"n-2"})

    def test_overloaded_local_targets_spill_over_to_remote_ones(self) -> None:
        for local in self.local:
            local.latency_s, local.in_flight = 0.1, 30
        self.assertEqual(set(self.choose_repeatedly()), {"n-1", "n-2"})
        for local in self.local:
            local.in_flight = 50
        self.assertEqual(set(self.choose_repeatedly()), {"n-3"})

    def test_if_all_targets_queue_local_ones_are_preferred_unless_much_slower(self) -> None:
        self.remote = [peer(number, data_centre="b") for number in range(3, 9)]
        for one in (*self.local, *self.remote):
            one.latency_s, one.in_flight = 0.1, 60
        self.assertEqual(set(self.choose_repeatedly()), {"n-1", "n-2"})
        for local in self.local:
            local.in_flight = 100
        counts = self.choose_repeatedly()
        self.assertLess(counts["n-1"] + counts["n-2"], 100)

    def test_a_local_target_with_free_slots_is_preferred_despite_long_calls(self) -> None:
        for one in (*self.local, *self.remote):
            one.latency_s = 0.9
        self.assertEqual(set(self.choose_repeatedly()), {"n-1", "n-2"})

    def test_one_unusually_fast_target_does_not_make_the_others_count_as_slow(self) -> None:
        self.remote = [peer(number, data_centre="b") for number in range(3, 7)]
        for one in (*self.local, *self.remote):
            one.latency_s = 0.5
        self.remote[0].latency_s = 0.01
        self.assertEqual(set(self.choose_repeatedly()), {"n-1", "n-2"})

    def test_local_targets_that_became_slow_are_not_preferred(self) -> None:
        for local in self.local:
            local.latency_s = 2.0
        self.remote[0].latency_s = 0.1
        counts = self.choose_repeatedly()
        self.assertGreater(counts["n-3"], counts["n-1"] + counts["n-2"])

    def test_a_slow_target_receives_fewer_calls(self) -> None:
        self.local[0].latency_s, self.local[1].latency_s = 0.3, 0.1
        counts = self.choose_repeatedly()
        self.assertGreater(counts["n-2"], counts["n-1"])

    def test_a_target_without_a_measured_latency_receives_calls(self) -> None:
        self.local[0].latency_s = 0.001
        self.local[0].in_flight = 1
        self.assertIn("n-2", self.choose_repeatedly())

    def test_unavailable_and_excluded_targets_receive_no_calls(self) -> None:
        self.local[0].unavailable_until = 11.0
        self.assertEqual(set(self.choose_repeatedly(frozenset({"10.0.0.2"}))), {"n-3"})

    def test_failing_targets_are_ejected_but_never_all_of_them(self) -> None:
        for _ in range(20):
            self.local[0].record_response(0.1, True, 10.0)
        self.assertEqual(set(self.choose_repeatedly()), {"n-2"})
        everyone: list[Peer] = [*self.local, *self.remote]
        for one in everyone:
            for _ in range(20):
                one.record_response(0.1, True, 10.0)
        self.assertNotIn("", self.choose_repeatedly())

    def test_no_target_is_chosen_without_candidates(self) -> None:
        self.assertIsNone(self.balancer.choose([], (), 0.0, 0.5))


class ColdTargetTests(unittest.TestCase):
    """Targets 1 and 2 are in the own data centre, 3 and 4 in another; each takes 200 a second."""

    COLD = ColdStart(per_s=10.0, start_s=3.0, max_calls=20)

    def setUp(self) -> None:
        self.balancer = Balancer("a", random.Random(5), lambda: 1_000)
        self.peers = [peer(1), peer(2), peer(3, data_centre="b"), peer(4, data_centre="b")]

    def turn_cold(self, *numbers: int) -> None:
        for number in numbers:
            cold = self.peers[number - 1]
            assert cold.entry.target is not None
            cold.entry = replace(cold.entry, target=replace(cold.entry.target, warm_at_ms=2_000))

    def shares(self, cold_start: ColdStart | None = COLD, count: int = 4_000) -> dict[str, float]:
        counts: Counter[str] = Counter()
        for _ in range(count):
            chosen = self.balancer.choose(self.peers, frozenset(), 10.0, 0.5, cold_start)
            assert chosen is not None
            counts[chosen.entry.node_id] += 1
        return {node_id: count_ / count for node_id, count_ in counts.items()}

    def test_a_cold_target_is_chosen_in_proportion_to_what_it_takes(self) -> None:
        self.turn_cold(1)
        shares = self.shares()
        self.assertAlmostEqual(shares["n-1"], 8 / 208, delta=0.01)
        self.assertEqual(set(shares), {"n-1", "n-2"})

    def test_without_limits_for_cold_targets_the_choice_is_as_before(self) -> None:
        self.turn_cold(1)
        self.assertEqual(self.shares(None), {"n-2": 1.0})
        for warm in self.peers[1:]:
            warm.in_flight = 12
        self.assertEqual(self.shares(None), {"n-1": 1.0})

    def test_a_cold_data_centre_shares_its_calls_with_the_others(self) -> None:
        self.turn_cold(1, 2)
        shares = self.shares()
        for number in (1, 2):
            self.assertAlmostEqual(shares[f"n-{number}"], 8 / 416, delta=0.01)
        self.assertGreater(min(shares["n-3"], shares["n-4"]), 0.4)

    def test_cold_targets_elsewhere_get_calls_only_if_no_local_one_is_free(self) -> None:
        self.turn_cold(3, 4)
        self.assertEqual(set(self.shares()), {"n-1", "n-2"})
        for local in self.peers[:2]:
            local.in_flight = 100
        self.assertTrue({"n-3", "n-4"} <= set(self.shares()))

    def test_cold_targets_that_are_full_get_calls_only_if_all_are_cold(self) -> None:
        self.turn_cold(1, 2)
        for local in self.peers[:2]:
            local.record_load(1.0, 10.0)
        self.assertEqual(set(self.shares()), {"n-3", "n-4"})
        self.turn_cold(3, 4)
        self.assertEqual(set(self.shares()), {"n-3", "n-4"})
        for remote in self.peers[2:]:
            remote.record_load(1.0, 10.0)
        self.assertEqual(len(self.shares()), 4)
