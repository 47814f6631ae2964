"""Tests of the store: versions only rise, pages and retained records are bounded."""

import unittest
from unittest import mock

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from bulrushflow.configuration import ConfigurationStore
from bulrushflow.configuration import LogRecord
from bulrushflow.configuration import digest
from tests.configuration.strategies import LOGS
from tests.configuration.strategies import log_records

CUTS = st.lists(st.tuples(st.integers(0, 30), st.integers(0, 30), st.booleans()), max_size=12)


class StoreTests(unittest.TestCase):
    @settings(max_examples=60)
    @given(LOGS, CUTS)
    def test_versions_only_rise_and_match_the_log_whatever_arrives(
        self, log: list[LogRecord], steps: list[tuple[int, int, bool]]
    ) -> None:
        digests: dict[int, str] = {-1: digest(ConfigurationStore().current)}
        packed: dict[int, bytes] = {}
        reference = ConfigurationStore()
        for record in log:
            reference.apply([record])
            digests[reference.current.offset] = digest(reference.current)
            packed[reference.current.offset] = reference.packed()
        store = ConfigurationStore()
        for start, end, is_snapshot in steps:
            before = store.current.offset
            if is_snapshot and end in packed:
                store.restore_packed(packed[end])
            else:
                store.apply(log[start:end])
            self.assertGreaterEqual(store.current.offset, before)
            self.assertEqual(digest(store.current), digests[store.current.offset])

    def test_a_snapshot_at_or_below_the_current_version_is_ignored(self) -> None:
        older = ConfigurationStore()
        older.apply(log_records([b"x"]))
        store = ConfigurationStore()
        store.apply(log_records([b"x"] * 2))
        for packed in (older.packed(), store.packed()):
            self.assertFalse(store.restore_packed(packed))
        self.assertEqual(store.current.offset, 1)

    def test_pages_are_bounded_and_missing_records_give_none(self) -> None:
        store = ConfigurationStore()
        body = b"x" * 100
        with (
            mock.patch("bulrushflow.configuration.store.MAX_RETAINED_BYTES", 1000),
            mock.patch("bulrushflow.configuration.store.MAX_PAGE_BYTES", 350),
        ):
            store.apply(log_records([body] * 20))
            self.assertIsNone(store.records_from(9))
            offsets = {n: [r.offset for r in store.records_from(n) or []] for n in (10, 18, 20, 99)}
        self.assertEqual(offsets, {10: [10, 11, 12], 18: [18, 19], 20: [], 99: []})

    def test_a_malformed_snapshot_of_a_peer_is_ignored(self) -> None:
        store = ConfigurationStore()
        for packed in (b"", b"\x00", b"x\x9c\x03\x00\x00\x00\x00\x01"):
            with self.subTest(packed):
                self.assertFalse(store.restore_packed(packed))
        self.assertEqual(store.current.offset, -1)
