"""Tests of snapshots: equivalence to a full replay, corruption, and when one is due."""

import unittest

import msgspec
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from bulrushflow.configuration import EMPTY_CONFIGURATION
from bulrushflow.configuration import ConfigurationStore
from bulrushflow.configuration import Configure
from bulrushflow.configuration import LogRecord
from bulrushflow.configuration import ServiceBody
from bulrushflow.configuration import Snapshot
from bulrushflow.configuration import SnapshotPolicy
from bulrushflow.configuration import digest
from bulrushflow.configuration import encode_record
from bulrushflow.configuration import fold_records
from bulrushflow.configuration import is_snapshot_due
from bulrushflow.configuration import make_snapshot
from bulrushflow.configuration import open_snapshot
from bulrushflow.exceptions import InvariantError
from tests.configuration.strategies import BODIES
from tests.configuration.strategies import log_records

FIRST = encode_record(Configure(1, "p1", "ana", services={"plots": ServiceBody("v1")}))


class SnapshotProperties(unittest.TestCase):
    @settings(max_examples=60)
    @given(st.lists(BODIES, max_size=20), st.integers(0, 20), st.integers(0, 3))
    def test_a_snapshot_and_the_records_after_it_equal_a_full_replay(
        self, bodies: list[bytes], cut: int, lag: int
    ) -> None:
        at_cut = fold_records(EMPTY_CONFIGURATION, log_records(bodies[:cut])).configuration
        snapshot = encode_record(make_snapshot(at_cut))
        bodies = [*bodies[: cut + lag], snapshot, snapshot, *bodies[cut + lag :]]
        whole = fold_records(EMPTY_CONFIGURATION, log_records(bodies)).configuration
        restored = open_snapshot(make_snapshot(at_cut)).unwrap()
        rest = log_records(bodies)[restored.offset + 1 :]
        self.assertEqual(digest(fold_records(restored, rest).configuration), digest(whole))


class SnapshotTests(unittest.TestCase):
    def setUp(self) -> None:
        self.state = fold_records(EMPTY_CONFIGURATION, log_records([FIRST])).configuration
        self.snapshot = make_snapshot(self.state)

    def test_a_corrupt_snapshot_is_neither_opened_nor_recorded(self) -> None:
        other = make_snapshot(EMPTY_CONFIGURATION)
        cases = {
            "digest": msgspec.structs.replace(self.snapshot, digest="0"),
            "cut": msgspec.structs.replace(self.snapshot, state=self.snapshot.state[:-4]),
            "bytes": msgspec.structs.replace(self.snapshot, state=b"nothing"),
            "offset": msgspec.structs.replace(self.snapshot, state_offset=-1),
            "other": msgspec.structs.replace(self.snapshot, state=other.state),
            "level": msgspec.structs.replace(self.snapshot, schema=2),
        }
        for name, snapshot in cases.items():
            with self.subTest(name):
                self.assertTrue(open_snapshot(snapshot).is_err())
                folded = fold_records(
                    EMPTY_CONFIGURATION, log_records([FIRST, encode_record(snapshot)])
                )
                self.assertEqual(folded.configuration.newest_snapshot.record_offset, -1)
                self.assertEqual(folded.configuration.offset, 1)

    def test_a_state_above_the_supported_schema_is_not_opened(self) -> None:
        newer = msgspec.structs.replace(self.state, schema_level=2)
        snapshot = msgspec.structs.replace(make_snapshot(newer), schema=1)
        log = log_records([FIRST, encode_record(snapshot)])
        for supported, reason in (
            (1, "unusable snapshot of version 0: schema level 2 is above the supported level 1"),
            (2, "corrupt snapshot: it holds version 0"),
        ):
            with self.subTest(supported=supported):
                self.assertEqual(open_snapshot(snapshot, supported).unwrap_err(), reason)
                folded = fold_records(EMPTY_CONFIGURATION, log, supported).configuration
                verdict = folded.verdicts_by_publish_id[snapshot.publish_id]
                self.assertEqual((verdict.accepted, verdict.reason), (False, reason))

    def test_a_snapshot_that_differs_from_the_own_state_raises_an_invariant_error(self) -> None:
        store = ConfigurationStore()
        store.apply(log_records([FIRST]))
        different = msgspec.structs.replace(self.state, services_by_name={})
        for state, fails in ((self.state, False), (different, True)):
            snapshot: Snapshot = make_snapshot(state)
            record = LogRecord(store.current.offset + 1, 2000, encode_record(snapshot))
            with self.subTest(fails=fails):
                if fails:
                    with self.assertRaises(InvariantError):
                        store.apply([record])
                else:
                    self.assertEqual(store.apply([record]), 1)

    def test_a_snapshot_is_due_by_count_or_by_age(self) -> None:
        policy = SnapshotPolicy(every_records=4, every_ms=500)
        log = log_records([FIRST, b"", b"", encode_record(self.snapshot), b""])
        cases = {
            (1, 1000): False,
            (1, 1499): False,
            (1, 1500): True,
            (3, 1002): False,
            (4, 1502): False,
            (4, 1503): True,
            (5, 1004): True,
        }
        for (count, now_ms), due in cases.items():
            with self.subTest(count=count, now_ms=now_ms):
                state = fold_records(EMPTY_CONFIGURATION, log[:count]).configuration
                self.assertIs(is_snapshot_due(state, policy, now_ms), due)
        self.assertFalse(is_snapshot_due(EMPTY_CONFIGURATION, policy, 10**12))
