"""Large responses between two nodes: whole, broken off, cancelled, and to callers that are slow."""

import asyncio
import math
import re
import typing as t
from unittest import mock

from bulrushflow.placement.links import LARGE_RESPONSE_BYTES
from bulrushflow.placement.links import MAX_WINDOW_BYTES
from bulrushflow.placement.links import LinkPacer
from bulrushflow.sidecar.calls.transfers import ResponseTransfers
from bulrushflow.sidecar.settings import Endpoint
from bulrushflow.wire.transfers import GRANT_FRACTION
from bulrushflow.wire.transfers import IncomingBody
from tests.sidecar.fleet import FleetTestCase
from tests.waiting import GUARD_S
from tests.waiting import until

DOWNLOAD_BYTES = 540_000
MANY_BYTES = 12 << 20
"""More than a socket's buffers hold, so that a caller that doesn't read stops the transfer."""


class DownloadTarget:
    """A target whose responses the test sets, with or without a length, whole or broken off."""

    def __init__(self) -> None:
        self.body = b""
        self.framing = "length"
        self.sent_bytes: int | None = None
        """Bytes after which the target closes the connection, if not after the whole body."""
        self.received = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> Endpoint:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return Endpoint(*self._server.sockets[0].getsockname())

    async def stop(self) -> None:
        for writer in self._writers:
            writer.transport.abort()
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                self.received += 1
                found = re.search(r"(?i)^x-id: (.*)\r$", head, re.MULTILINE)
                assert found is not None
                small = "/a/small" in head
                await self._respond(writer, found[1], b"small" if small else self.body, small)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def _respond(
        self, writer: asyncio.StreamWriter, call_id: str, body: bytes, small: bool
    ) -> None:
        head = f"HTTP/1.1 200 OK\r\nX-Id: {call_id}\r\nX-Sign: s\r\n"
        framing = "length" if small else self.framing
        if framing == "length":
            head += f"Content-Length: {len(body)}\r\n"
        if framing == "chunks":
            head += "Transfer-Encoding: chunked\r\n"
            body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        writer.write(head.encode() + b"\r\n" + body[: None if small else self.sent_bytes])
        await writer.drain()
        if not small and (framing == "close" or self.sent_bytes is not None):
            writer.close()


class DownloadTestCase(FleetTestCase):
    """The first node's callers call the target of the second node."""

    target_type = DownloadTarget  # type: ignore[assignment]

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.store.put("keyed.op", "config", self.configuration)
        await self.announce(1)
        for instance in self.instances:
            await instance.until_serving(1)
        self.target = t.cast(DownloadTarget, self.targets[1])
        self.origin, self.remote = (instance.sidecar for instance in self.instances[:2])
        self.incoming: list[IncomingBody] = []
        receive = ResponseTransfers.receive

        async def record(
            transfers: ResponseTransfers, result: t.Any, body: IncomingBody, deadline: float
        ) -> t.Any:
            self.incoming.append(body)
            return await receive(transfers, result, body, deadline)

        patch = mock.patch.object(ResponseTransfers, "receive", record)
        patch.start()
        self.addCleanup(patch.stop)

    async def open(
        self, call_id: str, timeout_ms: int = 9_000
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter, int]:
        """Start a call; return its connection and the length that its response announces."""
        endpoint = self.instances[0].sidecar.listeners.bound_by_setting["callers"]
        reader, writer = await asyncio.open_connection(endpoint.address, endpoint.port, limit=1024)
        self.addCleanup(writer.transport.abort)
        request = f"GET /a/b HTTP/1.1\r\nHost: h\r\nX-Id: {call_id}\r\nX-Left: {timeout_ms}\r\n\r\n"
        writer.write(request.encode())
        async with asyncio.timeout(GUARD_S):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
        self.assertIn(" 200 ", head)
        found = re.search(r"(?i)content-length: (\d+)", head)
        assert found is not None
        return reader, writer, int(found[1])

    async def read_rest(self, reader: asyncio.StreamReader) -> int:
        """Return how many bytes of a body arrive until the connection ends."""
        count = 0
        try:
            async with asyncio.timeout(GUARD_S):
                while data := await reader.read(1 << 16):
                    count += len(data)
        except ConnectionError:
            pass
        return count

    async def until_nothing_is_held(self) -> None:
        transfers = self.remote._forwarder._transfers
        await until(lambda: transfers.budget.used_bytes == 0)
        await until(lambda: self.remote._links.sender.count == 0)
        await until(lambda: self.origin._callers.in_flight == 0)
        self.assertEqual([body.held_bytes for body in self.incoming], [0] * len(self.incoming))

    async def outcomes(self) -> dict[str, int]:
        """Return the numbers of calls at the first node, by outcome."""
        pattern = r'bulrushflow_calls_total\{outcome="(\w+)".*\} (\d+)'
        return {k: int(v) for k, v in re.findall(pattern, await self.metrics(0))}


