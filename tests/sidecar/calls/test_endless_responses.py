"""Responses without end: their calls fail, their connections close, and nothing is delivered."""

import asyncio
import typing as t
import unittest

from bulrushflow.routing import CallResult
from bulrushflow.routing import Outcome
from bulrushflow.sidecar.calls.target_client import MAX_RESPONSE_BYTES
from bulrushflow.sidecar.calls.target_client import TargetClient
from bulrushflow.sidecar.settings import Endpoint
from tests.endless import EndlessTarget
from tests.endless import flood
from tests.endless import read_request
from tests.endless import trickle
from tests.sidecar.samples import NAMES
from tests.sidecar.samples import call
from tests.waiting import GUARD_S
from tests.waiting import until

Sender = t.Callable[[asyncio.StreamWriter, bytes], t.Awaitable[t.NoReturn]]

OK_LINE = b"HTTP/1.1 200 OK\r\nX-Sign: s\r\nX-Id: r-1\r\n"
CHUNKED = OK_LINE + b"Transfer-Encoding: chunked\r\n\r\n"
STALE = b"HTTP/1.1 200 OK\r\nX-Sign: s\r\nX-Id: r-0\r\nContent-Length: 4\r\n\r\nbody"
ENDLESS_RESPONSES: dict[str, tuple[bytes, bytes]] = {
    "one header line": (OK_LINE + b"X-A: ", b"a"),
    "header lines": (OK_LINE, b"X-A: a\r\n"),
    "folded header lines": (OK_LINE, b" a\r\n"),
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
    "stale responses": (b"", STALE),
    "one stale body": (STALE[:-8] + b"\r\n", b"a"),
}
"""The beginning of each response, and what follows it without end."""


