import asyncio
import random
import typing as t
import unittest
from unittest import mock

from bulrushflow.sidecar.records import replica as replica_module
from bulrushflow.sidecar.records import store_reader
from bulrushflow.sidecar.records.freshness import FreshnessBound
from bulrushflow.sidecar.records.replica import Replica
from bulrushflow.sidecar.records.storage import KeyedRecord
from bulrushflow.sidecar.records.storage import StorePage
from bulrushflow.sidecar.records.store_reader import StoreReader
from tests.clocks import stopped_loop_clock
from tests.sidecar.samples import MemoryStore
from tests.sidecar.samples import RecordingDecisions
from tests.waiting import GUARD_S
from tests.waiting import until


class RecordingHandler:
    def __init__(self) -> None:
        self.by_key: dict[str, bytes] = {}
        self.replaced = 0

    def replace(self, records: t.Sequence[KeyedRecord]) -> None:
        self.replaced += 1
        self.by_key = {record.key: record.value for record in records}

    def apply(self, record: KeyedRecord) -> None:
        self.by_key[record.key] = record.value


class ReplicaTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        for module, name in (
            (replica_module, "LAG_TOLERANCE_S"),
            (store_reader, "BATCH_PAUSE_S"),
            (store_reader, "FIRST_BACKOFF_S"),
            (store_reader, "MAX_BACKOFF_S"),
        ):
            patch = mock.patch.object(module, name, 0.001)
            patch.start()
            self.addCleanup(patch.stop)
        self.store = MemoryStore()
        self.handler = RecordingHandler()
        self.decisions = RecordingDecisions()
        self.replica = Replica("x", self.handler, self.decisions)
        self.reader = StoreReader(self.store, self.replica, self.decisions, random.Random(1))

    async def start(self) -> None:
        await self.reader.start()
        self.addAsyncCleanup(self.reader.stop)
        await until(lambda: self.replica.loaded)


