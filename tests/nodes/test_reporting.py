"""Tests of the bounds on evidence reports, of their encoding, and of the age of evidence."""

import asyncio
import typing as t
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from bulrushflow.configuration import Rollout
from bulrushflow.membership import Member
from bulrushflow.nodes.driving import TICK_S
from bulrushflow.nodes.evidence_freshness import FRESH_S
from bulrushflow.nodes.reporting import BUDGET_BYTES_PER_S
from bulrushflow.nodes.reporting import LARGE_REPORT_S
from bulrushflow.nodes.reporting import MAX_RECEIVERS
from bulrushflow.nodes.reporting import MIN_RECEIVERS
from bulrushflow.nodes.reporting import UNCHANGED_REPORT_S
from bulrushflow.nodes.reporting import Reporting
from bulrushflow.nodes.reporting import report_limits
from bulrushflow.rollouts import Evidence
from bulrushflow.rollouts import EvidenceStore
from bulrushflow.wire import codec
from bulrushflow.wire import messages

MOVE = Rollout("m", 7, "plots", "v1", "v2", 0, 60_000, "ana")
GROUP = [Member(f"n{i}", "celje-a", "127.0.0.1", 1 + i, 1) for i in range(30)]


class StuckSender:
    """Never finishes a send to one node."""

    def __init__(self, stuck_port: int) -> None:
        self.ports: list[int] = []
        self._stuck_port = stuck_port

    async def send(self, endpoint: tuple[str, int], **body: t.Any) -> None:
        self.ports.append(endpoint[1])
        if endpoint[1] == self._stuck_port:
            await asyncio.Event().wait()


class ReportingTests(unittest.IsolatedAsyncioTestCase):
    def test_reports_keep_to_the_budget_down_to_the_fewest_receivers(self) -> None:
        for size in (50, 500, 2000, 5000, 100_000):
            with self.subTest(size):
                period_s, receivers = report_limits(size)
                self.assertLessEqual(receivers, MAX_RECEIVERS)
                within = receivers * size / period_s <= BUDGET_BYTES_PER_S * 1.001
                longest = (LARGE_REPORT_S, MIN_RECEIVERS)
                self.assertTrue(within or (period_s, receivers) == longest)

    def test_the_longest_period_keeps_evidence_fresh(self) -> None:
        self.assertLess(max(LARGE_REPORT_S, UNCHANGED_REPORT_S) + TICK_S, FRESH_S)

    async def test_an_unreachable_receiver_holds_up_no_other(self) -> None:
        book = EvidenceStore("n0", 1)
        book.local(7).observe("v2", "/dues", False, 0.01)
        sender = StuckSender(0)
        reporting = Reporting(book, "n0", sender)
        reporting.report(MOVE, GROUP, 0.0)
        await asyncio.sleep(0)
        receivers = set(sender.ports)
        self.assertLessEqual(len(receivers), MAX_RECEIVERS)
        stuck = min(receivers)
        sender = StuckSender(stuck)
        reporting = Reporting(book, "n0", sender)
        for i in range(5):
            book.local(7).observe("v2", "/dues", False, 0.01)
            reporting.report(MOVE, GROUP, 10.0 * i)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        self.assertEqual(sender.ports.count(stuck), 1)
        for port in receivers - {stuck}:
            self.assertEqual(sender.ports.count(port), 5)
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()

    async def test_unchanged_evidence_is_repeated_seldom(self) -> None:
        sender = StuckSender(0)
        reporting = Reporting(EvidenceStore("n0", 1), "n0", sender)
        for i in range(40):
            reporting.report(MOVE, GROUP[:2], i * UNCHANGED_REPORT_S / 10)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        self.assertEqual(len(sender.ports), 4)

    @settings(max_examples=30)
    @given(st.lists(st.tuples(st.sampled_from(("/a", "/b")), st.booleans(), st.floats(0, 99))))
    def test_a_report_keeps_its_counts(self, calls: list[tuple[str, bool, float]]) -> None:
        evidence = Evidence(7, "n1", incarnation=5)
        for route, failed, latency_s in calls:
            evidence.observe("v2", route, failed, latency_s)
        data = messages.encode(codec.evidence_to_message(evidence))
        decoded = messages.decode(messages.EvidenceReport, data).unwrap()
        self.assertEqual(codec.evidence_from_message(decoded), evidence)

    def test_a_report_with_an_unknown_bucket_is_passed_over(self) -> None:
        book = EvidenceStore("n0", 1)
        route = messages.RouteEvidence(
            version="v2", route="/a", calls=1, errors=0, sparse_buckets=[99, 1]
        )
        report = messages.EvidenceReport(move=7, node_id="n1", sequence=1, routes=[route])
        Reporting(book, "n0", StuckSender(0)).take(report, 1.0)
        self.assertEqual(book.totals(7), {})
