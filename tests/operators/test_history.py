"""Tests of the history of the log's records."""

import unittest

from hypothesis import given
from hypothesis import settings

from bulrushflow.configuration import EMPTY_CONFIGURATION
from bulrushflow.configuration import Configure
from bulrushflow.configuration import EnableSchema
from bulrushflow.configuration import FinishRollout
from bulrushflow.configuration import LogRecord
from bulrushflow.configuration import Record
from bulrushflow.configuration import RecordRolloutStep
from bulrushflow.configuration import RouteBody
from bulrushflow.configuration import ServiceBody
from bulrushflow.configuration import StartRollout
from bulrushflow.configuration import WithdrawRollout
from bulrushflow.configuration import digest
from bulrushflow.configuration import encode_record
from bulrushflow.configuration import fold_records
from bulrushflow.operators.history import Event
from bulrushflow.operators.history import History
from tests.configuration.strategies import LOGS

PLOTS = Configure(
    1, "p1", "ana", services={"plots": ServiceBody("v1")}, routes={"/plots": RouteBody("plots")}
)
DANGLING = Configure(1, "p2", "bor", routes={"/dues": RouteBody("dues")})
BAD_BODY = b'{"schema": 1, "publish_id": "b", "kind": "configure", "operator": "ana", "x": 1}'
START = StartRollout(1, "m", "ana", "plots", "v2", 99_999)
STEP = RecordRolloutStep(1, "m/step/10", "m", 10, "first step", "0 calls", "celje-1")
COMPLETION = FinishRollout(1, "m/done", "m", False, "no fault", "900 calls", "celje-1")
ROLLBACK = FinishRollout(1, "m/taken-back", "m", True, "errors", "9 of 10 failed", "celje-2")
WITHDRAW = WithdrawRollout(1, "w", "bor", "m", "wrong version")


def log_records(*records: Record | bytes) -> list[LogRecord]:
    bodies = [r if isinstance(r, bytes) else encode_record(r) for r in records]
    return [LogRecord(i, 1000 + i, body) for i, body in enumerate(bodies)]


def events(*records: Record | bytes) -> list[Event]:
    history = History(EMPTY_CONFIGURATION)
    for record in log_records(*records):
        history.add(record)
    return history.events()


class HistoryTests(unittest.TestCase):
    def test_each_event_names_its_author_verdict_and_outcome(self) -> None:
        cases: dict[str, tuple[list[Record | bytes], str, str, str]] = {
            "in force": ([PLOTS], "operator ana", "accepted", "in force"),
            "dangling": ([PLOTS, DANGLING], "operator bor", "rejected: route '/dues'", ""),
            "repeat": ([PLOTS, PLOTS], "operator ana", "repeat of offset 0", ""),
            "malformed": ([b"{"], "", "rejected: ", ""),
            "bad body": ([BAD_BODY], "operator ana", "rejected: Object contains unknown", ""),
            "active": ([PLOTS, START], "operator ana", "accepted", "active"),
            "step": ([PLOTS, START, STEP], "node celje-1", "accepted", ""),
            "done": ([PLOTS, START, COMPLETION], "node celje-1", "accepted", "in force"),
            "lost race": ([PLOTS, START, ROLLBACK, WITHDRAW], "operator bor", "rejected: move", ""),
        }
        for name, (records, by, verdict, became) in cases.items():
            with self.subTest(name):
                last = events(*records)[-1]
                self.assertEqual(last.by, by)
                self.assertTrue(last.verdict.startswith(verdict), last.verdict)
                self.assertEqual(last.became, became)

    def test_the_event_of_a_rollout_has_its_end_and_that_offset(self) -> None:
        cases: dict[str, Record] = {
            "done: no fault, at offset 3": COMPLETION,
            "taken back: errors, at offset 3": ROLLBACK,
            "withdrawn: wrong version, at offset 3": WITHDRAW,
        }
        for expected, final in cases.items():
            with self.subTest(expected):
                self.assertEqual(events(PLOTS, START, STEP, final)[1].became, expected)

    def test_a_completed_rollout_replaces_the_service_s_version(self) -> None:
        became = events(PLOTS, START, COMPLETION)[0].became
        self.assertEqual(became, "replaced in part: service plots by offset 2")

    def test_records_from_one_that_needs_a_later_release_on_are_not_judged(self) -> None:
        levels = [EnableSchema(1, f"level-{n}", "ana", n) for n in (2, 3)]
        found = events(*levels, PLOTS, levels[0])
        self.assertEqual(found[0].verdict, "accepted")
        for event in found[1:]:
            self.assertIn("not judged: record 1: level 3 is above", event.verdict)

    def test_the_event_of_a_rollback_has_its_evidence(self) -> None:
        self.assertEqual(events(PLOTS, START, ROLLBACK)[-1].evidence, "9 of 10 failed")

    def test_records_before_the_first_known_state_have_the_verdicts_in_it(self) -> None:
        records = log_records(PLOTS, DANGLING, START)
        earlier = History(EMPTY_CONFIGURATION)
        for record in records[:2]:
            earlier.add(record)
        later = History(earlier.configuration)
        for record in records[1:]:
            later.add(record)
        verdicts = [e.verdict for e in later.events()]
        self.assertTrue(verdicts[0].startswith("rejected"), verdicts)
        self.assertEqual(verdicts[1], "accepted")


class HistoryProperties(unittest.TestCase):
    @settings(max_examples=60)
    @given(LOGS)
    def test_the_history_agrees_with_the_fold(self, log: list[LogRecord]) -> None:
        history = History(EMPTY_CONFIGURATION)
        for record in log:
            history.add(record)
        folded = fold_records(EMPTY_CONFIGURATION, log)
        current = folded.configuration
        self.assertEqual(digest(history.configuration), digest(current))
        verdicts_by_offset = {v.offset: v for v in current.verdicts_by_publish_id.values()}
        in_force = {s.offset for s in current.services_by_name.values()}
        in_force |= {route.offset for route in current.routes_by_path.values()}
        for event in history.events():
            verdict = verdicts_by_offset.get(event.offset)
            self.assertEqual(event.verdict == "accepted", bool(verdict and verdict.accepted))
            if event.offset > current.offset:
                self.assertIn("not judged", event.verdict)
            if event.offset in in_force:
                self.assertIn(event.became.split(":")[0], ("in force", "replaced in part"))
