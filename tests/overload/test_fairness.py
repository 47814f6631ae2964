import unittest

from bulrushflow.overload import DemandShares
from bulrushflow.overload import UrgencyShares
from bulrushflow.overload.fairness import MAX_ORGANISATIONS


class DemandSharesTests(unittest.TestCase):
    def setUp(self) -> None:
        self.shares = DemandShares()
        self.now = 0.0

    def send(self, seconds: float, large: int, small: int) -> None:
        """Record calls per tenth of a second of a large organisation and of ten small ones."""
        for step in range(int(seconds * 10)):
            self.now += 0.1
            for _ in range(large):
                self.shares.record("large", self.now)
            for i in range(small):
                self.shares.record(f"small-{(step + i) % 10}", self.now)

    def exceeded(self) -> list[str]:
        names = ["large", *(f"small-{i}" for i in range(10))]
        return [name for name in names if self.shares.is_exceeded(name, self.now)]

    def test_an_organisation_that_sends_7_times_its_usual_calls_exceeds_its_share(self) -> None:
        self.send(60.0, 1, 2)
        self.send(1.5, 7, 2)
        self.assertEqual(self.exceeded(), ["large"])
        self.send(5.0, 7, 2)
        self.assertEqual(self.exceeded(), ["large"])
        self.send(10.0, 1, 2)
        self.assertEqual(self.exceeded(), [])

    # The largest organisation would bear the cost of every peak if shares were equal.
    def test_neither_a_swing_of_the_whole_demand_nor_size_exceeds_a_share(self) -> None:
        self.send(60.0, 5, 2)
        self.send(7.0, 20, 8)
        self.assertEqual(self.exceeded(), [])

    def test_nothing_is_held_against_organisations_before_their_usual_demand_is_known(self) -> None:
        self.send(1.0, 50, 1)
        self.assertEqual(self.exceeded(), [])

    def test_calls_without_an_organisation_never_exceed_a_share(self) -> None:
        self.send(60.0, 0, 1)
        for _ in range(1000):
            self.shares.record("", self.now)
        self.assertFalse(self.shares.is_exceeded("", self.now))

    def test_organisations_beyond_the_bound_are_counted_together(self) -> None:
        for number in range(MAX_ORGANISATIONS * 3):
            self.shares.record(f"o-{number}", 1.0)
        self.assertLessEqual(len(self.shares._by_organisation), MAX_ORGANISATIONS + 1)


class UrgencySharesTests(unittest.TestCase):
    def test_a_less_urgent_rank_gets_its_part_of_the_slot_time(self) -> None:
        shares = UrgencyShares(1 / 8)
        shares.record_start(1, 0.1)
        started = {0: 0, 1: 0}
        for _ in range(900):
            rank = 1 if shares.has_credit(1) else 0
            shares.record_start(rank, 0.1)
            started[rank] += 1
        self.assertEqual(started, {0: 800, 1: 100})

    def test_a_rank_collects_credit_for_one_call_at_most(self) -> None:
        shares = UrgencyShares(1 / 8)
        shares.record_start(1, 0.1)
        for _ in range(500):
            shares.record_start(0, 0.1)
        self.assertTrue(shares.has_credit(1))
        shares.record_start(1, 0.1)
        self.assertFalse(shares.has_credit(1))

    def test_without_a_share_no_rank_has_credit(self) -> None:
        shares = UrgencyShares(0.0)
        for _ in range(100):
            shares.record_start(0, 0.1)
        self.assertFalse(shares.has_credit(1))
