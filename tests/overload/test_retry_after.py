import itertools
import random
import unittest

from bulrushflow.overload import OVERLOAD_RULES
from bulrushflow.overload import OriginLimits
from bulrushflow.overload import RetryPlanner
from bulrushflow.overload.origin import PROBE_INTERVAL_S
from tests.overload import loads
from tests.overload.replay import Job
from tests.overload.replay import Replay


class RetryPlannerTests(unittest.TestCase):
    def setUp(self) -> None:
        self.planner = RetryPlanner(random.Random(3))
        for i in range(200):
            self.planner.record_answer("s", i / 20)
        self.now = 10.0

    def waits(
        self, count: int, backlog_s: float = 0.3, useful_s: float = 0.0, left_s: float = 3.0
    ) -> list[float]:
        return [
            self.planner.wait_s("s", backlog_s, useful_s, left_s, self.now) for _ in range(count)
        ]

    # Callers that were refused together came back within the same 0.25 s and were refused again.
    def test_callers_get_successive_turns_behind_the_backlog(self) -> None:
        waits = self.waits(4)
        self.assertAlmostEqual(waits[0], 0.3)
        self.assertEqual(waits, sorted(waits))
        for before, after in itertools.pairwise(waits):
            self.assertAlmostEqual(after - before, 0.025, delta=0.01)

    def test_no_wait_is_longer_than_callers_honour(self) -> None:
        for left_s in (3.0, 0.9, 0.3):
            self.assertLessEqual(max(self.waits(50, left_s=left_s)), max(0.05, left_s / 3))

    def test_callers_without_a_turn_are_spread(self) -> None:
        waits = self.waits(90)[40:]
        self.assertGreater(max(waits) - min(waits), 0.4)
        self.assertGreaterEqual(min(waits), 0.25)

    # Turns after the latency objective were sure of a slot, and worth a tenth.
    def test_callers_that_can_be_in_time_come_back_while_they_can(self) -> None:
        self.assertLessEqual(max(self.waits(50, useful_s=0.6)), 0.6)

    # Promised to callers that couldn't wait so long, turns put off all later ones.
    def test_callers_that_get_no_turn_do_not_put_off_later_ones(self) -> None:
        self.waits(500)
        self.now += 1.0
        self.assertAlmostEqual(self.waits(1)[0], 0.3, delta=0.2)

    def test_a_service_without_answers_or_backlog_still_gets_a_wait(self) -> None:
        self.assertAlmostEqual(self.planner.wait_s("other", 0.0, 0.0, 3.0, self.now), 0.05)

    def test_callers_that_have_no_time_left_get_the_shortest_wait(self) -> None:
        self.assertEqual(self.planner.wait_s("other", 2.0, 0.0, 0.0, self.now), 0.05)


class OriginLimitsTests(unittest.TestCase):
    def setUp(self) -> None:
        self.limits = OriginLimits(random.Random(3))
        self.returns = self.limits.returns
        self.returns.configure(1, [("read", 0.98), ("inner", 0.327)])
        self.returns.record("read", 3.4, 0.0)
        self.returns.record("inner", 0.9, 0.0)

    def test_a_call_with_less_time_left_than_usual_returned(self) -> None:
        self.assertFalse(self.returns.record("read", 3.39, 1.0).returned)
        arrival = self.returns.record("read", 2.9, 1.0)
        self.assertTrue(arrival.returned)
        self.assertAlmostEqual(arrival.spent_s, 0.5)

    # Inner calls pass on the time that the call which makes them has left; they were sent once.
    def test_inner_calls_with_little_time_left_did_not_return(self) -> None:
        self.assertFalse(self.returns.record("inner", 0.3, 1.0).returned)

    def test_refused_calls_are_tried_elsewhere_for_an_eighth_of_the_objective(self) -> None:
        self.assertAlmostEqual(self.limits.retry_window_s("read", 0.98), 0.1225)
        self.assertAlmostEqual(self.limits.retry_window_s("inner", 0.327), 0.1635)

    def test_an_overloaded_service_is_probed_at_intervals(self) -> None:
        probes = [self.limits.may_probe("s", i * PROBE_INTERVAL_S / 10) for i in range(30)]
        self.assertIn(sum(probes), (3, 4))
        self.assertTrue(self.limits.may_probe("other", 0.0))


class ReplayTests(unittest.TestCase):
    # A third of the callers ignores the wait; the turns of the others must not suffer from it.
    def test_planned_returns_need_fewer_attempts_and_are_worth_no_less(self) -> None:
        results = []
        for planned in (False, True):
            planner = RetryPlanner(random.Random(3))

            def plan(job: Job, left_s: float, now: float, planner: RetryPlanner = planner) -> float:
                useful_s = job.born + job.kind.objective_s - now - job.kind.work_s
                return planner.wait_s(job.kind.service, 0.1, useful_s, left_s, now)

            def count(job: Job, now: float, planner: RetryPlanner = planner) -> None:
                planner.record_answer(job.kind.service, now)

            replay = Replay(
                loads.kinds(1.3),
                loads.TARGETS_BY_SERVICE,
                OVERLOAD_RULES,
                1,
                swing=0.55,
                impatient_fraction=1 / 3,
                retry_after=plan if planned else None,
                on_answer=count,
            )
            replay.run(8.0)
            refusals = sum(len(job.refused_after_s) for job in replay.jobs if not job.impatient)
            results.append((replay.worth(), refusals))
        (before, refusals_before), (after, refusals_after) = results
        self.assertGreater(after, before - 0.02)
        self.assertLess(refusals_after, refusals_before)
