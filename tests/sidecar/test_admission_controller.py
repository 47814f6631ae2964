import asyncio
import unittest

from bulrushflow.routing import CallResult
from bulrushflow.routing import Outcome
from bulrushflow.sidecar.admission_controller import AdmissionController
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.model import TargetEntry
from bulrushflow.sidecar.model import TargetState
from bulrushflow.sidecar.retry_budget import TargetRetryBudget
from bulrushflow.sidecar.settings import Endpoint
from tests.sidecar.samples import NAMES
from tests.sidecar.samples import FixedClock
from tests.sidecar.samples import call
from tests.sidecar.samples import target
from tests.sidecar.servers import FakeTarget
from tests.waiting import until


class GateTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.target = FakeTarget()
        self.endpoint = await self.target.start()
        self.addAsyncCleanup(self.target.stop)
        self.told: list[TargetEntry | None] = []
        self.forbidden: set[str] = set()
        self.failed: list[bool] = []
        self.gate = AdmissionController(
            NAMES,
            lambda service, version: version in self.forbidden,
            lambda call, failed, seconds: self.failed.append(failed),
            self.told.append,
            TargetRetryBudget(0.2, 20.0, 10.0),
            DecisionLog(),
            FixedClock(1_000),
        )
        self.addCleanup(self.gate.close)

    def announce(self, entry: TargetEntry) -> bool:
        return self.gate.apply_announcement(entry, self.endpoint)

    def assert_refused(self, result: CallResult) -> None:
        self.assertIs(result.unwrap_err().outcome, Outcome.NOT_RUN)
        self.assertFalse(result.unwrap_err().reached_target)

    async def test_a_call_runs_and_its_answer_comes_back(self) -> None:
        self.announce(target())
        self.assertEqual((await self.gate.run(call())).unwrap().body, b"body")

    async def test_without_a_target_nothing_runs(self) -> None:
        self.assert_refused(await self.gate.run(call()))

    async def test_a_draining_target_gets_nothing_new_and_its_queue_is_refused(self) -> None:
        self.announce(target(slots=1))
        self.target.released.clear()
        running = asyncio.ensure_future(self.gate.run(call("r-1")))
        await until(lambda: self.target.received == ["r-1"])
        queued = asyncio.ensure_future(self.gate.run(call("r-2")))
        await until(lambda: self.gate.load == 2)
        self.announce(target(sequence=2, state=TargetState.DRAINING, slots=1))
        self.assert_refused(await queued)
        self.assert_refused(await self.gate.run(call("r-3")))
        self.target.released.set()
        self.assertEqual((await running).unwrap().status, 200)
        self.assertEqual(self.target.received, ["r-1"])

    async def test_a_word_that_is_late_changes_nothing(self) -> None:
        self.announce(target(sequence=5, state=TargetState.DRAINING))
        self.assertFalse(self.announce(target(sequence=4)))
        self.assert_refused(await self.gate.run(call()))

    async def test_a_target_that_left_does_not_come_back_by_a_late_word(self) -> None:
        self.announce(target(sequence=5))
        self.gate.remove_target("t-1")
        self.assertFalse(self.announce(target(sequence=6)))
        self.assertIsNone(self.told[-1])
        self.assertTrue(self.announce(target(incarnation=2)))

    async def test_a_word_of_an_earlier_target_at_the_address_is_late(self) -> None:
        self.announce(target("t-2", incarnation=9))
        self.assertFalse(self.announce(target("t-1", incarnation=8, sequence=40)))

    async def test_only_a_change_is_told(self) -> None:
        self.announce(target(sequence=1))
        self.announce(target(sequence=2))
        self.announce(target(sequence=3, slots=4))
        self.assertEqual(len(self.told), 2)

    async def test_another_service_or_version_and_a_forbidden_one_are_refused(self) -> None:
        self.announce(target())
        self.assert_refused(await self.gate.run(call(version="v2")))
        self.forbidden.add("v1")
        self.assert_refused(await self.gate.run(call()))
        self.assertEqual(self.target.received, [])

    async def test_a_caller_that_leaves_ends_an_idempotent_call_at_the_target(self) -> None:
        self.announce(target())
        self.target.released.clear()
        running = asyncio.ensure_future(self.gate.run(call()))
        await until(lambda: bool(self.target.received))
        running.cancel()
        await until(lambda: self.target.cancelled == ["r-1"])
        await until(lambda: self.gate.load == 0)

    async def test_a_call_that_is_not_idempotent_is_left_to_finish(self) -> None:
        self.announce(target())
        self.target.released.clear()
        running = asyncio.ensure_future(self.gate.run(call(idempotent=False)))
        await until(lambda: bool(self.target.received))
        running.cancel()
        await asyncio.sleep(0.01)
        self.assertEqual(self.gate.load, 1)
        self.target.released.set()
        await until(lambda: self.target.completed == ["r-1"])
        await until(lambda: self.gate.load == 0)

    async def test_a_refusal_by_the_target_is_an_arrival_that_did_not_run(self) -> None:
        self.announce(target())
        self.target.status, self.target.not_run = 503, True
        failure = (await self.gate.run(call())).unwrap_err()
        self.assertEqual((failure.outcome, failure.reached_target), (Outcome.NOT_RUN, True))

    async def test_a_refusal_status_after_a_run_is_uncertain_unless_idempotent(self) -> None:
        self.announce(target())
        self.target.status = 503
        failure = (await self.gate.run(call(idempotent=False))).unwrap_err()
        self.assertIs(failure.outcome, Outcome.UNKNOWN)
        self.assertEqual((await self.gate.run(call())).unwrap().status, 503)

    async def test_a_success_that_is_not_proved_is_none(self) -> None:
        self.announce(target())
        self.target.signs_responses = False
        self.assertIs((await self.gate.run(call())).unwrap_err().outcome, Outcome.UNKNOWN)

    async def test_another_target_at_the_address_ends_the_entry(self) -> None:
        self.announce(target())
        self.target.status = 421
        self.assertTrue((await self.gate.run(call())).unwrap_err().reached_target)
        self.assertIsNone(self.gate.entry)
        self.assertIsNone(self.told[-1])

    async def test_a_target_without_a_listener_has_no_capacity_until_its_next_word(self) -> None:
        self.gate.apply_announcement(target(), Endpoint("127.0.0.1", 1))
        self.assert_refused(await self.gate.run(call()))
        self.assertEqual(self.gate.capacity, 0)
        self.announce(target(sequence=2))
        self.assertEqual((await self.gate.run(call())).unwrap().status, 200)

    async def test_repeated_calls_are_bounded(self) -> None:
        self.announce(target())
        outcomes = [(await self.gate.run(call(f"r-{i}", attempt=1))).is_ok() for i in range(30)]
        self.assertEqual(sum(outcomes), 6)

    async def test_a_call_at_a_target_that_is_replaced_meanwhile_ends_as_it_ended(self) -> None:
        self.announce(target())
        self.target.released.clear()
        running = asyncio.ensure_future(self.gate.run(call()))
        await until(lambda: bool(self.target.received))
        self.announce(target("t-2", incarnation=2))
        self.target.released.set()
        self.assertEqual((await running).unwrap().status, 200)
        self.assertEqual(self.gate.load, 0)
        self.assertEqual((await self.gate.run(call("r-2"))).unwrap().status, 200)

    async def test_a_call_that_waited_for_a_replaced_target_is_refused(self) -> None:
        self.announce(target(slots=1))
        self.target.released.clear()
        running = asyncio.ensure_future(self.gate.run(call("r-1")))
        await until(lambda: bool(self.target.received))
        queued = asyncio.ensure_future(self.gate.run(call("r-2")))
        await until(lambda: self.gate.load == 2)
        self.announce(target("t-2", incarnation=2, slots=1))
        self.assert_refused(await queued)
        self.target.released.set()
        await running

    async def test_a_leave_of_a_target_that_is_not_known_yet_counts_against_its_entry(self) -> None:
        self.gate.remove_target("t-1")
        self.assertFalse(self.announce(target(incarnation=900, sequence=7)))
        self.assert_refused(await self.gate.run(call()))
        self.assertTrue(self.announce(target(incarnation=1_001)))
