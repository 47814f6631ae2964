"""What one node hands on to another: any order of it leads to the store's state, forward only."""

import asyncio
import random
import typing as t
import unittest

from bulrushflow.sidecar.records.replica import Replica
from bulrushflow.sidecar.records.storage import KeyedRecord
from bulrushflow.sidecar.records.storage import StorePage
from bulrushflow.sidecar.records.storage import TopicUpdate
from tests.sidecar.samples import RecordingDecisions


class StateHandler:
    def __init__(self) -> None:
        self.by_key: dict[str, bytes] = {}

    def replace(self, records: t.Sequence[KeyedRecord]) -> None:
        self.by_key = {record.key: record.value for record in records if record.value}

    def apply(self, record: KeyedRecord) -> None:
        if record.value:
            self.by_key[record.key] = record.value
        else:
            self.by_key.pop(record.key, None)


class Node:
    def __init__(self) -> None:
        self.handler = StateHandler()
        self.replica = Replica("x", self.handler, RecordingDecisions())

    @property
    def position(self) -> tuple[int, int]:
        return self.replica.era, self.replica.offset or 0


class History:
    """All eras of a topic; a restored store begins one with a prefix of the records before."""

    def __init__(self) -> None:
        self.records_by_era: dict[int, list[tuple[str, bytes]]] = {1: []}

    @property
    def era(self) -> int:
        return max(self.records_by_era)

    @property
    def records(self) -> list[tuple[str, bytes]]:
        return self.records_by_era[self.era]

    def state(self, era: int, offset: int) -> dict[str, bytes]:
        newest = dict(self.records_by_era[era][:offset])
        return {key: value for key, value in newest.items() if value}

    def page(self, start: int) -> StorePage:
        end = len(self.records)
        keyed = [
            KeyedRecord(key, value, offset, self.era)
            for offset, (key, value) in enumerate(self.records)
        ]
        return StorePage(tuple(keyed[start:]), end, end, self.era)

    def newest(self) -> StorePage:
        end = len(self.records)
        offsets = {key: offset for offset, (key, _) in enumerate(self.records)}
        keyed = tuple(
            KeyedRecord(key, value, offsets[key], self.era)
            for key, value in self.state(self.era, end).items()
        )
        return StorePage(keyed, end, end, self.era)


class SeededUpdateTests(unittest.IsolatedAsyncioTestCase):
    async def test_late_repeated_and_reordered_updates_lead_to_the_stores_state(self) -> None:
        for seed in range(60):
            with self.subTest(seed=seed):
                await self.run_seed(random.Random(seed))

    async def run_seed(self, rng: random.Random) -> None:
        history = History()
        readers = [Node() for _ in range(3)]
        follower = Node()
        in_flight: list[TopicUpdate] = []
        for step in range(150):
            event = rng.random()
            if event < 0.3:
                value = b"" if rng.random() < 0.2 else str(step).encode()
                history.records.append((f"k{rng.randrange(6)}", value))
            elif event < 0.33:
                kept = history.records[: rng.randint(0, len(history.records))]
                history.records_by_era[history.era + 1] = list(kept)
            elif event < 0.6:
                self.read(history, rng.choice(readers), rng)
            elif event < 0.8:
                reader = rng.choice(readers).replica
                if reader.offset is not None:
                    in_flight.append(
                        reader.update_since(follower.replica.offset, follower.replica.era)
                    )
            elif in_flight:
                before = follower.position
                update = rng.choice(in_flight)
                if rng.random() < 0.7:
                    in_flight.remove(update)
                follower.replica.apply_update(update)
                self.assertGreaterEqual(follower.position, before)
            if follower.replica.offset is not None:
                self.assertEqual(follower.handler.by_key, history.state(*follower.position))
            if step % 20 == 0:
                await asyncio.sleep(0)
        for node in readers:
            self.read(history, node, rng)
            self.read(history, node, rng)
        source = readers[0].replica
        follower.replica.apply_update(
            source.update_since(follower.replica.offset, follower.replica.era)
        )
        self.assertEqual(follower.position, (history.era, len(history.records)))

    def read(self, history: History, reader: Node, rng: random.Random) -> None:
        replica = reader.replica
        if replica.offset is None or rng.random() < 0.2:
            replica.apply_state(history.newest())
        else:
            replica.apply_page(history.page(replica.offset))
        if replica.offset is not None:
            self.assertEqual(reader.handler.by_key, history.state(*reader.position))

    async def test_an_update_that_leaves_a_gap_is_ignored(self) -> None:
        follower = Node()
        follower.replica.apply_state(StorePage((), 2, 2, 1))
        record = KeyedRecord("k", b"1", 5, 1)
        for era, start in ((1, 5), (2, 2)):
            update = TopicUpdate("x", era, start, 6, (record,), True, 0.0)
            self.assertFalse(follower.replica.apply_update(update))
        self.assertEqual((follower.position, follower.handler.by_key), ((1, 2), {}))
