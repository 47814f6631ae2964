import random
import unittest

from msgspec.structs import replace

from bulrushflow.rollouts import ExposureLimits
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.model import RolloutOrder
from bulrushflow.sidecar.model import RolloutPhase
from bulrushflow.sidecar.model import RolloutStatus
from bulrushflow.sidecar.records.codec import decode_rollout_status
from bulrushflow.sidecar.records.codec import encode_rollout_status
from bulrushflow.sidecar.records.handlers import RolloutStatusHandler
from bulrushflow.sidecar.records.storage import KeyedRecord
from bulrushflow.sidecar.rollouts.tracker import Rollouts

ORDER = RolloutOrder("statements", "v2", 15.0, 7)
ROLLED_BACK = RolloutStatus("statements", "v2", 7, 2, 0, RolloutPhase.ROLLED_BACK, 0, 15_000)


class RolloutStatusHandlerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        decisions = DecisionLog()
        self.rollouts = Rollouts("n-1", 1, decisions, random.Random(3), ExposureLimits(0.1, 50))
        self.rollouts.apply_order(ORDER, 0.0)
        self.handler = RolloutStatusHandler(
            lambda record: decode_rollout_status(record.value),
            lambda status: self.apply_status(status),
            self.rollouts.reconcile,
            decisions,
        )
        self.handler.replace([self.record(ROLLED_BACK)])

    def apply_status(self, status: RolloutStatus) -> None:
        self.rollouts.apply_status(status, 0.0, recorded=True)

    def record(self, status: RolloutStatus) -> KeyedRecord:
        return KeyedRecord(status.service, encode_rollout_status(status), status.step)

    async def test_a_version_rolled_back_stays_forbidden_when_its_status_is_missing(self) -> None:
        self.handler.replace([])
        self.assertTrue(self.rollouts.is_forbidden("statements", "v2"))
        self.handler.apply(KeyedRecord("statements", b"", 3))
        self.assertTrue(self.rollouts.is_forbidden("statements", "v2"))

    async def test_an_order_read_again_after_its_status_went_missing_stays_forbidden(self) -> None:
        self.rollouts.remove_order("statements")
        self.handler.replace([])
        self.rollouts.apply_order(ORDER, 1.0)
        self.assertTrue(self.rollouts.is_forbidden("statements", "v2"))

    async def test_an_older_status_on_a_reload_does_not_undo_a_rollback(self) -> None:
        running = replace(ROLLED_BACK, step=1, share_permille=100, phase=RolloutPhase.RUNNING)
        self.handler.replace([self.record(running)])
        self.assertTrue(self.rollouts.is_forbidden("statements", "v2"))

    # A rollback that the store lost was never written again: operators didn't see that it ended.
    async def test_a_status_that_the_store_lost_has_to_be_written_again(self) -> None:
        self.assertIsNone(self.rollouts.lost_status("statements"))
        self.assertTrue(self.rollouts.is_recorded(ROLLED_BACK))
        self.handler.replace([])
        self.assertEqual(self.rollouts.lost_status("statements"), ROLLED_BACK)
        self.assertFalse(self.rollouts.is_recorded(ROLLED_BACK))
        self.handler.apply(self.record(ROLLED_BACK))
        self.assertIsNone(self.rollouts.lost_status("statements"))
        self.assertTrue(self.rollouts.is_recorded(ROLLED_BACK))

    async def test_an_older_step_in_a_restored_copy_is_a_lost_status(self) -> None:
        running = replace(ROLLED_BACK, step=1, share_permille=100, phase=RolloutPhase.RUNNING)
        self.handler.replace([self.record(running)])
        self.assertEqual(self.rollouts.lost_status("statements"), ROLLED_BACK)
