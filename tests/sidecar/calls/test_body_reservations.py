import unittest

from bulrushflow.routing import ByteBudget
from bulrushflow.sidecar.calls.body_reservations import MIN_RESERVATION_S
from bulrushflow.sidecar.calls.body_reservations import SLOWEST_LINK_BYTES_PER_S
from bulrushflow.sidecar.calls.body_reservations import BodyReservations


class BodyReservationsTests(unittest.TestCase):
    """The load: many nodes announce large bodies to one node before the first one arrives."""

    def setUp(self) -> None:
        self.budget = ByteBudget(100)
        self.reservations = BodyReservations(self.budget)

    # Thirteen bodies of 16.5 MB took a node over its memory: each found the space free.
    def test_announced_bodies_never_get_more_than_the_budget(self) -> None:
        accepted = [self.reservations.reserve(f"r-{i}", 40, 0.0, 9.0) for i in range(13)]
        self.assertEqual(accepted, [True, True] + [False] * 11)
        self.assertEqual(self.budget.used_bytes, 80)

    def test_the_space_of_a_body_that_arrived_is_released_once(self) -> None:
        self.reservations.reserve("r-1", 40, 0.0, 9.0)
        self.reservations.release("r-1")
        self.reservations.release("r-1")
        self.assertEqual(self.budget.used_bytes, 0)

    def test_a_body_that_does_not_arrive_loses_its_space(self) -> None:
        self.assertTrue(self.reservations.reserve("r-1", 100, 0.0, 9.0))
        self.assertFalse(self.reservations.reserve("r-2", 1, MIN_RESERVATION_S / 2, 9.0))
        self.assertTrue(self.reservations.reserve("r-2", 100, MIN_RESERVATION_S, 9.0))

    def test_a_call_that_is_announced_again_keeps_one_reservation(self) -> None:
        for size in (40, 60):
            self.assertTrue(self.reservations.reserve("r-1", size, 0.0, 9.0))
        self.assertEqual(self.budget.used_bytes, 60)

    # After a fixed 3 s a large body on a slow link lost its space while it was still arriving.
    def test_a_large_body_keeps_its_space_for_its_time_on_a_slow_link(self) -> None:
        size = int(10 * SLOWEST_LINK_BYTES_PER_S)
        budget = ByteBudget(size)
        reservations = BodyReservations(budget)
        self.assertTrue(reservations.reserve("r-1", size, 0.0, 60.0))
        self.assertFalse(reservations.reserve("r-2", size, 9.0, 60.0))
        self.assertTrue(reservations.reserve("r-2", size, 10.0, 60.0))

    def test_the_space_of_a_call_that_ended_is_released(self) -> None:
        self.assertTrue(self.reservations.reserve("r-1", 100, 0.0, 1.0))
        self.assertTrue(self.reservations.reserve("r-2", 100, 1.0, 2.0))
