import asyncio
import socket
import struct
import typing as t
import unittest

from bulrushflow.sidecar.calls.body_buffers import BodyBuffers
from bulrushflow.sidecar.calls.exchange import MAX_EVENTS_PER_TURN
from bulrushflow.sidecar.calls.exchange import MAX_HEADER_LINES
from bulrushflow.sidecar.calls.exchange import MAX_INFORMATIONAL_RESPONSES
from bulrushflow.sidecar.calls.exchange import MAX_STALE_RESPONSES
from bulrushflow.sidecar.calls.exchange import ExchangeError
from bulrushflow.sidecar.calls.exchange import RawResponse
from bulrushflow.sidecar.calls.exchange import TargetConnection
from tests.waiting import GUARD_S
from tests.waiting import until

Script = t.Callable[[asyncio.StreamReader, asyncio.StreamWriter], t.Awaitable[None]]


def response(call_id: str, body: bytes, length: bool = True) -> bytes:
    head = f"HTTP/1.1 200 OK\r\nX-Id: {call_id}\r\n"
    if length:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


class ExchangeTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.body_buffers = BodyBuffers(2 << 20)

    async def connect(self, script: Script) -> TargetConnection:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await script(reader, writer)
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addAsyncCleanup(self._close, server)
        address = server.sockets[0].getsockname()
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: TargetConnection("x-id", 1 << 20, self.body_buffers), *address
        )
        self.addCleanup(connection.close)
        return connection

    async def _close(self, server: asyncio.Server) -> None:
        server.close()

    async def call(self, connection: TargetConnection, call_id: str) -> RawResponse:
        headers = [("Host", "h"), ("X-Id", call_id)]
        return await connection.exchange("GET", "/a", headers, b"", call_id)

    async def test_a_connection_is_reused_for_a_second_call(self) -> None:
        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            for call_id in ("1", "2"):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(response(call_id, b"body"))

        connection = await self.connect(script)
        self.assertEqual((await self.call(connection, "1")).body, b"body")
        self.assertTrue(connection.reusable)
        self.assertEqual((await self.call(connection, "2")).status, 200)

    async def test_a_body_counts_as_buffered_until_its_call_ends(self) -> None:
        part = response("1", b"body")[:-1]

        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(part)

        for end in (b"y", b"yy", None):
            with self.subTest(end=end):
                connection = await self.connect(script)
                calling = asyncio.create_task(self.call(connection, "1"))
                await until(lambda: self.body_buffers.used_bytes == 3)
                if end is None:
                    calling.cancel()
                else:
                    connection.data_received(end)
                await asyncio.wait([calling])
                self.assertEqual(self.body_buffers.used_bytes, 0)

    async def test_a_stale_response_to_an_earlier_call_is_ignored(self) -> None:
        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response("1", b"first"))
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response("1", b"extra"))
            await writer.drain()
            await asyncio.sleep(0.01)
            writer.write(response("2", b"second"))

        connection = await self.connect(script)
        await self.call(connection, "1")
        self.assertEqual((await self.call(connection, "2")).body, b"second")

    async def test_the_response_after_many_stale_ones_is_returned(self) -> None:
        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            for call_id in ("1", "2"):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(response("0", b"other") * MAX_STALE_RESPONSES)
                writer.write(response(call_id, b"body"))

        connection = await self.connect(script)
        self.assertEqual((await self.call(connection, "1")).body, b"body")
        self.assertEqual((await self.call(connection, "2")).body, b"body")

    async def test_the_response_after_informational_ones_is_returned(self) -> None:
        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            for call_id in ("1", "2"):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 100 Continue\r\n\r\n" * MAX_INFORMATIONAL_RESPONSES)
                writer.write(response(call_id, b"body"))

        connection = await self.connect(script)
        self.assertEqual((await self.call(connection, "1")).body, b"body")
        self.assertEqual((await self.call(connection, "2")).body, b"body")

    async def test_parsing_of_many_small_parts_leaves_turns_to_other_tasks(self) -> None:
        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")

        parts = 5000
        connection = await self.connect(script)
        calling = asyncio.create_task(self.call(connection, "1"))
        await asyncio.sleep(0)
        head = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        connection.data_received(head + b"1\r\na\r\n" * parts + b"0\r\n\r\n")
        turns = 0
        while not calling.done():
            await asyncio.sleep(0)
            turns += 1
        self.assertEqual((await calling).body, b"a" * parts)
        self.assertTrue(connection.reusable)
        self.assertGreaterEqual(turns, parts // MAX_EVENTS_PER_TURN)

    async def test_a_response_with_too_many_header_lines_fails_the_call(self) -> None:
        for status in (200, 100):
            with self.subTest(status):

                async def script(
                    reader: asyncio.StreamReader,
                    writer: asyncio.StreamWriter,
                    status: int = status,
                ) -> None:
                    await reader.readuntil(b"\r\n\r\n")
                    head = f"HTTP/1.1 {status} S\r\nContent-Length: 0\r\n".encode()
                    writer.write(head + b"a:\r\n" * MAX_HEADER_LINES + b"\r\n")
                    writer.write(response("1", b"body"))

                connection = await self.connect(script)
                with self.assertRaises(ExchangeError) as raised:
                    await self.call(connection, "1")
                self.assertIn(f"at most {MAX_HEADER_LINES}", str(raised.exception))

    async def test_a_response_with_many_header_lines_is_returned(self) -> None:
        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            lines = b"a:\r\n" * (MAX_HEADER_LINES - 1)
            writer.write(b"HTTP/1.1 200 OK\r\n" + lines + b"Content-Length: 0\r\n\r\n")

        connection = await self.connect(script)
        headers = (await self.call(connection, "1")).headers
        self.assertEqual(len(headers), MAX_HEADER_LINES)

    async def test_a_keep_alive_timeout_that_is_no_number_is_ignored(self) -> None:
        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            head = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=\xc2\xb2\r\n"
            writer.write(head + b"Content-Length: 4\r\n\r\nbody")

        connection = await self.connect(script)
        self.assertEqual((await self.call(connection, "1")).body, b"body")
        self.assertIsNone(connection.keep_alive_s)

    async def test_a_switch_of_protocols_fails_the_call(self) -> None:
        cases = (
            ("CONNECT", (), b"HTTP/1.1 200 OK\r\n\r\n"),
            ("GET", (("Upgrade", "x"),), b"HTTP/1.1 101 Switching Protocols\r\n\r\n"),
        )
        for method, headers, head in cases:
            with self.subTest(method):

                async def script(
                    reader: asyncio.StreamReader,
                    writer: asyncio.StreamWriter,
                    head: bytes = head,
                ) -> None:
                    await reader.readuntil(b"\r\n\r\n")
                    writer.write(head + b"a" * 1000)

                connection = await self.connect(script)
                with self.assertRaises(ExchangeError):
                    async with asyncio.timeout(GUARD_S):
                        request_headers = [("Host", "h"), *headers]
                        await connection.exchange(method, "/a", request_headers, b"", "1")
                self.assertFalse(connection.reusable)

    async def test_data_after_a_response_closes_the_connection(self) -> None:
        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response("1", b"first") + response("1", b"extra"))

        connection = await self.connect(script)
        self.assertEqual((await self.call(connection, "1")).body, b"first")
        self.assertFalse(connection.reusable)

    async def test_data_on_an_idle_connection_closes_it(self) -> None:
        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response("1", b"first"))
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.write(response("1", b"extra"))

        connection = await self.connect(script)
        await self.call(connection, "1")
        await until(lambda: not connection.reusable)

    async def test_a_response_without_length_ends_when_the_connection_closes(self) -> None:
        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response("1", b"whole", length=False))
            await writer.drain()
            writer.close()

        connection = await self.connect(script)
        self.assertEqual((await self.call(connection, "1")).body, b"whole")

    async def test_a_reset_does_not_end_a_response_without_length(self) -> None:
        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response("1", b"part", length=False))
            await writer.drain()
            await asyncio.sleep(0.02)
            raw = writer.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

        connection = await self.connect(script)
        with self.assertRaises(ExchangeError):
            await self.call(connection, "1")

    async def test_a_malformed_request_is_not_sent(self) -> None:
        received = bytearray()

        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            received.extend(await reader.read(100))

        connection = await self.connect(script)
        with self.assertRaises(ExchangeError):
            await connection.exchange("GET", "/a", [("Host", "h"), ("X", "a\nb")], b"", "1")
        self.assertEqual(received, b"")

    async def test_a_malformed_or_truncated_response_fails_the_call(self) -> None:
        for data in (b"garbage\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort"):
            with self.subTest(data=data):

                async def script(
                    reader: asyncio.StreamReader,
                    writer: asyncio.StreamWriter,
                    data: bytes = data,
                ) -> None:
                    await reader.readuntil(b"\r\n\r\n")
                    writer.write(data)
                    await writer.drain()
                    writer.close()

                connection = await self.connect(script)
                with self.assertRaises(ExchangeError):
                    await self.call(connection, "1")
                self.assertFalse(connection.reusable)
