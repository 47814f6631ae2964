"""Tests of one connection between nodes, over an in-memory transport."""

import asyncio
import math
import random
import typing as t
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from bulrushflow.wire import link as link_module
from bulrushflow.wire import messages
from bulrushflow.wire.link import BUSY_KEEPALIVE_S
from bulrushflow.wire.link import IDLE_KEEPALIVE_S
from bulrushflow.wire.link import MAX_FRAME_BYTES
from bulrushflow.wire.link import PONG_TIMEOUT_S
from bulrushflow.wire.link import Handler
from bulrushflow.wire.link import Link
from tests.targets.servers import GUARD_S
from tests.targets.servers import until


class MemoryTransport(asyncio.Transport):
    """A transport that keeps written bytes; the test acts as the peer."""

    def __init__(self, link: Link) -> None:
        super().__init__()
        self.written = bytearray()
        self.unwritten_bytes = 0
        self._link = link

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        self.high = high

    def get_write_buffer_size(self) -> int:
        return self.unwritten_bytes

    def write(self, data: t.Any) -> None:
        self.written += data

    def abort(self) -> None:
        self._link.connection_lost(None)

    def acknowledge(self, acknowledged_bytes: int) -> None:
        """Let the peer have taken the first bytes written, and no others."""
        self.unwritten_bytes = len(self.written) - acknowledged_bytes

    def frames(self) -> list[t.Any]:
        """Return the frames written since the last call."""
        frames, data = [], bytes(self.written)
        self.written.clear()
        while data:
            end = 4 + int.from_bytes(data[:4], "big")
            frames.append(messages.decode(messages.Frame, data[4:end]).unwrap())
            data = data[end:]
        return frames


def open_link(handlers: dict[str, Handler] | None = None) -> tuple[Link, MemoryTransport]:
    """Return a connected link and its transport."""
    link = Link(handlers or {}, lambda _: None)
    transport = MemoryTransport(link)
    link.connection_made(transport)
    return link, transport


def frame(exchange: int, **body: t.Any) -> bytes:
    """Return an encoded frame as a peer sends it."""
    payload = messages.encode(messages.Frame(exchange=exchange, **body))
    return len(payload).to_bytes(4, "big") + payload


def call_answer(text: str) -> t.Any:
    """Return the response to a call, with ``text`` as its body."""
    return messages.CallAnswer(
        outcome=0, status=200, headers=[], body=text.encode(), reason="", in_flight=0
    )


def request(request_id: str) -> t.Any:
    """Return a forwarded call."""
    return messages.CallRequest(
        request_id=request_id,
        tenant="a",
        service_name="payments",
        version="v1",
        route="/payments",
        method="POST",
        path="/payments/7",
        headers=[],
        body=b"",
        timeout_ms=1000,
        idempotent=False,
    )


class ExchangeTests(unittest.TestCase):
    @settings(max_examples=60)
    @given(st.integers(0, 2**32))
    def test_reordered_late_and_duplicate_responses_reach_only_their_exchange(
        self, seed: int
    ) -> None:
        asyncio.run(self._reorder(random.Random(seed)))

    async def _reorder(self, rng: random.Random) -> None:
        link, transport = open_link()
        calls = {}
        for i in range(rng.randint(1, 12)):
            exchange = link.exchange(GUARD_S, call_request=request(str(i)))
            calls[str(i)] = asyncio.create_task(exchange)
        await until(lambda: len(transport.written) > 0)
        await asyncio.sleep(0)
        cancelled = {name for name in calls if rng.random() < 0.3}
        for name in cancelled:
            calls[name].cancel()
        await asyncio.sleep(0)
        sent = [f for f in transport.frames() if f.call_request is not None]
        stream = [(f.exchange, f.call_request.request_id) for f in sent]
        stream += [*rng.choices(stream, k=3), (10_000, "nobody's")]
        rng.shuffle(stream)
        data = b"".join(frame(number, call_answer=call_answer(text)) for number, text in stream)
        while data:
            size = rng.randint(1, 40)
            link.data_received(data[:size])
            data = data[size:]
        results = await asyncio.gather(*calls.values(), return_exceptions=True)
        for name, result in zip(calls, results, strict=True):
            if name in cancelled:
                self.assertIsInstance(result, asyncio.CancelledError)
            else:
                body = t.cast(t.Any, result).unwrap().call_answer.body
                self.assertEqual(body, name.encode())
        self.assertFalse(link.busy)


