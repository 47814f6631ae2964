"""Tests of rollouts driven by several nodes, with faults of the log, the driver and the links."""

import typing as t
import unittest

from bulrushflow.configuration import Rollout
from bulrushflow.configuration import RolloutStatus
from bulrushflow.configuration import WithdrawRollout
from bulrushflow.membership import Member
from bulrushflow.membership import Status
from bulrushflow.membership import Target
from bulrushflow.membership import TargetState
from tests.nodes.mesh import NEW
from tests.nodes.mesh import OLD
from tests.nodes.mesh import ROLLOUT_DURATION_S
from tests.nodes.mesh import ROLLOUT_OFFSET
from tests.nodes.mesh import Mesh

Fault = t.Callable[[Mesh], None]


def no_fault(mesh: Mesh) -> None:
    pass


def log_down(mesh: Mesh) -> None:
    mesh.log_down = True


def driver_paused(mesh: Mesh) -> None:
    mesh.driver.paused = True


def driver_dead(mesh: Mesh) -> None:
    dead = mesh.driver
    dead.paused = True
    dead.cut_off = True
    for node in mesh.nodes:
        node.table.raise_status(dead.table.own_id, Status.DEAD, 0.0)


def log_down_and_driver_dead(mesh: Mesh) -> None:
    log_down(mesh)
    driver_dead(mesh)


