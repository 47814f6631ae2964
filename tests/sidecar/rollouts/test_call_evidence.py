"""What the calls to the own target count as."""

import random
import unittest

from msgspec.structs import replace

from bulrushflow.rollouts import ExposureLimits
from bulrushflow.rollouts import RouteCounts
from bulrushflow.routing import CallFailure
from bulrushflow.routing import Outcome
from bulrushflow.routing import Response
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.model import RolloutOrder
from bulrushflow.sidecar.rollouts.call_evidence import CallEvidence
from bulrushflow.sidecar.rollouts.tracker import Rollouts
from tests.sidecar.samples import call
from tests.sidecar.samples import target

ORDER = RolloutOrder("statements", "v2", 15.0, 7)
OK = Response(200, (), b"").as_result()


class Clock:
    def __init__(self) -> None:
        self.ms = 100_000

    def monotonic(self) -> float:
        return self.ms / 1000

    def wall_ms(self) -> int:
        return self.ms


class CallEvidenceTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.rollouts = Rollouts("n-1", 1, DecisionLog(), random.Random(3), ExposureLimits(0.1, 50))
        self.rollouts.apply_order(ORDER, 0.0)
        self.target = target(version="v2")
        self.clock = Clock()
        self.evidence = CallEvidence(
            self.rollouts, lambda: self.target, lambda: float("-inf"), self.clock
        )

    def counts(self) -> RouteCounts:
        rollout = self.rollouts.by_service["statements"]
        return self.rollouts.local_evidence(rollout).counts_by_version_route["v2", "r"]

    def run_call(self, seconds: float, warm_at_ms: int) -> None:
        """Run a call; the target says ``warm_at_ms`` before it ends."""
        self.evidence.record_sent(call(version="v2"))
        self.clock.ms += int(seconds * 1000)
        self.target = replace(self.target, warm_at_ms=warm_at_ms)
        self.evidence.record_result(call(version="v2"), OK, seconds)

    # A good version looked slower: calls that began while its targets were cold counted as those of
    # warm ones if they ended after the targets had become warm.
    async def test_a_call_that_began_while_the_target_was_cold_is_not_compared(self) -> None:
        self.target = replace(self.target, warm_at_ms=self.clock.ms + 500)
        self.run_call(0.8, self.target.warm_at_ms)
        self.assertEqual(sum(self.counts().latency_buckets), 0)
        self.run_call(0.8, 0)
        self.assertEqual(sum(self.counts().latency_buckets), 1)

    async def test_an_announcement_that_the_target_is_warm_does_not_concern_earlier_calls(
        self,
    ) -> None:
        self.target = replace(self.target, warm_at_ms=self.clock.ms + 500)
        self.run_call(0.8, 0)
        self.assertEqual(sum(self.counts().latency_buckets), 0)

    async def test_a_target_that_turns_cold_during_a_call_excludes_it(self) -> None:
        self.run_call(0.8, self.clock.ms + 3_000)
        self.assertEqual(sum(self.counts().latency_buckets), 0)

    async def test_another_run_of_the_target_has_its_own_cold_period(self) -> None:
        self.target = replace(self.target, warm_at_ms=self.clock.ms + 60_000)
        self.run_call(0.1, self.target.warm_at_ms)
        self.target = replace(self.target, incarnation=2, warm_at_ms=0)
        self.run_call(0.1, 0)
        self.assertEqual(sum(self.counts().latency_buckets), 1)

    async def test_failures_are_told_apart(self) -> None:
        lost = CallFailure(Outcome.UNKNOWN, "connection lost", True).as_result()
        results = (OK, Response(500, (), b"").as_result(), Response(504, (), b"").as_result(), lost)
        for result in (*results, None):
            self.evidence.record_result(call(version="v2"), result, 0.1)
        counts = self.counts()
        self.assertEqual((counts.calls, counts.classified, counts.errors), (5, 5, 3))
        self.assertEqual((counts.returned, counts.unanswered), (1, 2))
