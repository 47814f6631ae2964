"""Tests of the slots of a target and their queue."""

import asyncio
import random
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from bulrushflow.exceptions import InvariantError
from bulrushflow.targets.slots import SlotPool
from tests.targets.servers import GUARD_S
from tests.waiting import until


def full_pool(slots: int = 2) -> SlotPool:
    """Return a pool whose slots are all in use."""
    pool = SlotPool(slots, slots)
    while pool.try_acquire():
        pass
    return pool


class SlotPoolTests(unittest.IsolatedAsyncioTestCase):
    def deadline(self, left_s: float = GUARD_S) -> float:
        return asyncio.get_running_loop().time() + left_s

    async def test_released_slot_goes_to_the_next_queued_call(self) -> None:
        pool = full_pool(2)
        waits = [asyncio.create_task(pool.acquire(x, self.deadline())) for x in "ab"]
        await until(lambda: pool.queued == 2)
        pool.release()
        self.assertIsNone(await waits[0])
        self.assertFalse(waits[1].done())
        self.assertFalse(pool.try_acquire())
        pool.release()
        self.assertIsNone(await waits[1])

    async def test_call_that_would_miss_its_deadline_in_the_queue_is_refused(self) -> None:
        pool = full_pool(2)
        pool.service_time_s = 100.0
        refusal = await pool.acquire("a", self.deadline())
        self.assertEqual(
            refusal,
            "the queue is too long for the deadline: "
            "expected wait 50.000 s, service time 100.000 s",
        )

    async def test_queued_call_is_refused_at_its_deadline(self) -> None:
        pool = full_pool(2)
        refusal = await pool.acquire("a", self.deadline(0.01))
        self.assertEqual(refusal, "the deadline passed while the call was queued")
        self.assertEqual(pool.queued, 0)

    async def test_queue_of_a_hanging_target_is_bounded(self) -> None:
        pool = full_pool(2)
        waits = [asyncio.create_task(pool.acquire("a", self.deadline())) for _ in range(50)]
        await until(lambda: sum(wait.done() for wait in waits) == 50 - pool.queued)
        self.assertEqual(pool.queued, 4)
        pool.refuse_queued("stopped")
        self.assertEqual((await asyncio.gather(*waits)).count("stopped"), 4)

    async def test_slot_of_an_abandoned_call_lingers(self) -> None:
        pool = full_pool(2)
        pool.release_abandoned()
        self.assertEqual((pool.active, pool.lingering), (1, 1))
        self.assertFalse(pool.try_acquire())
        await until(lambda: pool.lingering == 0)
        self.assertTrue(pool.try_acquire())

    async def test_slot_granted_to_a_cancelled_wait_is_released(self) -> None:
        pool = full_pool(2)
        wait = asyncio.create_task(pool.acquire("a", self.deadline()))
        await until(lambda: pool.queued == 1)
        pool.release()
        wait.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await wait
        self.assertEqual((pool.active, pool.queued), (1, 0))

    async def test_release_without_an_active_slot_raises_invariant_error(self) -> None:
        with self.assertRaises(InvariantError):
            SlotPool(1, 1).release()


class SlotPoolPropertyTests(unittest.TestCase):
    @settings(max_examples=30)
    @given(st.integers(0, 2**32), st.integers(1, 4))
    def test_slots_are_never_exceeded_or_leaked_under_cancellation(
        self, seed: int, slots: int
    ) -> None:
        asyncio.run(self._race(random.Random(seed), slots))

    async def _race(self, rng: random.Random, slots: int) -> None:
        pool = SlotPool(slots, slots)
        running = 0

        async def run() -> None:
            nonlocal running
            deadline = asyncio.get_running_loop().time() + rng.choice([0.0, 0.002, GUARD_S])
            granted = pool.try_acquire()
            if not granted and await pool.acquire(rng.choice("ab"), deadline) is not None:
                return
            running += 1
            self.assertLessEqual(running + pool.lingering, slots)
            try:
                await asyncio.sleep(rng.choice([0.0, 0.001]))
            except asyncio.CancelledError:
                running -= 1
                pool.release_abandoned()
                raise
            running -= 1
            pool.release()

        tasks = []
        for _ in range(30):
            tasks.append(asyncio.create_task(run()))
            if rng.random() < 0.4:
                rng.choice(tasks).cancel()
            await asyncio.sleep(0)
        await asyncio.gather(*tasks, return_exceptions=True)
        for task in tasks:
            if not task.cancelled():
                self.assertIsNone(task.exception())
        await until(lambda: pool.occupied == 0)
        self.assertEqual((pool.queued, running), (0, 0))
