import asyncio
import functools
import operator
import typing as t
import unittest

from msgspec.structs import replace

from bulrushflow.overload import OVERLOAD_RULES
from bulrushflow.overload import PLAIN_RULES
from bulrushflow.overload import QueueRules
from bulrushflow.routing import Call
from bulrushflow.routing import CallResult
from bulrushflow.routing import Outcome
from bulrushflow.sidecar.calls.admission_controller import AdmissionController
from bulrushflow.sidecar.calls.retry_budget import TargetRetryBudget
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.model import TargetEntry
from bulrushflow.sidecar.model import TargetState
from bulrushflow.sidecar.settings import Endpoint
from tests.sidecar.samples import NAMES
from tests.sidecar.samples import FixedClock
from tests.sidecar.samples import call
from tests.sidecar.samples import quarantine
from tests.sidecar.samples import target
from tests.sidecar.servers import FakeTarget
from tests.waiting import GUARD_S
from tests.waiting import until


class AdmissionControllerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.target = FakeTarget()
        self.endpoint = await self.target.start()
        self.addAsyncCleanup(self.target.stop)
        self.published: list[TargetEntry | None] = []
        self.forbidden: set[str] = set()
        self.sent: list[Call] = []
        self.failed: list[bool] = []
        self.cancelled_s: list[float] = []
        self.suspension: str | None = None
        self.retry_budget = TargetRetryBudget(0.2, 20.0, 10.0)
        self.controller = self.new_controller(PLAIN_RULES)

    def new_controller(
        self,
        rules: QueueRules,
        wait_for_orders: t.Callable[[], t.Awaitable[None]] | None = None,
    ) -> AdmissionController:
        controller = AdmissionController(
            NAMES,
            lambda service, version: version in self.forbidden,
            self.sent.append,
            self.observe,
            self.published.append,
            self.retry_budget,
            quarantine(),
            DecisionLog(),
            FixedClock(1_000),
            lambda: self.suspension,
            rules,
            wait_for_orders=wait_for_orders,
        )
        self.addCleanup(controller.close)
        return controller

    def observe(self, call: Call, result: CallResult | None, seconds: float) -> None:
        if result is None:
            self.cancelled_s.append(seconds)
        else:
            self.failed.append(result.is_err() or result.unwrap().is_failure)

    # EXPOSURE: calls in flight weren't counted, and a version got a few more than it may get.
    async def test_a_call_counts_as_sent_while_it_is_in_flight_and_not_if_it_is_refused(
        self,
    ) -> None:
        self.announce(target())
        self.target.released.clear()
        running = asyncio.create_task(self.controller.run(call("r-1")))
        await until(lambda: bool(self.sent))
        self.assertEqual((len(self.sent), self.failed), (1, []))
        self.forbidden.add("v1")
        await self.controller.run(call("r-2"))
        self.assertEqual(len(self.sent), 1)
        self.target.released.set()
        await running

    # EXPOSURE: a slow version looked fast, since its slow calls were cancelled and not counted.
    async def test_a_call_that_is_cancelled_since_it_is_slow_is_counted(self) -> None:
        self.announce(target())
        self.target.released.clear()
        for i, useful_s in enumerate((0.05, 60.0)):
            sent = replace(call(f"r-{i}"), late_after=asyncio.get_running_loop().time() + useful_s)
            running = asyncio.ensure_future(self.controller.run(sent))
            await until(functools.partial(operator.contains, self.target.received, f"r-{i}"))
            await asyncio.sleep(0.06)
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
            await asyncio.sleep(0)
        self.assertEqual(len(self.cancelled_s), 1)
        self.assertGreaterEqual(self.cancelled_s[0], 0.05)

    def announce(self, entry: TargetEntry) -> bool:
        return self.controller.apply_announcement(entry, self.endpoint)

    # DRAIN: the revision that rejected delayed announcements left with the target that replaced it.
    async def test_a_draining_target_that_was_replaced_does_not_come_back(self) -> None:
        old = target("t-old", incarnation=5, sequence=3, state=TargetState.DRAINING)
        new = target("t-new", incarnation=9)
        self.controller.apply_announcement(old, self.endpoint)
        self.controller.apply_announcement(new, self.endpoint)
        self.controller.remove_target("t-new")
        late = target("t-old", incarnation=5, sequence=2)
        self.assertFalse(self.controller.apply_announcement(late, self.endpoint))
        self.assertIsNone(self.controller.entry)

    async def test_a_ready_target_that_was_replaced_comes_back_once_the_other_left(self) -> None:
        self.controller.apply_announcement(target("t-old", incarnation=5), self.endpoint)
        self.controller.apply_announcement(target("t-new", incarnation=9), self.endpoint)
        self.controller.remove_target("t-new")
        again = target("t-old", incarnation=5, sequence=2)
        self.assertTrue(self.controller.apply_announcement(again, self.endpoint))

    def assert_refused(self, result: CallResult) -> None:
        self.assertIs(result.unwrap_err().outcome, Outcome.NOT_RUN)
        self.assertFalse(result.unwrap_err().reached_target)

    async def test_an_admitted_call_returns_the_targets_response(self) -> None:
        self.announce(target())
        self.assertEqual((await self.controller.run(call())).unwrap().body, b"body")

    async def test_calls_are_refused_without_a_target(self) -> None:
        self.assert_refused(await self.controller.run(call()))

    async def test_a_draining_target_receives_no_calls_and_its_queue_is_refused(self) -> None:
        self.announce(target(slots=1))
        self.target.released.clear()
        running = asyncio.ensure_future(self.controller.run(call("r-1")))
        await until(lambda: self.target.received == ["r-1"])
        queued = asyncio.ensure_future(self.controller.run(call("r-2")))
        await until(lambda: self.controller.load == 2)
        self.announce(target(sequence=2, state=TargetState.DRAINING, slots=1))
        self.assert_refused(await queued)
        self.assert_refused(await self.controller.run(call("r-3")))
        self.target.released.set()
        self.assertEqual((await running).unwrap().status, 200)
        self.assertEqual(self.target.received, ["r-1"])

    async def test_an_older_announcement_is_rejected(self) -> None:
        self.announce(target(sequence=5, state=TargetState.DRAINING))
        self.assertFalse(self.announce(target(sequence=4)))
        self.assert_refused(await self.controller.run(call()))

    async def test_a_late_announcement_does_not_restore_a_departed_target(self) -> None:
        self.announce(target(sequence=5))
        self.controller.remove_target("t-1")
        self.assertFalse(self.announce(target(sequence=6)))
        self.assertIsNone(self.published[-1])
        self.assertTrue(self.announce(target(incarnation=2)))

    async def test_an_announcement_of_an_earlier_target_at_the_address_is_rejected(self) -> None:
        self.announce(target("t-2", incarnation=9))
        self.assertFalse(self.announce(target("t-1", incarnation=8, sequence=40)))

    async def test_only_changes_are_published(self) -> None:
        self.announce(target(sequence=1))
        self.announce(target(sequence=2))
        self.announce(target(sequence=3, slots=4))
        self.assertEqual(len(self.published), 2)

    async def test_calls_to_another_or_a_forbidden_version_are_refused(self) -> None:
        self.announce(target())
        self.assert_refused(await self.controller.run(call(version="v2")))
        self.forbidden.add("v1")
        self.assert_refused(await self.controller.run(call()))
        self.assertEqual(self.target.received, [])

    async def test_cancelling_an_idempotent_call_cancels_it_at_the_target(self) -> None:
        self.announce(target())
        self.target.released.clear()
        running = asyncio.ensure_future(self.controller.run(call()))
        await until(lambda: bool(self.target.received))
        running.cancel()
        await until(lambda: self.target.cancelled == ["r-1"])
        await until(lambda: self.controller.load == 0)

    # A target that still ran a cancelled call was full, and reset the connection of the next one.
    async def test_the_slot_of_a_call_without_a_response_is_kept_for_a_moment(self) -> None:
        for linger_s, load in ((30.0, 1), (0.001, 0)):
            with self.subTest(linger_s=linger_s):
                self.controller = self.new_controller(replace(OVERLOAD_RULES, linger_s=linger_s))
                self.announce(target())
                self.target.released.clear()
                self.target.received.clear()
                self.target.cancelled.clear()
                running = asyncio.ensure_future(self.controller.run(call()))
                await until(lambda: bool(self.target.received))
                running.cancel()
                await until(lambda: self.target.cancelled == ["r-1"])
                await until(functools.partial(self.has_load, load))

    def has_load(self, load: int) -> bool:
        return self.controller.load == load

    async def test_a_cancelled_call_that_is_not_idempotent_runs_to_its_end(self) -> None:
        self.announce(target())
        self.target.released.clear()
        running = asyncio.ensure_future(self.controller.run(call(idempotent=False)))
        await until(lambda: bool(self.target.received))
        running.cancel()
        await asyncio.sleep(0.01)
        self.assertEqual(self.controller.load, 1)
        self.target.released.set()
        await until(lambda: self.target.completed == ["r-1"])
        await until(lambda: self.controller.load == 0)

    async def test_a_retry_beyond_the_budget_is_refused_without_waiting_for_a_slot(self) -> None:
        self.announce(target(slots=1))
        self.target.released.clear()
        running = asyncio.ensure_future(self.controller.run(call("r-1")))
        await until(lambda: bool(self.target.received))
        now = asyncio.get_running_loop().time()
        while self.retry_budget.try_consume(now):
            pass
        retry = call("r-2", attempt=1)
        self.assertEqual(self.controller.refusal(retry), "too many repeated calls")
        async with asyncio.timeout(GUARD_S):
            failure = (await self.controller.run(retry)).unwrap_err()
        self.assertEqual(failure.reason, "too many repeated calls")
        self.assertIs(failure.outcome, Outcome.NOT_RUN)
        self.assertFalse(running.done())
        self.target.released.set()
        self.assertTrue((await running).is_ok())

    async def test_a_refusal_by_the_target_reached_it_but_did_not_run(self) -> None:
        self.announce(target())
        self.target.status, self.target.not_run = 503, True
        failure = (await self.controller.run(call())).unwrap_err()
        self.assertEqual((failure.outcome, failure.reached_target), (Outcome.NOT_RUN, True))

    async def test_a_refusal_status_without_the_not_run_header_is_forwarded_only_if_idempotent(
        self,
    ) -> None:
        self.announce(target())
        self.target.status = 503
        failure = (await self.controller.run(call(idempotent=False))).unwrap_err()
        self.assertIs(failure.outcome, Outcome.UNKNOWN)
        self.assertEqual((await self.controller.run(call())).unwrap().status, 503)

    async def test_a_success_without_a_signature_is_uncertain(self) -> None:
        self.announce(target())
        self.target.signs_responses = False
        self.assertIs((await self.controller.run(call())).unwrap_err().outcome, Outcome.UNKNOWN)

    async def test_a_misdirected_call_removes_the_target(self) -> None:
        self.announce(target())
        self.target.status = 421
        self.assertTrue((await self.controller.run(call())).unwrap_err().reached_target)
        self.assertIsNone(self.controller.entry)
        self.assertIsNone(self.published[-1])

    async def test_an_unreachable_target_has_no_capacity_until_its_next_announcement(self) -> None:
        self.controller.apply_announcement(target(), Endpoint("127.0.0.1", 1))
        self.assert_refused(await self.controller.run(call()))
        self.assertEqual(self.controller.capacity, 0)
        self.announce(target(sequence=2))
        self.assertEqual((await self.controller.run(call())).unwrap().status, 200)

    async def test_retries_are_bounded(self) -> None:
        self.announce(target())
        outcomes = [
            (await self.controller.run(call(f"r-{i}", attempt=1))).is_ok() for i in range(30)
        ]
        self.assertEqual(sum(outcomes), 6)

    async def test_a_running_call_completes_when_its_target_is_replaced(self) -> None:
        self.announce(target())
        self.target.released.clear()
        running = asyncio.ensure_future(self.controller.run(call()))
        await until(lambda: bool(self.target.received))
        self.announce(target("t-2", incarnation=2))
        self.target.released.set()
        self.assertEqual((await running).unwrap().status, 200)
        self.assertEqual(self.controller.load, 0)
        self.assertEqual((await self.controller.run(call("r-2"))).unwrap().status, 200)

    async def test_queued_calls_are_refused_when_their_target_is_replaced(self) -> None:
        self.announce(target(slots=1))
        self.target.released.clear()
        running = asyncio.ensure_future(self.controller.run(call("r-1")))
        await until(lambda: bool(self.target.received))
        queued = asyncio.ensure_future(self.controller.run(call("r-2")))
        await until(lambda: self.controller.load == 2)
        self.announce(target("t-2", incarnation=2, slots=1))
        self.assert_refused(await queued)
        self.target.released.set()
        await running

    async def test_the_departure_of_an_unknown_target_rejects_its_older_announcements(self) -> None:
        self.controller.remove_target("t-1")
        self.assertFalse(self.announce(target(incarnation=900, sequence=7)))
        self.assert_refused(await self.controller.run(call()))
        self.assertTrue(self.announce(target(incarnation=1_001)))

    # EVACUATION: a call that waited for a slot was sent after the order.
    async def test_a_suspension_refuses_queued_and_new_calls_but_no_call_in_flight(self) -> None:
        self.announce(target(slots=1))
        self.target.released.clear()
        running = asyncio.ensure_future(self.controller.run(call("r-1")))
        await until(lambda: self.target.received == ["r-1"])
        queued = asyncio.ensure_future(self.controller.run(call("r-2")))
        await until(lambda: self.controller.load == 2)
        self.suspension = "data centre a is evacuated"
        self.controller.suspend(self.suspension)
        self.assert_refused(await queued)
        self.assert_refused(await self.controller.run(call("r-3")))
        self.assertEqual(self.controller.refusal(call("r-4")), self.suspension)
        self.assertEqual(self.controller.capacity, 0)
        self.target.released.set()
        self.assertEqual((await running).unwrap().status, 200)
        self.assertEqual(self.target.received, ["r-1"])
        self.assertEqual(self.controller.suspended_count, 3)
        self.suspension = None
        self.assertEqual((await self.controller.run(call("r-5"))).unwrap().status, 200)

    # After a restart of all processes, calls were refused by nodes that read the orders just then.
    async def test_a_call_waits_for_the_orders_of_a_node_that_has_just_started(self) -> None:
        loaded = asyncio.Event()
        self.suspension = "unread"

        async def wait_for_orders() -> None:
            await loaded.wait()

        controller = self.new_controller(PLAIN_RULES, wait_for_orders)
        controller.apply_announcement(target(), self.endpoint)
        waiting = asyncio.ensure_future(controller.run(call("r-1")))
        await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        self.suspension = None
        loaded.set()
        self.assertEqual((await waiting).unwrap().status, 200)

    # EVACUATION: a call that was granted its slot just before the order was sent after it.
    async def test_a_suspension_refuses_a_call_that_was_granted_a_slot_but_not_sent(self) -> None:
        self.announce(target(slots=1))
        self.target.released.clear()
        running = asyncio.ensure_future(self.controller.run(call("r-1")))
        await until(lambda: self.target.received == ["r-1"])
        queued = asyncio.ensure_future(self.controller.run(call("r-2")))
        await until(lambda: self.controller.load == 2)
        self.suspension = "data centre a is evacuated"
        self.target.released.set()
        self.assert_refused(await queued)
        await running
        self.assertEqual(self.target.received, ["r-1"])
        self.assertEqual(self.controller.load, 0)
