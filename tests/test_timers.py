"""Tests of periodic callbacks and of the detection of pauses."""

import asyncio
import random
import unittest

from loguru import logger

from bulrushflow.timers import GRID_S
from bulrushflow.timers import HEARTBEAT_S
from bulrushflow.timers import PAUSE_THRESHOLD_S
from bulrushflow.timers import PauseDetector
from bulrushflow.timers import Timers
from tests.clocks import stopped_loop_clock


class ManualClock:
    """A clock that advances only when the test sets it."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class PauseDetectorTests(unittest.TestCase):
    def test_a_gap_from_the_threshold_on_is_a_pause(self) -> None:
        detector = PauseDetector(1.5)
        gaps = [detector.check(now) for now in (10.0, 11.25, 12.75, 13.0, 17.0)]
        self.assertEqual(gaps, [None, None, 1.5, None, 4.0])


class PauseTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.timers = Timers(random.Random(1), self.clock)
        self.pauses: list[float] = []
        self.timers.subscribe_pause(self.pauses.append)
        await self.timers.start()
        self.addAsyncCleanup(self.timers.stop)

    async def test_a_regular_heartbeat_is_not_a_pause(self) -> None:
        self.clock.now += HEARTBEAT_S
        self.timers.check_pause()
        self.assertEqual(self.pauses, [])
        self.assertFalse(self.timers.paused_since(100.0))

    async def test_a_pause_is_reported_once_with_its_length(self) -> None:
        self.clock.now += 5.0
        self.timers.check_pause()
        self.timers.check_pause()
        self.assertEqual(self.pauses, [5.0])

    async def test_paused_since_is_true_only_for_instants_before_the_end_of_a_pause(self) -> None:
        began = self.clock.now
        self.clock.now += 2 * PAUSE_THRESHOLD_S
        self.assertTrue(self.timers.paused_since(began))
        self.clock.now += 0.1
        self.assertFalse(self.timers.paused_since(self.clock.now))

    async def test_the_heartbeat_detects_a_pause(self) -> None:
        found = asyncio.Event()
        self.timers.subscribe_pause(lambda _: found.set())
        self.clock.now += 3.0
        async with asyncio.timeout(30):
            await found.wait()
        self.assertEqual(self.pauses, [3.0])

    async def test_timers_of_one_process_share_their_wake_ups(self) -> None:
        loop = asyncio.get_running_loop()
        loop.slow_callback_duration = 60.0
        calls_by_instant: dict[float, int] = {}
        with stopped_loop_clock() as clock:

            async def note() -> None:
                instant = round(clock.now, 3)
                calls_by_instant[instant] = calls_by_instant.get(instant, 0) + 1

            for i in range(8):
                self.timers.subscribe(f"t-{i}", 0.5, note)
            began = clock.now
            for _ in range(10_000):
                clock.advance(0.001)
                await asyncio.sleep(0)
                await asyncio.sleep(0)
            seconds = clock.now - began
        calls = sum(calls_by_instant.values())
        self.assertAlmostEqual(calls / seconds, 8 / 0.5, delta=2.0)
        self.assertLessEqual(len(calls_by_instant), seconds / GRID_S + 1)

    async def test_a_timer_goes_on_after_its_callback_fails(self) -> None:
        logger.disable("bulrushflow.timers")
        self.addCleanup(logger.enable, "bulrushflow.timers")
        calls = 0
        enough = asyncio.Event()

        async def fail() -> None:
            nonlocal calls
            calls += 1
            if calls == 2:
                enough.set()
            raise ValueError("expected by the test")

        self.timers.subscribe("failing", 0.001, fail)
        async with asyncio.timeout(30):
            await enough.wait()
