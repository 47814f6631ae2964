import unittest

from hypothesis import given
from hypothesis import strategies as st

from bulrushflow.sidecar.records.storage import KeyedRecord
from bulrushflow.sidecar.records.topic_cache import TopicCache

VALUES = st.lists(st.tuples(st.sampled_from("abc"), st.sampled_from([b"", b"1", b"2"])))


def state_of(records: list[KeyedRecord]) -> dict[str, bytes]:
    newest = {record.key: record.value for record in records}
    return {key: value for key, value in newest.items() if value}


class TopicCacheTests(unittest.TestCase):
    @given(VALUES, st.integers(0, 30), st.integers(0, 30))
    def test_an_update_leads_to_the_same_state_as_all_records(
        self, values: list[tuple[str, bytes]], loaded: int, position: int
    ) -> None:
        records = [KeyedRecord(key, value, i) for i, (key, value) in enumerate(values)]
        loaded, position = min(loaded, len(records)), min(position, len(records))
        cache = TopicCache()
        newest = {record.key: record for record in records[:loaded]}
        cache.replace([record for record in newest.values() if record.value], loaded)
        for record in records[loaded:]:
            cache.add(record)
        self.assertEqual(state_of(list(cache.state())), state_of(records))
        update = cache.since(position)
        if position < loaded:
            self.assertIsNone(update)
        else:
            assert update is not None
            self.assertEqual(state_of([*records[:position], *update]), state_of(records))
            self.assertEqual(list(update), sorted(update, key=lambda record: record.offset))

    @given(VALUES, st.integers(0, 30), st.integers(0, 30), st.integers(0, 30))
    def test_a_reload_changes_what_changed_and_keeps_earlier_positions(
        self, values: list[tuple[str, bytes]], loaded: int, reloaded: int, position: int
    ) -> None:
        records = [KeyedRecord(key, value, i) for i, (key, value) in enumerate(values)]
        loaded, reloaded, position = (min(i, len(records)) for i in (loaded, reloaded, position))
        cache = TopicCache()
        for record in records[: min(loaded, reloaded)]:
            cache.add(record)
        before = state_of(list(cache.state()))
        newest = {record.key: record for record in records[:reloaded] if record.value}
        newest = {key: item for key, item in newest.items() if key in state_of(records[:reloaded])}
        changed = cache.reload(newest.values(), reloaded)
        self.assertEqual(state_of(list(cache.state())), state_of(records[:reloaded]))
        if changed is None:
            self.assertTrue(before.keys() - newest.keys())
            self.assertIsNone(cache.since(reloaded - 1))
            return
        self.assertEqual(before.keys() - newest.keys(), set())
        self.assertEqual(before | state_of(list(changed)), state_of(records[:reloaded]))
        for record in records[reloaded:]:
            cache.add(record)
        update = cache.since(position)
        assert update is not None
        self.assertEqual(state_of([*records[:position], *update]), state_of(records))
