"""Responses without end: their calls fail, their connections close, and nothing is delivered."""

import asyncio
import typing as t
import unittest

from bulrushflow.routing import ByteBudget
from bulrushflow.routing import CallResult
from bulrushflow.routing import Outcome
from bulrushflow.targets import TargetClient
from tests.endless import EndlessTarget
from tests.endless import flood
from tests.endless import read_request
from tests.endless import trickle
from tests.targets.servers import announcement
from tests.targets.servers import call
from tests.waiting import GUARD_S
from tests.waiting import until

MAX_RESPONSE_BYTES = 1 << 20

Sender = t.Callable[[asyncio.StreamWriter, bytes], t.Awaitable[t.NoReturn]]

OK_LINE = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK_LINE + b"Transfer-Encoding: chunked\r\n\r\n"
COMPLETE = OK_LINE + b"Content-Length: 4\r\n\r\nbody"
ENDLESS_RESPONSES: dict[str, tuple[bytes, bytes]] = {
    "one header line": (OK_LINE + b"X-A: ", b"a"),
    "header lines": (OK_LINE, b"X-A: a\r\n"),
    "bytes that are no HTTP": (b"", b"\x00\xfe"),
    "lines that are no HTTP": (b"", b"garbage\r\n"),
    "empty lines": (b"", b"\r\n"),
    "informational responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "early hints": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"),
    "body until close": (OK_LINE + b"\r\n", b"a"),
    "chunks": (CHUNKED, b"1000\r\n" + b"a" * 0x1000 + b"\r\n"),
    "chunks of one byte": (CHUNKED, b"1\r\na\r\n"),
    "chunks with extensions": (CHUNKED, b"1;" + b"e" * 1000 + b"\r\na\r\n"),
    "chunk size": (CHUNKED, b"0"),
    "chunk extension": (CHUNKED + b"1;", b"e"),
    "trailers": (CHUNKED + b"0\r\n", b"X-A: a\r\n"),
    "one trailer line": (CHUNKED + b"0\r\nX-A: ", b"a"),
}
"""The beginning of each response, and what follows it without end."""


class EndlessResponseTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.byte_budget = ByteBudget(MAX_RESPONSE_BYTES * len(ENDLESS_RESPONSES))

    def tearDown(self) -> None:
        self.assertEqual(self.byte_budget.used_bytes, 0)

    async def start(self, script: t.Any) -> tuple[EndlessTarget, TargetClient]:
        target = EndlessTarget(script)
        port = (await target.start())[1]
        client = TargetClient(announcement(port), self.byte_budget, MAX_RESPONSE_BYTES)
        self.addAsyncCleanup(target.stop)
        self.addAsyncCleanup(client.close)
        return target, client

    async def send(self, client: TargetClient, request_id: str, timeout_s: float) -> CallResult:
        async with asyncio.timeout(GUARD_S):
            return await client.send(call(request_id, idempotent=True, timeout_s=timeout_s))

    async def assert_fails(
        self, sender: Sender, begin: bytes, unit: bytes, timeout_s: float
    ) -> None:
        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_request(reader)
            writer.write(begin)
            await sender(writer, unit)

        target, client = await self.start(script)
        failure = (await self.send(client, "r-1", timeout_s)).unwrap_err()
        self.assertIn(failure.outcome, {Outcome.UNKNOWN, Outcome.ANSWER_LOST})
        await until(lambda: target.closed == 1)
        await target.stop()

    async def test_a_fast_endless_response_fails_before_the_deadline(self) -> None:
        for name, (begin, unit) in ENDLESS_RESPONSES.items():
            with self.subTest(name):
                await self.assert_fails(flood, begin, unit, timeout_s=GUARD_S * 2)

    async def test_a_slow_endless_response_fails_at_the_deadline(self) -> None:
        # All at once, so that each can have time to connect on a busy machine.
        await asyncio.gather(
            *(
                self.assert_fails(trickle, begin, unit, timeout_s=1.0)
                for begin, unit in ENDLESS_RESPONSES.values()
            )
        )

    async def test_endless_bytes_after_a_response_close_the_connection(self) -> None:
        for unit in (b"a", b"\r\n", COMPLETE, b"HTTP/1.1 100 Continue\r\n\r\n"):
            for pause_s in (0.0, 0.02):
                with self.subTest(unit=unit, pause_s=pause_s):

                    async def script(
                        reader: asyncio.StreamReader,
                        writer: asyncio.StreamWriter,
                        unit: bytes = unit,
                        pause_s: float = pause_s,
                    ) -> None:
                        await read_request(reader)
                        writer.write(COMPLETE)
                        await writer.drain()
                        await asyncio.sleep(pause_s)
                        await flood(writer, unit)

                    target, client = await self.start(script)
                    result = await self.send(client, "r-1", GUARD_S)
                    if result.is_ok():
                        self.assertEqual(result.unwrap().body, b"body")
                    else:
                        # aiohttp drops a response that is read together with malformed data.
                        self.assertIs(result.unwrap_err().outcome, Outcome.UNKNOWN)
                    await until(lambda target=target: target.closed == 1)  # type: ignore[misc]

    async def test_a_response_on_an_idle_connection_is_not_the_next_calls(self) -> None:
        written = asyncio.Event()

        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            request_id = await read_request(reader)
            writer.write(COMPLETE.replace(b"body", request_id.encode()))
            await writer.drain()
            if request_id == "r-01":
                await asyncio.sleep(0.02)
                writer.write(COMPLETE.replace(b"body", b"late"))
                await writer.drain()
                written.set()

        target, client = await self.start(script)
        (await self.send(client, "r-01", GUARD_S)).unwrap()
        await written.wait()
        await asyncio.sleep(0.02)
        response = (await self.send(client, "r-02", GUARD_S)).unwrap()
        self.assertEqual(response.body, b"r-02")
        await until(lambda: target.closed == 1)

    async def test_an_unread_response_on_an_idle_connection_is_not_the_next_calls(self) -> None:
        writers: list[asyncio.StreamWriter] = []

        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)
            while True:
                request_id = await read_request(reader)
                writer.write(COMPLETE.replace(b"body", request_id.encode()))

        target, client = await self.start(script)
        (await self.send(client, "r-01", GUARD_S)).unwrap()
        # The data is in the client's socket when the next call begins, before the loop reads it.
        writers[0].write(COMPLETE.replace(b"body", b"late"))
        response = (await self.send(client, "r-02", GUARD_S)).unwrap()
        self.assertEqual(response.body, b"r-02")
        self.assertEqual(target.opened, 2)

    async def test_an_idle_connection_without_data_is_reused(self) -> None:
        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                request_id = await read_request(reader)
                writer.write(COMPLETE.replace(b"body", request_id.encode()))

        target, client = await self.start(script)
        for request_id in ("r-01", "r-02", "r-03"):
            response = (await self.send(client, request_id, GUARD_S)).unwrap()
            self.assertEqual(response.body, request_id.encode())
        self.assertEqual(target.opened, 1)
