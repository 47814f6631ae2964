"""Tests of calls forwarded between two nodes over loopback."""

import asyncio
import random
import unittest

from bulrushflow.membership import Member
from bulrushflow.nodes import Forwarding
from bulrushflow.nodes.forwarding import MAX_RESPONSE_MARGIN_S
from bulrushflow.routing import Call
from bulrushflow.routing import CallResult
from bulrushflow.routing import Outcome
from bulrushflow.routing import Response
from bulrushflow.routing import answer_lost
from bulrushflow.routing import not_run
from bulrushflow.timers import Timers
from bulrushflow.wire import Links
from bulrushflow.wire import codec
from tests.targets.servers import call
from tests.targets.servers import until


class FakeRunner:
    """Stands in for admission control of the other node's target."""

    load = 3
    capacity = 7

    def __init__(self) -> None:
        self.calls: list[Call] = []
        self.cancelled = 0
        self.result: CallResult | None = Response(
            200, (("note", "caf\udce9"),), b"\xff"
        ).as_result()

    async def run(self, call: Call) -> CallResult:
        """See :meth:`CallRunner.run`."""
        self.calls.append(call)
        if self.result is not None:
            return self.result
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        raise AssertionError


class ForwardingTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        timers = Timers(random.Random(1))
        await timers.start()
        self.addAsyncCleanup(timers.stop)
        links = [Links("127.0.0.1", 0, timers) for _ in range(2)]
        for each in links:
            await each.start()
            self.addAsyncCleanup(each.stop)
        self.runner = FakeRunner()
        self.forwarding = Forwarding(links[0], FakeRunner())
        Forwarding(links[1], self.runner)
        self.other = links[1]
        self.member = Member("other", "near", "127.0.0.1", links[1].port, 0)

    async def test_calls_responses_and_loads_arrive_unchanged(self) -> None:
        sent = call(attempt=2)
        result, report = await self.forwarding.send(self.member, sent)
        self.assertEqual(result, self.runner.result)
        assert report is not None
        self.assertEqual((report.load, report.capacity), (3, 7))
        (received,) = self.runner.calls
        self.assertEqual(received.attempt, 2)
        self.assertLess(received.deadline, sent.deadline)
        self.assertGreater(received.deadline, sent.deadline - MAX_RESPONSE_MARGIN_S - 1.0)

    async def test_failures_keep_their_outcome(self) -> None:
        for expected in (not_run("full"), answer_lost("large")):
            with self.subTest(expected=expected):
                self.runner.result = expected
                self.assertEqual((await self.forwarding.send(self.member, call()))[0], expected)

    async def test_an_outcome_that_this_release_does_not_know_counts_as_unknown(self) -> None:
        message = codec.result_to_message(not_run("x"), 0, 0)
        message.outcome = 99
        self.assertIs(codec.result_from_message(message).unwrap_err().outcome, Outcome.UNKNOWN)

    async def test_cancelling_a_send_cancels_the_call_on_the_other_node(self) -> None:
        self.runner.result = None
        sending = asyncio.create_task(self.forwarding.send(self.member, call()))
        await until(lambda: len(self.runner.calls) == 1)
        sending.cancel()
        await until(lambda: self.runner.cancelled == 1)

    async def test_a_connection_lost_during_a_call_leaves_its_outcome_unknown(self) -> None:
        self.runner.result = None
        sending = asyncio.create_task(self.forwarding.send(self.member, call()))
        await until(lambda: len(self.runner.calls) == 1)
        for link in list(self.other._accepted):
            link.abort()
        result, report = await sending
        self.assertIs(result.unwrap_err().outcome, Outcome.UNKNOWN)
        self.assertIsNone(report)
        await until(lambda: self.runner.cancelled == 1)

    async def test_a_call_to_a_stopped_node_was_not_run(self) -> None:
        await self.other.stop()
        result, _ = await self.forwarding.send(self.member, call())
        self.assertIs(result.unwrap_err().outcome, Outcome.NOT_RUN)
