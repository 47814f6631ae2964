"""Tests of the failure detector's policy: probe order, timeouts and local health."""

import random
import unittest

from bulrushflow.membership import LocalHealth
from bulrushflow.membership import Member
from bulrushflow.membership import MemberTable
from bulrushflow.membership import ProbeOrder
from bulrushflow.membership import Status
from bulrushflow.membership import suspicion_timeout_s


def table_of(local: int, remote: int) -> MemberTable:
    table = MemberTable(Member("own", "celje-a", "127.0.0.1", 1, 1))
    for i in range(local + remote):
        data_centre = "celje-a" if i < local else "velenje"
        table.merge(Member(f"n{i}", data_centre, "127.0.0.1", 2 + i, 1), 0.0)
    return table


class ProbeOrderTests(unittest.TestCase):
    def test_each_local_member_is_probed_once_a_round_and_some_remote_ones(self) -> None:
        order, table = ProbeOrder(random.Random(1)), table_of(9, 5)
        probed = [order.next(table) for _ in range(12)]
        local = [m.node_id for m in probed if m and m.data_centre == "celje-a"]
        self.assertEqual(sorted(local), [f"n{i}" for i in range(9)])
        self.assertEqual(sum(1 for m in probed if m and m.data_centre == "velenje"), 3)

    def test_a_node_alone_in_its_data_centre_probes_other_data_centres(self) -> None:
        order, table = ProbeOrder(random.Random(1)), table_of(0, 3)
        self.assertTrue(all(order.next(table) for _ in range(8)))

    def test_dead_members_are_skipped(self) -> None:
        order, table = ProbeOrder(random.Random(1)), table_of(2, 0)
        self.assertIsNotNone(order.next(table))
        table.raise_status("n0", Status.DEAD, 0.0)
        table.raise_status("n1", Status.DEAD, 0.0)
        self.assertEqual([order.next(table) for _ in range(8)], [None] * 8)


class TimeoutTests(unittest.TestCase):
    def test_suspicion_timeout_grows_with_the_fleet(self) -> None:
        values = [round(suspicion_timeout_s(3.0, n), 1) for n in (0, 10, 100, 4800)]
        self.assertEqual(values, [3.0, 3.0, 6.0, 11.0])

    def test_health_score_rises_with_silence_and_pauses_and_falls_with_acks(self) -> None:
        health = LocalHealth()
        multipliers = []
        for step in [
            health.record_silence,
            health.record_silence,
            health.record_ack,
            health.record_pause,
            health.record_ack,
        ]:
            step()
            multipliers.append(health.multiplier)
        self.assertEqual(multipliers, [2, 3, 2, 5, 4])
