"""Tests of recovery from a snapshot after records were trimmed."""

import typing as t
import unittest
from unittest import mock

import msgspec
from result import Err
from result import Result

from bulrushflow.configuration import EMPTY_CONFIGURATION
from bulrushflow.configuration import Configure
from bulrushflow.configuration import LogRecord
from bulrushflow.configuration import ServiceBody
from bulrushflow.configuration import digest
from bulrushflow.configuration import encode_record
from bulrushflow.configuration import fold_records
from bulrushflow.configuration import make_snapshot
from bulrushflow.recording import LogError
from bulrushflow.recording import LogPage
from bulrushflow.recording import recover_from_snapshot
from bulrushflow.recording import recovery as recovery_module
from tests.recording.fakes import DOWN
from tests.recording.fakes import MemoryLog


def change(number: int) -> bytes:
    service = ServiceBody(f"v{number}")
    return encode_record(Configure(1, f"p{number}", "ana", services={"plots": service}))


def log_with_snapshots(*at: int, corrupt: int = -1, count: int = 20) -> MemoryLog:
    """Return a log of changes, with a snapshot in place of the change at some offsets."""
    log = MemoryLog()
    for offset in range(count):
        if offset not in at:
            log.add(change(offset))
            continue
        snapshot = make_snapshot(fold_records(EMPTY_CONFIGURATION, log.records).configuration)
        if offset == corrupt:
            snapshot = msgspec.structs.replace(snapshot, digest="0")
        log.add(encode_record(snapshot))
    return log


class FaultyLog(MemoryLog):
    """Fails the reads of the given numbers, from 1 on, and records the offsets of the others."""

    def __init__(self, records: list[LogRecord], failing_reads: t.Container[int]) -> None:
        super().__init__()
        self.records = records
        self.offsets_read: list[int] = []
        self._failing_reads = failing_reads

    async def read(
        self, stream: str, from_offset: int, wait_s: float = 0.0
    ) -> Result[LogPage, LogError]:
        """See :meth:`Log.read`."""
        result = await super().read(stream, from_offset, wait_s)
        if self.reads in self._failing_reads:
            return Err(DOWN)
        self.offsets_read.append(from_offset)
        return result


class RecoverTests(unittest.IsolatedAsyncioTestCase):
    async def test_the_newest_usable_snapshot_and_later_records_equal_a_full_replay(self) -> None:
        cases = {
            "one": (log_with_snapshots(12), 8, 11),
            "newest of two": (log_with_snapshots(10, 15), 8, 14),
            "newest corrupt": (log_with_snapshots(10, 15, corrupt=15), 8, 9),
            "beyond the first span": (log_with_snapshots(4), 1, 3),
            "just not trimmed": (log_with_snapshots(12), 12, 11),
        }
        for name, (log, first, snapshot_offset) in cases.items():
            with self.subTest(name):
                whole = fold_records(EMPTY_CONFIGURATION, log.records).configuration
                del log.records[:first]
                found = (await recover_from_snapshot(log, -1, first, 8)).unwrap()
                self.assertEqual(found.configuration.offset, snapshot_offset)
                folded = fold_records(found.configuration, found.records).configuration
                self.assertEqual(digest(folded), digest(whole))

    async def test_without_a_usable_snapshot_recovery_fails(self) -> None:
        cases = {
            "no snapshot": (log_with_snapshots(), 5, -1),
            "only a corrupt one": (log_with_snapshots(12, corrupt=12), 8, -1),
            "a gap after it": (log_with_snapshots(12), 13, -1),
            "below the current version": (log_with_snapshots(12), 8, 11),
        }
        for name, (log, first, current_offset) in cases.items():
            with self.subTest(name):
                del log.records[:first]
                self.assertIn(
                    "no usable snapshot",
                    (await recover_from_snapshot(log, current_offset, first, 8)).unwrap_err(),
                )

    async def test_a_log_that_is_down_is_an_error(self) -> None:
        log = log_with_snapshots(12)
        log.down = True
        self.assertEqual((await recover_from_snapshot(log, -1, 0, 8)).unwrap_err(), "down")

    async def test_after_a_failed_read_the_search_goes_on_from_the_offset_reached(self) -> None:
        log = FaultyLog(log_with_snapshots(12).records, failing_reads={2, 4, 5})
        with mock.patch.object(recovery_module, "RETRY_WAIT_S", 0.0):
            found = (await recover_from_snapshot(log, -1, 0, 16)).unwrap()
        self.assertEqual(found.configuration.offset, 11)
        self.assertEqual(log.offsets_read, [4, 8, 12, 16])

    async def test_failures_without_progress_are_bounded(self) -> None:
        log = FaultyLog(log_with_snapshots(12).records, failing_reads=range(2, 1000))
        with mock.patch.object(recovery_module, "RETRY_WAIT_S", 0.0):
            result = await recover_from_snapshot(log, -1, 0, 16)
        self.assertEqual(result.unwrap_err(), "down")
        self.assertEqual(log.reads, 1 + recovery_module.MAX_ATTEMPTS)

    async def test_a_trimmed_offset_is_not_read_again(self) -> None:
        log = log_with_snapshots(12)
        del log.records[:8]
        with mock.patch.object(recovery_module, "RETRY_WAIT_S", 0.0):
            result = await recover_from_snapshot(log, -1, 0, 16)
        self.assertEqual(result.unwrap_err(), "trimmed")
        self.assertEqual(log.reads, 1)
