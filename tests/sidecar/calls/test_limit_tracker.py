import unittest

from bulrushflow.sidecar.calls.limit_tracker import LimitTracker
from bulrushflow.sidecar.calls.target_signals import NO_SIGNALS
from bulrushflow.sidecar.calls.target_signals import TargetSignals
from tests.sidecar.samples import RecordingDecisions


class LimitTrackerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.decisions = RecordingDecisions()
        self.tracker = LimitTracker("t-1", self.decisions)

    def name(self, limit_per_s: float, sent_at: float, now: float) -> bool:
        return self.tracker.apply(TargetSignals(limit_per_s), sent_at, now)

    async def test_a_limit_holds_until_a_later_call_is_answered_without_it(self) -> None:
        self.assertTrue(self.name(5.0, sent_at=1.0, now=2.0))
        self.assertFalse(
            self.tracker.apply(NO_SIGNALS, 1.5, 2.1), "sent before the limit was named"
        )
        self.assertEqual(self.tracker.limit_per_s, 5.0)
        self.assertTrue(self.tracker.apply(NO_SIGNALS, 2.05, 2.2))
        self.assertIsNone(self.tracker.limit_per_s)

    async def test_a_limit_that_cannot_be_read_changes_nothing_and_is_logged(self) -> None:
        self.name(5.0, sent_at=1.0, now=2.0)
        self.assertFalse(self.tracker.apply(TargetSignals(invalid_limit="x" * 100), 3.0, 4.0))
        self.assertEqual(self.tracker.limit_per_s, 5.0)
        lines = self.decisions.inputs("target limit unreadable")
        self.assertEqual(lines, [{"target": "t-1", "text": "x" * 64}])

    async def test_the_log_tells_how_many_calls_were_sent_under_each_limit(self) -> None:
        self.name(5.0, sent_at=1.0, now=2.0)
        for repeated in (False, True, False):
            self.tracker.count_sent(repeated)
        self.tracker.apply(NO_SIGNALS, 3.0, 4.0)
        line = self.decisions.inputs("target limit")[-1]
        expected = {"limit_per_s": None, "before": 5.0, "seconds": 2.0, "sent": 3, "repeated": 1}
        self.assertEqual(line, expected | {"target": "t-1", "source": "a response"})

    async def test_another_nodes_knowledge_counts_until_the_first_response(self) -> None:
        self.assertTrue(self.tracker.take_over(5.0, now=1.0))
        self.assertFalse(self.tracker.take_over(50.0, now=1.1), "one limit is known already")
        self.assertTrue(self.tracker.apply(NO_SIGNALS, 1.2, 1.3))
        self.assertFalse(self.tracker.take_over(5.0, now=1.4))
        self.assertIsNone(self.tracker.limit_per_s)
