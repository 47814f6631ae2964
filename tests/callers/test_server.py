"""Tests of the HTTP server for callers."""

import asyncio
import socket
import typing as t
import unittest
from unittest import mock

import aiohttp
from aiohttp import web
from aiohttp import web_protocol
from aiohttp.http_parser import HttpRequestParserPy

from bulrushflow.callers import CallerServer
from bulrushflow.callers import server as server_module
from bulrushflow.configuration import Configuration
from bulrushflow.configuration import ConfigurationStore
from bulrushflow.configuration import Route
from bulrushflow.configuration import Service
from bulrushflow.metrics import Metrics
from bulrushflow.routing import ByteBudget
from bulrushflow.routing import Call
from bulrushflow.routing import CallResult
from bulrushflow.routing import Response
from bulrushflow.routing import answer_lost
from bulrushflow.routing import not_run
from bulrushflow.routing import refused
from bulrushflow.routing import unknown
from bulrushflow.settings import CallSettings
from tests.targets.servers import GUARD_S
from tests.waiting import until

MAX_BODY_BYTES = 1000
SLOW_BODY_BYTES = 48 << 10
SOCKET_BUFFER_BYTES = 4 << 10


class StubStore:
    """A store whose configuration is fixed."""

    def __init__(self, current: Configuration) -> None:
        self.current = current


class FakeDispatcher:
    """Records calls, and returns ``result`` once ``may_end`` is set."""

    def __init__(self) -> None:
        self.calls: list[Call] = []
        self.cancelled = 0
        self.result: CallResult | None = None
        self.exception: Exception | None = None
        self.may_end = asyncio.Event()
        self.may_end.set()

    async def dispatch(self, configuration: Configuration, call: Call) -> CallResult:
        """See :class:`Dispatcher`."""
        self.calls.append(call)
        try:
            await self.may_end.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        if self.exception is not None:
            raise self.exception
        return self.result or Response(200, (), call.body).as_result()


class CallerServerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.routes = {"/payments": Route("/payments", "payments")}
        configuration = Configuration(
            services_by_name={"payments": Service("payments", "v1")}, routes_by_path=self.routes
        )
        store = t.cast(ConfigurationStore, StubStore(configuration))
        self.dispatcher = FakeDispatcher()
        self.byte_budget = ByteBudget(MAX_BODY_BYTES * 2)
        self.callers = CallerServer(
            store,
            self.dispatcher,  # type: ignore
            Metrics(10),
            CallSettings(max_body_bytes=MAX_BODY_BYTES),
            self.byte_budget,
            lambda: True,
        )
        self.runner = web.ServerRunner(self.callers.server(), shutdown_timeout=0.1)
        await self.runner.setup()
        self.addAsyncCleanup(self.runner.cleanup)
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        self.url = f"http://127.0.0.1:{self.runner.addresses[0][1]}/payments/7"
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def post(self, **options: t.Any) -> tuple[int, str | None, bytes]:
        async with self.session.post(self.url, **options) as response:
            return response.status, response.headers.get("x-outcome"), await response.read()

    async def test_outcomes_map_to_status_and_header(self) -> None:
        cases: list[tuple[CallResult, int, str | None]] = [
            (Response(500, (), b"").as_result(), 500, None),
            (not_run(""), 503, "not-run"),
            (refused(""), 503, "not-run"),
            (unknown(""), 504, "unknown"),
            (answer_lost(""), 502, "answer-lost"),
        ]
        for result, status, value in cases:
            with self.subTest(result=result):
                self.dispatcher.result = result
                self.assertEqual((await self.post())[:2], (status, value))

    async def test_bodies_are_complete_or_refused_before_dispatch(self) -> None:
        async def chunks(size: int) -> t.AsyncIterator[bytes]:
            for _ in range(size // 100):
                yield bytes(100)

        cases = [
            (bytes(MAX_BODY_BYTES), 200),
            (chunks(MAX_BODY_BYTES), 200),
            (bytes(MAX_BODY_BYTES + 1), 413),
            (chunks(MAX_BODY_BYTES + 100), 413),
        ]
        for body, status in cases:
            with self.subTest(status=status, chunked=not isinstance(body, bytes)):
                self.dispatcher.calls.clear()
                got = await self.post(data=body)
                self.assertEqual(got[0], status)
                self.assertEqual(got[1], None if status == 200 else "not-run")
                if status == 200:
                    self.assertEqual(got[2], bytes(MAX_BODY_BYTES))
                self.assertEqual(len(self.dispatcher.calls), status == 200)
                await until(lambda: self.byte_budget.used_bytes == 0)

    async def test_a_malformed_body_is_refused_as_such(self) -> None:
        # Only aiohttp's Python parser reports a malformed chunk to the reader of the body.
        with mock.patch.object(web_protocol, "HttpRequestParser", HttpRequestParserPy):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.runner.addresses[0][1])
            writer.write(b"POST /payments HTTP/1.1\r\nhost: a\r\n")
            writer.write(b"transfer-encoding: chunked\r\n\r\n5\r\nbegin\r\n")
            # A body without a length takes space as it arrives.
            await until(lambda: self.byte_budget.used_bytes == len(b"begin"))
            writer.write(b"not a chunk size\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
        self.assertIn(b" 400 ", head.splitlines()[0])
        self.assertIn(b"x-outcome: not-run", head.lower())
        writer.close()
        self.assertEqual(self.dispatcher.calls, [])

    async def test_body_beyond_the_byte_budget_is_refused(self) -> None:
        self.byte_budget.reserve(MAX_BODY_BYTES * 2 - 1)
        self.assertEqual((await self.post(data=b"12"))[:2], (503, "not-run"))
        self.assertEqual((await self.post(data=b"1"))[0], 200)

    async def test_body_that_does_not_arrive_in_time_is_refused(self) -> None:
        async def stall() -> t.AsyncIterator[bytes]:
            yield b"begin"
            await asyncio.Event().wait()

        self.routes["/payments"] = Route("/payments", "payments", timeout_ms=10)
        self.assertEqual((await self.post(data=stall()))[:2], (408, "not-run"))
        await until(lambda: self.byte_budget.used_bytes == 0)
        self.assertEqual(self.dispatcher.calls, [])

    async def test_an_exception_of_the_dispatch_is_never_reported_as_not_run(self) -> None:
        # aiohttp chooses these statuses for exceptions of a handler.
        for exception, status in ((TimeoutError(), 504), (RuntimeError(), 500)):
            with self.subTest(exception=exception):
                self.dispatcher.exception = exception
                self.assertEqual((await self.post(data=b"body"))[:2], (status, None))
                await until(lambda: self.byte_budget.used_bytes == 0)

    async def test_connection_of_a_caller_that_does_not_read_is_closed(self) -> None:
        large = Response(200, (), bytes(64 << 20)).as_result()
        self.dispatcher.result = large
        with mock.patch.object(server_module, "WRITE_TIMEOUT_S", 0.05):
            _, writer = await asyncio.open_connection(
                "127.0.0.1", self.runner.addresses[0][1], limit=1
            )
            writer.write(b"POST /payments/7 HTTP/1.1\r\nhost: a\r\n\r\n")
            await until(lambda: self.byte_budget.used_bytes > 0)
            self.assertEqual(self.callers._in_flight, 1)
            await until(lambda: self.byte_budget.used_bytes == 0)
        writer.close()
        self.assertTrue(await self.callers.drain(GUARD_S))

    async def test_expect_continue_is_answered(self) -> None:
        self.assertEqual((await self.post(data=b"whole", expect100=True))[2], b"whole")

    async def test_disconnected_callers_call_is_cancelled(self) -> None:
        self.dispatcher.may_end.clear()
        posting = asyncio.create_task(self.post())
        await until(lambda: len(self.dispatcher.calls) == 1)
        posting.cancel()
        await until(lambda: self.dispatcher.cancelled == 1)

    async def test_timeout_and_attempt_headers_are_bounded(self) -> None:
        cases = [
            ({}, 2.0, 0),
            ({"x-timeout-ms": "500", "x-attempt": "2"}, 0.5, 2),
            ({"x-timeout-ms": "9000", "x-attempt": "x"}, 2.0, 0),
            ({"x-timeout-ms": "9" * 5000, "x-attempt": "9" * 5000}, 2.0, 1000),
        ]
        for headers, timeout_s, attempt in cases:
            with self.subTest(headers=headers):
                before = asyncio.get_running_loop().time()
                await self.post(headers=headers)
                call = self.dispatcher.calls[-1]
                after = asyncio.get_running_loop().time()
                self.assertTrue(before <= call.deadline - timeout_s <= after)
                self.assertEqual(call.attempt, attempt)

    async def test_route_defines_idempotent_methods(self) -> None:
        cases = {(): False, ("PATCH", "POST"): True}
        for methods, idempotent in cases.items():
            with self.subTest(methods=methods):
                self.routes["/payments"] = Route(
                    "/payments", "payments", idempotent_methods=methods
                )
                await self.post()
                self.assertEqual(self.dispatcher.calls[-1].idempotent, idempotent)

    async def test_headers_that_cannot_be_forwarded_are_refused(self) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.runner.addresses[0][1])
        writer.write(b"POST /payments/7 HTTP/1.1\r\nhost: a\r\nnote: \xff\r\n\r\n")
        self.assertIn(b" 400 ", await reader.readline())
        writer.close()
        self.assertEqual(self.dispatcher.calls, [])

    # The end of a response was lost with the process's buffer.
    async def test_drain_waits_until_a_slow_caller_has_the_whole_response(self) -> None:
        self.dispatcher.result = Response(200, (), bytes(SLOW_BODY_BYTES)).as_result()
        site: t.Any = next(iter(self.runner.sites))
        listener = site._server.sockets[0]
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
            sock.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, ("127.0.0.1", self.runner.addresses[0][1]))
            await loop.sock_sendall(sock, b"POST /payments/7 HTTP/1.1\r\nhost: a\r\n\r\n")
            await until(lambda: len(self.dispatcher.calls) == 1)
            drain = asyncio.create_task(self.callers.drain(GUARD_S))
            await until(lambda: self.callers._in_flight == 0)
            await asyncio.sleep(2 * server_module.DRAIN_QUIET_S)
            self.assertFalse(drain.done())
            received = b""
            # The connection was kept, as the response began before the drain.
            while len(received.partition(b"\r\n\r\n")[2]) < SLOW_BODY_BYTES:
                received += await loop.sock_recv(sock, 1 << 20)
            self.assertTrue(await drain)

    async def test_drain_completes_calls_and_closes_kept_alive_connections(self) -> None:
        self.assertEqual((await self.post())[0], 200)
        self.dispatcher.may_end.clear()
        posting = asyncio.create_task(self.post())
        await until(lambda: len(self.dispatcher.calls) == 2)
        drain = asyncio.create_task(self.callers.drain(GUARD_S))
        await asyncio.sleep(0)
        async with self.session.post(self.url) as response:
            self.assertEqual((response.status, response.headers["connection"]), (503, "close"))
            self.assertEqual(response.headers["x-outcome"], "not-run")
        self.assertFalse(drain.done())
        self.dispatcher.may_end.set()
        self.assertEqual((await posting)[0], 200)
        self.assertTrue(await drain)
