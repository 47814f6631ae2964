"""Tests of the loop that reads the log."""

import asyncio
import random
import typing as t
import unittest
from unittest import mock

from bulrushflow.configuration import ConfigurationStore
from bulrushflow.configuration import LogRecord
from bulrushflow.nodes.log_reader import LogReader
from bulrushflow.recording import LogPage
from bulrushflow.settings import PlatformSettings
from tests.recording.fakes import MemoryLog
from tests.recording.test_recovery import change
from tests.recording.test_recovery import log_with_snapshots
from tests.waiting import until


class Owner:
    """Applies the records that the reader reads, and counts its reports."""

    def __init__(self, store: ConfigurationStore) -> None:
        self.checking = True
        self.pages = 0
        self.log_behind_reports = 0
        self._store = store

    def is_checking(self) -> bool:
        """See :meth:`LogReaderOwner.is_checking`."""
        return self.checking

    def generation(self) -> int:
        """See :meth:`LogReaderOwner.generation`."""
        return 0

    def apply(self, records: t.Iterable[LogRecord]) -> int:
        """See :meth:`LogReaderOwner.apply`."""
        return self._store.apply(records)

    def handle_page(self, page: LogPage, generation: int) -> None:
        """See :meth:`LogReaderOwner.handle_page`."""
        self.pages += 1

    def handle_log_behind(self, next_offset: int) -> None:
        """See :meth:`LogReaderOwner.handle_log_behind`."""
        self.log_behind_reports += 1


class LogReaderTests(unittest.IsolatedAsyncioTestCase):
    def start(self, log: MemoryLog, store: ConfigurationStore | None = None) -> None:
        self.store = store or ConfigurationStore()
        self.owner = Owner(self.store)
        settings = PlatformSettings(
            "http://127.0.0.1:1", long_poll_s=60.0, snapshot_every_records=2
        )
        self.reader = LogReader(self.owner, self.store, log, settings, random.Random(1))
        task = asyncio.create_task(self.reader.run())
        self.addCleanup(task.cancel)

    async def test_reading_a_long_log_starts_from_its_newest_snapshot(self) -> None:
        log = log_with_snapshots(4, 15)
        self.start(log)
        await until(lambda: self.store.current.offset == 19)
        self.assertIsNone(self.store.records_from(14))
        self.assertIsNotNone(self.store.records_from(15))

    async def test_a_long_log_without_a_snapshot_is_read_from_its_start(self) -> None:
        self.start(MemoryLog([change(i) for i in range(20)]))
        await until(lambda: self.store.current.offset == 19)
        self.assertIsNotNone(self.store.records_from(0))

    async def test_a_missing_offset_is_retried_as_a_failure_and_not_skipped(self) -> None:
        log = MemoryLog([change(i) for i in range(5)])
        del log.records[2]
        self.start(log)
        await until(lambda: self.reader.failures > 1)
        self.assertEqual(self.store.current.offset, 1)
        self.assertLess(log.reads, 20)

    async def test_a_log_below_the_current_version_is_reported_and_polled_slowly(self) -> None:
        store = ConfigurationStore()
        store.apply(MemoryLog([change(i) for i in range(5)]).records)
        log = MemoryLog([change(7)])
        with mock.patch("bulrushflow.nodes.log_reader.IDLE_WAIT_S", 60.0):
            self.start(log, store)
            await until(lambda: self.owner.log_behind_reports > 0)
            await asyncio.sleep(0.05)
        self.assertEqual((store.current.offset, log.reads), (4, 1))

    async def test_the_count_of_failures_is_reset_after_an_outage(self) -> None:
        log = MemoryLog([change(0)])
        log.down = True
        self.start(log)
        await until(lambda: self.reader.failures > 1)
        log.down = False
        await until(lambda: self.store.current.offset == 0)
        self.assertEqual(self.reader.failures, 0)
