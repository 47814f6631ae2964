"""The model of planned stops: its check, and what it finds."""

import typing as t
import unittest

import msgspec
from loguru import logger

from benchmarks.stop_model.ledger import CallEntry
from benchmarks.stop_model.ledger import Kind
from benchmarks.stop_model.ledger import StopCheck
from benchmarks.stop_model.node import DEFAULT_STOP_TIMES
from benchmarks.stop_model.node import StopTimes
from benchmarks.stop_model.run import Run
from benchmarks.stop_model.run import RunResult
from benchmarks.stop_model.scenario import Download
from benchmarks.stop_model.scenario import Scenario
from benchmarks.stop_model.scenario import StopAt
from benchmarks.stop_model.scenario import draw_scenario
from bulrushflow.sidecar.application import READINESS_PROPAGATION_S

GRACE_S = 6.0
SEEDS: t.Final = (3, 11, 31, 37, 38)
"""Runs whose links are asked for a third more than they carry."""


def run(scenario: Scenario, stop_times: StopTimes = DEFAULT_STOP_TIMES) -> RunResult:
    """Run a scenario without the product's log lines."""
    logger.disable("bulrushflow")
    try:
        return Run(scenario, stop_times).run_to_end()
    finally:
        logger.enable("bulrushflow")


def one_call(size: int, reading_mbps: float, at_s: float, run_s: float = 0.2) -> Scenario:
    """Return a run of one call and one node, whose stop begins at 1 s."""
    return Scenario(
        seed=1,
        nodes=1,
        targets=1,
        timeout_s=20.0,
        stops=(StopAt(0, 1.0),),
        downloads=(Download(0, at_s, size, run_s, reading_mbps),),
    )


class StopCheckTests(unittest.TestCase):
    """Deliberate violations: a check that never fires would pass every stop."""

    def setUp(self) -> None:
        self.check = StopCheck(GRACE_S, 0.2)
        self.check.record_stop(0, 10.0)

    def entry(self, sent_at: float, timeout_s: float = 20.0, node: int = 0) -> CallEntry:
        return CallEntry(1, node, sent_at, sent_at + timeout_s, self.check.record_close)

    def close(self, entry: CallEntry, at: float) -> list[Kind]:
        entry.close(at)
        return [violation.kind for violation in self.check.violations]

    def finished(self, sent_at: float, node: int = 0, timeout_s: float = 20.0) -> CallEntry:
        entry = self.entry(sent_at, timeout_s, node)
        entry.passed_on_at = sent_at
        entry.finished_at = sent_at + 0.2
        return entry

    def test_a_response_that_is_cut_is_found(self) -> None:
        entry = self.finished(11.0)
        entry.begin(200, 1000)
        entry.read_bytes = 999
        self.assertEqual(self.close(entry, 15.3), [Kind.CUT])

    def test_a_close_without_an_answer_is_found_once_a_target_got_the_call(self) -> None:
        self.assertEqual(self.close(self.finished(11.0), 11.1), [Kind.NO_ANSWER])

    def test_a_close_without_an_answer_is_found_later_than_the_slack(self) -> None:
        self.assertEqual(self.close(self.entry(11.0), 11.1), [])
        self.assertEqual(self.close(self.entry(11.0), 11.3), [Kind.NO_ANSWER])

    def test_an_answer_of_the_nodes_own_beside_a_target_at_work_is_found(self) -> None:
        entry = self.entry(11.0)
        entry.passed_on_at = 11.0
        entry.running = 1
        entry.begin(503, 300)
        entry.read_bytes = 300
        self.assertEqual(self.close(entry, 12.0), [Kind.REPLACED])

    def test_whole_responses_and_refusals_are_allowed(self) -> None:
        for status in (200, 503):
            entry = self.finished(11.0)
            entry.begin(status, 10)
            entry.read_bytes = 10
            self.assertEqual(self.close(entry, 12.0), [])
        self.assertEqual((self.check.checked, self.check.whole, self.check.refused), (2, 1, 1))

    def test_a_call_whose_timeout_was_reached_is_allowed(self) -> None:
        self.assertEqual(self.close(self.finished(11.0, timeout_s=3.0), 14.0), [])

    def test_a_target_at_work_in_the_last_sixth_excuses_early_calls_only(self) -> None:
        for sent_at, found in ((13.0, []), (13.1, [Kind.NO_ANSWER])):
            entry = self.entry(sent_at)
            entry.passed_on_at = sent_at
            entry.running = 1
            self.assertEqual(self.close(entry, 15.3), found)

    # What the system sends on after the end of the process hid the cut.
    def test_a_cut_counts_when_the_node_makes_it(self) -> None:
        entry = self.finished(11.0)
        entry.begin(200, 1000)
        entry.cut_at = 15.4
        self.assertEqual(self.close(entry, 30.0), [Kind.CUT])

    def test_nodes_that_are_not_stopping_are_not_checked(self) -> None:
        self.assertEqual(self.close(self.finished(11.0, node=1), 11.1), [])
        self.assertEqual(self.close(self.finished(2.0), 9.9), [])


class StopModelTests(unittest.TestCase):
    def test_a_call_beside_no_trouble_is_served(self) -> None:
        result = run(one_call(90_000, 20.0, 2.0))
        self.assertEqual((result.calls, result.whole, result.violations), (1, 1, ()))

    def test_a_stop_that_gives_up_its_grace_is_found(self) -> None:
        stop_times = StopTimes(readiness_propagation_s=0.1, shutdown_margin_s=GRACE_S - 0.15)
        result = run(one_call(90_000, 20.0, 0.95), stop_times)
        self.assertEqual([violation.kind for violation in result.violations], [Kind.REPLACED])

    def test_a_response_that_its_caller_reads_too_slowly_is_found(self) -> None:
        result = run(one_call(540_000, 0.5, 2.0))
        self.assertEqual([violation.kind for violation in result.violations], [Kind.CUT])

    def test_a_call_after_the_acceptance_is_refused(self) -> None:
        """A second call keeps the node from its end."""
        scenario = one_call(90_000, 20.0, 3.5, run_s=1.0)
        late = Download(1, 1.0 + READINESS_PROPAGATION_S + 0.1, 90_000, 0.1, 20.0)
        result = run(msgspec.structs.replace(scenario, downloads=(*scenario.downloads, late)))
        self.assertEqual((result.whole, result.refused, result.violations), (1, 1, ()))

    def test_the_verdict_of_a_seed_is_the_same_each_time(self) -> None:
        scenario = draw_scenario(SEEDS[0])
        self.assertEqual(run(scenario), run(scenario))

    # Late responses got no turn on a busy link, and were cut at the end of the stop.
    def test_stops_in_series_lose_no_accepted_call(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(run(draw_scenario(seed)).violations, ())
