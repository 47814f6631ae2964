"""Nodes that are paused for longer than every timeout and then resume."""

from bulrushflow.configuration import Configure
from bulrushflow.configuration import RouteBody
from tests.processes.fleet import PLACEMENTS
from tests.processes.fleet import FleetNode
from tests.processes.fleet import FleetTestCase
from tests.processes.fleet import extra_route
from tests.processes.programs import until

REROUTED = Configure(
    1, "second", "ana", routes={"/plots": None, "/gardens": RouteBody("plots", idempotent=True)}
)


class PausedNodesTests(FleetTestCase):
    async def wait_declared_dead(self, paused: list[FleetNode]) -> None:
        """Wait until no running node considers a paused one alive or suspect."""
        names = {node.name for node in paused}

        async def dead() -> bool:
            for node in self.fleet.nodes:
                if node.name in names:
                    continue
                members = (await self.fleet.status(node)).members
                if any(m.node_id in names and m.status in ("alive", "suspect") for m in members):
                    return False
            return True

        await until(dead, f"{sorted(names)} declared dead by the running nodes")

    async def test_resumed_node_serves_no_call_with_an_outdated_configuration(self) -> None:
        fleet = self.fleet
        await fleet.start_serving(*PLACEMENTS)
        paused = fleet.nodes[-1]
        paused.pause()
        await self.wait_declared_dead([paused])
        verdict = await fleet.publish(REROUTED)
        paused.resume()
        offsets: list[int] = []

        async def caught_up() -> bool:
            # Calls are refused until the node has checked that its version is the newest.
            self.assertNotIn(b"body_digest", await fleet.get(paused.caller_url + "/plots/1"))
            offsets.append((await fleet.status(paused)).offset)
            return offsets[-1] >= verdict.offset

        await until(caught_up, "the resumed node at the newer version")
        for _ in range(20):
            self.assertNotIn(b"body_digest", await fleet.get(paused.caller_url + "/plots/1"))
            offsets.append((await fleet.status(paused)).offset)
        self.assertEqual(offsets, sorted(offsets))
        await fleet.wait_ready(len(PLACEMENTS))
        self.assertIn(b"body_digest", await fleet.get(paused.caller_url + "/gardens/1"))
        self.assertIn(b"no route", await fleet.get(paused.caller_url + "/plots/1"))
        await fleet.wait_converged(verdict.offset)

    async def test_fleet_converges_after_a_data_centre_is_paused_and_resumed_twice(self) -> None:
        fleet = self.fleet
        await fleet.start_serving(*PLACEMENTS)
        staying, isolated = fleet.nodes[:2], fleet.nodes[2:]
        load = await fleet.start_load("cut-off", [n.caller_url for n in staying], 8)
        for round_number in (1, 2):
            for node in isolated:
                node.pause()
            await self.wait_declared_dead(isolated)
            extra = extra_route(f"meanwhile-{round_number}")
            verdict = await fleet.publish(extra)
            for node in isolated:
                node.resume()
            await fleet.wait_ready(len(PLACEMENTS))
            await fleet.wait_converged(verdict.offset)
        await self.assert_calls_intact(load)
