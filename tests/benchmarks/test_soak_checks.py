"""Each check of the soak reports a violation of its rule, and nothing in an allowed case."""

import typing as t
import unittest

from msgspec.structs import replace

from benchmarks.soak.checks import MAX_CUT_ELSEWHERE
from benchmarks.soak.checks import find_violations
from benchmarks.soak.events import Call
from benchmarks.soak.events import Change
from benchmarks.soak.events import Record
from benchmarks.soak.events import Reload
from benchmarks.soak.events import Run
from benchmarks.soak.events import Stop
from benchmarks.soak.report import timelines
from benchmarks.soak.schedule import draw_plan

GRACE_S = 6.0
DIGEST = 7
ANSWERED = Call(
    "a",
    "download",
    False,
    "n1",
    10.0,
    5.0,
    True,
    ended_at=11.0,
    status=200,
    complete=True,
    response_id="a",
    signed=True,
    received_bytes=9,
    digest=DIGEST,
)
CUT = replace(ANSWERED, ended_at=14.3, complete=False, digest=0)
UNSAFE = replace(ANSWERED, route="book", unsafe=True)
REFUSED = replace(UNSAFE, status=503, signed=False)
RAN = Run("a", "t1", 10.1, DIGEST, 10.3)
SIGTERM = Stop("n1", 9.0, 14.5, 0)
CHANGE = Change(0.0, {"download": 6.0, "book": 4.0})


def rules(*calls: Call, runs: t.Sequence[Run] = (RAN,), **events: t.Any) -> list[str]:
    """Return the rules that a record of these events breaks."""
    record = Record(GRACE_S, list(calls), list(runs), changes=[CHANGE])
    for name, value in events.items():
        setattr(record, name, value)
    return [violation.rule for violation in find_violations(record)]


class LostTests(unittest.TestCase):
    def lost(self, call: Call, runs: t.Sequence[Run] = (RAN,), stop: Stop = SIGTERM) -> bool:
        return "LOST" in rules(call, runs=runs, stops=[stop])

    def test_a_response_cut_during_a_stop_is_lost(self) -> None:
        self.assertTrue(self.lost(CUT))
        self.assertFalse(self.lost(ANSWERED))

    def test_a_call_without_any_response_is_lost(self) -> None:
        self.assertTrue(self.lost(replace(CUT, status=0)))

    def test_a_request_that_crosses_the_close_is_not_lost(self) -> None:
        crossed = replace(CUT, status=0, ended_at=CUT.sent_at + 0.1)
        self.assertFalse(self.lost(crossed, runs=()))
        self.assertTrue(self.lost(replace(crossed, ended_at=CUT.sent_at + 0.3), runs=()))
        self.assertTrue(self.lost(replace(crossed, ended_at=CUT.sent_at + 0.15)))

    def test_a_refused_call_is_not_lost(self) -> None:
        self.assertFalse(self.lost(replace(ANSWERED, status=503, signed=False), runs=()))

    def test_a_call_of_another_node_is_not_lost(self) -> None:
        self.assertFalse(self.lost(CUT, stop=replace(SIGTERM, node="n2")))

    def test_a_call_that_ended_long_after_the_stop_is_not_lost(self) -> None:
        self.assertFalse(self.lost(CUT, stop=replace(SIGTERM, at=1.0, ended_at=5.0)))

    def test_a_call_at_its_deadline_is_not_lost(self) -> None:
        self.assertFalse(self.lost(replace(CUT, timeout_s=4.3)))
        self.assertTrue(self.lost(replace(CUT, timeout_s=4.5)))

    def test_a_call_at_its_routes_timeout_is_not_lost(self) -> None:
        shorter = Change(5.0, {"download": 4.0, "book": 4.0})
        longer = Change(9.0, {"download": 8.0, "book": 4.0})
        changes = [CHANGE, shorter, longer]
        self.assertEqual(rules(CUT, stops=[SIGTERM], changes=changes), [])
        # The shorter timeout was superseded before the call by more than a change takes.
        changes = [CHANGE, shorter, replace(longer, at=7.0)]
        self.assertEqual(rules(CUT, stops=[SIGTERM], changes=changes), ["LOST"])

    def test_a_target_at_work_late_in_the_grace_period_excuses_calls_sent_early(self) -> None:
        working = [replace(RAN, ended_at=None)]
        self.assertFalse(self.lost(CUT, runs=working))
        self.assertTrue(self.lost(replace(CUT, ended_at=13.9), runs=working))
        late = replace(CUT, sent_at=12.1)
        self.assertTrue(self.lost(late, runs=[replace(RAN, started_at=12.2, ended_at=None)]))

    def test_an_answer_of_the_node_for_a_running_call_is_lost(self) -> None:
        answered = replace(ANSWERED, status=502, signed=False, ended_at=12.0)
        self.assertTrue(self.lost(answered, runs=[replace(RAN, ended_at=None)]))
        self.assertTrue(self.lost(answered, runs=[replace(RAN, ended_at=12.5)]))
        self.assertFalse(self.lost(answered))
        self.assertFalse(self.lost(replace(answered, ended_at=14.2), [replace(RAN, ended_at=None)]))

    def test_a_call_cut_after_a_reload_is_lost(self) -> None:
        self.assertEqual(rules(CUT, reloads=[Reload("n1", 9.0)]), ["LOST"])
        self.assertEqual(rules(CUT, reloads=[Reload("n1", 7.0)]), [])
        self.assertEqual(rules(CUT, reloads=[Reload("n2", 9.0)]), [])

    def test_calls_cut_without_planned_work_are_lost_if_they_are_many(self) -> None:
        cut = replace(CUT, status=0)
        self.assertEqual(rules(*[cut] * MAX_CUT_ELSEWHERE), [])
        many = [cut] * (MAX_CUT_ELSEWHERE + 1)
        self.assertEqual(set(rules(*many)), {"LOST"})
        self.assertEqual(rules(*[replace(cut, kept=False)] * len(many)), [])


