"""Tests of the operator endpoint, and of incident reports, against a real node."""

import time
import typing as t

from bulrushflow.configuration import EMPTY_CONFIGURATION
from bulrushflow.configuration import Configure
from bulrushflow.configuration import FinishRollout
from bulrushflow.configuration import RouteBody
from bulrushflow.configuration import ServiceBody
from bulrushflow.configuration import StartRollout
from bulrushflow.configuration import decode_record
from bulrushflow.configuration import encode_record
from bulrushflow.operators.client import OperatorClient
from bulrushflow.operators.incidents import build_incident_report
from bulrushflow.recording import CONFIGURATION_STREAM
from bulrushflow.rollouts import SharedRollout
from tests.operators.nodes import NodeTestCase

PLOTS = Configure(
    1, "p1", "ana", services={"plots": ServiceBody("v1")}, routes={"/plots": RouteBody("plots")}
)
DANGLING = Configure(1, "p2", "bor", routes={"/dues": RouteBody("dues")})


def start_rollout() -> StartRollout:
    finish_by_ms = time.time_ns() // 1_000_000 + 3_600_000
    return StartRollout(1, "m", "ana", "plots", "v2", finish_by_ms)


class ReadyTests(NodeTestCase):
    log_down_at_start = True

    async def test_a_node_is_ready_once_it_has_a_configuration(self) -> None:
        self.assertEqual((await self.get("/ready"))[0], 503)
        self.log.faults.down = False
        (await self.client.publish(PLOTS)).unwrap()
        self.assertEqual((await self.get("/ready"))[0], 200)


class EndpointTests(NodeTestCase):
    async def test_each_path_has_its_status_and_body(self) -> None:
        accepted = (await self.client.publish(PLOTS)).unwrap()
        rejected = (await self.client.publish(DANGLING)).unwrap()
        (await self.client.publish(start_rollout())).unwrap()
        self.assertTrue(accepted.accepted)
        self.assertIn("points at unknown service", rejected.reason)
        cases: dict[str, tuple[int, str]] = {
            "/ready": (200, '"ready": true'),
            "/status": (200, '"node_id":"celje-a-1"'),
            "/configuration": (200, '"plots"'),
            "/verdicts/p1": (200, '"accepted":true'),
            "/verdicts/p2": (200, '"accepted":false'),
            "/verdicts/other": (404, "no verdict on other"),
            "/moves": (200, '"move_id":"m"'),
            "/moves/m": (200, '"share_permille":0'),
            "/moves/other": (404, "unknown move other"),
            "/records?from=0": (200, '"offset":0'),
            "/records?from=99": (200, "[]"),
            "/records?from=-5": (410, "records from offset -5 are no longer retained"),
            "/records?from=x": (400, "from must be a number"),
            "/records": (400, "from must be a number"),
            "/unrecorded": (200, '"records":[]'),
            "/convergence?offset=2": (200, '"in_force":1'),
            "/convergence?offset=99": (200, '"behind":["celje-a-1"]'),
            "/convergence": (400, "offset must be a number"),
            "/convergence?offset=1e3": (400, "offset must be a number"),
            "/metrics": (200, "# TYPE bulrushflow_applied_offset gauge"),
            "/other": (404, "Not Found"),
        }
        for path, (status, part) in cases.items():
            with self.subTest(path):
                actual_status, body = await self.get(path)
                self.assertEqual(actual_status, status, body)
                self.assertIn(part, body)

    async def test_metrics_contain_the_node_s_state(self) -> None:
        (await self.client.publish(PLOTS)).unwrap()
        self.log.faults.down = True
        final = FinishRollout(1, "m/done", "m", False, "healthy", "", "celje-a-1")
        self.node.recorder.submit(final)
        _, body = await self.get("/metrics")
        for line in (
            'bulrushflow_members{status="alive"} 1',
            'bulrushflow_members{status="dead"} 0',
            "bulrushflow_ready 1",
            "bulrushflow_unrecorded 1",
            "bulrushflow_applied_offset 0",
        ):
            with self.subTest(line):
                self.assertIn(line, body.splitlines())

    async def test_decisions_that_the_log_lacks_are_reported(self) -> None:
        (await self.client.publish(PLOTS)).unwrap()
        verdict = (await self.client.publish(start_rollout())).unwrap()
        self.log.faults.down = True
        self.node.shared_rollouts.merge(
            SharedRollout(verdict.offset, 10, True, "errors", "velenje-1")
        )
        final = FinishRollout(1, "m/taken-back", "m", True, "errors", "9 of 10", "velenje-1")
        self.node.recorder.submit(final)
        unrecorded = await self.get_json("/unrecorded")
        self.assertEqual(unrecorded["node_id"], "celje-a-1")
        self.assertEqual(unrecorded["records"][0]["publish_id"], "m/taken-back")
        self.assertEqual(unrecorded["taken_back"][0]["taken_back_reason"], "errors")
        self.assertEqual((await self.get_json("/status"))["unrecorded"], ["m/taken-back"])
        report = (await build_incident_report(self.client, 0, 1)).unwrap()
        self.assertIn("the log could not be read", report.notes[0])
        self.assertEqual([e.publish_id for e in report.events], ["p1", "m"])
        decisions = "\n".join(report.unrecorded)
        self.assertIn("move m taken back by velenje-1: errors", decisions)
        self.assertIn("m/taken-back of node celje-a-1", decisions)
        urls = f"http://127.0.0.1:9,{self.operator_url},{self.operator_url}"
        async with OperatorClient(self.log_url, urls, 0.0) as client:
            again = (await build_incident_report(client, 0, 1)).unwrap()
        self.assertEqual(again.unrecorded, report.unrecorded)
        self.assertIn("could not be asked", "".join(again.notes))

    async def test_records_are_encoded_as_on_the_log(self) -> None:
        (await self.client.publish(PLOTS)).unwrap()
        records: t.Any = (await self.client.get("/records?from=0", list[t.Any])).unwrap()
        self.assertEqual([r["offset"] for r in records], [0])
        report = (await build_incident_report(self.client, 0, 1)).unwrap()
        self.assertEqual(report.digest, (await self.get_json("/status"))["digest"])
        self.assertEqual(report.convergence and report.convergence.in_force, 1)
        self.assertEqual(decode_record(encode_record(PLOTS)).unwrap(), PLOTS)

    async def test_an_incident_report_begins_where_the_log_was_trimmed(self) -> None:
        for number in range(3):
            record = Configure(
                1, f"p{number}", "ana", services={"plots": ServiceBody(f"v{number}")}
            )
            (await self.client.publish(record)).unwrap()
        async with self.session.post(f"{self.log_url}/trim/{CONFIGURATION_STREAM}?keep=1"):
            pass
        report = (await build_incident_report(self.client, 0, 1)).unwrap()
        self.assertEqual(report.first_offset, 2)
        self.assertEqual([e.verdict for e in report.events], ["accepted"])
        self.assertIn("no records before offset 2", report.notes[0])
        self.node.store.current = EMPTY_CONFIGURATION
        reason = (await build_incident_report(self.client, 0, 1)).unwrap_err()
        self.assertIn("the node has only version -1", reason)
