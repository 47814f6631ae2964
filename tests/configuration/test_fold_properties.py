"""Properties of the fold that must hold for every log."""

import unittest
from unittest import mock

import msgspec
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from bulrushflow.configuration import EMPTY_CONFIGURATION
from bulrushflow.configuration import LogRecord
from bulrushflow.configuration import decode_configuration
from bulrushflow.configuration import digest
from bulrushflow.configuration import encode_configuration
from bulrushflow.configuration import fold
from bulrushflow.configuration import fold_records
from tests.configuration.strategies import LOGS


class FoldProperties(unittest.TestCase):
    @settings(max_examples=60)
    @given(LOGS, st.sets(st.integers(0, 30)))
    def test_the_digest_does_not_depend_on_page_boundaries(
        self, log: list[LogRecord], cuts: set[int]
    ) -> None:
        whole = fold_records(EMPTY_CONFIGURATION, log).configuration
        state = EMPTY_CONFIGURATION
        start = 0
        for end in [*sorted(c for c in cuts if c < len(log)), len(log)]:
            state = fold_records(state, log[start:end]).configuration
            start = max(start, state.offset + 1)
            if state.offset + 1 < end:
                break
        self.assertEqual(digest(state), digest(whole))

    @settings(max_examples=60)
    @given(LOGS)
    def test_every_version_is_consistent_and_follows_the_previous_one(
        self, log: list[LogRecord]
    ) -> None:
        state = EMPTY_CONFIGURATION
        for record in log:
            before = encode_configuration(state)
            after = fold(state, record)
            self.assertEqual(encode_configuration(state), before, "changed in place")
            self.assertIn(after.offset, (state.offset, record.offset))
            if after.offset == state.offset:
                break
            for route in after.routes_by_path.values():
                self.assertIn(route.service, after.services_by_name)
            active = [rollout.service for rollout in after.active_rollouts()]
            self.assertEqual(len(active), len(set(active)))
            state = after

    @settings(max_examples=60)
    @given(LOGS)
    def test_a_rejected_or_duplicate_record_changes_only_offset_and_verdicts(
        self, log: list[LogRecord]
    ) -> None:
        state = EMPTY_CONFIGURATION
        for record in log:
            after = fold(state, record)
            if after.offset == state.offset:
                # The fold stops before a record that this release does not support.
                self.assertEqual(after, state)
                break
            new = [v for v in after.verdicts_by_publish_id.values() if v.offset == record.offset]
            self.assertLessEqual(len(new), 1)
            if after.offset != state.offset and not any(v.accepted for v in new):
                same = msgspec.structs.replace(
                    after,
                    offset=state.offset,
                    verdicts_by_publish_id=state.verdicts_by_publish_id,
                    newest_snapshot=state.newest_snapshot,
                )
                self.assertEqual(same, state)
            state = after

    @settings(max_examples=60)
    @given(LOGS, st.integers(0, 29))
    def test_a_decoded_state_folds_further_like_the_original(
        self, log: list[LogRecord], cut: int
    ) -> None:
        with mock.patch("bulrushflow.configuration.fold.MAX_VERDICTS", 5):
            whole = fold_records(EMPTY_CONFIGURATION, log).configuration
            at_cut = fold_records(EMPTY_CONFIGURATION, log[:cut]).configuration
            restored = decode_configuration(encode_configuration(at_cut), 2).unwrap()
            rest = log[restored.offset + 1 :]
            self.assertEqual(digest(fold_records(restored, rest).configuration), digest(whole))

    @settings(max_examples=80)
    @given(LOGS)
    def test_an_older_release_agrees_up_to_the_record_where_it_stops(
        self, log: list[LogRecord]
    ) -> None:
        older = fold_records(EMPTY_CONFIGURATION, log, supported=1)
        newer = fold_records(
            EMPTY_CONFIGURATION, log[: older.configuration.offset + 1], supported=2
        )
        self.assertEqual(digest(older.configuration), digest(newer.configuration))
        if older.unsupported:
            beyond = fold(newer.configuration, log[older.configuration.offset + 1])
            self.assertEqual(beyond.schema_level, 2)
        elif not newer.unsupported:
            self.assertEqual(older.configuration.offset, len(log) - 1)