class ReplicaTests(ReplicaTestCase):
    async def test_records_from_before_and_after_the_start_are_applied(self) -> None:
        self.store.put("a", b"1")
        await self.start()
        self.store.put("a", b"2")
        await until(lambda: self.handler.by_key == {"a": b"2"})

    async def test_a_read_that_lags_behind_a_peer_is_restarted(self) -> None:
        await self.start()
        await until(lambda: bool(self.store.reads))
        self.store.misses_wakeups = True
        self.store.put("a", b"1")
        await asyncio.sleep(0.01)
        self.assertEqual(self.handler.by_key, {})
        self.replica.note_peer_offset(1)
        self.assertEqual(self.replica.records_behind, 1)
        await until(lambda: self.handler.by_key == {"a": b"1"})
        [lag] = self.decisions.inputs("read lags behind")
        self.assertEqual((lag["offset"], lag["others_have"]), (0, 1))
        [caught_up] = self.decisions.inputs("caught up")
        self.assertEqual((caught_up["offset"], caught_up["restarted_reads"]), (1, 1))
        self.assertEqual(self.replica.records_behind, 0)

    async def test_a_peer_offset_that_was_read_already_is_ignored(self) -> None:
        self.store.put("a", b"1")
        await self.start()
        await until(lambda: bool(self.store.reads))
        self.replica.note_peer_offset(1)
        await asyncio.sleep(0.01)
        self.assertEqual(len(self.store.reads), 1)

    async def test_a_trimmed_offset_makes_the_replica_reload_the_whole_state(self) -> None:
        await self.start()
        await until(lambda: bool(self.store.reads))
        self.store.first_offset = 2
        self.store.put("a", b"1")
        self.store.put("b", b"2")
        await until(lambda: self.handler.by_key == {"a": b"1", "b": b"2"})

    async def test_the_replica_keeps_its_state_in_an_outage_and_catches_up_after_it(self) -> None:
        self.store.put("a", b"1")
        await self.start()
        self.store.unavailable = True
        self.store.put("a", b"2")
        await asyncio.sleep(0.01)
        self.store.unavailable = False
        await until(lambda: self.handler.by_key == {"a": b"2"})
        self.assertTrue(self.replica.loaded)

    async def test_a_read_whose_response_has_begun_is_not_restarted_by_newer_records(self) -> None:
        # Each restart began the transfer anew, so that a slow link never completed one.
        await self.start()
        await until(lambda: bool(self.store.reads))
        self.store.transfers.clear()
        self.store.put("a", b"1")
        await until(lambda: self.store.responses_begun == 1)
        for offset in (2, 3, 4):
            self.store.put("a", str(offset).encode())
            self.replica.note_peer_offset(offset)
            await asyncio.sleep(0.01)
        cancelled = self.store.cancelled_reads
        self.store.transfers.set()
        await until(lambda: self.handler.by_key == {"a": b"4"})
        self.assertEqual(cancelled, 0)

    # CONFIG: a state counted as just confirmed at the end of a slow transfer, or of a part.
    async def test_the_age_of_the_state_runs_from_the_begin_of_a_complete_response(self) -> None:
        page = StorePage((KeyedRecord("a", b"1", 0, 1),), 1, 1, 1)
        partial = StorePage((KeyedRecord("a", b"2", 1, 1),), 2, 3, 1)
        with stopped_loop_clock() as clock:
            self.replica.begin_request()
            clock.advance(1.0)
            self.replica.begin_response()
            clock.advance(2.0)
            self.replica.apply_state(page)
            self.assertEqual(self.replica.confirmed_s_ago, 2.0)
            self.replica.begin_request()
            self.replica.begin_response()
            self.replica.apply_page(partial)
            self.assertEqual(self.replica.confirmed_s_ago, 2.0)

    # DENIED: a node that didn't know of a missing configuration answered 404, which is final, for
    # a route in it.
    async def test_a_state_that_may_lack_a_change_by_its_age_is_not_current(self) -> None:
        replica = Replica("x", self.handler, self.decisions, FreshnessBound(lambda: 2.0))
        with stopped_loop_clock() as clock:
            replica.begin_request()
            replica.apply_state(StorePage((), 0, 0, 1))
            clock.advance(1.9)
            self.assertTrue(replica.is_current)
            clock.advance(0.2)
            self.assertFalse(replica.is_current)

    async def test_a_response_that_takes_long_is_logged(self) -> None:
        await self.start()
        await until(lambda: bool(self.store.reads))
        with mock.patch.object(store_reader, "SLOW_RESPONSE_S", 0.0):
            self.store.put("a", b"123")
            await until(lambda: bool(self.decisions.inputs("store response slow")))
        [slow] = self.decisions.inputs("store response slow")
        self.assertEqual((slow["topic"], slow["records"], slow["bytes"]), ("x", 1, 3))

    async def test_a_read_that_fetches_known_records_is_not_restarted_by_newer_ones(self) -> None:
        # A slow store needs longer for each answer than the operator for the next record.
        await self.start()
        await until(lambda: bool(self.store.reads))
        self.store.misses_wakeups = True
        self.store.put("a", b"1")
        self.store.answers.clear()
        self.replica.note_peer_offset(1)
        await until(lambda: self.store.cancelled_reads == 1)
        for offset in (2, 3, 4):
            self.store.put("a", str(offset).encode())
            self.replica.note_peer_offset(offset)
            await asyncio.sleep(0.01)
        cancelled = self.store.cancelled_reads
        self.store.answers.set()
        await until(lambda: self.handler.by_key == {"a": b"4"})
        self.assertEqual(cancelled, 1)

    async def test_a_replica_that_is_far_behind_skips_the_replaced_records(self) -> None:
        self.store.max_page_records = 2
        await self.start()
        self.store.unavailable = True
        self.store.put("a", b"0")
        await until(lambda: not self.replica.connected)
        sent_before = self.store.records_sent
        for value in range(20):
            self.store.put("b", str(value).encode())
        self.store.unavailable = False
        await until(lambda: self.handler.by_key == {"a": b"0", "b": b"19"})
        self.assertLessEqual(self.store.records_sent - sent_before, 4)

    async def test_a_reload_applies_what_changed_only(self) -> None:
        # The directory would forget, for example, which targets are unavailable at the moment.
        for key in "abc":
            self.store.put(key, b"1")
        await self.start()
        replica = self.replica
        records = (KeyedRecord("a", b"1", 0), KeyedRecord("b", b"2", 4), KeyedRecord("c", b"3", 3))
        with mock.patch.object(self.handler, "apply", wraps=self.handler.apply) as apply:
            replica.apply_state(StorePage(records, 5, 5, replica.era))
        self.assertEqual([call.args[0].offset for call in apply.call_args_list], [3, 4])
        self.assertEqual(self.handler.by_key, {"a": b"1", "b": b"2", "c": b"3"})
        self.assertEqual(self.handler.replaced, 1)
        update = replica.update_since(3, replica.era)
        self.assertEqual([record.offset for record in update.records], [3, 4])

    async def test_a_reload_without_a_key_replaces_the_state(self) -> None:
        for key in "ab":
            self.store.put(key, b"1")
        await self.start()
        page = StorePage((KeyedRecord("b", b"1", 1),), 4, 4, self.replica.era)
        self.replica.apply_state(page)
        self.assertEqual(self.handler.by_key, {"b": b"1"})
        self.assertIsNone(self.replica.update_since(2, self.replica.era).start_offset)

    async def test_an_offset_that_is_noted_during_a_transfer_is_not_forgotten(self) -> None:
        # The node would say that its configuration is current, and answer 404 for a new route.
        await self.start()
        await until(lambda: bool(self.store.reads))
        self.store.misses_wakeups = True
        self.store.put("a", b"1")
        self.store.put("a", b"2")
        self.store.transfers.clear()
        self.replica.note_peer_offset(2)
        await until(lambda: self.store.loads_begun == 2)
        self.store.put("a", b"3")
        self.replica.note_peer_offset(3)
        with mock.patch.object(store_reader, "BATCH_PAUSE_S", 1000.0):
            self.store.transfers.set()
            await until(lambda: self.replica.offset == 2)
            self.assertFalse(self.replica.is_current)

    async def test_a_replica_that_reloads_a_trimmed_topic_is_not_current(self) -> None:
        await self.start()
        await until(lambda: bool(self.store.reads))
        self.store.misses_wakeups = True
        self.store.put("a", b"1")
        self.store.first_offset = 1
        self.store.transfers.clear()
        self.replica.note_peer_offset(1)
        await until(lambda: self.replica.offset is None and self.store.loads_begun == 2)
        self.assertFalse(self.replica.is_current)

    async def test_the_read_after_an_error_does_not_wait(self) -> None:
        # A waiting read would show only when it ends that the store is back.
        await self.start()
        await until(lambda: bool(self.store.reads))
        self.store.unavailable = True
        self.store.put("a", b"1")
        await until(lambda: not self.replica.connected)
        self.store.unavailable = False
        await until(lambda: self.replica.connected)
        self.assertTrue(self.replica.is_current)
        self.assertIn((1, 0.0), self.store.reads)

    async def test_no_read_follows_at_once_after_a_topic_was_loaded(self) -> None:
        # A node that starts often finds another one to have the records from meanwhile.
        with mock.patch.object(store_reader, "BATCH_PAUSE_S", GUARD_S):
            await self.start()
            for _ in range(10):
                await asyncio.sleep(0)
            self.reader.disable()
            self.assertEqual(self.store.reads, [])

    async def test_the_read_after_a_topic_was_loaded_waits_for_records(self) -> None:
        # The load has shown already that the store is reached.
        self.reader.disable()
        self.reader.enable()
        await self.start()
        await until(lambda: bool(self.store.reads))
        self.assertEqual(self.store.reads, [(0, store_reader.SHORT_POLL_S)])

    async def test_a_wrong_offset_of_a_peer_is_ignored_once_the_store_denied_it(self) -> None:
        self.store.put("a", b"1")
        await self.start()
        await until(lambda: bool(self.store.reads))
        self.replica.note_peer_offset(1000)
        await until(lambda: self.replica.is_current)
        loads = self.store.loads_begun
        for _ in range(20):
            self.replica.note_peer_offset(1000)
            self.assertTrue(self.replica.is_current)
            await asyncio.sleep(0.002)
        self.assertEqual(self.store.loads_begun, loads)
        self.store.misses_wakeups = True
        self.store.put("a", b"2")
        self.replica.note_peer_offset(2)
        await until(lambda: self.handler.by_key == {"a": b"2"})

    async def test_a_state_older_than_what_was_read_is_not_applied(self) -> None:
        for value in (b"1", b"2", b"3"):
            self.store.put("a", value)
        await self.start()
        await until(lambda: bool(self.store.reads))
        self.store.newest_end = 1
        self.replica.note_peer_offset(9)
        await until(lambda: self.store.loads_begun > 2)
        self.assertEqual((self.replica.offset, self.handler.by_key), (3, {"a": b"3"}))


