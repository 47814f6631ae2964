"""Tests of admission control for the own target, and of the calls reported to the observer."""

import asyncio
import random
import unittest
from unittest import mock

from aiohttp import web

from bulrushflow.membership import Target
from bulrushflow.membership import TargetState
from bulrushflow.metrics import Metrics
from bulrushflow.routing import ByteBudget
from bulrushflow.routing import Call
from bulrushflow.routing import Outcome
from bulrushflow.targets import AdmissionController
from bulrushflow.targets import admission_controller as controller_module
from bulrushflow.timers import Timers
from tests.targets.servers import GUARD_S
from tests.targets.servers import announcement
from tests.targets.servers import call
from tests.targets.servers import http_server
from tests.waiting import until


class AdmissionControllerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.started: list[str] = []
        self.may_end = asyncio.Event()
        self.status = 200
        self.headers: dict[str, str] = {}
        self.observed: list[tuple[str, bool]] = []
        self.targets: list[Target | None] = []
        self.forbidden = False
        timers = Timers(random.Random(1))
        self.addAsyncCleanup(timers.stop)
        await timers.start()
        self.port = await self.enterAsyncContext(http_server(self.handle))
        self.controller = AdmissionController(
            timers,
            lambda service, version: self.forbidden,
            self.observe,
            self.targets.append,
            Metrics(10),
            ByteBudget(1 << 20),
            1 << 16,
        )
        self.addAsyncCleanup(self.controller.close)
        await self.controller.handle_announcement(announcement(self.port, slots=1))

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        await request.read()
        self.started.append(request.headers["x-request-id"])
        await self.may_end.wait()
        return web.Response(status=self.status, headers=self.headers)

    def observe(self, call: Call, failed: bool, seconds: float) -> None:
        self.observed.append((call.request_id, failed))

    async def outcome(self, call: Call) -> Outcome:
        result = await self.controller.run(call)
        return Outcome.ANSWERED if result.is_ok() else result.unwrap_err().outcome

    async def test_second_call_waits_for_the_slot(self) -> None:
        first = asyncio.create_task(self.outcome(call("1")))
        second = asyncio.create_task(self.outcome(call("2")))
        await until(lambda: self.started == ["1"] and self.controller.load == 2)
        self.may_end.set()
        self.assertEqual(await asyncio.gather(first, second), [Outcome.ANSWERED] * 2)
        self.assertEqual(self.controller.load, 0)

    async def test_queued_call_is_checked_again_before_it_is_sent(self) -> None:
        changes = {
            "version rolled back": lambda: setattr(self, "forbidden", True),
            "draining": lambda: asyncio.create_task(
                self.controller.handle_announcement(
                    announcement(self.port, slots=1, state="draining")
                )
            ),
        }
        for name, change in changes.items():
            with self.subTest(name):
                self.forbidden = False
                self.started.clear()
                self.may_end.clear()
                await self.controller.handle_announcement(announcement(self.port, slots=1))
                first = asyncio.create_task(self.outcome(call("1")))
                second = asyncio.create_task(self.outcome(call("2")))
                await until(lambda: self.started == ["1"] and self.controller.load == 2)
                change()
                await asyncio.sleep(0)
                self.may_end.set()
                self.assertEqual(await first, Outcome.ANSWERED)
                self.assertEqual(await second, Outcome.NOT_RUN)
                self.assertEqual(self.started, ["1"])

    async def test_observer_receives_only_calls_that_ran(self) -> None:
        self.may_end.set()
        shed = {"x-outcome": "not-run"}
        cases = [
            ("answered", 200, {}, [("answered", False)]),
            ("failed", 500, {}, [("failed", True)]),
            ("overloaded", 503, {}, [("overloaded", True)]),
            ("shed", 503, shed, []),
        ]
        for request_id, status, headers, expected in cases:
            with self.subTest(request_id):
                self.observed.clear()
                self.status, self.headers = status, headers
                await self.controller.run(call(request_id))
                self.assertEqual(self.observed, expected)

    async def test_observer_receives_no_short_cancelled_or_refused_calls(self) -> None:
        running = asyncio.create_task(self.controller.run(call("1")))
        await until(lambda: self.started == ["1"])
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        self.forbidden = True
        self.assertEqual(await self.outcome(call("2")), Outcome.NOT_RUN)
        self.assertEqual(self.observed, [])

    async def test_long_cancelled_call_is_observed_as_not_failed(self) -> None:
        with mock.patch.object(controller_module, "DEFAULT_BASELINE_S", 0.0):
            running = asyncio.create_task(self.controller.run(call("1")))
            await until(lambda: self.started == ["1"])
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
        self.assertEqual(self.observed, [("1", False)])

    async def test_timeout_counts_as_failure_only_with_sufficient_time(self) -> None:
        self.assertEqual(await self.outcome(call("hang", timeout_s=0.05)), Outcome.UNKNOWN)
        self.assertEqual(self.observed, [("hang", True)])
        session = self.controller._session
        assert session is not None
        for i in range(100):
            session.slots.limit.observe(i * 0.1, 1.0, 1)
        await until(lambda: session.slots.lingering == 0)
        self.assertEqual(await self.outcome(call("hasty", timeout_s=0.05)), Outcome.UNKNOWN)
        self.assertEqual(self.observed, [("hang", True)])

    async def test_drain_refuses_queued_calls_and_completes_running_ones(self) -> None:
        first = asyncio.create_task(self.outcome(call("1")))
        second = asyncio.create_task(self.outcome(call("2")))
        await until(lambda: self.started == ["1"] and self.controller.load == 2)
        drain = asyncio.create_task(self.controller.drain(GUARD_S))
        self.assertEqual(await second, Outcome.NOT_RUN)
        self.assertEqual(await self.outcome(call("3")), Outcome.NOT_RUN)
        self.assertFalse(drain.done())
        self.may_end.set()
        self.assertEqual(await first, Outcome.ANSWERED)
        self.assertTrue(await drain)
        target = self.targets[-1]
        assert target is not None
        self.assertIs(target.state, TargetState.DRAINING)

    async def test_drain_waits_for_calls_at_a_replaced_target(self) -> None:
        first = asyncio.create_task(self.outcome(call("1")))
        await until(lambda: self.started == ["1"])
        async with http_server(self.handle) as port:
            await self.controller.handle_announcement(announcement(port, version="v2"))
            self.assertFalse(await self.controller.drain(0.01))
            drain = asyncio.create_task(self.controller.drain(GUARD_S))
            await asyncio.sleep(0)
            self.may_end.set()
            self.assertEqual(await first, Outcome.ANSWERED)
            self.assertTrue(await drain)

    async def test_unreachable_target_is_gone_until_its_next_announcement(self) -> None:
        async with http_server(self.handle) as port:
            pass
        await self.controller.handle_announcement(announcement(port))
        self.assertEqual(await self.outcome(call("1")), Outcome.NOT_RUN)
        self.assertIsNone(self.targets[-1])
        await self.controller.handle_announcement(announcement(port))
        self.assertIsNotNone(self.targets[-1])

    async def test_replaced_target_completes_its_running_calls(self) -> None:
        first = asyncio.create_task(self.outcome(call("1")))
        await until(lambda: self.started == ["1"])
        async with http_server(self.handle) as port:
            await self.controller.handle_announcement(announcement(port, version="v2"))
            self.assertEqual(self.controller.in_flight, 0)
            self.assertEqual(await self.outcome(call("2")), Outcome.NOT_RUN)
            self.may_end.set()
            self.assertEqual(await first, Outcome.ANSWERED)
