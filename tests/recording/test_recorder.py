"""Tests of appending a node's own records."""

import asyncio
import random
import unittest

from bulrushflow.configuration import ConfigurationStore
from bulrushflow.configuration import FinishRollout
from bulrushflow.recording import LogError
from bulrushflow.recording import LogErrorKind
from bulrushflow.recording import Recorder
from tests.recording.fakes import MemoryLog
from tests.waiting import until

FINISH = FinishRollout(1, "m/done", "m", False, "healthy", "", "n1")


class RecorderTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.log = MemoryLog()
        self.store = ConfigurationStore()
        self.recorder = Recorder(self.log, self.store, 1000.0, random.Random(1))
        await self.recorder.start()
        self.addAsyncCleanup(self.recorder.stop)

    async def test_appends_are_retried_until_one_record_is_in_effect(self) -> None:
        cases: dict[str, list[LogError]] = {
            "limited": [LogError(LogErrorKind.LIMITED, "limited")],
            "down": [LogError(LogErrorKind.UNAVAILABLE, "down")] * 3,
        }
        for name, errors in cases.items():
            with self.subTest(name):
                self.log.errors = list(errors)
                record = FinishRollout(1, name, "m", False, "healthy", "", "n1")
                self.recorder.submit(record)
                self.recorder.submit(record)
                await until(lambda: not self.recorder.pending_records())
                self.store.apply(self.log.records)
                self.assertIn(name, self.store.current.verdicts_by_publish_id)
        self.assertEqual(len(self.log.records), len(cases))

    async def test_a_record_seen_on_the_log_is_not_retried_after_a_lost_response(self) -> None:
        self.log.lost_responses = 1
        self.log.errors = []
        self.recorder.submit(FINISH)
        await until(lambda: len(self.log.records) == 1)
        self.log.down = True
        self.store.apply(self.log.records)
        await until(lambda: not self.recorder.pending_records())
        # The next record must not be delayed by the one that is on the log already.
        self.log.down = False
        self.recorder.submit(FinishRollout(1, "other", "m", False, "healthy", "", "n1"))
        await until(lambda: not self.recorder.pending_records())
        self.assertEqual(len(self.log.records), 2)

    async def test_a_record_known_to_the_store_is_not_appended(self) -> None:
        self.log.add(b'{"schema":1,"publish_id":"m/done","kind":"x"}')
        self.store.apply(self.log.records)
        self.recorder.submit(FINISH)
        self.assertEqual(self.recorder.pending_records(), [])

    async def test_a_record_that_is_no_longer_current_is_not_appended(self) -> None:
        self.log.down = True
        current = True
        self.recorder.submit(FINISH, lambda: current)
        await asyncio.sleep(0)
        self.assertEqual(self.recorder.pending_records(), [FINISH])
        current = False
        self.log.down = False
        await until(lambda: not self.recorder.pending_records())
        self.assertEqual(self.log.records, [])

    def test_the_spacing_keeps_the_whole_fleet_below_the_rate(self) -> None:
        for nodes in (1, 10, 100, 480, 4800):
            with self.subTest(nodes=nodes):
                recorder = Recorder(
                    self.log, self.store, 2.0, random.Random(1), lambda n=nodes: n  # type: ignore
                )
                self.assertLessEqual(nodes / recorder.spacing_s(), 200.0)
                self.assertGreaterEqual(recorder.spacing_s(), 0.5)