class RestoredStoreTests(ReplicaTestCase):
    """The store comes back from an older copy, and its offsets are given out again."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.store.put("a", b"1")
        await self.start()
        self.store.put("b", b"lost")
        self.store.put("c", b"lost")
        await until(lambda: len(self.handler.by_key) == 3)

    def restore_and_write(self, count: int) -> None:
        """Restore the store and append records up to as many as there were, or more."""
        self.store.restore(1)
        for number in range(count):
            self.store.put(f"new-{number}", str(count).encode())

    # CONFIG: a record at an offset that was given out again was never read.
    async def test_records_at_offsets_that_were_given_out_again_are_read(self) -> None:
        for count in (0, 1, 2, 3):
            with self.subTest(count=count):
                self.restore_and_write(count)
                await until(lambda: self.handler.by_key == self.state())
        self.assertTrue(self.decisions.inputs("store restored"))

    # CONFIG: a node that other nodes told of a lost offset never accepted the shorter topic.
    async def test_an_offset_that_a_peer_names_from_before_does_not_block_the_load(self) -> None:
        self.replica.note_peer_offset(9, self.store.era)
        self.restore_and_write(1)
        self.replica.note_peer_offset(9, self.store.era - 1)
        await until(lambda: set(self.handler.by_key) == {"a", "new-0"})
        await until(lambda: self.replica.is_current)
        self.replica.note_peer_offset(9, self.store.era - 1)
        self.assertTrue(self.replica.is_current)

    async def test_a_waiting_read_is_restarted_when_a_peer_names_a_later_era(self) -> None:
        self.store.misses_wakeups = True
        self.restore_and_write(2)
        self.replica.note_peer_offset(3, self.store.era)
        self.assertFalse(self.replica.is_current)
        await until(lambda: set(self.handler.by_key) == {"a", "new-0", "new-1"})

    # CONFIG: a reader that paused when a peer named the later era waited for records afterwards.
    async def test_a_read_that_begins_after_a_peer_named_a_later_era_does_not_wait(self) -> None:
        await until(lambda: self.store.reads[-1][1] > 0)
        with mock.patch.object(store_reader, "BATCH_PAUSE_S", 0.05):
            self.store.put("d", b"lost")
            await until(lambda: "d" in self.handler.by_key)
        self.store.misses_wakeups = True
        self.restore_and_write(3)
        self.replica.note_peer_offset(4, self.store.era)
        await until(lambda: set(self.handler.by_key) == {"a", "new-0", "new-1", "new-2"})

    # CONFIG: restarted, a read that had begun after the restore waited once more.
    async def test_a_read_that_began_after_the_restore_does_not_wait_again(self) -> None:
        await until(lambda: self.store.reads[-1][1] > 0)
        self.store.misses_wakeups = True
        self.restore_and_write(2)
        self.reader.interrupt_wait()
        reads = len(self.store.reads)
        await until(lambda: len(self.store.reads) > reads)
        self.replica.note_peer_offset(3, self.store.era)
        await until(lambda: set(self.handler.by_key) == {"a", "new-0", "new-1"})

    async def test_a_late_response_of_an_earlier_era_is_ignored(self) -> None:
        self.restore_and_write(1)
        await until(lambda: set(self.handler.by_key) == {"a", "new-0"})
        self.store.era -= 1
        self.store.put("stale", b"3")
        await until(lambda: bool(self.decisions.inputs("store lost")))
        self.assertNotIn("stale", self.handler.by_key)
        self.store.era += 1
        await until(lambda: "stale" in self.handler.by_key)

    async def test_any_order_of_writes_restores_and_failures_ends_with_the_stores_state(
        self,
    ) -> None:
        for seed in range(20):
            rng = random.Random(seed)
            with self.subTest(seed=seed):
                for step in range(rng.randrange(1, 12)):
                    self.disturb(rng, f"{seed}-{step}")
                    await asyncio.sleep(rng.choice((0.0, 0.002, 0.01)))
                self.store.unavailable = False
                self.store.misses_wakeups = False
                self.store.put("end", str(seed).encode())
                self.replica.note_peer_offset(len(self.store.records), self.store.era)
                await until(lambda: self.handler.by_key == self.state())

    def disturb(self, rng: random.Random, value: str) -> None:
        kind = rng.choice(("write", "write", "restore", "down", "up", "silent", "peer"))
        if kind == "write":
            self.store.put(rng.choice("abcdef"), value.encode())
        elif kind == "restore":
            self.store.restore(rng.randrange(len(self.store.records) + 1))
        elif kind == "peer":
            offset = rng.randrange(len(self.store.records) + 4)
            self.replica.note_peer_offset(offset, rng.randrange(self.store.era + 1))
        elif kind == "silent":
            self.store.misses_wakeups = not self.store.misses_wakeups
        else:
            self.store.unavailable = kind == "down"

    def state(self) -> dict[str, bytes]:
        return {record.key: record.value for record in self.store.records}
