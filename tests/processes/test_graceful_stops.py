"""Planned stops: no call in flight is interrupted, and the other nodes keep serving."""

from functools import partial

from tests.processes.fleet import FleetTestCase
from tests.processes.programs import until

WORK_MS = 1000
"""Longer than a node takes to exit, so that calls are cut unless the node waits for them."""
RATE = 24.0
"""Calls per second: about six are in flight at each target, and two targets can serve them all."""
PLACEMENTS = 2 * (("celje-a", "plots"), ("celje-a", "payments"))
"""All in one data centre, so that the leaving nodes receive their share of the calls."""


class GracefulStopTests(FleetTestCase):
    async def has_run(self, target_url: str) -> bool:
        return await self.fleet.get(target_url + "/control/runs") != b"[]"

    async def test_stopping_nodes_under_load_interrupts_no_call(self) -> None:
        fleet = self.fleet
        await fleet.start_serving(*PLACEMENTS)
        for url in fleet.target_urls_by_name.values():
            await fleet.post(url + "/control/behaviour", {"work_ms": WORK_MS})
        staying, leaving = fleet.nodes[:2], fleet.nodes[2:]
        load = await fleet.start_load("stops", [n.caller_url for n in staying], 6, rate=RATE)
        for node in leaving:
            target_url = fleet.target_urls_by_name[node.name]
            await until(partial(self.has_run, target_url), f"calls at {target_url}")
            await fleet.post(target_url + "/control/drain", {})
            self.assertEqual(await node.program.terminate(), 0, node.program.errors())
            self.assertNotIn("still in flight", node.program.errors())
            del fleet.nodes_by_name[node.name]
        summary = await self.assert_calls_intact(load)
        self.assertEqual(summary["unknown"], 0, summary)
        await fleet.wait_ready(2)
