"""A bad target version while the log is down: stopped at once, recorded and accounted for later."""

import time
import typing as t

import msgspec

from bulrushflow.configuration import RolloutStatus
from bulrushflow.configuration import StartRollout
from bulrushflow.operators.client import OperatorClient
from bulrushflow.operators.incidents import IncidentReport
from bulrushflow.operators.incidents import build_incident_report
from bulrushflow.operators.reports import RolloutReport
from tests.processes.fleet import FleetTestCase
from tests.processes.programs import until

FINISH_AFTER_MS = 600_000
MAX_LOADS = 10
"""Only ends a test that would go on for ever."""


class MoveTests(FleetTestCase):
    async def test_a_bad_version_is_taken_back_without_the_log(self) -> None:
        fleet = self.fleet
        await fleet.start_serving(("celje-a", "plots"), ("velenje", "plots"))
        await fleet.start_pair("new", "celje-a", "plots", "v2")
        await fleet.wait_ready(3)
        finish_by_ms = time.time_ns() // 1_000_000 + FINISH_AFTER_MS
        start = StartRollout(1, "m", "ana", "plots", "v2", finish_by_ms)
        self.assertTrue((await fleet.publish(start)).accepted)
        await self.call_until(self.shares_calls)
        await fleet.set_log_faults(down=True)
        faulty = {"error_share": 1.0}
        await fleet.post(fleet.target_urls_by_name["new"] + "/control/behaviour", faulty)
        await self.call_until(self.taken_back)
        during = await self.account()
        self.assertIn("the log could not be read", during.notes[0])
        self.assertTrue(any("move m taken back by" in told for told in during.unrecorded), during)
        await fleet.set_log_faults()

        async def recorded() -> bool:
            moves = [await self.move(node.operator_url) for node in fleet.nodes]
            return all(m.move.status is RolloutStatus.ROLLED_BACK for m in moves)

        await until(recorded, "the take-back on the log and on every node")
        account = await self.account()
        self.assertEqual((account.notes, account.unrecorded), ([], []))
        stated = next(e for e in account.events if e.publish_id == "m")
        self.assertIn("taken back: ", stated.became)
        final = next(e for e in account.events if e.kind == "finish_move")
        self.assertTrue(final.by.startswith("node ") and final.evidence, final)

    async def call_until(self, condition: t.Callable[[], t.Awaitable[bool]]) -> None:
        """Send calls until a condition holds; each of them must be answered whole."""
        for number in range(MAX_LOADS):
            urls = [node.caller_url for node in self.fleet.nodes]
            load = await self.fleet.start_load(f"moves-{number}", urls, 3, ["/plots/7"])
            await self.assert_calls_whole(load)
            if await condition():
                return
        self.fail(f"{condition.__name__} never came true")

    async def shares_calls(self) -> bool:
        return (await self.move(self.fleet.nodes[0].operator_url)).share_permille > 0

    async def taken_back(self) -> bool:
        return (await self.move(self.fleet.nodes[0].operator_url)).taken_back

    async def move(self, operator_url: str) -> RolloutReport:
        body = await self.fleet.get(operator_url + "/moves/m")
        return msgspec.json.decode(body, type=RolloutReport)

    async def account(self) -> IncidentReport:
        urls = ",".join(node.operator_url for node in self.fleet.nodes)
        async with OperatorClient(self.fleet.log_url, urls, 0.0) as client:
            return (await build_incident_report(client, 0, 1)).unwrap()
