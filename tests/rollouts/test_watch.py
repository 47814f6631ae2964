import unittest

from bulrushflow.rollouts import CompletedRolloutWatch
from bulrushflow.rollouts import Evidence

NODES = 6
REPORT_INTERVAL_S = 5
CALLS_PER_REPORT = 40


class CompletedRolloutWatchTests(unittest.TestCase):
    def setUp(self) -> None:
        self.watch = CompletedRolloutWatch("v2", 0.0)
        self.reports = [Evidence(7, f"n-{i}") for i in range(NODES)]
        self.strength = 0.0

    def run_seconds(self, first: int, last: int, error_every: int, failing_nodes: int = 0) -> None:
        """Let nodes report in turn, or each second if they fail; one in so many calls fails."""
        for second in range(first, last):
            for i, report in enumerate(self.reports):
                failing = i < failing_nodes
                if not failing and second % REPORT_INTERVAL_S != i % REPORT_INTERVAL_S:
                    continue
                for number in range(CALLS_PER_REPORT):
                    failed = number % (2 if failing else error_every) == 0
                    report.observe("v2", "r", failed, 0.1)
            signal, _ = self.watch.update(self.reports, NODES, float(second))
            self.strength = signal.strength

    # Seconds in which too few nodes reported for a comparison added up to a fault.
    def test_a_healthy_version_that_is_seldom_reported_on_stays_healthy_for_hours(self) -> None:
        self.run_seconds(0, 4 * 3600, error_every=40)
        self.assertLess(self.strength, 0.65)

    def test_a_fault_of_half_of_the_targets_is_none_of_the_version(self) -> None:
        self.run_seconds(0, 60, error_every=40)
        self.run_seconds(60, 600, error_every=40, failing_nodes=NODES // 2)
        self.assertLess(self.strength, 1)

    def test_a_fault_after_hours_is_found_at_once(self) -> None:
        self.run_seconds(0, 3600, error_every=40)
        self.run_seconds(3600, 3604, error_every=40, failing_nodes=NODES)
        self.assertGreaterEqual(self.strength, 1)
