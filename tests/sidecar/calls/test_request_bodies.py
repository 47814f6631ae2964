"""Large request bodies: what nodes hold of them at once, and bodies that don't end as they say."""

import asyncio
import json
from unittest import mock

from bulrushflow.sidecar.calls import callers
from bulrushflow.sidecar.calls import forwarding
from tests.sidecar.fleet import FleetTestCase
from tests.sidecar.fleet import configuration
from tests.waiting import GUARD_S
from tests.waiting import until

BODY_BYTES = 10_000
MAX_BODY_BYTES = 40_000


def upload_configuration() -> bytes:
    document = json.loads(configuration(1))
    document["listeners"][0]["ruleSet"][0]["kind"] = "upload"
    document["limits"] = {"maxBodyBytes": MAX_BODY_BYTES}
    return json.dumps(document).encode()


def head(call_id: str, *lines: str) -> bytes:
    fields = ["POST /a/b HTTP/1.1", "Host: h", f"X-Id: {call_id}", "X-Left: 5000", *lines]
    return "\r\n".join([*fields, "", ""]).encode()


class UploadTestCase(FleetTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.store.put("keyed.op", "config", upload_configuration())
        for number in range(self.node_count):
            await self.announce(number)
        for instance in self.instances:
            await instance.until_serving(self.node_count)
        self.callers = self.instances[0].sidecar._callers
        self.forwarder = self.instances[0].sidecar._forwarder

    async def exchange(self, *parts: bytes, end: bool = False) -> bytes:
        """Send bytes on a new connection and return the response to them.

        :param end: whether the connection's sending side ends after them.
        """
        endpoint = self.instances[0].sidecar.listeners.bound_by_setting["callers"]
        reader, writer = await asyncio.open_connection(endpoint.address, endpoint.port)
        try:
            for part in parts:
                writer.write(part)
                await writer.drain()
            if end:
                writer.write_eof()
            async with asyncio.timeout(GUARD_S):
                return await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError as exc:
            return exc.partial
        finally:
            writer.close()

    async def until_nothing_is_held(self) -> None:
        budgets = [self.callers.body_budget, self.forwarder.body_budget]
        await until(lambda: not any(budget.used_bytes for budget in budgets))


class HeldBodyTests(UploadTestCase):
    async def test_bodies_beyond_the_receiving_node_s_bound_are_refused_as_not_run(self) -> None:
        self.callers.body_budget.max_bytes = 3 * BODY_BYTES
        for target in self.targets:
            target.released.clear()
        waiting = [asyncio.ensure_future(self.upload(f"c-{i}")) for i in range(3)]
        await until(lambda: sum(len(target.received) for target in self.targets) == 3)
        response = await self.exchange(head("c-3", f"Content-Length: {BODY_BYTES}"))
        self.assertIn(b" 503 ", response)
        self.assertIn(b"Retry-After", response)
        for target in self.targets:
            target.released.set()
        self.assertEqual([status for status, _ in await asyncio.gather(*waiting)], [200] * 3)
        self.assertEqual(sum(len(target.received) for target in self.targets), 3)
        await self.until_nothing_is_held()
        self.assertEqual((await self.upload("c-4"))[0], 200)

    async def test_a_body_without_a_length_takes_space_as_it_arrives(self) -> None:
        self.callers.body_budget.max_bytes = BODY_BYTES
        chunk = b"1000\r\n" + b"x" * 0x1000 + b"\r\n"
        response = await self.exchange(head("c-1", "Transfer-Encoding: chunked"), chunk * 3)
        self.assertIn(b" 503 ", response)
        await self.until_nothing_is_held()
        self.assertFalse(any(target.received for target in self.targets))

    async def test_bodies_beyond_the_admitting_node_s_bound_are_refused_as_not_run(self) -> None:
        for instance in self.instances:
            instance.sidecar._forwarder.body_budget.max_bytes = BODY_BYTES - 1
        results = [await self.upload(f"c-{i}") for i in range(8)]
        # Those that go to the own target pass no other node; refused ones are retried there.
        self.assertEqual({status for status, _ in results}, {200})
        self.assertFalse(self.targets[1].received)

    async def upload(self, call_id: str) -> tuple[int, bytes]:
        url = self.instances[0].url("callers", "/a/b")
        headers = {"Host": "h", "X-Id": call_id, "X-Left": "9000"}
        async with self.http.post(url, headers=headers, data=b"x" * BODY_BYTES) as response:
            return response.status, await response.read()


class MalformedBodyTests(UploadTestCase):
    async def test_a_body_longer_than_the_configuration_allows_is_refused_unread(self) -> None:
        response = await self.exchange(head("c-1", f"Content-Length: {MAX_BODY_BYTES + 1}"))
        self.assertIn(b" 413 ", response)

    async def test_bodies_that_do_not_end_as_they_say_reach_no_target(self) -> None:
        endless = b"1000\r\n" + b"x" * 0x1000 + b"\r\n"
        cases: list[tuple[str, str, bytes, bool]] = [
            ("shorter than its length", "Content-Length: 100", b"x" * 50, True),
            ("a chunk of an invalid length", "Transfer-Encoding: chunked", b"zz\r\nx\r\n", False),
            ("a chunk that breaks off", "Transfer-Encoding: chunked", b"10\r\nx", True),
            ("without end", "Transfer-Encoding: chunked", endless * 11, False),
        ]
        for name, framing, data, end in cases:
            with self.subTest(name):
                response = await self.exchange(head("c-1", framing), data, end=end)
                self.assertNotIn(b" 200 ", response)
                await self.until_nothing_is_held()
                self.assertFalse(any(target.received for target in self.targets))

    async def test_a_request_whose_body_is_longer_than_its_length_is_malformed(self) -> None:
        data = head("c-1", "Content-Length: 4") + b"body and more\r\n\r\n"
        self.assertIn(b" 400 ", await self.exchange(data))
        await self.until_nothing_is_held()
        self.assertFalse(any(target.received for target in self.targets))

    async def test_a_caller_that_leaves_in_the_middle_of_its_body_frees_its_space(self) -> None:
        endpoint = self.instances[0].sidecar.listeners.bound_by_setting["callers"]
        _, writer = await asyncio.open_connection(endpoint.address, endpoint.port)
        writer.write(head("c-1", f"Content-Length: {BODY_BYTES}") + b"x" * 100)
        await until(lambda: self.callers.body_budget.used_bytes == BODY_BYTES)
        writer.transport.abort()
        await self.until_nothing_is_held()
        self.assertFalse(any(target.received for target in self.targets))


class BoundTests(UploadTestCase):
    async def test_the_bounds_fit_into_the_smallest_instance(self) -> None:
        # Two nodes' roles in one process, bodies copied up to four times, 200 MB.
        held = callers.MAX_HELD_BODY_BYTES + forwarding.MAX_HELD_BODY_BYTES
        self.assertLess(held * 4, 200 << 20)
        with mock.patch.object(self.callers.body_budget, "max_bytes", 0):
            self.assertEqual((await self.call(0, "c-1"))[0], 200)
