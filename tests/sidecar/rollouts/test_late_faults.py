"""Faults that a version shows after the analysis found it healthy."""

import random
import typing as t
import unittest

from msgspec.structs import replace

from bulrushflow.rollouts import ExposureLimits
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.model import RolloutOrder
from bulrushflow.sidecar.model import RolloutPhase
from bulrushflow.sidecar.model import RolloutStatus
from bulrushflow.sidecar.rollouts.tracker import Rollouts
from tests.sidecar.samples import call

ROLLBACK_S = 5.0
"""Time after the last tolerated bad response in which a version has to be rolled back."""
TOLERATED_BAD_RESPONSES = 50
NOTICE_S = 1.0
"""Part of :data:`ROLLBACK_S` left for the notice of a rollback and for the calls in flight."""
ORDER = RolloutOrder("statements", "v2", 14.0, 7)
COMPLETED = RolloutStatus("statements", "v2", 7, 5, 1000, RolloutPhase.COMPLETED, 0, 14_000)
CHECK_S = 0.25
NODES = 5
"""Nodes whose targets have the new version."""


class LateFaultTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.rng = random.Random(4)
        self.nodes = [
            Rollouts(f"n-{i}", 1, DecisionLog(), self.rng, ExposureLimits(0.1, 50))
            for i in range(NODES)
        ]
        self.now = 0.0
        self.bad_responses = 0
        for node in self.nodes:
            node.apply_order(ORDER, 0.0)
            node.apply_status(
                replace(COMPLETED, step=3, share_permille=800, phase=RolloutPhase.RUNNING), 0.0
            )

    def complete(self) -> None:
        for node in self.nodes:
            node.apply_status(COMPLETED, self.now, recorded=True)

    def play(
        self,
        seconds: float,
        bad_share: t.Callable[[int], float],
        calls_per_s: float = 60.0,
        old_calls_per_s: float = 0.0,
        attributable: bool = True,
    ) -> float | None:
        """Serve calls for some seconds; return when the version was found to be faulty.

        :param bad_share: fraction of bad responses at a node.
        :param calls_per_s: calls to the new version at each node.
        """
        end = self.now + seconds
        analysing = self.nodes[0]
        while self.now < end:
            self.now += CHECK_S
            for i, node in enumerate(self.nodes):
                for _ in range(round(calls_per_s * CHECK_S)):
                    bad = self.rng.random() < bad_share(i)
                    self.bad_responses += bad
                    node.observe_call(call(version="v2"), bad, 0.2, False, attributable)
                for _ in range(round(old_calls_per_s * CHECK_S)):
                    node.observe_call(call(version="v1"), self.rng.random() < 0.01, 0.2, False)
                evidence = node.local_evidence(node.by_service["statements"])
                analysing.merge_evidence(evidence, self.now)
            rollout = analysing.by_service["statements"]
            if analysing.update_analysis(rollout, self.now, NODES) is not None:
                return self.now
        return None

    def assert_rolled_back_in_time(self) -> None:
        before = self.bad_responses
        started_at = self.now
        while self.bad_responses - before < TOLERATED_BAD_RESPONSES:
            found_at = self.play(CHECK_S, lambda node: 0.5)
            if found_at is not None:
                return
            self.assertLess(self.now, started_at + 60, "bad responses were served")
        self.assertIsNotNone(
            self.play(ROLLBACK_S - NOTICE_S, lambda node: 0.5),
            f"{self.bad_responses - before} bad responses",
        )

    # A version that failed just after its completion was never rolled back.
    async def test_a_version_that_turns_bad_after_its_completion_is_rolled_back(self) -> None:
        self.assertIsNone(self.play(6.0, lambda node: 0.01, old_calls_per_s=15.0))
        self.complete()
        self.assertIsNone(self.play(6.0, lambda node: 0.01))
        self.assert_rolled_back_in_time()

    # Without calls to the old version, the analysis waited 20 s for some.
    async def test_a_fault_at_the_full_share_is_found_without_calls_to_the_old_version(
        self,
    ) -> None:
        self.assertIsNone(self.play(6.0, lambda node: 0.01, old_calls_per_s=15.0))
        self.assert_rolled_back_in_time()

    async def test_faults_of_fewer_than_half_of_the_targets_leave_a_completed_version(self) -> None:
        self.complete()
        self.assertIsNone(self.play(6.0, lambda node: 0.01))
        self.assertIsNone(self.play(20.0, lambda node: 0.5 if node < NODES // 2 else 0.01))

    # Targets that ended counted as free of errors, so that no fault of the others was seen.
    async def test_a_fault_is_found_though_most_targets_have_ended(self) -> None:
        self.complete()
        self.assertIsNone(self.play(6.0, lambda node: 0.01))
        analysing = self.nodes[0]
        del self.nodes[2:]
        self.assertIs(analysing, self.nodes[0])
        self.assertIsNone(self.play(8.0, lambda node: 0.01))
        self.assert_rolled_back_in_time()

    # Without an old version to compare with, an overload looks like a fault of the version.
    async def test_failures_with_another_possible_cause_leave_a_completed_version(self) -> None:
        self.complete()
        self.assertIsNone(self.play(6.0, lambda node: 0.01))
        self.assertIsNone(self.play(20.0, lambda node: 0.7, attributable=False))

    async def test_a_service_with_many_errors_stays_completed(self) -> None:
        self.assertIsNone(self.play(6.0, lambda node: 0.01, old_calls_per_s=15.0))
        self.complete()
        self.assertIsNone(self.play(60.0, lambda node: 0.05))
