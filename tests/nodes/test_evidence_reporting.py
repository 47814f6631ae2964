"""Tests of evidence reports: their bounds, their encoding and the age of evidence."""

import asyncio
import typing as t
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from bulrushflow.configuration import Rollout
from bulrushflow.membership import Member
from bulrushflow.nodes.evidence_freshness import MAX_EVIDENCE_AGE_S
from bulrushflow.nodes.evidence_reporting import BUDGET_BYTES_PER_S
from bulrushflow.nodes.evidence_reporting import MAX_LARGE_REPORT_PERIOD_S
from bulrushflow.nodes.evidence_reporting import MAX_RECEIVERS
from bulrushflow.nodes.evidence_reporting import MIN_RECEIVERS
from bulrushflow.nodes.evidence_reporting import UNCHANGED_REPORT_PERIOD_S
from bulrushflow.nodes.evidence_reporting import EvidenceReporter
from bulrushflow.nodes.evidence_reporting import report_limits
from bulrushflow.nodes.rollout_driver import TICK_S
from bulrushflow.rollouts import Evidence
from bulrushflow.rollouts import EvidenceStore
from bulrushflow.wire import codec
from bulrushflow.wire import messages

ROLLOUT = Rollout("m", 7, "plots", "v1", "v2", 0, 60_000, "ana")
MEMBERS = [Member(f"n{i}", "celje-a", "127.0.0.1", 1 + i, 1) for i in range(30)]


class StuckSender:
    """Records the ports sent to; sends to one of them never finish."""

    def __init__(self, stuck_port: int) -> None:
        self.ports: list[int] = []
        self._stuck_port = stuck_port

    async def send(self, endpoint: tuple[str, int], **body: t.Any) -> None:
        self.ports.append(endpoint[1])
        if endpoint[1] == self._stuck_port:
            await asyncio.Event().wait()


class EvidenceReporterTests(unittest.IsolatedAsyncioTestCase):
    def test_report_limits_stay_within_the_budget_or_at_the_longest_period(self) -> None:
        for size in (50, 500, 2000, 5000, 100_000):
            with self.subTest(size):
                period_s, receivers = report_limits(size)
                self.assertLessEqual(receivers, MAX_RECEIVERS)
                within = receivers * size / period_s <= BUDGET_BYTES_PER_S * 1.001
                longest = (MAX_LARGE_REPORT_PERIOD_S, MIN_RECEIVERS)
                self.assertTrue(within or (period_s, receivers) == longest)

    def test_evidence_stays_fresh_over_the_longest_period(self) -> None:
        self.assertLess(
            max(MAX_LARGE_REPORT_PERIOD_S, UNCHANGED_REPORT_PERIOD_S) + TICK_S, MAX_EVIDENCE_AGE_S
        )

    async def test_an_unreachable_receiver_does_not_delay_the_others(self) -> None:
        evidence_store = EvidenceStore("n0", 1)
        evidence_store.local(7).observe("v2", "/dues", False, 0.01)
        sender = StuckSender(0)
        reporter = EvidenceReporter(evidence_store, "n0", sender)
        reporter.send_if_due(ROLLOUT, MEMBERS, 0.0)
        await asyncio.sleep(0)
        receivers = set(sender.ports)
        self.assertLessEqual(len(receivers), MAX_RECEIVERS)
        stuck = min(receivers)
        sender = StuckSender(stuck)
        reporter = EvidenceReporter(evidence_store, "n0", sender)
        for i in range(5):
            evidence_store.local(7).observe("v2", "/dues", False, 0.01)
            reporter.send_if_due(ROLLOUT, MEMBERS, 10.0 * i)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        self.assertEqual(sender.ports.count(stuck), 1)
        for port in receivers - {stuck}:
            self.assertEqual(sender.ports.count(port), 5)
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()

    async def test_unchanged_evidence_is_sent_at_a_longer_period(self) -> None:
        sender = StuckSender(0)
        reporter = EvidenceReporter(EvidenceStore("n0", 1), "n0", sender)
        for i in range(40):
            reporter.send_if_due(ROLLOUT, MEMBERS[:2], i * UNCHANGED_REPORT_PERIOD_S / 10)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        self.assertEqual(len(sender.ports), 4)

    @settings(max_examples=30)
    @given(st.lists(st.tuples(st.sampled_from(("/a", "/b")), st.booleans(), st.floats(0, 99))))
    def test_evidence_survives_an_encoding_round_trip(
        self, calls: list[tuple[str, bool, float]]
    ) -> None:
        evidence = Evidence(7, "n1", incarnation=5)
        for route, failed, latency_s in calls:
            evidence.observe("v2", route, failed, latency_s)
        data = messages.encode(codec.evidence_to_message(evidence))
        decoded = messages.decode(messages.EvidenceReport, data).unwrap()
        self.assertEqual(codec.evidence_from_message(decoded), evidence)

    def test_a_report_with_an_unknown_latency_bucket_is_skipped(self) -> None:
        evidence_store = EvidenceStore("n0", 1)
        route = messages.RouteEvidence(
            version="v2", route="/a", calls=1, errors=0, sparse_buckets=[99, 1]
        )
        report = messages.EvidenceReport(move=7, node_id="n1", sequence=1, routes=[route])
        EvidenceReporter(evidence_store, "n0", StuckSender(0)).merge_report(report, 1.0)
        self.assertEqual(evidence_store.totals(7, 0.0), {})
