"""Tests of the trees along which records are pushed."""

import unittest

from bulrushflow.membership import Member
from bulrushflow.nodes.push_tree import FANOUT
from bulrushflow.nodes.push_tree import children
from bulrushflow.nodes.push_tree import parent


class PushTreeTests(unittest.TestCase):
    def test_every_member_is_reached_once_from_each_root(self) -> None:
        for count in (1, 2, 5, 6, 40):
            members = [Member(f"n{i}", "celje-a", "127.0.0.1", i, 1) for i in range(count)]
            for root in members[:3]:
                with self.subTest(count=count, root=root.node_id):
                    reached = [root.node_id]
                    for node_id in reached:
                        below = children(members, root.node_id, node_id)
                        self.assertLessEqual(len(below), FANOUT)
                        for member in below:
                            above = parent(members, root.node_id, member.node_id)
                            self.assertEqual(above and above.node_id, node_id)
                        reached.extend(m.node_id for m in below)
                    self.assertEqual(sorted(reached), sorted(m.node_id for m in members))

    def test_a_node_that_is_no_member_has_no_children_and_no_parent(self) -> None:
        members = [Member("n1", "celje-a", "127.0.0.1", 1, 1)]
        self.assertEqual(children(members, "n1", "other"), [])
        self.assertIsNone(parent(members, "n1", "other"))
