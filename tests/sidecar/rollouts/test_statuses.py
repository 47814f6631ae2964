import typing as t
import unittest

from result import Err
from result import Result

from bulrushflow.sidecar.model import RolloutPhase
from bulrushflow.sidecar.model import RolloutStatus
from bulrushflow.sidecar.records.codec import decode_rollout_status
from bulrushflow.sidecar.records.codec import encode_rollout_status
from bulrushflow.sidecar.records.handlers import RolloutStatusHandler
from bulrushflow.sidecar.records.replica import Replica
from bulrushflow.sidecar.records.storage import StoreError
from bulrushflow.sidecar.records.storage import StoreErrorKind
from bulrushflow.sidecar.records.storage import StoreWrite
from bulrushflow.sidecar.rollouts.statuses import MAX_READS
from bulrushflow.sidecar.rollouts.statuses import StatusLog
from tests.sidecar.samples import MemoryStore
from tests.sidecar.samples import RecordingDecisions

STATUS = RolloutStatus("statements", "v2", 7, 1, 100, RolloutPhase.RUNNING, 0, 15_000)


class BusyStore(MemoryStore):
    """A store to which other nodes append just before the appends of the node under test.

    ``earlier_keys`` has the keys of their records, one list for each append; ``on_append`` is
    called once these records are stored. While ``loses_response`` is set, appends are executed and
    their outcome is unknown.
    """

    def __init__(self) -> None:
        super().__init__()
        self.earlier_keys: t.Iterator[list[str]] = iter(())
        self.on_append: t.Callable[[], None] = lambda: None
        self.expected_ends: list[int | None] = []
        self.loses_response = False

    async def append(
        self, topic: str, writes: t.Sequence[StoreWrite], expected_end: int | None = None
    ) -> Result[int, StoreError]:
        for key in next(self.earlier_keys, []):
            self.put(key, b"of another node")
        self.on_append()
        self.expected_ends.append(expected_end)
        result = await super().append(topic, writes, expected_end)
        if self.loses_response:
            return Err(StoreError(StoreErrorKind.UNKNOWN, "no response"))
        return result


class StatusLogTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.store = BusyStore()
        decisions = RecordingDecisions()
        handler = RolloutStatusHandler(
            lambda record: decode_rollout_status(record.value),
            lambda status: None,
            lambda statuses: None,
            decisions,
        )
        self.replica = Replica("statuses", handler, decisions)
        self.replica.offset = 0
        self.statuses = StatusLog(
            self.store,
            "statuses",
            self.replica,
            lambda status: StoreWrite(status.service, encode_rollout_status(status)),
        )
        self.due = True

    async def write(self, *earlier_keys: list[str]) -> Result[int, StoreError]:
        self.store.earlier_keys = iter(earlier_keys)
        return await self.statuses.write(STATUS, lambda: self.due)

    def assert_conflict(self, result: Result[int, StoreError]) -> None:
        self.assertEqual(result.unwrap_err().kind, StoreErrorKind.CONFLICT)
        written = encode_rollout_status(STATUS)
        self.assertNotIn(written, [record.value for record in self.store.records])

    async def test_nothing_is_written_before_the_topic_was_read(self) -> None:
        self.store.put("statements", b"a later step")
        self.replica.offset = None
        result = await self.write()
        self.assertEqual(result.unwrap_err().kind, StoreErrorKind.REFUSED)
        self.assertEqual(len(self.store.records), 1)

    async def test_a_status_is_written_after_unread_records_of_other_services(self) -> None:
        self.assertEqual((await self.write(["billing", "plots"])).unwrap(), 2)
        self.assertEqual(self.store.expected_ends, [0, 2])
        self.assertEqual(self.store.reads, [(0, 0.0)])

    async def test_a_status_is_written_though_other_services_append_again(self) -> None:
        self.assertEqual((await self.write(["billing"], ["plots"], ["billing"])).unwrap(), 3)
        self.assertEqual(self.store.reads, [(0, 0.0), (1, 0.0), (2, 0.0)])

    async def test_the_calls_of_one_write_are_bounded(self) -> None:
        self.assert_conflict(await self.write(*[["billing"]] * 1000))
        self.assertEqual(len(self.store.reads), MAX_READS)
        self.assertEqual(len(self.store.expected_ends), MAX_READS + 1)

    async def test_nothing_is_written_after_an_unread_record_of_the_service(self) -> None:
        for earlier_keys in (
            [["statements"]],
            [["statements", "billing"]],
            [["billing", "statements"]],
            [["billing"], ["statements"]],
            [["billing"], ["plots"], ["statements", "billing"]],
        ):
            with self.subTest(earlier_keys=earlier_keys):
                self.setUp()
                self.assert_conflict(await self.write(*earlier_keys))
                self.assertEqual(len(self.store.expected_ends), len(earlier_keys))

    async def test_a_record_that_the_replica_reads_meanwhile_is_unread_all_the_same(self) -> None:
        self.store.on_append = lambda: setattr(self.replica, "offset", 1)
        self.assert_conflict(await self.write(["statements", "billing"]))

    async def test_all_pages_are_checked_before_the_next_append(self) -> None:
        self.store.max_page_records = 1
        self.assertEqual((await self.write(["billing", "plots", "billing"])).unwrap(), 3)
        self.assertEqual(self.store.expected_ends, [0, 3])

    async def test_a_record_of_the_service_on_a_later_page_prevents_the_write(self) -> None:
        self.store.max_page_records = 1
        self.assert_conflict(await self.write(["billing", "plots", "statements"]))
        self.assertEqual(self.store.expected_ends, [0])

    async def test_pages_that_never_reach_the_end_are_bounded(self) -> None:
        self.store.max_page_records = 1
        self.assert_conflict(await self.write(["billing"] * 1000))
        self.assertEqual(len(self.store.reads), MAX_READS)
        self.assertEqual(self.store.expected_ends, [0])

    async def test_a_page_without_records_ends_the_write(self) -> None:
        self.store.max_page_records = 0
        self.assert_conflict(await self.write(["billing"]))
        self.assertEqual(len(self.store.reads), 1)

    async def test_a_status_that_is_no_longer_due_is_not_appended_again(self) -> None:
        self.store.on_append = lambda: setattr(self, "due", False)
        self.assert_conflict(await self.write(["billing"]))
        self.assertEqual(self.store.reads, [])

    async def test_a_status_that_stops_being_due_during_the_read_is_not_appended(self) -> None:
        self.store.earlier_keys = iter([["billing"]])
        result = await self.statuses.write(STATUS, lambda: not self.store.reads)
        self.assert_conflict(result)
        self.assertEqual(self.store.expected_ends, [0])

    async def test_a_failed_read_ends_the_write(self) -> None:
        self.store.on_append = lambda: setattr(self.store, "first_offset", 1)
        result = await self.write(["billing"])
        self.assertEqual(result.unwrap_err().kind, StoreErrorKind.TRIMMED)
        self.assertEqual(self.store.expected_ends, [0])

    async def test_a_status_with_an_unknown_outcome_is_not_written_twice(self) -> None:
        self.store.loses_response = True
        self.assertEqual((await self.write()).unwrap_err().kind, StoreErrorKind.UNKNOWN)
        self.store.loses_response = False
        result = await self.write(["billing"])
        self.assertEqual(result.unwrap_err().kind, StoreErrorKind.CONFLICT)
        self.assertEqual([record.key for record in self.store.records], ["statements", "billing"])