class LinkTests(unittest.IsolatedAsyncioTestCase):
    async def start(self, link: Link, timeout_s: float = GUARD_S) -> asyncio.Task[t.Any]:
        task = asyncio.create_task(link.exchange(timeout_s, call_request=request("1")))
        await asyncio.sleep(0)
        return task

    async def test_a_timeout_and_a_cancellation_send_a_call_cancel(self) -> None:
        for end in ("timeout", "cancellation"):
            with self.subTest(end):
                link, transport = open_link()
                task = await self.start(link, 0.01 if end == "timeout" else GUARD_S)
                if end == "cancellation":
                    task.cancel()
                await asyncio.gather(task, return_exceptions=True)
                sent, cancel = transport.frames()
                self.assertEqual(cancel.call_cancel.exchange, sent.exchange)

    async def test_requests_are_not_sent_on_an_unusable_connection(self) -> None:
        for state in ("congested", "leaving", "lost"):
            with self.subTest(state):
                link, transport = open_link()
                if state == "congested":
                    link.pause_writing()
                if state == "leaving":
                    link.data_received(frame(0, goodbye=messages.Goodbye()))
                if state == "lost":
                    link.connection_lost(None)
                result = await link.exchange(GUARD_S, call_request=request("1"))
                self.assertFalse(result.unwrap_err().sent)
                self.assertEqual(transport.frames(), [])

    async def test_a_request_too_large_for_a_frame_is_not_sent(self) -> None:
        link, transport = open_link()
        big = request("1")
        big.body = bytes(MAX_FRAME_BYTES)
        result = await link.exchange(GUARD_S, call_request=big)
        self.assertFalse(result.unwrap_err().sent)
        self.assertEqual((transport.frames(), link.lost), ([], False))

    async def test_a_failed_or_too_large_response_fails_only_its_exchange(self) -> None:
        async def too_large(_: t.Any) -> dict[str, t.Any]:
            return {"call_answer": call_answer("x" * MAX_FRAME_BYTES)}

        async def fail(_: t.Any) -> dict[str, t.Any]:
            raise RuntimeError("for the test")

        for handler in (too_large, fail):
            with self.subTest(handler.__name__):
                link, transport = open_link({"call_request": handler})
                link.data_received(frame(5, call_request=request("1")))
                await until(lambda transport=transport: bool(transport.written))  # type: ignore
                (sent,) = transport.frames()
                self.assertEqual((sent.exchange, link.lost), (5, False))
                client, _ = open_link()
                task = await self.start(client)
                client.data_received(frame(1, failure=sent.failure))
                self.assertTrue((await task).unwrap_err().sent)

    async def test_malformed_input_closes_the_connection_and_fails_its_exchanges(self) -> None:
        twice = frame(3, call_request=request("1")) * 2
        cases = {
            "oversized": (MAX_FRAME_BYTES + 1).to_bytes(4, "big"),
            "not thrift": (4).to_bytes(4, "big") + b"\xff\xfe\xfd\xfc",
            "number used twice": twice,
        }

        async def hang(_: t.Any) -> None:
            await asyncio.Event().wait()

        for name, data in cases.items():
            with self.subTest(name):
                link, _ = open_link({"call_request": hang})
                task = await self.start(link)
                link.data_received(data)
                self.assertTrue((await task).unwrap_err().sent)
                self.assertTrue(link.lost)

    async def test_a_lost_connection_cancels_the_calls_received_on_it(self) -> None:
        cancelled = asyncio.Event()

        async def hang(_: t.Any) -> None:
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                cancelled.set()
                raise

        link, _ = open_link({"call_request": hang})
        link.data_received(frame(1, call_request=request("1")))
        await asyncio.sleep(0)
        link.connection_lost(None)
        await asyncio.wait_for(cancelled.wait(), GUARD_S)

    async def test_a_silent_connection_is_closed_whether_idle_or_busy(self) -> None:
        for busy in (False, True):
            with self.subTest(busy=busy):
                link, transport = open_link()
                now = asyncio.get_running_loop().time()
                task = await self.start(link) if busy else None
                transport.frames()
                link.check_keepalive(now + IDLE_KEEPALIVE_S)
                self.assertIsNotNone(transport.frames()[0].ping)
                link.check_keepalive(now + IDLE_KEEPALIVE_S + PONG_TIMEOUT_S)
                self.assertTrue(link.lost)
                if task is not None:
                    self.assertTrue((await task).unwrap_err().sent)

    async def test_received_bytes_keep_the_connection_open(self) -> None:
        link, _ = open_link()
        now = asyncio.get_running_loop().time()
        link.check_keepalive(now + IDLE_KEEPALIVE_S)
        link.data_received(frame(0, pong=messages.Heartbeat()))
        link.check_keepalive(now + IDLE_KEEPALIVE_S + PONG_TIMEOUT_S)
        self.assertFalse(link.lost)

    async def test_a_pause_of_this_node_does_not_count_as_silence_of_the_peer(self) -> None:
        link, _ = open_link()
        now = asyncio.get_running_loop().time()
        link.check_keepalive(now + IDLE_KEEPALIVE_S)
        link.reset_keepalive(now + 100)
        link.check_keepalive(now + 100)
        self.assertFalse(link.lost)

    async def test_a_connection_whose_peer_does_not_read_is_closed(self) -> None:
        link, transport = open_link()
        transport.unwritten_bytes = link_module.MAX_WRITE_BUFFER_BYTES
        link.send(pong=messages.Heartbeat())
        self.assertTrue(link.lost)