class RolloutDriverTests(unittest.IsolatedAsyncioTestCase):
    def rollout(self, mesh: Mesh) -> Rollout:
        return mesh.configuration.moves_by_id["m"]

    async def run_until_ten_percent(self, mesh: Mesh) -> None:
        while mesh.traffic_share() < 100:
            await mesh.run(0.25)

    async def test_a_healthy_version_completes_in_time_with_recorded_steps(self) -> None:
        mesh = Mesh()
        await mesh.run(ROLLOUT_DURATION_S)
        rollout = self.rollout(mesh)
        self.assertIs(rollout.status, RolloutStatus.COMPLETED)
        self.assertLess(rollout.finished_at_ms, rollout.finish_by_ms)
        shares = [step.share_permille for step in rollout.steps]
        self.assertEqual(shares, sorted(set(shares)))
        self.assertTrue(all(step.rule and step.evidence for step in rollout.steps))

    async def test_only_nodes_of_services_with_a_rollout_are_potential_writers(self) -> None:
        mesh = Mesh()
        driver = mesh.nodes[0].driver
        for i in range(500):
            elsewhere = Target("payments", "v1", TargetState.READY, 20)
            other = Member(f"other-{i}", "velenje", "127.0.0.1", 1000 + i, 1, target=elsewhere)
            mesh.nodes[0].table.merge(other, 0.0)
        await self.run_until_ten_percent(mesh)
        self.assertEqual(driver.potential_writer_count(), len(mesh.nodes))
        await mesh.run(ROLLOUT_DURATION_S)
        self.assertEqual(driver.potential_writer_count(), 0)

    async def test_a_faulty_version_soon_gets_no_calls_under_other_faults(self) -> None:
        cases: dict[str, Fault] = {
            "nothing": no_fault,
            "log down": log_down,
            "driver paused": driver_paused,
            "driver dead": driver_dead,
            "log down and driver dead": log_down_and_driver_dead,
        }
        for name, fault in cases.items():
            with self.subTest(name):
                mesh = Mesh()
                await self.run_until_ten_percent(mesh)
                fault(mesh)
                mesh.new_version_fails = True
                await mesh.run(10)
                self.assertEqual(max_share_of_running_nodes(mesh), 0)
                calls = mesh.new_calls
                await mesh.run(ROLLOUT_DURATION_S)
                self.assertEqual(mesh.new_calls, calls)
                mesh.log_down = False
                await mesh.run(10)
                self.assertIs(self.rollout(mesh).status, RolloutStatus.ROLLED_BACK)
                self.assertIn("errors", self.rollout(mesh).reason)

    async def test_a_resumed_driver_does_not_raise_the_share_on_stale_evidence(self) -> None:
        mesh = Mesh()
        await self.run_until_ten_percent(mesh)
        driver = mesh.driver
        driver.paused = True
        driver.cut_off = True
        await mesh.run(8)
        share = mesh.traffic_share()
        driver.paused = False
        for _ in range(20):
            await mesh.run(0.25)
            self.assertLessEqual(mesh.traffic_share(), share)
        driver.cut_off = False
        await mesh.run(3)
        self.assertGreater(mesh.traffic_share(), share)

    async def test_another_node_completes_the_rollout_after_the_driver_died(self) -> None:
        mesh = Mesh()
        await self.run_until_ten_percent(mesh)
        driver_dead(mesh)
        await mesh.run(ROLLOUT_DURATION_S)
        self.assertIs(self.rollout(mesh).status, RolloutStatus.COMPLETED)

    async def test_two_concurrent_drivers_record_each_step_once(self) -> None:
        mesh = Mesh()
        second = mesh.nodes[0] if mesh.nodes[0] is not mesh.driver else mesh.nodes[1]
        second.table.raise_status(mesh.driver.table.own_id, Status.DEAD, 0.0)
        await mesh.run(ROLLOUT_DURATION_S)
        rollout = self.rollout(mesh)
        self.assertIs(rollout.status, RolloutStatus.COMPLETED)
        shares = [step.share_permille for step in rollout.steps]
        self.assertEqual(len(shares), len(set(shares)))

    async def test_a_completion_that_was_not_logged_is_dropped_after_a_fault(self) -> None:
        mesh = Mesh()
        mesh.log_down = True
        while "m/done" not in mesh.driver.submitted:
            await mesh.run(0.25)
        mesh.new_version_fails = True
        await mesh.run(10)
        mesh.log_down = False
        # The driver's records are appended first, the oldest of them first.
        driver = mesh.driver
        mesh.nodes.sort(key=lambda node: node is not driver)
        await mesh.run(10)
        self.assertIs(self.rollout(mesh).status, RolloutStatus.ROLLED_BACK)

    async def test_a_rollout_without_ready_targets_is_at_risk_and_rolled_back(self) -> None:
        mesh = Mesh(new_nodes=0)
        await mesh.run(ROLLOUT_DURATION_S / 2)
        step = self.rollout(mesh).steps[0]
        self.assertIn("at risk: no ready target", step.rule)
        await mesh.run(ROLLOUT_DURATION_S)
        self.assertIs(self.rollout(mesh).status, RolloutStatus.ROLLED_BACK)
        self.assertIn("deadline", self.rollout(mesh).reason)

    async def test_missing_evidence_is_recorded_as_a_risk_before_the_deadline(self) -> None:
        mesh = Mesh()
        new = [n for n in mesh.nodes if n.version == NEW and n is not mesh.driver]
        new[0].cut_off = True
        await mesh.run(ROLLOUT_DURATION_S / 2)
        rules = [step.rule for step in self.rollout(mesh).steps]
        self.assertIn(f"at risk: no fresh evidence from {new[0].table.own_id}", rules)

    async def test_a_withdrawn_version_gets_no_calls_while_the_driver_is_paused(self) -> None:
        mesh = Mesh()
        await self.run_until_ten_percent(mesh)
        mesh.driver.paused = True
        mesh.append(WithdrawRollout(1, "w", "ana", "m", "wrong build"))
        calls = mesh.new_calls
        await mesh.run(5)
        mesh.driver.paused = False
        await mesh.run(5)
        self.assertEqual(mesh.new_calls, calls)
        self.assertIs(self.rollout(mesh).status, RolloutStatus.WITHDRAWN)

    async def test_an_unreachable_receiver_does_not_delay_reports_to_the_driver(self) -> None:
        mesh = Mesh()
        mesh.nodes[1].cut_off = True
        await mesh.run(5)
        reporting_nodes = [n for n in mesh.nodes if n is not mesh.nodes[1] and n is not mesh.driver]
        for node in reporting_nodes:
            reported_at = mesh.driver.driver.evidence_store.last_report_at(
                ROLLOUT_OFFSET, node.table.own_id
            )
            self.assertIsNotNone(reported_at)

    async def test_after_completion_the_old_version_is_forbidden_only_after_a_delay(self) -> None:
        mesh = Mesh()
        while self.rollout(mesh).status is RolloutStatus.ACTIVE:
            await mesh.run(0.25)
        node = mesh.nodes[0]
        self.assertFalse(node.driver.is_forbidden("plots", OLD))
        self.assertFalse(node.driver.is_forbidden("plots", NEW))
        await mesh.run(15)
        self.assertTrue(node.driver.is_forbidden("plots", OLD))


def max_share_of_running_nodes(mesh: Mesh) -> int:
    running = [node for node in mesh.nodes if not node.paused]
    return max(node.shared_rollouts.share_permille(ROLLOUT_OFFSET) for node in running)
