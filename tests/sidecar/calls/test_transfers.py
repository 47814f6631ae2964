"""Tests of how responses in chunks are received, and which answers are sent in chunks."""

import asyncio
import unittest

from bulrushflow.metrics import Metrics
from bulrushflow.placement.links import LARGE_RESPONSE_BYTES
from bulrushflow.routing import CallResult
from bulrushflow.routing import Outcome
from bulrushflow.routing import Response
from bulrushflow.sidecar.calls.transfers import ResponseTransfers
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.wire.chunks import TransferEnd
from bulrushflow.wire.transfers import ChunkedResponse
from bulrushflow.wire.transfers import IncomingBody
from tests.wire.test_link import call_answer
from tests.wire.test_link import request

WINDOW_BYTES = 100


class ReceiveTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.transfers = ResponseTransfers(None, Metrics(4), DecisionLog())
        self.cancelled = 0
        self.granted = 0
        self.body = IncomingBody(200, WINDOW_BYTES, self.grant, self.cancel)

    def grant(self, size: int) -> None:
        self.granted += size

    def cancel(self) -> None:
        self.cancelled += 1

    async def receive(self, status: int = 200, timeout_s: float = 30.0) -> CallResult:
        result = Response(status, (), b"").as_result()
        deadline = asyncio.get_running_loop().time() + timeout_s
        return await self.transfers.receive(result, self.body, deadline)

    async def test_a_response_is_passed_on_once_its_first_bytes_are_there(self) -> None:
        running = asyncio.create_task(self.receive())
        await asyncio.sleep(0)
        self.assertFalse(running.done())
        self.body.add(bytes(10))
        response = (await running).unwrap()
        self.assertIs(response.stream, self.body)
        response.close()
        self.assertEqual(self.cancelled, 1)

    async def test_a_body_that_fails_before_its_first_bytes_leaves_the_call_to_be_retried(
        self,
    ) -> None:
        running = asyncio.create_task(self.receive())
        await asyncio.sleep(0)
        self.body.fail("connection lost")
        failure = (await running).unwrap_err()
        self.assertIs(failure.outcome, Outcome.UNKNOWN)
        self.assertIn("connection lost", failure.reason)

    async def test_a_body_that_does_not_begin_is_cancelled_at_the_deadline(self) -> None:
        failure = (await self.receive(timeout_s=0.01)).unwrap_err()
        self.assertIs(failure.outcome, Outcome.UNKNOWN)
        self.assertEqual(self.cancelled, 1)

    async def test_a_cancelled_call_cancels_the_body(self) -> None:
        running = asyncio.create_task(self.receive())
        await asyncio.sleep(0)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        self.assertEqual(self.cancelled, 1)

    async def test_an_error_is_received_whole_or_fails(self) -> None:
        for complete in (True, False):
            with self.subTest(complete=complete):
                self.setUp()
                self.body.add(bytes(100))
                running = asyncio.create_task(self.receive(500))
                await asyncio.sleep(0)
                self.assertEqual(self.granted, 100)
                if complete:
                    self.body.add(bytes(100))
                    self.assertEqual((await running).unwrap().body, bytes(200))
                else:
                    self.body.fail("connection lost")
                    self.assertIs((await running).unwrap_err().outcome, Outcome.UNKNOWN)


class AnswerTests(unittest.TestCase):
    def test_only_large_responses_to_nodes_that_take_chunks_are_sent_in_chunks(self) -> None:
        """A node of an earlier release would take the head for an empty response."""
        transfers = ResponseTransfers(None, Metrics(4), DecisionLog())
        large = LARGE_RESPONSE_BYTES + 1
        for window, size, chunked in (
            (None, large, False),
            (0, large, False),
            (-1, large, False),
            (100, large - 1, False),
            (100, large, True),
        ):
            with self.subTest(window=window, size=size):
                asked = request("r-1")
                asked.chunk_window = window
                answer = transfers.answer(
                    asked, call_answer("x" * size), late_after=7.0, deadline=9.0
                )
                self.assertEqual(isinstance(answer, ChunkedResponse), chunked)
                if isinstance(answer, ChunkedResponse):
                    self.assertEqual(len(answer.body), size)
                    self.assertEqual((answer.due_at, answer.deadline), (7.0, 9.0))
                    self.assertEqual(transfers.budget.used_bytes, size)
                    answer.on_end(TransferEnd(size, size, 0.0, 0.0))
                self.assertEqual(transfers.budget.used_bytes, 0)
