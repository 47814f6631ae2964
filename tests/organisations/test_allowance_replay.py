"""The load of a day, replayed on 68 nodes: 77 organisations, one of them far beyond its limit."""

import unittest

from msgspec.structs import replace

from bulrushflow.organisations import Limit
from tests.organisations.replay import Fleet
from tests.organisations.replay import highest_excess

NODES = 68
ORGANISATIONS = 77
REQUESTS_PER_S = 600.0
LIMIT_FACTOR = 1.6
"""Limit as a multiple of the usual rate."""
FLOOD_FACTOR = 7.5
FLOOD_S = 6.5
SETTLED_S = 3.0
"""Time after the start from which on refusals count."""
BEGIN_S = 6.0
END_S = 15.0
LEARN_S = 1.0
"""Time in which nodes notice by their calls which others can't be connected to."""
LARGE, MEDIUM, SMALL = "org-0", "org-8", "org-60"


def usual_rates() -> dict[str, float]:
    weights = [1 / (i + 1) ** 1.1 for i in range(ORGANISATIONS)]
    scale = REQUESTS_PER_S / sum(weights)
    return {f"org-{i}": weight * scale for i, weight in enumerate(weights)}


def limit_for(usual_per_s: float) -> Limit:
    per_s = LIMIT_FACTOR * usual_per_s
    return Limit(per_s, per_s / 2)


class ReplayTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.usual = usual_rates()
        self.fleet = Fleet(NODES, {k: limit_for(v) for k, v in self.usual.items()}, seed=1)

    def play(self, flooding: str | None = None) -> None:
        """Replay the usual load, with one organisation beyond its limit for a while."""
        for name, per_s in self.usual.items():
            self.fleet.send_requests(name, per_s, 0, BEGIN_S if name == flooding else END_S)
        if flooding is not None:
            flood_end = BEGIN_S + FLOOD_S
            per_s = self.usual[flooding]
            self.fleet.send_requests(flooding, per_s * FLOOD_FACTOR, BEGIN_S, flood_end)
            self.fleet.send_requests(flooding, per_s, flood_end, END_S)
        self.fleet.run(END_S)

    def assert_bound(self, *but: str) -> None:
        """Check each window of each organisation."""
        for name, limit in self.fleet.limits.items():
            if name not in but:
                excess = highest_excess(self.fleet.passed[name], limit)
                self.assertLessEqual(excess, 0, f"{name}, {limit.per_s:.1f}/s")

    def refused_fraction(self, *but: str) -> float:
        """Return which part of the requests of organisations below their limit was refused."""
        refused, passed = (
            sum(time >= SETTLED_S for k, times in by_name.items() if k not in but for time in times)
            for by_name in (self.fleet.refused, self.fleet.passed)
        )
        return refused / (refused + passed)

    def passed_in_flood(self, name: str) -> float:
        """Return what passed during the flood, as a fraction of the limit in that time."""
        times = self.fleet.passed[name]
        passed = sum(BEGIN_S <= time < BEGIN_S + FLOOD_S for time in times)
        limit = self.fleet.limits[name]
        return passed / (limit.per_s * FLOOD_S + limit.burst)


class CalmTests(ReplayTestCase):
    def test_below_the_limit_hardly_anything_is_refused(self) -> None:
        self.play()
        self.assert_bound()
        self.assertLess(self.refused_fraction(), 0.01)

    def test_there_are_fewer_messages_than_requests(self) -> None:
        self.play()
        requests = sum(map(len, [*self.fleet.passed.values(), *self.fleet.refused.values()]))
        probes = NODES * (NODES - 1)
        self.assertLess(self.fleet.messages - probes, 0.9 * requests)