class SlowTransferTests(unittest.IsolatedAsyncioTestCase):
    """A ping that is queued behind a frame which the peer takes slowly."""

    async def asyncSetUp(self) -> None:
        self.link, self.transport = open_link()
        big = request("1")
        big.body = bytes(5_000_000)
        self.call = asyncio.create_task(self.link.exchange(GUARD_S, call_request=big))
        await asyncio.sleep(0)
        self.ahead_bytes = len(self.transport.written)
        # Whole seconds, so that differences of times are exact.
        self.pinged_at = math.ceil(asyncio.get_running_loop().time()) + BUSY_KEEPALIVE_S
        self.check(0.0, 1_000_000)
        self.assertGreater(len(self.transport.written), self.ahead_bytes)

    async def asyncTearDown(self) -> None:
        self.call.cancel()
        await asyncio.gather(self.call, return_exceptions=True)

    def check(self, after_ping_s: float, acknowledged_bytes: int) -> bool:
        """Check the connection; return whether it is open."""
        self.transport.acknowledge(acknowledged_bytes)
        self.link.check_keepalive(self.pinged_at + after_ping_s)
        return not self.link.lost

    async def test_a_peer_that_takes_bytes_of_the_frame_is_not_silent(self) -> None:
        for i in range(1, 9):
            later_s = i * PONG_TIMEOUT_S
            self.assertTrue(self.check(later_s, 1_000_000 + i * 100_000), f"{later_s} s")

    async def test_a_peer_that_takes_no_bytes_is_closed_after_the_pong_timeout(self) -> None:
        self.assertTrue(self.check(0.5 * PONG_TIMEOUT_S, 1_000_000))
        self.assertFalse(self.check(PONG_TIMEOUT_S, 1_000_000))

    async def test_a_peer_that_stops_taking_bytes_is_closed_after_the_pong_timeout(self) -> None:
        self.assertTrue(self.check(PONG_TIMEOUT_S, 1_000_001))
        self.assertTrue(self.check(1.5 * PONG_TIMEOUT_S, 1_000_001))
        self.assertFalse(self.check(2 * PONG_TIMEOUT_S, 1_000_001))

    async def test_the_pong_timeout_starts_when_the_frame_ahead_is_taken(self) -> None:
        self.assertTrue(self.check(PONG_TIMEOUT_S, self.ahead_bytes))
        self.assertTrue(self.check(1.5 * PONG_TIMEOUT_S, len(self.transport.written)))
        self.assertFalse(self.check(2 * PONG_TIMEOUT_S, len(self.transport.written)))

    async def test_bytes_behind_the_ping_do_not_keep_a_silent_connection_open(self) -> None:
        self.assertTrue(self.check(PONG_TIMEOUT_S, self.ahead_bytes))
        for later_s in (1.5 * PONG_TIMEOUT_S, 2 * PONG_TIMEOUT_S):
            self.link.send(state_notice=messages.StateNotice())
            is_open = self.check(later_s, len(self.transport.written))
        self.assertFalse(is_open)

    async def test_a_pong_ends_the_wait(self) -> None:
        self.assertTrue(self.check(PONG_TIMEOUT_S, len(self.transport.written)))
        self.link.data_received(frame(0, pong=messages.Heartbeat()))
        self.assertTrue(self.check(2 * PONG_TIMEOUT_S, len(self.transport.written)))
