"""Calls and publishes while the log is down, slow or loses responses, also with killed nodes."""

import asyncio

from bulrushflow.configuration import Verdict
from bulrushflow.recording import CONFIGURATION_STREAM
from tests.processes.fleet import PLACEMENTS
from tests.processes.fleet import FleetTestCase
from tests.processes.fleet import extra_route


class LogFaultTests(FleetTestCase):
    async def test_calls_and_publishes_survive_log_faults(
        self,
    ) -> None:
        fleet = self.fleet
        await fleet.start_serving(*PLACEMENTS)
        load = await fleet.start_load("log", [n.caller_url for n in fleet.nodes], 5)
        with self.subTest("responses lost after the write"):
            await fleet.set_log_faults(lose_answers=3, lose_stream=CONFIGURATION_STREAM)
            lossy = await fleet.publish(extra_route("lossy"))
            self.assertTrue(lossy.accepted)
            status = await fleet.wait_converged(lossy.offset + 3)
            self.assertEqual(status.offset, lossy.offset + 3)
            self.assertEqual(await fleet.verdicts("lossy"), [lossy] * len(PLACEMENTS))
        with self.subTest("slow"):
            await fleet.set_log_faults(delay_ms=300)
            slow = await fleet.publish(extra_route("slow"))
            self.assertTrue(slow.accepted)
        await fleet.set_log_faults(down=True)
        waiting = asyncio.create_task(fleet.publish(extra_route("waiting")))
        await self.assert_calls_intact(load)
        self.assertFalse(waiting.done())
        await fleet.set_log_faults()
        verdict: Verdict = await waiting
        self.assertTrue(verdict.accepted)
        await fleet.wait_converged(verdict.offset)

    async def test_half_of_the_nodes_can_be_replaced_while_the_log_is_down(self) -> None:
        fleet = self.fleet
        await fleet.start_serving(*PLACEMENTS)
        staying = fleet.nodes[:2]
        load = await fleet.start_load("both", [n.caller_url for n in staying], 5)
        await fleet.set_log_faults(down=True)
        for node in fleet.nodes[2:]:
            await fleet.kill(node)
            await fleet.start_node(f"{node.name}-new", "velenje", node.target_port)
        await self.assert_calls_intact(load)
        await fleet.set_log_faults()
        verdict = await fleet.publish(extra_route("after"), via=staying[0])
        await fleet.wait_ready(len(PLACEMENTS))
        await fleet.wait_converged(verdict.offset)
