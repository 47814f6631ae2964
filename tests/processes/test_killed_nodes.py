"""Killed nodes: calls through the others stay intact, and the replacements converge."""

from tests.processes.fleet import PLACEMENTS
from tests.processes.fleet import FleetTestCase
from tests.processes.fleet import extra_route


class KilledNodesTests(FleetTestCase):
    async def test_fleet_converges_after_half_of_the_nodes_are_killed_and_replaced_twice(
        self,
    ) -> None:
        fleet = self.fleet
        await fleet.start_serving(*PLACEMENTS)
        staying = fleet.nodes[:2]
        load = await fleet.start_load("kills", [n.caller_url for n in staying], 7)
        for round_number in (1, 2):
            for node in fleet.nodes[2:]:
                await fleet.kill(node)
                await fleet.start_node(f"{node.name}-{round_number}", "velenje", node.target_port)
            extra = extra_route(f"during-{round_number}")
            verdict = await fleet.publish(extra, via=staying[0])
            await fleet.wait_ready(len(PLACEMENTS))
            await fleet.wait_converged(verdict.offset)
        await self.assert_calls_intact(load)
