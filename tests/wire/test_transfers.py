"""Tests of responses in chunks between two connections on loopback."""

import asyncio
import typing as t
import unittest

from result import Err
from result import Ok

from bulrushflow.wire import messages
from bulrushflow.wire.chunks import ChunkSender
from bulrushflow.wire.chunks import TransferEnd
from bulrushflow.wire.chunks import UnpacedLink
from bulrushflow.wire.link import Link
from bulrushflow.wire.transfers import ChunkedResponse
from bulrushflow.wire.transfers import IncomingBody
from tests.waiting import GUARD_S
from tests.waiting import until
from tests.wire.test_link import call_answer
from tests.wire.test_link import frame
from tests.wire.test_link import open_link
from tests.wire.test_link import request

WINDOW_BYTES = 32 << 10
BODY = bytes(range(256)) * 2_000


class TransferTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.ended = 0
        self.window = WINDOW_BYTES
        self.senders = [ChunkSender(UnpacedLink()) for _ in range(2)]
        accepted: list[Link] = []

        def accept() -> Link:
            link = Link({"call_request": self.respond}, lambda _: None, self.senders[1])
            accepted.append(link)
            return link

        loop = asyncio.get_running_loop()
        server = await loop.create_server(accept, "127.0.0.1", 0)
        self.addCleanup(server.close)
        _, self.client = await loop.create_connection(
            lambda: Link({}, lambda _: None, self.senders[0]), *server.sockets[0].getsockname()
        )
        self.addCleanup(self.client.abort)
        await until(lambda: bool(accepted))
        self.server = accepted[0]
        self.addCleanup(self.server.abort)

    async def respond(self, message: t.Any) -> ChunkedResponse | dict[str, t.Any]:
        if message.request_id == "small":
            return {"call_answer": call_answer("small")}
        answer = call_answer("")
        answer.chunked_bytes = len(BODY)
        return ChunkedResponse({"call_answer": answer}, BODY, self.window, self.end)

    def end(self, transfer: TransferEnd) -> None:
        self.ended += 1
        self.complete = transfer.complete
        self.transfer = transfer

    async def begin(self) -> IncomingBody:
        call = request("large")
        call.chunk_window = WINDOW_BYTES
        response = (await self.client.exchange(GUARD_S, call_request=call)).unwrap()
        body = self.client.take_body(response)
        assert body is not None
        return body

    async def test_a_body_arrives_whole_within_its_window(self) -> None:
        body = await self.begin()
        await until(lambda: body.held_bytes == WINDOW_BYTES)
        data = b""
        while part := (await body.read()).unwrap():
            self.assertLessEqual(body.held_bytes, WINDOW_BYTES)
            data += part
        self.assertEqual(data, BODY)
        await until(lambda: self.ended == 1)
        self.assertTrue(self.complete)
        await until(lambda: not self.client.busy and not self.server.busy)

    async def test_small_responses_pass_a_body_whose_reader_is_slow(self) -> None:
        """Behind it in one queue, they would wait for the slow reader."""
        body = await self.begin()
        small = await self.client.exchange(GUARD_S, call_request=request("small"))
        self.assertEqual(small.unwrap().call_answer.body, b"small")
        self.assertLessEqual(body.held_bytes, WINDOW_BYTES)
        body.close()

    async def test_a_closed_body_stops_its_sender_and_frees_its_memory(self) -> None:
        body = await self.begin()
        await body.wait_begun()
        self.assertEqual(self.senders[1].count, 1)
        body.close()
        await until(lambda: self.ended == 1)
        self.assertFalse(self.complete)
        self.assertEqual((self.senders[1].count, body.held_bytes), (0, 0))
        self.assertTrue((await body.read()).is_err())
        await until(lambda: not self.client.busy and not self.server.busy)

    async def test_an_exchange_that_is_cancelled_as_its_head_arrives_leaves_nothing(self) -> None:
        """Nobody would read or close its body, whose sender would wait for a grant for good."""
        link, transport = open_link()
        call = request("1")
        call.chunk_window = 100
        task = asyncio.create_task(link.exchange(GUARD_S, call_request=call))
        await until(lambda: bool(transport.written))
        transport.frames()
        answer = call_answer("")
        answer.chunked_bytes = 1_000
        link.data_received(frame(1, call_answer=answer))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        (sent,) = transport.frames()
        self.assertEqual(sent.call_cancel.exchange, 1)
        self.assertFalse(link.busy)

    async def test_a_lost_connection_fails_the_body_on_both_sides(self) -> None:
        for side in ("sender", "receiver"):
            with self.subTest(side):
                await self.asyncSetUp()
                body = await self.begin()
                (self.server if side == "sender" else self.client).abort()
                async with asyncio.timeout(GUARD_S):
                    read = await body.read_all()
                match read:
                    case Err(reason):
                        self.assertIn("connection lost", reason)
                    case Ok(data):
                        self.fail(f"{len(data)} of {len(BODY)} bytes looked complete")
                await until(lambda: self.ended == 1)
                self.assertEqual(self.senders[1].count, 0)

    async def test_a_sender_that_exceeds_the_window_is_cancelled(self) -> None:
        """A faulty peer must not fill this node's memory."""
        self.window = len(BODY)
        body = await self.begin()
        await until(lambda: self.ended == 1)
        self.assertTrue((await body.read()).is_err())
        self.assertEqual(body.held_bytes, 0)

    async def test_a_body_that_fits_the_window_exactly_needs_no_grant(self) -> None:
        link, transport = open_link()
        call = request("1")
        call.chunk_window = 100
        task = asyncio.create_task(link.exchange(GUARD_S, call_request=call))
        await until(lambda: bool(transport.written))
        transport.frames()
        answer = call_answer("")
        answer.chunked_bytes = 100
        chunk = messages.BodyChunk(data=bytes(50))
        # The head and the whole body arrive in one read, before the exchange returns.
        head = frame(1, call_answer=answer)
        link.data_received(head + frame(1, body_chunk=chunk) * 2)
        body = link.take_body((await task).unwrap())
        assert body is not None
        link.connection_lost(None)
        self.assertEqual((await body.read_all()).unwrap(), bytes(100))
        self.assertEqual(transport.frames(), [])

    async def test_a_body_that_its_sender_ends_early_never_looks_complete(self) -> None:
        link, transport = open_link()
        call = request("1")
        call.chunk_window = 100
        task = asyncio.create_task(link.exchange(GUARD_S, call_request=call))
        await until(lambda: bool(transport.written))
        answer = call_answer("")
        answer.chunked_bytes = 100
        link.data_received(frame(1, call_answer=answer))
        body = link.take_body((await task).unwrap())
        assert body is not None
        link.data_received(frame(1, body_chunk=messages.BodyChunk(data=bytes(99))))
        link.data_received(frame(1, failure=messages.ExchangeFailure(reason="for the test")))
        self.assertEqual((await body.read_all()).unwrap_err(), "for the test")
        self.assertFalse(link.busy)
