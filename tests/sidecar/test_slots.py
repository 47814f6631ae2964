import asyncio
import unittest

from bulrushflow.sidecar.slots import SlotPool
from bulrushflow.sidecar.slots import SlotRequest


class SlotsTests(unittest.IsolatedAsyncioTestCase):
    def wait(
        self, priority: int = 0, route: str = "r", latency_objective_s: float = 5.0
    ) -> SlotRequest:
        now = asyncio.get_running_loop().time()
        return SlotRequest(route, priority, now + latency_objective_s, now + 5.0)

    async def serve(self, slots: SlotPool, waits: list[SlotRequest]) -> list[tuple[str, int]]:
        """Return the order in which calls that wait get the only slot."""
        order: list[tuple[str, int]] = []

        async def run(wait: SlotRequest) -> None:
            if await slots.acquire(wait) is None:
                order.append((wait.route, wait.priority))
                slots.release(wait.route, None)

        tasks = [asyncio.ensure_future(run(wait)) for wait in waits]
        await asyncio.sleep(0)
        slots.release("r", None)
        await asyncio.gather(*tasks)
        return order

    async def test_the_more_important_call_is_next(self) -> None:
        slots = SlotPool(1)
        self.assertIsNone(await slots.acquire(self.wait()))
        order = await self.serve(slots, [self.wait(2), self.wait(1), self.wait(0)])
        self.assertEqual([priority for _, priority in order], [0, 1, 2])

    async def test_calls_of_a_route_that_is_much_shorter_go_first(self) -> None:
        slots = SlotPool(1)
        for route, seconds in (("long", 0.15), ("short", 0.05)):
            await slots.acquire(self.wait())
            slots.release(route, seconds)
        await slots.acquire(self.wait())
        order = await self.serve(slots, [self.wait(0, "long"), self.wait(1, "short")])
        self.assertEqual(order, [("short", 1), ("long", 0)])

    async def test_a_call_whose_answer_would_be_late_is_refused_at_once(self) -> None:
        slots = SlotPool(1)
        await slots.acquire(self.wait())
        slots.release("r", 2.0)
        await slots.acquire(self.wait())
        self.assertIsNotNone(await slots.acquire(self.wait(latency_objective_s=2.5)))
        waiting = asyncio.ensure_future(slots.acquire(self.wait(latency_objective_s=4.0)))
        await asyncio.sleep(0)
        self.assertEqual(slots.queued, 1)
        slots.refuse_queued("end")
        self.assertEqual(await waiting, "end")

    async def test_a_call_that_can_be_in_time_goes_before_one_that_is_late(self) -> None:
        slots = SlotPool(1)
        for route in ("late", "in time"):
            await slots.acquire(self.wait())
            slots.release(route, 0.5)
        await slots.acquire(self.wait())
        waits = [
            self.wait(0, "late", latency_objective_s=0.1),
            self.wait(2, "in time", latency_objective_s=4.0),
        ]
        order = await self.serve(slots, waits)
        self.assertEqual(order, [("in time", 2), ("late", 0)])

    async def test_a_call_that_became_late_while_it_waited_is_served_after_the_others(self) -> None:
        slots = SlotPool(1)
        await slots.acquire(self.wait())
        waits = [
            self.wait(0, "first", latency_objective_s=0.1),
            self.wait(0, "second", latency_objective_s=4.0),
        ]
        tasks = [asyncio.ensure_future(slots.acquire(wait)) for wait in waits]
        await asyncio.sleep(0.1)
        slots.release("r", None)
        self.assertIsNone(await tasks[1])
        self.assertFalse(tasks[0].done())
        slots.release("r", None)
        self.assertIsNone(await tasks[0])

    async def test_a_late_call_gives_its_place_in_a_full_queue_to_one_in_time(self) -> None:
        slots = SlotPool(1)
        await slots.acquire(self.wait())
        late = asyncio.ensure_future(slots.acquire(self.wait(latency_objective_s=0.0)))
        others = [asyncio.ensure_future(slots.acquire(self.wait())) for _ in range(4)]
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertEqual(await late, "late, and the queue is full")
        self.assertEqual(slots.queued, 4)
        slots.refuse_queued("end")
        await asyncio.gather(*others)

    async def test_a_call_is_refused_while_its_caller_still_waits(self) -> None:
        slots = SlotPool(1)
        await slots.acquire(self.wait())
        slots.release("r", 100.0)
        await slots.acquire(self.wait(0, "other"))
        now = asyncio.get_running_loop().time()
        waiting = slots.acquire(SlotRequest("r", 0, now + 1000.0, now + 50.1))
        refusal = await asyncio.wait_for(waiting, 40.0)
        self.assertEqual(refusal, "the deadline can't be met any more")

    async def test_a_call_without_enough_time_gets_no_slot_though_one_is_free(self) -> None:
        slots = SlotPool(3)
        await slots.acquire(self.wait())
        slots.release("r", 1.0)
        now = asyncio.get_running_loop().time()
        self.assertIsNone(
            await slots.acquire(SlotRequest("r", 0, now + 0.3, now + 0.3)), "it is idle"
        )
        self.assertIsNotNone(await slots.acquire(SlotRequest("r", 0, now + 0.3, now + 0.3)))
        self.assertIsNone(await slots.acquire(SlotRequest("r", 0, now + 0.3, now + 0.9)))

    async def test_a_cancelled_wait_leaves_no_slot_behind(self) -> None:
        slots = SlotPool(1)
        await slots.acquire(self.wait())
        waiting = asyncio.ensure_future(slots.acquire(self.wait()))
        await asyncio.sleep(0)
        slots.release("r", None)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        self.assertEqual((slots.active, slots.queued), (0, 0))
