import random
import unittest
from dataclasses import replace

from bulrushflow.sidecar.decisions import Decisions
from bulrushflow.sidecar.model import MoveOrder
from bulrushflow.sidecar.model import MovePhase
from bulrushflow.sidecar.model import MoveStatus
from bulrushflow.sidecar.moves import Moves
from tests.sidecar.samples import peer

ORDER = MoveOrder("statements", "v2", 15.0, 7)
STATUS = MoveStatus("statements", "v2", 7, 1, 100, MovePhase.RUNNING, 0, 15_000)


class MovesTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.moves = Moves("n-1", 1, Decisions(), random.Random(3))
        self.old = [peer(1), peer(2)]
        self.new = [peer(3, "v2")]
        self.peers = [*self.old, *self.new]

    def versions(self, count: int = 300) -> set[str]:
        found: set[str] = set()
        for _ in range(count):
            for chosen in self.moves.choose("statements", self.peers):
                assert chosen.entry.target is not None
                found.add(chosen.entry.target.version)
        return found

    async def test_without_an_order_every_target_is_taken(self) -> None:
        self.assertEqual(self.versions(1), {"v1", "v2"})

    async def test_an_ordered_version_gets_nothing_before_its_first_step(self) -> None:
        self.moves.order(ORDER, 0.0)
        self.assertEqual(self.versions(), {"v1"})

    async def test_a_step_gives_the_new_version_its_share(self) -> None:
        self.moves.order(ORDER, 0.0)
        self.moves.take(STATUS, 0.0)
        self.assertEqual(self.versions(), {"v1", "v2"})

    async def test_a_status_that_comes_before_its_order_counts(self) -> None:
        self.moves.take(replace(STATUS, phase=MovePhase.TAKEN_BACK), 0.0)
        self.moves.order(ORDER, 0.0)
        self.assertTrue(self.moves.is_forbidden("statements", "v2"))

    async def test_a_version_taken_back_gets_nothing_whatever_comes_late(self) -> None:
        self.moves.order(ORDER, 0.0)
        self.moves.take(replace(STATUS, step=2, phase=MovePhase.TAKEN_BACK), 0.0)
        self.assertFalse(self.moves.take(replace(STATUS, step=3, share_permille=500), 0.0))
        self.assertEqual(self.versions(), {"v1"})
        self.assertTrue(self.moves.is_forbidden("statements", "v2"))
        self.assertFalse(self.moves.is_forbidden("statements", "v1"))

    async def test_a_finished_move_uses_the_new_version_only(self) -> None:
        self.moves.order(ORDER, 0.0)
        self.moves.take(replace(STATUS, step=4, phase=MovePhase.DONE), 0.0)
        self.assertEqual(self.versions(), {"v2"})

    async def test_a_later_order_replaces_the_one_before(self) -> None:
        self.moves.order(ORDER, 0.0)
        self.moves.take(replace(STATUS, phase=MovePhase.TAKEN_BACK), 0.0)
        self.moves.order(replace(ORDER, to_version="v3", order_id=9), 1.0)
        self.assertFalse(self.moves.is_forbidden("statements", "v2"))
        self.moves.order(ORDER, 2.0)
        self.assertEqual(self.moves.by_service["statements"].order.to_version, "v3")
