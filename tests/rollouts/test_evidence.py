"""Tests of evidence, its merging, and the warm-up of targets."""

import unittest

from bulrushflow.rollouts import Evidence
from bulrushflow.rollouts import EvidenceStore
from bulrushflow.rollouts import WarmUp
from bulrushflow.rollouts.evidence import MAX_ROUTES
from bulrushflow.rollouts.warmup import WARM_UP_CALLS
from bulrushflow.rollouts.warmup import WARM_UP_S


def evidence(node_id: str, calls: int, incarnation: int = 1) -> Evidence:
    report = Evidence(7, node_id, incarnation=incarnation)
    for _ in range(calls):
        report.observe("v2", "/dues", False, 0.010)
    return report


class EvidenceBookTests(unittest.TestCase):
    def test_late_and_duplicate_reports_change_nothing(self) -> None:
        book = EvidenceStore("n1", 1)
        for calls in (5, 9, 5, 9):
            book.merge(evidence("n2", calls), 1.0)
        self.assertEqual(book.totals(7, 0.0)["v2", "/dues"].calls, 9)

    def test_only_a_report_that_is_not_older_renews_the_last_report(self) -> None:
        book = EvidenceStore("n1", 1)
        book.merge(evidence("n2", 9, incarnation=2), 1.0)
        for name, older in (
            ("sequence", evidence("n2", 5, incarnation=2)),
            ("incarnation", evidence("n2", 12, incarnation=1)),
        ):
            with self.subTest(name):
                book.merge(older, 2.0)
                self.assertEqual(book.last_report_at(7, "n2"), 1.0)
        # A node without new calls repeats its report to show that it is alive.
        book.merge(evidence("n2", 9, incarnation=2), 3.0)
        self.assertEqual(book.last_report_at(7, "n2"), 3.0)
        self.assertEqual(book.totals(7, 0.0)["v2", "/dues"].calls, 21)

    def test_a_restarted_node_adds_to_its_earlier_counts(self) -> None:
        book = EvidenceStore("n1", 1)
        book.merge(evidence("n2", 9, incarnation=1), 1.0)
        book.merge(evidence("n2", 2, incarnation=2), 2.0)
        self.assertEqual(book.totals(7, 0.0)["v2", "/dues"].calls, 11)

    def test_calls_in_flight_count_as_given(self) -> None:
        book = EvidenceStore("n1", 1)
        report = evidence("n2", 5)
        for _ in range(7):
            report.count_given()
        book.merge(report, 1.0)
        # A node of the earlier release reports the calls that have ended only.
        book.merge(evidence("n3", 4), 1.0)
        self.assertEqual(book.given(7, "v2"), 11)
        self.assertEqual(book.given(7, "v1"), 7)

    def test_own_evidence_is_not_accepted_from_others(self) -> None:
        book = EvidenceStore("n1", 1)
        book.merge(evidence("n1", 50, incarnation=1), 1.0)
        self.assertEqual(book.totals(7, 0.0), {})

    def test_routes_beyond_the_limit_share_one_entry(self) -> None:
        report = Evidence(7, "n2")
        for i in range(3 * MAX_ROUTES):
            report.observe("v2", f"/{i}", False, 0.010)
        self.assertEqual(len(report.counts_by_version_route), MAX_ROUTES + 1)
        calls = sum(counts.calls for counts in report.counts_by_version_route.values())
        self.assertEqual(calls, 3 * MAX_ROUTES)

    def test_evidence_on_finished_rollouts_is_dropped(self) -> None:
        book = EvidenceStore("n1", 1)
        book.merge(evidence("n2", 9), 1.0)
        book.retain({8})
        self.assertEqual(book.by_rollout, {})
        self.assertIsNone(book.last_report_at(7, "n2"))


class WarmUpTests(unittest.TestCase):
    def test_a_target_is_warm_after_enough_time_and_calls(self) -> None:
        warm_up = WarmUp()
        warm_up.set_version("v2")
        early = [warm_up.count_call(100.0 + i) for i in range(2)]
        late = [warm_up.count_call(100.0 + WARM_UP_S) for _ in range(WARM_UP_CALLS)]
        self.assertEqual(early, [True, True])
        self.assertEqual(late, [True] * (WARM_UP_CALLS - 2) + [False, False])

    def test_only_a_changed_version_restarts_the_warm_up(self) -> None:
        warm_up = WarmUp()
        warm_up.set_version("v1")
        for _ in range(WARM_UP_CALLS):
            warm_up.count_call(0.0)
        warm_up.set_version("v1")
        self.assertFalse(warm_up.count_call(WARM_UP_S))
        warm_up.set_version("v2")
        self.assertTrue(warm_up.count_call(WARM_UP_S))
