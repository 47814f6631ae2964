import unittest

from benchmarks import membership_costs


class MembershipCostsTests(unittest.TestCase):
    def test_all_operations_of_a_small_table_are_measured(self) -> None:
        results = membership_costs.run(20, 5, seed=1)
        self.assertGreater(min(results.values()), 0.0)

    def test_each_update_changes_the_table(self) -> None:
        members = membership_costs.make_members(20, 5)
        table = membership_costs.make_table(members)
        updates = membership_costs.make_updates(members[1:], 50)
        self.assertEqual([table.merge(update, 1.0) for update in updates], [True] * 50)
