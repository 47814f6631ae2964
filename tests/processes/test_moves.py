"""A faulty version while the log is down: rolled back at once, recorded after the outage."""

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
"""Ends a test that would otherwise go on forever."""


class RolloutTests(FleetTestCase):
    async def test_faulty_version_is_rolled_back_while_the_log_is_down(self) -> None:
        fleet = self.fleet
        await fleet.start_serving(("celje-a", "plots"), ("velenje", "plots"))
        await fleet.start_pair("new", "celje-a", "plots", "v2")
        await fleet.wait_ready(3)
        finish_by_ms = time.time_ns() // 1_000_000 + FINISH_AFTER_MS
        start = StartRollout(1, "m", "ana", "plots", "v2", finish_by_ms)
        self.assertTrue((await fleet.publish(start)).accepted)
        await self.call_until(self.has_traffic_share)
        await fleet.set_log_faults(down=True)
        faulty = {"error_share": 1.0}
        await fleet.post(fleet.target_urls_by_name["new"] + "/control/behaviour", faulty)
        await self.call_until(self.is_rolled_back)
        during_outage = await self.fetch_incident_report()
        self.assertIn("the log could not be read", during_outage.notes[0])
        self.assertTrue(
            any("move m taken back by" in line for line in during_outage.unrecorded),
            during_outage,
        )
        await fleet.set_log_faults()

        async def recorded() -> bool:
            accounts = [await self.fetch_rollout_report(node.operator_url) for node in fleet.nodes]
            return all(a.move.status is RolloutStatus.ROLLED_BACK for a in accounts)

        await until(recorded, "the rollback on the log and on every node")
        report = await self.fetch_incident_report()
        self.assertEqual((report.notes, report.unrecorded), ([], []))
        started = next(e for e in report.events if e.publish_id == "m")
        self.assertIn("taken back: ", started.became)
        finished = next(e for e in report.events if e.kind == "finish_move")
        self.assertTrue(finished.by.startswith("node ") and finished.evidence, finished)

    async def call_until(self, condition: t.Callable[[], t.Awaitable[bool]]) -> None:
        """Send loads of calls until a condition holds, and check every load."""
        for number in range(MAX_LOADS):
            urls = [node.caller_url for node in self.fleet.nodes]
            load = await self.fleet.start_load(f"moves-{number}", urls, 3, ["/plots/7"])
            await self.assert_calls_intact(load)
            if await condition():
                return
        self.fail(f"{condition.__name__} was false after {MAX_LOADS} loads")

    async def has_traffic_share(self) -> bool:
        return (
            await self.fetch_rollout_report(self.fleet.nodes[0].operator_url)
        ).share_permille > 0

    async def is_rolled_back(self) -> bool:
        return (await self.fetch_rollout_report(self.fleet.nodes[0].operator_url)).taken_back

    async def fetch_rollout_report(self, operator_url: str) -> RolloutReport:
        body = await self.fleet.get(operator_url + "/moves/m")
        return msgspec.json.decode(body, type=RolloutReport)

    async def fetch_incident_report(self) -> IncidentReport:
        urls = ",".join(node.operator_url for node in self.fleet.nodes)
        async with OperatorClient(self.fleet.log_url, urls, 0.0) as client:
            return (await build_incident_report(client, 0, 1)).unwrap()
