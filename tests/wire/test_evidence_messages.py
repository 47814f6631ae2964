"""Tests of evidence between nodes of this release and the earlier one."""

import unittest

from bulrushflow.rollouts import Evidence
from bulrushflow.rollouts import FailureKind
from bulrushflow.wire import codec
from bulrushflow.wire import messages


def evidence(*kinds: FailureKind | None) -> Evidence:
    report = Evidence(7, "n-1", incarnation=1)
    for kind in kinds:
        report.observe("v2", "r", kind is not FailureKind.NONE, 0.01, False, kind)
    return report


class EvidenceMessageTests(unittest.TestCase):
    def received(self, message: messages.EvidenceReport) -> tuple[int, int, int, int]:
        counts = codec.evidence_from_message(message).counts_by_version_route["v2", "r"]
        return counts.errors, counts.classified, counts.returned, counts.unanswered

    def test_kinds_of_failure_are_kept(self) -> None:
        kinds = (FailureKind.NONE, FailureKind.RETURNED, FailureKind.UNANSWERED)
        message = codec.evidence_to_message(evidence(*kinds, FailureKind.RETURNED))
        self.assertEqual(self.received(message), (3, 4, 2, 1))

    def test_a_report_of_the_earlier_release_has_the_total_only(self) -> None:
        message = codec.evidence_to_message(evidence(FailureKind.NONE, FailureKind.RETURNED))
        message.routes[0].returned_errors = None
        message.routes[0].unanswered = None
        self.assertEqual(self.received(message), (1, 0, 0, 0))

    def test_kinds_that_were_not_told_apart_are_not_reported(self) -> None:
        message = codec.evidence_to_message(evidence(None, None))
        self.assertIsNone(message.routes[0].returned_errors)
        self.assertEqual(self.received(message), (2, 0, 0, 0))

    def test_calls_in_flight_are_reported(self) -> None:
        report = evidence(FailureKind.NONE)
        for _ in range(3):
            report.count_given()
        received = codec.evidence_from_message(codec.evidence_to_message(report))
        self.assertEqual((received.given, received.sequence), (3, 4))
        message = codec.evidence_to_message(report)
        message.given = None
        self.assertEqual(codec.evidence_from_message(message).given, 0)
