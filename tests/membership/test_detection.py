"""Tests of the failure detector's decisions."""

import random
import unittest

from bulrushflow.membership import LocalHealth
from bulrushflow.membership import Member
from bulrushflow.membership import MemberTable
from bulrushflow.membership import ProbeOrder
from bulrushflow.membership import Status
from bulrushflow.membership import suspicion_timeout_s


def table_of(near: int, far: int) -> MemberTable:
    table = MemberTable(Member("own", "celje-a", "127.0.0.1", 1, 1))
    for i in range(near + far):
        data_centre = "celje-a" if i < near else "velenje"
        table.merge(Member(f"n{i}", data_centre, "127.0.0.1", 2 + i, 1), 0.0)
    return table


class ProbeOrderTests(unittest.TestCase):
    def test_each_near_member_is_probed_once_a_round_and_some_far_ones(self) -> None:
        order, table = ProbeOrder(random.Random(1)), table_of(9, 5)
        probed = [order.next(table) for _ in range(12)]
        near = [m.node_id for m in probed if m and m.data_centre == "celje-a"]
        self.assertEqual(sorted(near), [f"n{i}" for i in range(9)])
        self.assertEqual(sum(1 for m in probed if m and m.data_centre == "velenje"), 3)

    def test_a_node_alone_in_its_data_centre_probes_the_others(self) -> None:
        order, table = ProbeOrder(random.Random(1)), table_of(0, 3)
        self.assertTrue(all(order.next(table) for _ in range(8)))

    def test_the_dead_are_passed_over(self) -> None:
        order, table = ProbeOrder(random.Random(1)), table_of(2, 0)
        self.assertIsNotNone(order.next(table))
        table.raise_status("n0", Status.DEAD, 0.0)
        table.raise_status("n1", Status.DEAD, 0.0)
        self.assertEqual([order.next(table) for _ in range(8)], [None] * 8)


class PatienceTests(unittest.TestCase):
    def test_suspicion_lasts_longer_in_larger_fleets(self) -> None:
        values = [round(suspicion_timeout_s(3.0, n), 1) for n in (0, 10, 100, 4800)]
        self.assertEqual(values, [3.0, 3.0, 6.0, 11.0])

    def test_doubt_rises_with_failures_and_stalls_and_falls_with_acks(self) -> None:
        health = LocalHealth()
        seen = []
        for step in [
            health.record_silence,
            health.record_silence,
            health.record_ack,
            health.record_pause,
            health.record_ack,
        ]:
            step()
            seen.append(health.multiplier)
        self.assertEqual(seen, [2, 3, 2, 5, 4])