class EndlessResponseTests(unittest.IsolatedAsyncioTestCase):
    async def start(self, script: t.Any) -> tuple[EndlessTarget, TargetClient]:
        target = EndlessTarget(script)
        client = TargetClient(
            Endpoint(*await target.start()), "t-1", NAMES, lambda signals, sent_at: None
        )
        self.addAsyncCleanup(target.stop)
        self.addCleanup(client.close)
        return target, client

    async def send(self, client: TargetClient, request_id: str, timeout_s: float) -> CallResult:
        async with asyncio.timeout(GUARD_S):
            return await client.send(call(request_id, timeout_s=timeout_s))

    async def assert_fails(
        self, sender: Sender, begin: bytes, unit: bytes, timeout_s: float
    ) -> str:
        """Check that an endless response fails its call and closes its connection.

        :return: the reason of the failure.
        """

        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_request(reader)
            writer.write(begin)
            await sender(writer, unit)

        target, client = await self.start(script)
        failure = (await self.send(client, "r-1", timeout_s)).unwrap_err()
        self.assertIs(failure.outcome, Outcome.UNKNOWN)
        await until(lambda: target.closed == 1)
        await target.stop()
        return failure.reason

    async def test_a_fast_endless_response_fails_before_the_deadline(self) -> None:
        for name, (begin, unit) in ENDLESS_RESPONSES.items():
            with self.subTest(name):
                reason = await self.assert_fails(flood, begin, unit, timeout_s=GUARD_S * 2)
                self.assertIn("the target's connection failed", reason)

    async def test_a_slow_endless_response_fails_at_the_deadline(self) -> None:
        # All at once, so that each can have time to connect on a busy machine.
        await asyncio.gather(
            *(
                self.assert_fails(trickle, begin, unit, timeout_s=1.0)
                for begin, unit in ENDLESS_RESPONSES.values()
            )
        )

    async def test_endless_bytes_after_a_response_close_the_connection(self) -> None:
        for unit in (b"a", b"\r\n", STALE):
            for pause_s in (0.0, 0.02):
                with self.subTest(unit=unit, pause_s=pause_s):

                    async def script(
                        reader: asyncio.StreamReader,
                        writer: asyncio.StreamWriter,
                        unit: bytes = unit,
                        pause_s: float = pause_s,
                    ) -> None:
                        await read_request(reader)
                        writer.write(OK_LINE + b"Content-Length: 4\r\n\r\nbody")
                        await writer.drain()
                        await asyncio.sleep(pause_s)
                        await flood(writer, unit)

                    target, client = await self.start(script)
                    response = (await self.send(client, "r-1", GUARD_S)).unwrap()
                    self.assertEqual(response.body, b"body")
                    await until(lambda target=target: target.closed == 1)  # type: ignore[misc]

    async def test_endless_bytes_on_a_reused_connection_fail_the_call(self) -> None:
        for unit in (b"a", b"\r\n", STALE):
            with self.subTest(unit=unit):

                async def script(
                    reader: asyncio.StreamReader,
                    writer: asyncio.StreamWriter,
                    unit: bytes = unit,
                ) -> None:
                    await read_request(reader)
                    writer.write(OK_LINE + b"Content-Length: 4\r\n\r\nbody")
                    await read_request(reader)
                    await flood(writer, unit)

                target, client = await self.start(script)
                (await self.send(client, "r-1", GUARD_S)).unwrap()
                failure = (await self.send(client, "r-2", GUARD_S * 2)).unwrap_err()
                self.assertIs(failure.outcome, Outcome.UNKNOWN)
                self.assertIn("the target's connection failed", failure.reason)
                self.assertEqual(target.opened, 1)
                await until(lambda target=target: target.closed == 1)  # type: ignore[misc]

    async def test_a_cancelled_call_closes_the_connection_of_its_endless_response(self) -> None:
        flooding = asyncio.Event()

        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_request(reader)
            writer.write(CHUNKED)
            flooding.set()
            await trickle(writer, b"1\r\na\r\n")

        target, client = await self.start(script)
        sending = asyncio.create_task(client.send(call(timeout_s=GUARD_S)))
        await flooding.wait()
        sending.cancel()
        await until(lambda: target.closed == 1)

    async def test_other_calls_complete_beside_endless_responses(self) -> None:
        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                request_id = await read_request(reader)
                if request_id == "endless":
                    writer.write(CHUNKED)
                    await flood(writer, b"1\r\na\r\n")
                head = f"HTTP/1.1 200 OK\r\nX-Sign: s\r\nX-Id: {request_id}\r\n"
                writer.write(head.encode() + b"Content-Length: 4\r\n\r\nbody")

        target, client = await self.start(script)
        endless = [asyncio.create_task(self.send(client, "endless", GUARD_S)) for _ in range(4)]
        await until(lambda: target.opened == 4)
        for number in range(20):
            response = (await self.send(client, f"r-{number}", GUARD_S)).unwrap()
            self.assertEqual(response.body, b"body")
        for result in await asyncio.gather(*endless):
            self.assertIs(result.unwrap_err().outcome, Outcome.UNKNOWN)

    async def test_the_sum_of_unfinished_bodies_is_bounded(self) -> None:
        size = MAX_RESPONSE_BYTES * 2 // 3

        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            request_id = await read_request(reader)
            head = f"HTTP/1.1 200 OK\r\nX-Sign: s\r\nX-Id: {request_id}\r\n".encode()
            if request_id == "small":
                writer.write(head + b"Content-Length: 4\r\n\r\nbody")
                return
            writer.write(head + b"\r\n")
            for _ in range(size >> 16):
                writer.write(b"a" * (1 << 16))
                await writer.drain()

        target, client = await self.start(script)
        large = [asyncio.create_task(self.send(client, "large", GUARD_S * 2)) for _ in range(8)]
        # The target sends no more, so that only the bound can end a call before its deadline.
        await until(lambda: sum(task.done() for task in large) >= 4)
        for task in large:
            if task.done():
                failure = task.result().unwrap_err()
                self.assertIs(failure.outcome, Outcome.UNKNOWN)
                self.assertIn("the target's connection failed", failure.reason)
        response = (await self.send(client, "small", GUARD_S)).unwrap()
        self.assertEqual(response.body, b"body")
        for task in large:
            task.cancel()
        client.close()
        await until(lambda: target.closed == target.opened)
