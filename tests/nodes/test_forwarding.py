"""Tests of calls forwarded between two nodes over loopback."""

import asyncio
import random
import typing as t
import unittest
from unittest import mock

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
from bulrushflow.wire.link import Link
from tests.clocks import stopped_loop_clock
from tests.targets.servers import GUARD_S
from tests.targets.servers import call
from tests.targets.servers import until

ROUNDING_S = 1e-9
"""Tolerance for sums of binary fractions of seconds."""


def count_frames(data: bytes) -> int:
    """Return the number of complete frames in ``data``."""
    count = 0
    while len(data) >= 4 + int.from_bytes(data[:4], "big") > 4:
        data = data[4 + int.from_bytes(data[:4], "big") :]
        count += 1
    return count


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

    def assert_received_in_time(self, sent: Call, delivery_s: float = 0.0) -> None:
        """Check the other node's deadline: the caller's less the margin, plus the delivery time."""
        (received,) = self.runner.calls
        latest = sent.deadline - MAX_RESPONSE_MARGIN_S + delivery_s
        self.assertLessEqual(received.deadline, latest + ROUNDING_S)
        # Whole milliseconds are sent, rounded down.
        self.assertGreater(received.deadline, latest - 0.001 - ROUNDING_S)

    async def test_the_other_nodes_deadline_leaves_time_for_the_response(self) -> None:
        with stopped_loop_clock():
            sent = call()
            await self.forwarding.send(self.member, sent)
        self.assert_received_in_time(sent)

    async def test_the_wait_for_a_connection_is_not_added_to_the_deadline(self) -> None:
        loop = asyncio.get_running_loop()
        create_connection = loop.create_connection
        with stopped_loop_clock() as clock:

            async def connect_slowly(*args: t.Any, **options: t.Any) -> t.Any:
                clock.advance(0.5)
                return await create_connection(*args, **options)

            sent = call()
            with mock.patch.object(loop, "create_connection", connect_slowly):
                await self.forwarding.send(self.member, sent)
        self.assert_received_in_time(sent)

    async def test_a_slow_delivery_moves_the_deadline_by_no_more_than_its_duration(self) -> None:
        # Clocks of two machines can't be compared, so the time left counts from the arrival.
        deliver = Link.data_received
        delivered: list[Link] = []
        with stopped_loop_clock() as clock:

            def deliver_slowly(link: Link, data: bytes) -> None:
                if not delivered:
                    clock.advance(0.5)
                delivered.append(link)
                deliver(link, data)

            sent = call()
            with mock.patch.object(Link, "data_received", deliver_slowly):
                await self.forwarding.send(self.member, sent)
        self.assert_received_in_time(sent, delivery_s=0.5)

    async def test_a_call_delivered_after_its_senders_deadline_is_not_run(self) -> None:
        deliver = Link.data_received
        undelivered: dict[Link, bytes] = {}

        def hold(link: Link, data: bytes) -> None:
            undelivered[link] = undelivered.get(link, b"") + data

        await self.forwarding.send(self.member, call())
        with mock.patch.object(Link, "data_received", hold):
            sending = asyncio.create_task(self.forwarding.send(self.member, call()))
            await until(lambda: len(undelivered) == 1)
            with stopped_loop_clock() as clock:
                clock.advance(GUARD_S)
                self.assertIs((await sending)[0].unwrap_err().outcome, Outcome.UNKNOWN)
            # The sender's cancellation follows its request on the same connection.
            await until(lambda: count_frames(*undelivered.values()) == 2)
        for link, data in undelivered.items():
            deliver(link, data)
        await self.forwarding.send(self.member, call())
        self.assertEqual(len(self.runner.calls), 2)

    async def test_without_a_latency_objective_a_response_is_late_only_after_the_deadline(
        self,
    ) -> None:
        await self.forwarding.send(self.member, call())
        (received,) = self.runner.calls
        self.assertEqual(received.late_after, received.deadline)

    async def test_less_than_a_millisecond_is_not_rounded_up(self) -> None:
        with stopped_loop_clock():
            result, _ = await self.forwarding.send(self.member, call(timeout_s=0.0011))
        self.assertIs(result.unwrap_err().outcome, Outcome.REFUSED)
        self.assertEqual(self.runner.calls, [])

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
