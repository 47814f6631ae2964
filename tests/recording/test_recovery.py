"""Tests of recovery from a snapshot after records were trimmed."""

import unittest

import msgspec

from bulrushflow.configuration import EMPTY_CONFIGURATION
from bulrushflow.configuration import Configure
from bulrushflow.configuration import ServiceBody
from bulrushflow.configuration import digest
from bulrushflow.configuration import encode_record
from bulrushflow.configuration import fold_records
from bulrushflow.configuration import make_snapshot
from bulrushflow.recording import recover_from_snapshot
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
