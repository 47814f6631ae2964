import asyncio
import random
import typing as t
import unittest
from unittest import mock

from msgspec.structs import replace
from result import Result

from bulrushflow.rollouts import RolloutController
from bulrushflow.rollouts import StepDecision
from bulrushflow.sidecar.model import RolloutOrder
from bulrushflow.sidecar.model import RolloutPhase
from bulrushflow.sidecar.records.codec import decode_rollout_status
from bulrushflow.sidecar.records.codec import encode_rollout_status
from bulrushflow.sidecar.records.storage import StoreError
from bulrushflow.sidecar.rollouts import driver as driver_module
from bulrushflow.sidecar.rollouts.tracker import Rollouts
from tests.clocks import stopped_loop_clock
from tests.sidecar.rollout_nodes import STATUS
from tests.sidecar.rollout_nodes import InterleavingStore
from tests.sidecar.rollout_nodes import Node
from tests.sidecar.rollout_nodes import decode
from tests.sidecar.samples import MemoryStore
from tests.sidecar.samples import call
from tests.sidecar.samples import peer
from tests.sidecar.samples import target
from tests.waiting import until

ORDER = RolloutOrder("statements", "v2", 15.0, 7)
END = RolloutPhase.ROLLED_BACK


class RolloutDriverTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.store = MemoryStore()
        self.first, self.second = Node(1, self.store), Node(2, self.store)
        for node in (self.first, self.second):
            await node.read()
            node.rollouts.apply_order(ORDER, 0.0)

    async def test_the_first_node_writes_the_first_step_and_the_second_waits(self) -> None:
        await self.second.driver.check()
        self.assertEqual(self.store.records, [])
        await self.first.driver.check()
        assert self.first.status is not None
        self.assertEqual((self.first.status.step, self.first.status.share_permille), (1, 0))

    async def test_a_driver_that_missed_a_step_writes_nothing(self) -> None:
        self.store.put("statements", encode_rollout_status(STATUS))
        await self.first.driver.check()
        self.assertEqual(len(self.store.records), 1)
        self.assertIsNone(self.first.status)

    async def test_a_step_is_written_after_unread_steps_of_other_services(self) -> None:
        self.store.put("billing", encode_rollout_status(replace(STATUS, service="billing")))
        await self.first.driver.check()
        self.assertEqual([record.key for record in self.store.records], ["billing", "statements"])
        assert self.first.status is not None
        self.assertEqual(self.first.status.step, 1)

    async def test_a_rollback_received_during_a_write_prevents_an_earlier_step(self) -> None:
        rollout = self.first.rollouts.by_service["statements"]
        rollout.seen_at = asyncio.get_running_loop().time() - 2.0
        await self.first.driver.check()
        await self.first.read()
        await self.second.read()
        self.store.put("billing", encode_rollout_status(replace(STATUS, service="billing")))
        self.store.answers.clear()
        check = asyncio.create_task(self.first.driver.check())
        await until(lambda: bool(self.store.reads))
        self.second.driver.roll_back(self.second.rollouts.by_service["statements"], "errors")
        await until(lambda: bool(self.second.links.bodies("state_notice")))
        notice = self.second.links.bodies("state_notice")[0]
        await self.first.links.handlers["state_notice"](notice)
        self.store.answers.set()
        await check
        self.assertEqual([record.key for record in self.store.records], ["statements", "billing"])

    async def test_a_faulty_version_is_rolled_back_while_a_step_waits_for_the_store(self) -> None:
        self.store.put("billing", encode_rollout_status(replace(STATUS, service="billing")))
        self.store.answers.clear()
        await self.first.timers.tick()
        self.assertEqual(len(self.store.reads), 1)
        with mock.patch.object(Rollouts, "update_analysis", return_value="errors"):
            await self.first.timers.tick()
        self.assertTrue(self.first.rollouts.is_forbidden("statements", "v2"))
        self.store.answers.set()
        await self.first.timers.finish()
        statuses = [decode_rollout_status(record.value).unwrap() for record in self.store.records]
        self.assertEqual(
            [(status.service, status.phase) for status in statuses],
            [("billing", RolloutPhase.RUNNING), ("statements", RolloutPhase.ROLLED_BACK)],
        )

    async def test_a_rollback_is_recorded_after_a_step_that_was_being_written(self) -> None:
        responses = asyncio.Event()
        append = self.store.append

        async def append_and_hold(*args: t.Any) -> Result[int, StoreError]:
            result = await append(*args)
            await responses.wait()
            return result

        with mock.patch.object(self.store, "append", append_and_hold):
            await self.first.timers.tick()
            self.assertEqual(len(self.store.records), 1)
            rollout = self.first.rollouts.by_service["statements"]
            self.first.driver.roll_back(rollout, "errors")
            responses.set()
            await self.first.timers.finish()
        await self.first.read()
        await self.first.timers.tick()
        await self.first.timers.finish()
        statuses = [decode_rollout_status(record.value).unwrap() for record in self.store.records]
        self.assertEqual(
            [status.phase for status in statuses],
            [RolloutPhase.RUNNING, RolloutPhase.ROLLED_BACK],
        )
        self.assertTrue(self.first.rollouts.is_forbidden("statements", "v2"))

    async def test_two_drivers_never_both_write_a_step_from_the_same_state(self) -> None:
        written_steps = 0
        for seed in range(100):
            with self.subTest(seed=seed), mock.patch.object(driver_module, "RANK_DELAY_S", 0.0):
                store = InterleavingStore(random.Random(seed))
                nodes = Node(1, store), Node(2, store)
                for node in nodes:
                    await node.read()
                    node.rollouts.apply_order(ORDER, 0.0)
                await asyncio.gather(
                    *(node.driver.check() for node in nodes), store.append_for("billing", 8)
                )
                steps = [record for record in store.records if record.key == "statements"]
                self.assertLessEqual(len(steps), 1)
                written = [node for node in nodes if node.status is not None]
                self.assertEqual(len(written), len(steps))
                written_steps += len(steps)
        self.assertGreater(written_steps, 0)

    async def test_a_faulty_version_is_rolled_back_without_the_store(self) -> None:
        await self.first.driver.check()
        self.first.rollouts.apply_status(replace(STATUS, step=2), 0.0)
        rollout = self.first.rollouts.by_service["statements"]
        self.store.unavailable = True
        self.first.driver.roll_back(rollout, "more errors than the old version")
        self.assertTrue(self.first.rollouts.is_forbidden("statements", "v2"))
        await self.first.driver.check()
        await until(lambda: len(self.first.links.bodies("state_notice")) == 2)
        notices = self.first.links.bodies("state_notice")
        await self.second.links.handlers["state_notice"](notices[0])
        self.assertTrue(self.second.rollouts.is_forbidden("statements", "v2"))
        self.store.unavailable = False
        await self.first.read()
        await self.first.driver.check()
        last = decode_rollout_status(self.store.records[-1].value).unwrap()
        self.assertEqual(last.phase, RolloutPhase.ROLLED_BACK)

    async def test_exhausted_exposure_rolls_back_without_the_store(self) -> None:
        await self.first.driver.check()
        self.first.rollouts.apply_status(replace(STATUS, step=2), 0.0)
        self.store.unavailable = True
        decision = StepDecision(100, "no calls are left that it may get unproved", roll_back=True)
        with mock.patch.object(Rollouts, "next_step", return_value=decision):
            await self.first.driver.check()
        self.assertTrue(self.first.rollouts.is_forbidden("statements", "v2"))
        await until(lambda: len(self.first.links.bodies("state_notice")) == 2)

    # Operators never saw that a rollout ended if the store lost the record of its end.
    async def test_one_node_writes_a_rollback_again_that_the_store_lost(self) -> None:
        self.first.driver.roll_back(self.first.rollouts.by_service["statements"], "errors")
        await self.first.driver.check()
        await self.second.read()
        self.store.restore(0)
        for node in (self.first, self.second):
            node.replica.offset = 0
            node.rollouts.reconcile([])
        await self.second.driver.check()
        self.assertEqual(self.store.records, [], "the first node precedes it")
        await self.first.driver.check()
        self.assertEqual([decode(record).unwrap().phase for record in self.store.records], [END])
        for node in (self.first, self.second):
            await node.read()
            await node.driver.check()
        self.assertEqual(len(self.store.records), 1)

    async def test_a_recorded_final_status_overrides_an_unrecorded_one(self) -> None:
        self.store.put(
            "statements",
            encode_rollout_status(replace(STATUS, step=3, phase=RolloutPhase.COMPLETED)),
        )
        rollout = self.first.rollouts.by_service["statements"]
        self.first.driver.roll_back(rollout, "more errors than the old version")
        await self.first.read()
        await self.first.driver.check()
        self.assertEqual(len(self.store.records), 1)
        self.assertFalse(self.first.rollouts.is_forbidden("statements", "v2"))

    # A rollback decided after the completion was dropped, since the store had a final status.
    async def test_a_completed_rollout_is_rolled_back_on_every_node(self) -> None:
        completed = replace(STATUS, step=3, phase=RolloutPhase.COMPLETED)
        self.store.put("statements", encode_rollout_status(completed))
        await self.first.read()
        with mock.patch.object(Rollouts, "update_analysis", return_value="errors"):
            await self.first.driver.check()
        self.assertTrue(self.first.rollouts.is_forbidden("statements", "v2"))
        await self.first.read()
        last = decode(self.store.records[-1]).unwrap()
        self.assertEqual((last.step, last.phase), (4, RolloutPhase.ROLLED_BACK))
        # The second node has the notice before it reads the completion.
        await until(lambda: bool(self.first.links.bodies("state_notice")))
        notice = self.first.links.bodies("state_notice")[0]
        await self.second.links.handlers["state_notice"](notice)
        self.second.rollouts.apply_status(completed, 0.0, recorded=True)
        self.assertTrue(self.second.rollouts.is_forbidden("statements", "v2"))
        await self.second.read()
        self.assertTrue(self.second.rollouts.is_forbidden("statements", "v2"))

    # A node that missed the notice sent calls to the faulty version until it read the store.
    async def test_the_notice_of_a_rollback_is_repeated_until_the_store_has_it(self) -> None:
        self.store.unavailable = True
        with stopped_loop_clock() as clock:
            self.first.driver.roll_back(self.first.rollouts.by_service["statements"], "errors")
            for _ in range(8):
                await self.first.driver.check()
                clock.advance(0.25)
                await asyncio.sleep(0)
            self.assertEqual(len(self.first.links.bodies("state_notice")), 4)
            self.store.unavailable = False
            await self.first.driver.check()
            await self.first.read()
            await asyncio.sleep(0)
            self.first.links.sent.clear()
            for _ in range(8):
                await self.first.driver.check()
                clock.advance(0.25)
                await asyncio.sleep(0)
            self.assertEqual(self.first.links.bodies("state_notice"), [])

    # A rollback was lost with the node that decided on it, unless that node wrote it first.
    async def test_a_rollback_is_recorded_though_the_node_that_decided_on_it_ended(self) -> None:
        with stopped_loop_clock() as clock:
            self.first.driver.roll_back(self.first.rollouts.by_service["statements"], "errors")
            await asyncio.sleep(0)
            notice = self.first.links.bodies("state_notice")[0]
            await self.second.links.handlers["state_notice"](notice)
            await self.second.driver.check()
            self.assertEqual(self.store.records, [], "the first node may write it")
            for _ in range(20):
                clock.advance(0.25)
                await self.second.driver.check()
        self.assertEqual([decode(record).unwrap().phase for record in self.store.records], [END])

    async def test_the_reason_of_a_step_contains_its_evidence(self) -> None:
        rollout = self.first.rollouts.by_service["statements"]
        rollout.seen_at = asyncio.get_running_loop().time() - 2.0
        await self.first.driver.check()
        await self.first.read()
        await self.first.driver.check()
        assert self.first.status is not None
        self.assertGreater(self.first.status.share_permille, 0)
        self.assertEqual(self.first.status.reason, "first share; 0 of 30 calls at this share")

    async def test_a_node_without_all_evidence_takes_no_step(self) -> None:
        last = Node(9, self.store)
        for number in (4, 9):
            last.directory.update(f"node/{number}", peer(number).entry)
        await last.read()
        last.rollouts.apply_order(ORDER, 0.0)
        with mock.patch.object(driver_module, "RANK_DELAY_S", 0.0):
            await last.driver.check()
            self.assertEqual(self.store.records, [])
            last.directory.peers_by_key["node/1"].unreachable = True
            last.directory.peers_by_key["node/2"].unreachable = True
            await last.driver.check()
        self.assertEqual(len(self.store.records), 1)

    async def test_evidence_goes_to_the_first_reachable_nodes(self) -> None:
        directory = self.second.directory
        for number in (4, 5, 6):
            directory.update(f"node/{number}", peer(number).entry)
        directory.peers_by_key["node/3"].unreachable = True
        self.second.rollouts.observe_call(call(version="v2"), True, 0.1, False)
        await self.second.driver.check()
        await until(lambda: len(self.second.links.sent) == 2)
        endpoints = [endpoint[0] for endpoint, _ in self.second.links.sent]
        self.assertEqual(endpoints, ["10.0.0.1", "10.0.0.4"])

    async def reports_of(self, version: str, with_calls: int, without_calls: int) -> int:
        """Return how often a node of a version reports in a series of checks."""
        entry = replace(peer(2).entry, target=target(version=version))
        self.second.directory.update("node/2", entry)
        with stopped_loop_clock() as clock:
            for i in range(with_calls + without_calls):
                if i < with_calls:
                    self.second.rollouts.observe_call(call(version=version), False, 0.1, False)
                await self.second.driver.check()
                clock.advance(driver_module.CHECK_PERIOD_S)
                for _ in range(10):
                    await asyncio.sleep(0)
        # Each report goes to the other two of the three nodes that analyse.
        return len(self.second.links.bodies("evidence_report")) // 2

    async def test_evidence_on_the_version_in_use_is_sent_once_a_second(self) -> None:
        self.assertEqual(await self.reports_of("v1", with_calls=9, without_calls=0), 3)

    async def test_evidence_on_the_version_under_test_is_sent_at_each_check(self) -> None:
        # Without new calls it is repeated once a second, for nodes that don't have it yet.
        self.assertEqual(await self.reports_of("v2", with_calls=5, without_calls=4), 6)

    async def reports_after_completion(self, failing: bool) -> int:
        """Return how often a node reports in 10 s after the completion of its version's rollout."""
        self.second.rollouts.apply_status(replace(STATUS, phase=RolloutPhase.COMPLETED), 0.0)
        no_rollback = mock.patch.object(Rollouts, "update_analysis", return_value=None)
        with no_rollback, stopped_loop_clock() as clock:
            for _ in range(40):
                self.second.rollouts.observe_call(call(version="v2"), failing, 0.1, False)
                await self.second.driver.check()
                clock.advance(driver_module.CHECK_PERIOD_S)
                for _ in range(10):
                    await asyncio.sleep(0)
        return len(self.second.links.bodies("evidence_report")) // 2

    async def test_evidence_without_errors_after_completion_is_sent_every_five_seconds(
        self,
    ) -> None:
        self.assertEqual(await self.reports_after_completion(failing=False), 2)

    async def test_errors_after_completion_are_sent_twice_a_second(self) -> None:
        self.assertEqual(await self.reports_after_completion(failing=True), 20)

    # Its own target's errors alone would have rolled back a version that has no alternative.
    async def test_a_node_without_all_evidence_rolls_no_completed_version_back(self) -> None:
        last = Node(9, self.store)
        for number in (4, 9):
            last.directory.update(f"node/{number}", peer(number).entry)
        last.rollouts.apply_order(ORDER, 0.0)
        last.rollouts.apply_status(replace(STATUS, phase=RolloutPhase.COMPLETED), 0.0)
        with mock.patch.object(Rollouts, "update_analysis", return_value="errors"):
            await last.driver.check()
            self.assertFalse(last.rollouts.is_forbidden("statements", "v2"))
            last.directory.peers_by_key["node/1"].unreachable = True
            last.directory.peers_by_key["node/2"].unreachable = True
            await last.driver.check()
        self.assertTrue(last.rollouts.is_forbidden("statements", "v2"))

    async def test_evidence_goes_to_the_nodes_of_the_service(self) -> None:
        await self.first.driver.check()
        self.first.rollouts.observe_call(call(version="v2"), True, 0.1, False)
        await self.first.driver.check()
        await until(lambda: len(self.first.links.bodies("evidence_report")) == 2)
        report = self.first.links.bodies("evidence_report")[0]
        await self.second.links.handlers["evidence_report"](report)
        with mock.patch.object(RolloutController, "update_analysis", autospec=True) as analysis:
            await self.second.driver.check()
        totals = analysis.call_args.args[1]
        self.assertEqual(
            {key: (c.calls, c.errors) for key, c in totals.items()}, {("v2", "r"): (1, 1)}
        )
