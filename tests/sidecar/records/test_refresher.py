import asyncio
import random
import unittest
from unittest import mock

from bulrushflow.sidecar.records import refresher
from bulrushflow.sidecar.records import store_reader
from bulrushflow.sidecar.records.freshness import FreshnessBound
from bulrushflow.sidecar.records.refresher import RecordRefresher
from bulrushflow.sidecar.records.replica import Replica
from bulrushflow.sidecar.records.store_reader import StoreReader
from tests.sidecar.records.test_replica import RecordingHandler
from tests.sidecar.samples import MemoryStore
from tests.sidecar.samples import RecordingDecisions
from tests.waiting import until

APPLY_S = 60.0
"""Long, so that the records are outdated only where the test makes them."""
PATIENCE_S = 0.05


class RefresherTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        for module, name, value in (
            (refresher, "MIN_RETRY_PAUSE_S", 0.2),
            (refresher, "MAX_RETRY_PAUSE_S", 0.2),
            (store_reader, "MIN_PATIENCE_S", PATIENCE_S),
            (store_reader, "FIRST_BACKOFF_S", 0.001),
            (store_reader, "MAX_BACKOFF_S", 0.001),
        ):
            self.enterContext(mock.patch.object(module, name, value))
        self.store = MemoryStore()
        self.decisions = RecordingDecisions()
        self.freshness = FreshnessBound(lambda: APPLY_S)
        self.replica = Replica("x", RecordingHandler(), self.decisions, self.freshness)
        self.reader = StoreReader(self.store, self.replica, self.decisions, random.Random(1))
        self.may_read = True
        self.refresher = RecordRefresher(
            self.reader,
            self.freshness,
            lambda: self.may_read,
            lambda: "n-2",
            self.decisions,
            random.Random(1),
        )
        await self.reader.start()
        self.addAsyncCleanup(self.reader.stop)
        await until(lambda: bool(self.store.reads))
        self.reader.disable()
        await until(lambda: not self.reader.reading)
        self.store.reads.clear()
        self.store.cancelled_reads = 0

    def age(self) -> None:
        """Have the store's last confirmation lie too long ago."""
        confirmation = self.replica._confirmation
        assert confirmation._confirmed_at is not None
        confirmation._confirmed_at -= APPLY_S

    async def test_a_node_reads_the_store_itself_once_its_records_are_too_old(self) -> None:
        self.store.put("a", b"1")
        await self.refresher.check()
        self.assertFalse(self.reader.reading)
        self.age()
        await self.refresher.check()
        await until(lambda: self.replica.offset == 1)
        self.assertFalse(self.reader.enabled)
        [outdated] = self.decisions.inputs("records outdated")
        self.assertEqual((outdated["source"], outdated["offset"]), ("n-2", 0))
        await self.refresher.check()
        self.assertEqual(len(self.decisions.inputs("records current again")), 1)

    # CONFIG: a node whose position the store no longer kept waited for its source alone.
    async def test_a_node_without_a_position_loads_the_whole_state_itself(self) -> None:
        self.store.put("a", b"1")
        self.replica.drop_offset()
        self.age()
        await self.refresher.check()
        await until(lambda: self.replica.offset == 1)

    async def test_a_node_that_stops_or_has_no_source_does_not_turn_to_the_store(self) -> None:
        self.may_read = False
        self.age()
        await self.refresher.check()
        self.assertEqual((self.reader.reading, self.store.reads), (False, []))

    async def test_failed_reads_are_apart_since_the_store_may_be_away_for_all_nodes(self) -> None:
        self.store.unavailable = True
        self.age()
        await self.refresher.check()
        await until(lambda: self.reader.has_failed and not self.reader.reading)
        await self.refresher.check()
        self.assertEqual(len(self.store.reads), 1)

        while len(self.store.reads) == 1:
            await asyncio.sleep(0.001)
            await self.refresher.check()
        self.assertEqual(len(self.store.reads), 2)

    # CONFIG: a read on a connection that the store doesn't answer lasted for seconds.
    async def test_a_read_without_an_answer_is_restarted_with_twice_the_time(self) -> None:
        self.store.answers.clear()
        self.age()
        await self.refresher.check()
        await until(lambda: len(self.store.reads) == 1)
        self.reader.restart_overdue()
        self.assertEqual(self.store.cancelled_reads, 0)

        def restarted() -> bool:
            self.reader.restart_overdue()
            return self.store.cancelled_reads == 2 and len(self.store.reads) == 3

        await until(restarted)
        first, second = self.decisions.inputs("read without answer")
        self.assertGreaterEqual(first["reading_for_s"], PATIENCE_S)
        self.assertGreaterEqual(second["reading_for_s"], 2 * PATIENCE_S)
        self.store.answers.set()
        await until(lambda: not self.reader.reading)
