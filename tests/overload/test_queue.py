import functools
import statistics
import unittest

from bulrushflow.overload import OVERLOAD_RULES
from bulrushflow.overload import PLAIN_RULES
from bulrushflow.overload import CallQueue
from bulrushflow.overload import QueueRules
from bulrushflow.overload import ServiceTimes
from bulrushflow.overload import SlotRequest
from bulrushflow.sidecar.calls.rate_limit import RateLimit
from tests.overload import loads
from tests.overload.replay import Kind
from tests.overload.replay import Replay

SEEDS = (1, 2)


class Waiting:
    """What waits for a slot."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.left = False

    def done(self) -> bool:
        return self.left


class CallQueueTests(unittest.TestCase):
    def setUp(self) -> None:
        self.times = ServiceTimes()
        for route, seconds in (("inner", 0.05), ("outer", 0.2)):
            self.times.record(route, seconds)
        self.queue: CallQueue[Waiting] = CallQueue(self.times, OVERLOAD_RULES)

    def request(
        self,
        route: str = "outer",
        priority: int = 0,
        objective_s: float = 1.0,
        organisation: str = "",
        returned: bool = False,
    ) -> SlotRequest:
        return SlotRequest(route, priority, objective_s, 3.0, organisation, returned)

    def push(self, name: str, request: SlotRequest, slots: int = 50) -> str | None:
        """Queue a call in front of ``slots`` slots in use; return why it is refused."""
        self.queue.record_arrival(request, 0.0)
        placed = self.queue.place(request, 0.0, slots, slots * 4, RateLimit())
        if placed.is_err():
            return placed.unwrap_err()
        self.queue.push(request, placed.unwrap(), Waiting(name))
        return None

    def order(self) -> list[str]:
        names = []
        while (call := self.queue.pop(0.0)) is not None:
            names.append(call.waiter.name)
        return names

    def test_inner_calls_go_first_then_urgent_ones_then_those_with_the_earliest_start(self) -> None:
        self.push("c", self.request(priority=1, objective_s=0.5))
        self.push("b", self.request(objective_s=0.9))
        self.push("a", self.request(objective_s=0.7))
        self.push("inner", self.request("inner", priority=1, objective_s=0.3))
        self.assertEqual(self.order(), ["inner", "a", "b", "c"])

    # Service times of a slow target's routes overlap, and its inner calls went behind outer ones.
    def test_an_inner_call_is_recognised_by_its_objective_too(self) -> None:
        for _ in range(40):
            self.times.record("inner", 0.19)
        self.push("outer", self.request(objective_s=0.9))
        self.push("inner", self.request("inner", objective_s=0.3))
        self.assertEqual(self.order(), ["inner", "outer"])

    def test_a_call_that_can_not_be_in_time_goes_behind_all_that_can(self) -> None:
        self.push("late", self.request(objective_s=0.1))
        self.push("least urgent", self.request(priority=5))
        self.assertEqual(self.order(), ["least urgent", "late"])

    def test_a_returned_call_goes_before_a_new_one_of_its_kind(self) -> None:
        self.push("new", self.request(objective_s=0.9))
        self.push("returned", self.request(returned=True))
        self.push("urgent", self.request(priority=-1))
        self.assertEqual(self.order(), ["urgent", "returned", "new"])

    def test_calls_beyond_an_organisations_share_go_last_of_their_kind(self) -> None:
        for tick in range(2400):
            for name in ("usual", "other"):
                self.queue.record_arrival(self.request(organisation=name), tick / 10 - 241)
        for _ in range(40):
            self.queue.record_arrival(self.request(organisation="usual"), -0.5)
        self.push("beyond", self.request(organisation="usual", objective_s=0.8))
        self.push("within", self.request(organisation="other"))
        self.push("less urgent", self.request(priority=1, organisation="other"))
        self.assertEqual(self.order(), ["within", "beyond", "less urgent"])

    def test_a_call_is_refused_at_once_if_its_wait_is_beyond_an_eighth_of_its_objective(
        self,
    ) -> None:
        self.assertIsNone(self.push("first", self.request(), slots=2))
        self.assertRegex(
            str(self.push("second", self.request(), slots=2)), "expected in 0.1.* at most 0.125 s"
        )
        self.assertIsNone(self.push("inner", self.request("inner", objective_s=0.3), slots=2))

    # Refused at once, calls of the least urgent kind never reached the queue that keeps its share.
    def test_the_least_urgent_kind_is_admitted_while_it_has_credit(self) -> None:
        low = self.request(priority=1)
        self.queue.record_start(low)
        for i in range(3):
            self.push(f"high-{i}", self.request(), slots=5)
        self.assertIsNotNone(self.push("low", low, slots=5))
        for _ in range(8):
            self.queue.record_start(self.request())
        self.assertIsNone(self.push("low", low, slots=5))
        self.assertIsNotNone(self.push("another", low, slots=5))
        self.assertEqual(self.order()[0], "low")

    def test_calls_that_left_are_neither_counted_nor_returned(self) -> None:
        self.push("gone", self.request())
        self.queue._waiting[0].waiter.left = True
        self.assertEqual((len(self.queue), self.order()), (0, []))

    def test_without_the_rules_calls_of_one_priority_go_in_order_of_arrival(self) -> None:
        self.queue = CallQueue(self.times, PLAIN_RULES)
        self.push("first", self.request(organisation="o", objective_s=0.9))
        self.push("second", self.request(returned=True, objective_s=0.8))
        self.assertEqual(self.order(), ["first", "second"])


class ReplayTests(unittest.TestCase):
    """Load that the queue is made for, against the rules that deployments had before."""

    @staticmethod
    @functools.cache
    def replay(
        rules: QueueRules, seed: int, load: float, impatient_fraction: float = 0.0
    ) -> Replay:
        replay = Replay(
            loads.kinds(load),
            loads.TARGETS_BY_SERVICE,
            rules,
            seed,
            swing=0.55,
            slow_fraction=0.15,
            impatient_fraction=impatient_fraction,
        )
        replay.run(8.0)
        return replay

    def mean_worth(self, rules: QueueRules, load: float, impatient_fraction: float = 0.0) -> float:
        return statistics.mean(
            self.replay(rules, seed, load, impatient_fraction).worth() for seed in SEEDS
        )

    def test_demand_that_swings_past_the_capacity_is_worth_more(self) -> None:
        self.assertGreater(
            self.mean_worth(OVERLOAD_RULES, 1.3), self.mean_worth(PLAIN_RULES, 1.3) + 0.02
        )

    def test_callers_that_return_at_once_do_not_make_the_rest_worth_less(self) -> None:
        self.assertGreater(
            self.mean_worth(OVERLOAD_RULES, 1.3, 1 / 3), self.mean_worth(PLAIN_RULES, 1.3, 1 / 3)
        )

    def test_no_kind_of_call_starves(self) -> None:
        for seed in SEEDS:
            replay = self.replay(OVERLOAD_RULES, seed, 1.3)
            for kind in ("read", "write", "download"):
                self.assertGreater(replay.served(kind=kind), replay.served() / 4)

    def test_refusals_come_within_an_eighth_of_the_objective(self) -> None:
        replay = self.replay(OVERLOAD_RULES, 1, 1.3)
        jobs = [job for job in replay.jobs if job.refused_after_s and not job.parent]
        first_s = [job.refused_after_s[0] / job.kind.objective_s for job in jobs]
        self.assertGreater(len(jobs), 100)
        self.assertLess(statistics.quantiles(first_s, n=20)[-1], 0.18)

    # Outer calls held their slots while their inner calls waited behind other outer ones.
    def test_inner_calls_are_answered_while_outer_ones_are_refused(self) -> None:
        replay = self.replay(OVERLOAD_RULES, 2, 1.3)
        inner = [job for job in replay.jobs if job.parent]
        self.assertGreater(sum(job.in_time for job in inner) / len(inner), 0.9)

    def test_an_organisation_with_many_times_its_load_bears_the_cost(self) -> None:
        names = ["big", *(f"o-{number}" for number in range(9))]
        kind = Kind("read", "one", 110.0, 0.17, 0.98, 3.4, 1.5)
        replay = Replay([kind], {"one": 5}, OVERLOAD_RULES, 1, origins=8, organisations=names)
        replay.surges["big"] = (20.0, 26.5, 7.5)
        replay.run(27.0)
        during = [job for job in replay.jobs if 20.0 <= job.born < 26.5]
        lost = {
            is_big: statistics.mean(
                not job.in_time for job in during if (job.organisation == "big") == is_big
            )
            for is_big in (True, False)
        }
        self.assertGreater(lost[True], 0.2)
        self.assertLess(lost[False], lost[True] / 3)
