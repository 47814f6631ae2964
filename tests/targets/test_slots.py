"""Tests of the slots of a target."""

import asyncio
import random
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from bulrushflow.exceptions import InvariantError
from bulrushflow.targets.slots import SlotPool
from tests.targets.servers import GUARD_S
from tests.targets.servers import until


def full_admission(slots: int = 2) -> SlotPool:
    """Return an admission whose slots are all taken."""
    admission = SlotPool(slots, slots)
    while admission.try_acquire():
        pass
    return admission


class AdmissionTests(unittest.IsolatedAsyncioTestCase):
    def deadline(self, left_s: float = GUARD_S) -> float:
        return asyncio.get_running_loop().time() + left_s

    async def test_a_release_hands_the_slot_to_the_next_in_turn(self) -> None:
        admission = full_admission(2)
        waits = [asyncio.create_task(admission.acquire(x, self.deadline())) for x in "ab"]
        await until(lambda: admission.queued == 2)
        admission.release()
        self.assertIsNone(await waits[0])
        self.assertFalse(waits[1].done())
        self.assertFalse(admission.try_acquire())
        admission.release()
        self.assertIsNone(await waits[1])

    async def test_refuses_what_the_queue_would_make_late(self) -> None:
        admission = full_admission(2)
        admission.service_s = 100.0
        refusal = await admission.acquire("a", self.deadline())
        self.assertEqual(refusal, "the queue is too long for the deadline")

    async def test_a_deadline_ends_the_wait_while_every_slot_is_stuck(self) -> None:
        admission = full_admission(2)
        refusal = await admission.acquire("a", self.deadline(0.01))
        self.assertEqual(refusal, "the deadline passed in the queue")
        self.assertEqual(admission.queued, 0)

    async def test_a_stuck_target_builds_no_endless_queue(self) -> None:
        admission = full_admission(2)
        waits = [asyncio.create_task(admission.acquire("a", self.deadline())) for _ in range(50)]
        await until(lambda: sum(wait.done() for wait in waits) == 50 - admission.queued)
        self.assertEqual(admission.queued, 4)
        admission.refuse_queued("stopped")
        self.assertEqual((await asyncio.gather(*waits)).count("stopped"), 4)

    async def test_an_abandoned_calls_slot_is_not_free_at_once(self) -> None:
        admission = full_admission(2)
        admission.release_abandoned()
        self.assertEqual((admission.active, admission.lingering), (1, 1))
        self.assertFalse(admission.try_acquire())
        await until(lambda: admission.lingering == 0)
        self.assertTrue(admission.try_acquire())

    async def test_a_wait_cancelled_as_its_slot_is_granted_gives_the_slot_back(self) -> None:
        admission = full_admission(2)
        wait = asyncio.create_task(admission.acquire("a", self.deadline()))
        await until(lambda: admission.queued == 1)
        admission.release()
        wait.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await wait
        self.assertEqual((admission.active, admission.queued), (1, 0))

    async def test_releasing_twice_is_a_broken_invariant(self) -> None:
        with self.assertRaises(InvariantError):
            SlotPool(1, 1).release()


class AdmissionPropertyTests(unittest.TestCase):
    @settings(max_examples=30)
    @given(st.integers(0, 2**32), st.integers(1, 4))
    def test_slots_are_exact_whatever_is_cancelled(self, seed: int, slots: int) -> None:
        asyncio.run(self._race(random.Random(seed), slots))

    async def _race(self, rng: random.Random, slots: int) -> None:
        admission = SlotPool(slots, slots)
        running = 0

        async def run() -> None:
            nonlocal running
            deadline = asyncio.get_running_loop().time() + rng.choice([0.0, 0.002, GUARD_S])
            granted = admission.try_acquire()
            if not granted and await admission.acquire(rng.choice("ab"), deadline) is not None:
                return
            running += 1
            self.assertLessEqual(running + admission.lingering, slots)
            try:
                await asyncio.sleep(rng.choice([0.0, 0.001]))
            except asyncio.CancelledError:
                running -= 1
                admission.release_abandoned()
                raise
            running -= 1
            admission.release()

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
        await until(lambda: admission.occupied == 0)
        self.assertEqual((admission.queued, running), (0, 0))