class FloodTests(ReplayTestCase):
    def test_a_flood_of_a_large_organisation(self) -> None:
        self.check(LARGE, 0.9)

    def test_a_flood_of_a_medium_organisation(self) -> None:
        self.check(MEDIUM, 0.75)

    def test_a_flood_of_a_small_organisation(self) -> None:
        self.check(SMALL, 0.75)

    def check(self, name: str, least: float) -> None:
        self.play(flooding=name)
        self.assert_bound()
        self.assertGreater(self.passed_in_flood(name), least)
        self.assertLess(self.refused_fraction(name), 0.01)

    def test_a_flood_that_arrives_at_three_nodes(self) -> None:
        keys = list(self.fleet.nodes_by_key)[:3]
        per_s = self.usual[MEDIUM] * FLOOD_FACTOR
        self.fleet.send_requests(MEDIUM, per_s, BEGIN_S, BEGIN_S + FLOOD_S, keys)
        self.play()
        self.assert_bound()
        self.assertGreater(self.passed_in_flood(MEDIUM), 0.75)


class FailureTests(ReplayTestCase):
    """Each failure during a flood, of the largest organisation and of a small one."""

    def test_a_home_that_is_killed_and_restarted(self) -> None:
        for name in (LARGE, SMALL):
            with self.subTest(name):
                self.setUp()
                home = self.fleet.home_node(name)
                self.fleet.at(BEGIN_S + 1.5, self.fleet.kill, home, 3.0, LEARN_S)
                self.play(flooding=name)
                self.assert_bound()
                self.assertGreater(self.passed_in_flood(name), 0.6)

    # Nodes on both sides go on, so a limit that each side applied alone would count twice.
    def test_a_sixth_of_the_nodes_is_cut_off(self) -> None:
        for name in (LARGE, SMALL):
            for begin in (BEGIN_S - 2.0, BEGIN_S + 1.0):
                with self.subTest(name, begin=begin):
                    self.setUp()
                    keys = list(self.fleet.nodes_by_key)[: NODES // 6]
                    self.fleet.at(begin, self.fleet.cut, keys, LEARN_S)
                    self.fleet.at(begin + 8.0, self.fleet.cut, [], LEARN_S)
                    self.play(flooding=name)
                    self.assert_bound()
                    self.assertLess(self.refused_fraction(name), 0.05)

    def test_the_side_of_the_home_is_the_smaller_one(self) -> None:
        home = self.fleet.home_node(LARGE)
        keys = [home.key, *(k for k in self.fleet.nodes_by_key if k != home.key)][: NODES // 6]
        self.fleet.at(BEGIN_S + 1.0, self.fleet.cut, keys, LEARN_S)
        self.fleet.at(BEGIN_S + 9.0, self.fleet.cut, [], LEARN_S)
        self.play(flooding=LARGE)
        self.assert_bound()

    def test_a_home_is_frozen(self) -> None:
        for name in (LARGE, SMALL):
            with self.subTest(name):
                self.setUp()
                home = self.fleet.home_node(name)
                self.fleet.at(BEGIN_S + 1.0, self.fleet.freeze, home, 5.0)
                self.play(flooding=name)
                self.assert_bound()

    def test_nodes_with_shares_are_frozen(self) -> None:
        for node in list(self.fleet.nodes_by_key.values())[:3]:
            self.fleet.at(BEGIN_S + 1.0, self.fleet.freeze, node, 5.0)
        self.play(flooding=LARGE)
        self.assert_bound()

    def test_a_limit_is_lowered_during_a_flood(self) -> None:
        for name in (LARGE, SMALL):
            with self.subTest(name):
                self.setUp()
                limit = self.fleet.limits[name]
                lower = replace(limit, per_s=limit.per_s * 0.3, burst=limit.burst * 0.3)
                lowered_at = BEGIN_S + 1.0
                self.fleet.at(lowered_at, self.fleet.change_limit, name, lower, LEARN_S)
                self.play(flooding=name)
                self.assert_bound(name)
                times = self.fleet.passed[name]
                self.assertLessEqual(highest_excess(times, limit), 0)
                self.assertLessEqual(highest_excess(times, lower, lowered_at + LEARN_S), 0)
