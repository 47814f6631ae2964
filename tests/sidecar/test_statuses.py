import random
import unittest

from bulrushflow.sidecar.model import RolloutPhase
from bulrushflow.sidecar.model import RolloutStatus
from bulrushflow.sidecar.record_handlers import RolloutStatusHandler
from bulrushflow.sidecar.records import decode_rollout_status
from bulrushflow.sidecar.records import encode_rollout_status
from bulrushflow.sidecar.replica import Replica
from bulrushflow.sidecar.statuses import StatusLog
from bulrushflow.sidecar.storage import StoreErrorKind
from bulrushflow.sidecar.storage import StoreWrite
from tests.sidecar.samples import MemoryStore
from tests.sidecar.samples import RecordingDecisions

STATUS = RolloutStatus("statements", "v2", 7, 1, 100, RolloutPhase.RUNNING, 0, 15_000)


class StatusLogTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.store = MemoryStore()
        decisions = RecordingDecisions()
        handler = RolloutStatusHandler(
            lambda record: decode_rollout_status(record.value), lambda status: None, decisions
        )
        self.replica = Replica(self.store, "statuses", handler, decisions, random.Random(1))
        self.statuses = StatusLog(
            self.store,
            "statuses",
            self.replica,
            lambda status: StoreWrite(status.service, encode_rollout_status(status)),
        )

    async def test_nothing_is_written_before_the_topic_was_read(self) -> None:
        self.store.put("statements", b"a later step")
        result = await self.statuses.write(STATUS)
        self.assertEqual(result.unwrap_err().kind, StoreErrorKind.REFUSED)
        self.assertEqual(len(self.store.records), 1)
