"""Tests of the attempts, retries and choice of targets for one call."""

import asyncio
import random
import typing as t
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from bulrushflow.callers import Dispatcher
from bulrushflow.configuration import Configuration
from bulrushflow.configuration import Service
from bulrushflow.membership import Member
from bulrushflow.membership import MemberTable
from bulrushflow.membership import Target
from bulrushflow.membership import TargetState
from bulrushflow.metrics import Metrics
from bulrushflow.nodes.forwarding import LoadReport
from bulrushflow.rollouts import SharedRollouts
from bulrushflow.routing import MAX_ATTEMPTS
from bulrushflow.routing import Call
from bulrushflow.routing import CallResult
from bulrushflow.routing import Outcome
from bulrushflow.routing import Response
from bulrushflow.routing import not_run
from bulrushflow.routing import unknown
from tests.targets.servers import call

ANSWERED = Response(200, (), b"").as_result()
CONFIGURATION = Configuration(services_by_name={"payments": Service("payments", "v1")})


class FakeNodes:
    """Stands for the own admission controller and the other nodes; returns given results."""

    load = 0
    capacity = 0

    def __init__(self, results: t.Sequence[CallResult]) -> None:
        self.attempts: list[tuple[str, int]] = []
        self.may_have_run = 0
        self._results = list(results)

    async def send(self, member: Member, call: Call) -> tuple[CallResult, LoadReport | None]:
        """See :class:`Forwarding`."""
        self.attempts.append((member.node_id, call.attempt))
        result = self._results.pop(0) if self._results else not_run("full")
        if result.is_ok() or result.unwrap_err().outcome is Outcome.UNKNOWN:
            self.may_have_run += 1
        return result, LoadReport(0, 10)


def dispatcher(nodes: FakeNodes, targets: int) -> Dispatcher:
    """Return a dispatcher whose member table has ``targets`` other nodes with a ready target."""
    table = MemberTable(Member("own", "near", "127.0.0.1", 1, 0))
    ready = Target("payments", "v1", TargetState.READY, 10)
    for i in range(targets):
        table.merge(Member(str(i), "near", "127.0.0.1", 1, 0, target=ready), 0.0)
    rng = random.Random(1)
    other: t.Any = nodes
    return Dispatcher(table, SharedRollouts(), other, other, Metrics(10), rng)


class DispatcherTests(unittest.IsolatedAsyncioTestCase):
    async def test_retries_go_to_other_targets_with_the_attempt_number(self) -> None:
        nodes = FakeNodes([not_run("full"), not_run("full"), ANSWERED])
        result = await dispatcher(nodes, 3).dispatch(CONFIGURATION, call())
        self.assertTrue(result.is_ok())
        self.assertEqual({node_id for node_id, _ in nodes.attempts}, {"0", "1", "2"})
        self.assertEqual([attempt for _, attempt in nodes.attempts], [0, 1, 2])

    async def test_only_target_is_retried_after_a_backoff(self) -> None:
        nodes = FakeNodes([not_run("full"), ANSWERED])
        result = await dispatcher(nodes, 1).dispatch(CONFIGURATION, call())
        self.assertTrue(result.is_ok())
        self.assertEqual(len(nodes.attempts), 2)

    async def test_call_without_a_ready_target_is_not_run(self) -> None:
        result = await dispatcher(FakeNodes([]), 0).dispatch(CONFIGURATION, call())
        self.assertIs(result.unwrap_err().outcome, Outcome.NOT_RUN)

    async def test_retries_are_bounded_by_the_retry_budget(self) -> None:
        nodes = FakeNodes([])
        busy = dispatcher(nodes, 2)
        for _ in range(200):
            await busy.dispatch(CONFIGURATION, call())
        self.assertLess(len(nodes.attempts), 200 * 1.1 + 20 + 1)

    async def test_target_that_fails_immediately_is_not_considered_idle(self) -> None:
        nodes = FakeNodes([not_run("no connection"), *[ANSWERED] * 50])
        balanced = dispatcher(nodes, 2)
        for _ in range(20):
            await balanced.dispatch(CONFIGURATION, call())
        failing = nodes.attempts[0][0]
        self.assertNotIn(failing, [node_id for node_id, _ in nodes.attempts[1:]])

    async def test_call_past_its_deadline_is_not_sent(self) -> None:
        nodes = FakeNodes([ANSWERED])
        result = await dispatcher(nodes, 1).dispatch(CONFIGURATION, call(timeout_s=0.0))
        self.assertIs(result.unwrap_err().outcome, Outcome.REFUSED)
        self.assertEqual(nodes.attempts, [])


class AtMostOnceTests(unittest.TestCase):
    @settings(max_examples=60)
    @given(
        st.lists(st.sampled_from(["not run", "unknown", "answered"]), max_size=6),
        st.integers(1, 4),
        st.booleans(),
        st.integers(0, 2),
    )
    def test_call_that_may_have_run_is_retried_only_when_idempotent(
        self, outcomes: list[str], targets: int, idempotent: bool, attempt: int
    ) -> None:
        results_by_name = {"not run": not_run(""), "unknown": unknown(""), "answered": ANSWERED}
        nodes = FakeNodes([results_by_name[name] for name in outcomes])

        async def dispatch() -> CallResult:
            attempted = call(idempotent=idempotent, attempt=attempt)
            return await dispatcher(nodes, targets).dispatch(CONFIGURATION, attempted)

        result = asyncio.run(dispatch())
        self.assertLessEqual(len(nodes.attempts), MAX_ATTEMPTS)
        if not idempotent or attempt:
            self.assertLessEqual(nodes.may_have_run, 1)
        if result.is_err() and result.unwrap_err().outcome is not Outcome.UNKNOWN:
            self.assertEqual(nodes.may_have_run, 0)
