"""Tests of appending snapshots to the log."""

import random
import unittest
from unittest import mock

from bulrushflow.configuration import ConfigurationStore
from bulrushflow.configuration import SnapshotPolicy
from bulrushflow.recording import SnapshotWriter
from bulrushflow.timers import Timers
from tests.recording.fakes import MemoryLog
from tests.recording.test_recovery import change


class FixedClock:
    """A clock fixed at the time of the log's first records."""

    def monotonic(self) -> float:
        """See :meth:`Clock.monotonic`."""
        return 0.0

    def wall_ms(self) -> int:
        """See :meth:`Clock.wall_ms`."""
        return 1000


@mock.patch("bulrushflow.recording.snapshots.FIRST_WRITERS_WAIT_S", 0.0)
@mock.patch("bulrushflow.recording.snapshots.OTHER_WRITERS_WAIT_S", 0.0)
class SnapshotWriterTests(unittest.IsolatedAsyncioTestCase):
    def writer(
        self, log: MemoryLog, is_first_writer: bool
    ) -> tuple[SnapshotWriter, ConfigurationStore]:
        store = ConfigurationStore()
        store.apply(log.records)
        timers = Timers(random.Random(1))
        policy = SnapshotPolicy(4, 10**9)
        writer = SnapshotWriter(
            log, store, policy, timers, FixedClock(), random.Random(1), lambda: is_first_writer
        )
        self.addAsyncCleanup(timers.on_stop)
        return writer, store

    async def test_first_writers_append_when_due_and_others_when_late(self) -> None:
        cases = {(3, True): 0, (4, True): 1, (4, False): 0, (6, False): 1}
        for (count, is_first_writer), written in cases.items():
            with self.subTest(count=count, is_first_writer=is_first_writer):
                log = MemoryLog([change(i) for i in range(count)])
                writer, store = self.writer(log, is_first_writer)
                await writer.check()
                self.assertEqual(len(log.records) - count, written)
                store.apply(log.records)
                await writer.check()
                self.assertEqual(len(log.records) - count, written)

    async def test_two_writers_and_a_lost_response_append_equal_snapshots(self) -> None:
        log = MemoryLog([change(i) for i in range(5)])
        log.lost_responses = 1
        writers = [self.writer(log, True) for _ in range(2)]
        for writer, _ in writers:
            await writer.check()
        self.assertEqual(log.records[5].body, log.records[6].body)
        for _, store in writers:
            store.apply(log.records)
            self.assertEqual(store.current.newest_snapshot.state_offset, 4)