class RuleTests(unittest.TestCase):
    def test_an_unsafe_call_that_runs_twice(self) -> None:
        again = replace(RAN, target="t2")
        self.assertEqual(rules(UNSAFE, runs=[RAN, again]), ["TWICE"])
        self.assertEqual(rules(UNSAFE), [])
        self.assertEqual(rules(ANSWERED, runs=[RAN, again]), [])

    def test_an_unsafe_call_that_is_refused_and_runs(self) -> None:
        for status in (408, 421, 429, 503):
            self.assertEqual(rules(replace(REFUSED, status=status)), ["REFUSED"])
        self.assertEqual(rules(REFUSED, runs=[]), [])
        self.assertEqual(rules(replace(REFUSED, status=502)), [])

    def test_a_success_with_a_wrong_body(self) -> None:
        self.assertEqual(rules(replace(ANSWERED, digest=8)), ["MIXED"])
        self.assertEqual(rules(replace(ANSWERED, response_id="b")), ["MIXED"])
        self.assertEqual(rules(replace(ANSWERED, signed=False)), ["MIXED"])
        self.assertEqual(rules(ANSWERED, runs=[]), ["MIXED"])
        self.assertEqual(rules(ANSWERED), [])

    def test_an_allowed_call_that_is_denied(self) -> None:
        for status in (401, 403, 404):
            self.assertEqual(rules(replace(REFUSED, status=status), runs=[]), ["DENIED"])

    def test_a_process_that_ends_by_itself_fails_or_has_to_be_killed(self) -> None:
        self.assertEqual(rules(unplanned_exits=["n1 ended"]), ["EXIT"])
        self.assertEqual(rules(stops=[replace(SIGTERM, exit_status=1)]), ["EXIT"])
        self.assertEqual(rules(stops=[replace(SIGTERM, exit_status=-9, killed=True)]), ["EXIT"])
        self.assertEqual(rules(stops=[SIGTERM]), [])


class PlanTests(unittest.TestCase):
    def test_a_seed_always_gives_the_same_plan(self) -> None:
        self.assertEqual(draw_plan(3, 16, 25.0, GRACE_S), draw_plan(3, 16, 25.0, GRACE_S))
        self.assertNotEqual(draw_plan(3, 16, 25.0, GRACE_S), draw_plan(4, 16, 25.0, GRACE_S))

    def test_stops_overlap_and_begin_a_grace_period_before_the_end(self) -> None:
        for seed in range(20):
            plan = draw_plan(seed, 16, 25.0, GRACE_S)
            first, second = plan.stops[:2]
            self.assertLess(second.at - first.at, GRACE_S)
            for at in [*(step.at for step in (*plan.stops, *plan.reloads)), *plan.changes]:
                self.assertLess(at, plan.seconds - GRACE_S)


class ReportTests(unittest.TestCase):
    def test_a_violation_is_shown_with_its_calls_events(self) -> None:
        record = Record(GRACE_S, [CUT], [RAN], [SIGTERM], changes=[CHANGE])
        text = "\n".join(timelines(record, find_violations(record)))
        for expected in ("SIGTERM", "sent to n1", "t1 runs it", "in the middle of the answer"):
            self.assertIn(expected, text)
