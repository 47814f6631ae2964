"""The cold phases of a target at the admission controller beside it."""

import asyncio
import math
import unittest

from msgspec.structs import replace

from bulrushflow.placement import ColdStart
from bulrushflow.routing import Outcome
from bulrushflow.sidecar.calls.admission_controller import AdmissionController
from bulrushflow.sidecar.calls.retry_budget import TargetRetryBudget
from bulrushflow.sidecar.model import TargetEntry
from tests.sidecar.samples import NAMES
from tests.sidecar.samples import RecordingDecisions
from tests.sidecar.samples import call
from tests.sidecar.samples import quarantine
from tests.sidecar.samples import target
from tests.sidecar.servers import FakeTarget
from tests.waiting import until

COLD = ColdStart(per_s=9.0, start_s=3.0, max_calls=21)
NOW_MS = 100_000


class MovedClock:
    """A wall clock that tests move on."""

    def __init__(self) -> None:
        self.now_ms = NOW_MS

    def monotonic(self) -> float:
        return 0.0

    def wall_ms(self) -> int:
        return self.now_ms


class TargetWarmthTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.target = FakeTarget()
        self.endpoint = await self.target.start()
        self.addAsyncCleanup(self.target.stop)
        self.clock = MovedClock()
        self.cold: ColdStart | None = COLD
        self.published: list[TargetEntry | None] = []
        self.decisions = RecordingDecisions()
        self.controller = AdmissionController(
            NAMES,
            lambda service, version: False,
            lambda sent: None,
            lambda sent, result, seconds: None,
            self.published.append,
            TargetRetryBudget(0.2, 20.0, 10.0),
            quarantine(),
            self.decisions,
            self.clock,
            lambda: None,
            cold_start=lambda service: self.cold,
        )
        self.addCleanup(self.controller.close)
        self.limit = self.controller.warmth.limit

    def announce(
        self, sequence: int, cold_ms: int = 0, incarnation: int = 1, stated: bool = True
    ) -> None:
        entry = replace(
            target(incarnation=incarnation, sequence=sequence),
            warm_at_ms=self.clock.now_ms + cold_ms if cold_ms else 0,
            warmth_stated=stated,
        )
        self.assertTrue(self.controller.apply_announcement(entry, self.endpoint))

    def cold_s(self) -> float:
        """Return for how much longer the limit holds, in seconds; 0 without one."""
        return max(0.0, self.limit.until - asyncio.get_running_loop().time())

    def published_warm_at_ms(self) -> list[int]:
        return [entry.warm_at_ms for entry in self.published if entry is not None]

    async def test_the_newest_announcement_gives_the_end_whether_earlier_or_later(self) -> None:
        for sequence, cold_ms in enumerate((5_000, 8_000, 2_000, 0, 4_000), 1):
            self.announce(sequence, cold_ms)
            self.assertAlmostEqual(self.cold_s(), cold_ms / 1000, delta=0.5)
        self.assertEqual(
            [inputs["cause"] for inputs in self.decisions.inputs("target cold")],
            ["start of the target", "announcement"],
        )
        self.assertEqual(len(self.decisions.inputs("target warm")), 1)

    # COLD: other nodes went on to send a target that turned cold its usual share.
    async def test_a_new_cold_phase_is_published_and_its_ticking_down_is_not(self) -> None:
        self.announce(1)
        self.announce(2, 5_000)
        self.clock.now_ms += 1_500
        self.announce(3, 3_700)
        self.clock.now_ms += 1_500
        self.announce(4, 2_000)
        self.assertEqual(self.published_warm_at_ms(), [0, NOW_MS + 5_000])
        self.announce(5, 500)
        self.clock.now_ms += 1_500
        self.announce(6)
        self.assertEqual(self.published_warm_at_ms()[2:], [NOW_MS + 3_500])

    async def test_without_limits_a_cold_phase_changes_nothing(self) -> None:
        self.cold = None
        self.announce(1)
        self.announce(2, 5_000)
        self.controller.await_warmth("end of an evacuation")
        self.assertEqual((self.cold_s(), self.limit.sent), (0.0, 0))
        self.assertEqual(self.published_warm_at_ms(), [0])
        self.assertEqual((await self.controller.run(call())).unwrap().status, 200)
        self.assertEqual(self.limit.sent, 0)

    async def test_limits_that_a_configuration_brings_apply_to_the_phase_in_progress(self) -> None:
        self.cold = None
        self.announce(1, 5_000)
        self.cold = COLD
        self.controller.refresh_cold_limit()
        self.assertAlmostEqual(self.cold_s(), 5.0, delta=0.5)
        self.cold = None
        self.controller.refresh_cold_limit()
        self.assertEqual(self.cold_s(), 0.0)

    # COLD: a restarted node took its target for warm, by an entry from before the restart.
    async def test_a_restarted_node_counts_its_target_as_cold_until_it_announces_itself(
        self,
    ) -> None:
        self.controller.apply_announcement(target(sequence=7), self.endpoint, restored=True)
        self.assertEqual(self.limit.until, math.inf)
        self.assertEqual(self.published_warm_at_ms(), [NOW_MS + 3_000])
        self.announce(8)
        self.assertEqual(self.cold_s(), 0.0)
        self.assertEqual(self.published_warm_at_ms(), [NOW_MS + 3_000, 0])

    async def test_a_restarted_node_without_its_configuration_limits_once_it_has_it(self) -> None:
        self.cold = None
        self.controller.apply_announcement(target(sequence=7), self.endpoint, restored=True)
        self.cold = COLD
        self.controller.refresh_cold_limit()
        self.assertEqual(self.limit.until, math.inf)

    async def test_after_an_evacuation_the_target_is_cold_until_it_says_that_it_is_warm(
        self,
    ) -> None:
        self.announce(1)
        self.controller.await_warmth("end of an evacuation")
        self.assertEqual(self.limit.until, math.inf)
        self.assertEqual(self.published_warm_at_ms(), [0, NOW_MS + 3_000])
        self.clock.now_ms += 1_000
        self.announce(2, 4_000)
        self.assertAlmostEqual(self.cold_s(), 4.0, delta=0.5)
        self.announce(3)
        self.assertEqual(self.cold_s(), 0.0)

    async def test_a_new_start_is_cold_for_its_time_unless_the_announcement_says_less(self) -> None:
        self.announce(1, incarnation=NOW_MS - 1_000, stated=False)
        self.assertAlmostEqual(self.cold_s(), 2.0, delta=0.5)
        self.announce(1, 500, incarnation=NOW_MS - 500)
        self.assertAlmostEqual(self.cold_s(), 0.5, delta=0.2)
        self.announce(1, incarnation=NOW_MS + 9_000, stated=False)
        self.assertAlmostEqual(self.cold_s(), 3.0, delta=0.5)

    # COLD: a late announcement of the process that ended made the next one at its port look warm.
    async def test_a_target_whose_port_refused_connections_is_cold_until_a_later_announcement(
        self,
    ) -> None:
        self.announce(1)
        await self.target.stop()
        self.assertTrue((await self.controller.run(call("r-1"))).is_err())
        await until(lambda: not self.controller.reachable)
        self.announce(2)
        self.assertAlmostEqual(self.cold_s(), 3.0, delta=0.5)
        self.assertEqual(self.published_warm_at_ms(), [0, NOW_MS + 3_000])
        self.announce(3)
        self.assertEqual(self.cold_s(), 0.0)

    # COLD: calls that were queued at a target when it turned cold waited there for their deadline.
    async def test_calls_that_wait_when_the_target_turns_cold_are_refused(self) -> None:
        self.announce(1)
        self.target.released.clear()
        running = [asyncio.ensure_future(self.controller.run(call(f"r-{i}"))) for i in range(2)]
        await until(lambda: len(self.target.received) == 2)
        queued = [asyncio.ensure_future(self.controller.run(call(f"q-{i}"))) for i in range(8)]
        await until(lambda: self.controller.load == 10)
        self.announce(2, 60_000)
        for result in await asyncio.gather(*queued):
            self.assertEqual(result.unwrap_err().reason, "the target turned cold")
            self.assertIs(result.unwrap_err().outcome, Outcome.NOT_RUN)
        self.assertEqual(self.limit.refused, 8)
        later = asyncio.ensure_future(self.controller.run(call("r-2")))
        await until(lambda: self.controller.load == 3)
        self.announce(3, 60_000)
        self.target.released.set()
        for result in await asyncio.gather(*running, later):
            self.assertTrue(result.is_ok())

    async def test_a_call_that_a_cold_target_takes_too_late_is_refused_at_once(self) -> None:
        self.announce(1, 60_000)
        self.target.released.clear()
        running = [
            asyncio.ensure_future(self.controller.run(call(f"r-{i}", timeout_s=60.0)))
            for i in range(8)
        ]
        await until(lambda: self.controller.load == 8)
        hurried = replace(
            call("r-x", timeout_s=60.0), late_after=asyncio.get_running_loop().time() + 0.2
        )
        failure = (await self.controller.run(hurried)).unwrap_err()
        self.assertIn("the cold target takes the call", failure.reason)
        self.assertEqual(self.limit.refused, 1)
        self.target.released.set()
        await asyncio.gather(*running)

    async def test_the_stricter_limit_holds_for_a_cold_target_that_names_one(self) -> None:
        for limit_per_s in ("2", "500"):
            self.target.signals = {"X-Limit": limit_per_s}
            await self.controller.run(call())
        self.announce(1, 60_000)
        self.target.signals = {"X-Limit": "500"}
        await self.controller.run(call("r-0"))
        for i in range(40):
            self.controller.refusal(call(f"r-{i}"))
        waits = [
            self.controller._slots._limit.wait_s(asyncio.get_running_loop().time(), ahead)
            for ahead in (9, 18)
        ]
        self.assertAlmostEqual(waits[1] - waits[0], 1.0, delta=0.1)
        self.target.signals = {"X-Limit": "3"}
        await self.controller.run(call("r-x"))
        waits = [
            self.controller._slots._limit.wait_s(asyncio.get_running_loop().time(), ahead)
            for ahead in (9, 18)
        ]
        self.assertAlmostEqual(waits[1] - waits[0], 3.0, delta=0.1)
