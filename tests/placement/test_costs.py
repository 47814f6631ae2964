import random
import unittest

from bulrushflow.placement import CostHistogram
from bulrushflow.placement import CostModel
from bulrushflow.placement import RunningWork
from bulrushflow.placement.costs import DEFAULT_S
from bulrushflow.placement.costs import MAX_KEYS


class CostHistogramTests(unittest.TestCase):
    def setUp(self) -> None:
        rng = random.Random(4)
        self.histogram = CostHistogram()
        for _ in range(2000):
            tail = 6 if rng.random() < 0.03 else 1
            self.histogram.record(0.17 * tail * rng.lognormvariate(-0.125, 0.5))

    def test_the_mean_is_that_of_the_calls(self) -> None:
        self.assertAlmostEqual(self.histogram.mean_s, 0.195, delta=0.03)

    # A target whose calls ran for long counted as almost free, since calls mostly end sooner.
    def test_a_call_that_has_run_for_long_has_more_work_left_than_a_fresh_one(self) -> None:
        self.assertGreater(self.histogram.remaining_s(0.6), self.histogram.remaining_s(0.0))
        self.assertLess(self.histogram.remaining_s(0.1), self.histogram.remaining_s(0.0))

    def test_a_call_beyond_all_known_ones_needs_as_long_again(self) -> None:
        self.assertEqual(self.histogram.remaining_s(60.0), 60.0)

    def test_a_target_that_became_slower_is_followed(self) -> None:
        for _ in range(2000):
            self.histogram.record(1.0)
        self.assertGreater(self.histogram.mean_s, 0.9)

    def test_without_a_call_the_default_is_assumed(self) -> None:
        self.assertEqual(CostHistogram().remaining_s(0.0), DEFAULT_S)


class CostModelTests(unittest.TestCase):
    def setUp(self) -> None:
        self.model = CostModel()
        rng = random.Random(4)
        for i in range(1200):
            organisation, path = f"o-{i % 3}", f"/a/{i % 2}/{i}"
            base_s = 0.4 if organisation == "o-2" else 0.1
            self.model.record("r", organisation, path, base_s * rng.uniform(0.8, 1.2))

    def mean_s(self, organisation: str, path: str = "/a/0/x") -> float:
        return self.model.histogram("r", organisation, path).mean_s

    def test_an_attribute_that_predicts_the_cost_decides(self) -> None:
        self.assertAlmostEqual(self.mean_s("o-2"), 0.4, delta=0.05)
        self.assertAlmostEqual(self.mean_s("o-0"), 0.1, delta=0.02)

    def test_without_a_predicting_attribute_the_route_decides(self) -> None:
        self.assertAlmostEqual(self.mean_s("unknown"), 0.2, delta=0.05)
        self.assertAlmostEqual(self.model.route_mean_s("r"), 0.2, delta=0.05)

    # Each path of a caller that numbers its objects would have a distribution of its own.
    def test_the_number_of_distributions_is_bounded(self) -> None:
        for i in range(MAX_KEYS * 2):
            self.model.record("r", f"x-{i}", f"/{i}/y", 0.1)
        self.assertLessEqual(len(self.model._by_key), MAX_KEYS)
        self.assertAlmostEqual(self.mean_s("o-2"), 0.4, delta=0.05)


class RunningWorkTests(unittest.TestCase):
    def setUp(self) -> None:
        self.histogram = CostHistogram()
        for _ in range(100):
            self.histogram.record(0.2)
        self.work = RunningWork()

    def test_work_is_that_of_running_and_waiting_calls_per_slot(self) -> None:
        for _ in range(2):
            self.work.begin(self.histogram, 10.0)
        report = self.work.report(4, 2, 0.0, 0.2, 10.0)
        self.assertAlmostEqual(report.work_s, 0.1, delta=0.02)
        self.assertEqual((report.free_slots, report.wait_s), (2, 0.0))

    # A report of a target with a thousand slots took milliseconds, with each answer.
    def test_the_sum_over_many_calls_is_used_again_for_a_moment(self) -> None:
        for _ in range(100):
            self.work.begin(self.histogram, 10.0)
        before = self.work.report(100, 0, 0.0, 0.2, 10.0)
        self.work.begin(self.histogram, 10.0)
        self.assertEqual(self.work.report(100, 0, 0.0, 0.2, 10.01).work_s, before.work_s)
        self.assertNotEqual(self.work.report(100, 0, 0.0, 0.2, 10.1).work_s, before.work_s)

    def test_a_call_waits_for_those_before_it_and_the_next_slot(self) -> None:
        numbers = [self.work.begin(self.histogram, 10.0) for _ in range(4)]
        report = self.work.report(4, 0, 0.4, 0.2, 10.0)
        self.assertAlmostEqual(report.wait_s, 0.15, delta=0.02)
        for number in numbers:
            self.work.end(number)
        self.assertEqual(self.work.report(4, 4, 0.0, 0.2, 10.0).work_s, 0.0)
