import unittest

from bulrushflow.placement import Evacuations


class EvacuationsTests(unittest.TestCase):
    def test_orders_are_independent_of_each_other(self) -> None:
        both = Evacuations().with_order("a").with_order("b").with_order("a")
        self.assertEqual(both.data_centres, {"a", "b"})
        self.assertEqual(both.without_order("a").data_centres, {"b"})
        self.assertEqual(Evacuations().without_order("a"), Evacuations())

    def test_only_targets_in_an_evacuated_data_centre_are_refused(self) -> None:
        evacuations = Evacuations().with_order("a")
        self.assertEqual(evacuations.refusal("a"), "data centre a is evacuated")
        self.assertIsNone(evacuations.refusal("b"))
