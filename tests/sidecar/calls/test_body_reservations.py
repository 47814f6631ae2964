import unittest

from bulrushflow.routing import ByteBudget
from bulrushflow.sidecar.calls.body_reservations import RESERVATION_S
from bulrushflow.sidecar.calls.body_reservations import BodyReservations


class BodyReservationsTests(unittest.TestCase):
    """The load: many nodes announce large bodies to one node before the first one arrives."""

    def setUp(self) -> None:
        self.budget = ByteBudget(100)
        self.reservations = BodyReservations(self.budget)

    # Thirteen bodies of 16.5 MB took a node over its memory: each found the space free.
    def test_announced_bodies_never_get_more_than_the_budget(self) -> None:
        accepted = [self.reservations.reserve(f"r-{i}", 40, 0.0) for i in range(13)]
        self.assertEqual(accepted, [True, True] + [False] * 11)
        self.assertEqual(self.budget.used_bytes, 80)

    def test_the_space_of_a_body_that_arrived_is_released_once(self) -> None:
        self.reservations.reserve("r-1", 40, 0.0)
        self.reservations.release("r-1")
        self.reservations.release("r-1")
        self.assertEqual(self.budget.used_bytes, 0)

    def test_a_body_that_does_not_arrive_loses_its_space(self) -> None:
        self.assertTrue(self.reservations.reserve("r-1", 100, 0.0))
        self.assertFalse(self.reservations.reserve("r-2", 1, RESERVATION_S / 2))
        self.assertTrue(self.reservations.reserve("r-2", 100, RESERVATION_S))

    def test_a_call_that_is_announced_again_keeps_one_reservation(self) -> None:
        for size in (40, 60):
            self.assertTrue(self.reservations.reserve("r-1", size, 0.0))
        self.assertEqual(self.budget.used_bytes, 60)