class WholeResponseTests(DownloadTestCase):
    async def test_bodies_of_any_size_and_framing_arrive_whole(self) -> None:
        bound = LARGE_RESPONSE_BYTES
        calls = 0
        for size in (0, 1, bound - 1, bound, bound + 1, DOWNLOAD_BYTES, 3 << 20):
            for framing in ("length", "chunks", "close"):
                with self.subTest(size=size, framing=framing):
                    self.target.framing = framing
                    self.target.body = bytes(range(256)) * (size // 256) + bytes(size % 256)
                    calls += 1
                    self.assertEqual(await self.call(0, f"c-{calls}"), (200, self.target.body))
                    self.assertEqual(len(self.incoming), int(size > bound))
                    self.incoming.clear()
        await self.until_nothing_is_held()
        self.assertEqual(await self.outcomes(), {"ok": calls})

    async def test_nodes_of_an_earlier_release_get_and_send_whole_responses(self) -> None:
        self.target.body = bytes(DOWNLOAD_BYTES)

        def answer_whole(
            _: ResponseTransfers, request: t.Any, answer: t.Any, late_after: float, deadline: float
        ) -> dict[str, t.Any]:
            return {"call_answer": answer}

        earlier_receiver = mock.patch.object(self.origin._transfers, "window_bytes", None)
        earlier_sender = mock.patch.object(ResponseTransfers, "answer", answer_whole)
        for name, patch in (("receiver", earlier_receiver), ("sender", earlier_sender)):
            with self.subTest(name), patch:
                self.assertEqual(await self.call(0, f"c-{name}"), (200, self.target.body))
                self.assertEqual(self.incoming, [])

    async def test_an_error_with_a_large_body_arrives_whole(self) -> None:
        """Its call may be tried again, so it can't be passed on before that is decided."""
        self.target.body = bytes(DOWNLOAD_BYTES)
        respond = self.target._respond

        async def fail(writer: t.Any, call_id: str, body: bytes, small: bool) -> None:
            writer.write(f"HTTP/1.1 500 E\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)

        with mock.patch.object(self.target, "_respond", fail):
            self.assertEqual(await self.call(0, "c-1"), (500, self.target.body))
        self.assertEqual(self.target._respond, respond)
        await self.until_nothing_is_held()


class BrokenOffResponseTests(DownloadTestCase):
    async def test_a_response_that_the_target_breaks_off_is_not_begun(self) -> None:
        self.target.body = bytes(DOWNLOAD_BYTES)
        self.target.sent_bytes = DOWNLOAD_BYTES - 1
        for framing in ("length", "chunks"):
            with self.subTest(framing):
                self.target.framing = framing
                status, _ = await self.call(0, f"c-{framing}")
                self.assertEqual(status, 502)
        self.assertEqual(self.incoming, [])

    async def test_a_lost_link_breaks_the_response_off_and_the_call_fails(self) -> None:
        self.target.body = bytes(MANY_BYTES)
        reader, _, length = await self.open("c-1")
        self.assertEqual(length, MANY_BYTES)
        for link in self.remote._links._all_links():
            link.abort()
        self.assertLess(await self.read_rest(reader), MANY_BYTES)
        await self.until_nothing_is_held()
        self.assertEqual(await self.outcomes(), {"answer_lost": 1})

    async def test_a_caller_that_leaves_ends_the_transfer_on_both_nodes(self) -> None:
        self.target.body = bytes(MANY_BYTES)
        _, writer, _ = await self.open("c-1")
        self.assertEqual(self.remote._links.sender.count, 1)
        writer.transport.abort()
        await self.until_nothing_is_held()
        self.assertEqual(await self.outcomes(), {"cancelled": 1})
        self.assertEqual(await self.call(0, "c-2", "/a/small"), (200, b"small"))

    async def test_the_deadline_breaks_the_response_off(self) -> None:
        self.target.body = bytes(MANY_BYTES)
        reader, _, length = await self.open("c-1", timeout_ms=1_500)
        await self.until_nothing_is_held()
        self.assertLess(await self.read_rest(reader), length)
        self.assertEqual(await self.outcomes(), {"answer_lost": 1})

    async def test_a_stop_breaks_the_response_off(self) -> None:
        self.target.body = bytes(MANY_BYTES)
        reader, _, length = await self.open("c-1")
        self.origin._callers.begin_stop(asyncio.get_running_loop().time())
        self.assertLess(await self.read_rest(reader), length)
        await self.until_nothing_is_held()
        self.assertEqual(await self.outcomes(), {"answer_lost": 1})

    async def test_a_response_without_space_fails_its_call(self) -> None:
        """Held without a bound, responses that wait for a narrow link exhaust the memory."""
        self.target.body = bytes(DOWNLOAD_BYTES)
        budget = self.remote._forwarder._transfers.budget
        budget.max_bytes = DOWNLOAD_BYTES - 1
        status, body = await self.call(0, "c-1")
        self.assertEqual(status, 502)
        self.assertIn(b"no buffer space for a response", body)
        self.assertEqual(budget.used_bytes, 0)


class RetriedResponseTests(DownloadTestCase):
    node_count = 3

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.announce(2)
        await self.instances[0].until_serving(2)
        for target in self.targets:
            t.cast(DownloadTarget, target).body = bytes(DOWNLOAD_BYTES)

    async def test_a_response_lost_before_its_first_bytes_is_fetched_from_another_target(
        self,
    ) -> None:
        """The caller has got nothing yet, so an idempotent call needn't fail."""
        begun: list[IncomingBody] = []
        wait_begun = IncomingBody.wait_begun

        async def lose_first(body: IncomingBody) -> t.Any:
            begun.append(body)
            if len(begun) == 1:
                for link in self.origin._links._all_links():
                    link.abort()
                await until(lambda: not body.open)
            return await wait_begun(body)

        with mock.patch.object(IncomingBody, "wait_begun", lose_first):
            self.assertEqual(await self.call(0, "c-1"), (200, bytes(DOWNLOAD_BYTES)))
        self.assertEqual(len(begun), 2)
        received = [t.cast(DownloadTarget, target).received for target in self.targets]
        self.assertEqual(received, [0, 1, 1])
        await self.until_nothing_is_held()
        self.assertEqual(await self.outcomes(), {"ok": 1})


class HeldLink(LinkPacer):
    """A narrow link that is busy with the chunks written so far until the test releases it."""

    __slots__ = ("held",)

    def __init__(self) -> None:
        super().__init__(5.0)
        self.held = True

    def next_chunk_at(self, now: float) -> float:
        """See :meth:`Pacer.next_chunk_at`."""
        chunk_at = super().next_chunk_at(now)
        return max(chunk_at, now + 0.01) if self.held and chunk_at > -math.inf else chunk_at


class NarrowLinkTests(DownloadTestCase):
    async def test_small_responses_pass_the_downloads_of_a_narrow_link(self) -> None:
        """In one queue with whole responses, each would wait for all downloads ahead of it."""
        link = self.remote._links.sender._pacer = HeldLink()
        self.target.body = bytes(90_000)
        ended: list[str] = []

        async def call(call_id: str, path: str) -> None:
            status, _ = await self.call(0, call_id, path)
            self.assertEqual(status, 200)
            ended.append(call_id)

        downloads = [asyncio.create_task(call(f"large-{i}", "/a/b")) for i in range(4)]
        await until(lambda: len(self.incoming) == len(downloads))
        for i in range(5):
            await call(f"small-{i}", "/a/small")
        self.assertGreater(self.remote._links.sender.count, 0)
        link.held = False
        await asyncio.gather(*downloads)
        self.assertEqual(ended[:5], [f"small-{i}" for i in range(5)])


class SlowCallerTests(DownloadTestCase):
    async def test_a_caller_that_does_not_read_holds_a_window_and_delays_nobody(self) -> None:
        self.target.body = bytes(MANY_BYTES)
        reader, _, length = await self.open("c-1")
        (body,) = self.incoming
        # What its reader consumed since the last grant is missing from the window.
        await until(lambda: body.held_bytes > MAX_WINDOW_BYTES * (1 - GRANT_FRACTION))
        self.assertEqual(await self.call(0, "c-2", "/a/small"), (200, b"small"))
        self.assertLessEqual(body.held_bytes, MAX_WINDOW_BYTES)
        self.assertEqual(self.remote._links.sender.count, 1)
        # The target's slot is free, although its response isn't delivered.
        self.assertEqual(self.remote._admission.load, 0)
        async with asyncio.timeout(GUARD_S):
            self.assertEqual(len(await reader.readexactly(length)), MANY_BYTES)
        await self.until_nothing_is_held()
        self.assertEqual(await self.outcomes(), {"ok": 2})
