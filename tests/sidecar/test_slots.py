import asyncio
import unittest

from bulrushflow.sidecar.slots import Slots


class SlotsTests(unittest.IsolatedAsyncioTestCase):
    def deadline(self, seconds: float = 5.0) -> float:
        return asyncio.get_running_loop().time() + seconds

    async def test_the_more_important_call_is_next(self) -> None:
        slots = Slots(1)
        self.assertIsNone(await slots.acquire(0, self.deadline()))
        order: list[int] = []

        async def wait(priority: int) -> None:
            if await slots.acquire(priority, self.deadline()) is None:
                order.append(priority)
                slots.release(0.01)

        waits = [asyncio.ensure_future(wait(priority)) for priority in (2, 1, 0)]
        await asyncio.sleep(0)
        slots.release(0.01)
        await asyncio.gather(*waits)
        self.assertEqual(order, [0, 1, 2])

    async def test_a_queue_that_is_too_long_for_the_deadline_refuses_at_once(self) -> None:
        slots = Slots(1)
        slots.service_s = 1.0
        await slots.acquire(0, self.deadline())
        self.assertIsNotNone(await slots.acquire(0, self.deadline(1.5)))

    async def test_a_cancelled_wait_leaves_no_slot_behind(self) -> None:
        slots = Slots(1)
        await slots.acquire(0, self.deadline())
        waiting = asyncio.ensure_future(slots.acquire(0, self.deadline()))
        await asyncio.sleep(0)
        slots.release(None)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        self.assertEqual((slots.active, slots.queued), (0, 0))

    async def test_a_whole_queue_can_be_refused(self) -> None:
        slots = Slots(1)
        await slots.acquire(0, self.deadline())
        waiting = asyncio.ensure_future(slots.acquire(0, self.deadline()))
        await asyncio.sleep(0)
        slots.refuse_queued("gone")
        self.assertEqual(await waiting, "gone")
