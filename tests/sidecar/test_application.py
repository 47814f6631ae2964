import asyncio
import json
import unittest
from unittest import mock

import aiohttp
from aiohttp import web

from bulrushflow.platform.adapter import PlatformAdapter
from bulrushflow.platform.store import PlatformStore
from bulrushflow.sidecar import application
from bulrushflow.sidecar.application import Sidecar
from bulrushflow.sidecar.records import node_key
from bulrushflow.sidecar.settings import Endpoint
from bulrushflow.sidecar.settings import SidecarSettings
from tests.platform.standin import StoreStandIn
from tests.sidecar.samples import NAMES
from tests.sidecar.servers import FakeTarget
from tests.waiting import GUARD_S
from tests.waiting import until

ADDRESSES = ("127.0.0.1", "127.0.0.2")


class Adapter(PlatformAdapter):
    header_names = NAMES


def configuration(version: int, service: str = "s1") -> bytes:
    return json.dumps(
        {
            "version": version,
            "listeners": [
                {
                    "host": "h",
                    "ruleSet": [
                        {
                            "name": "r",
                            "kind": "safe",
                            "targetLatency": "5s",
                            "match": {"pathPrefix": "/a/"},
                            "action": {"service": service, "timeout": "9s", "maxAttempts": 2},
                        }
                    ],
                }
            ],
            "clusters": [{"name": "s1"}, {"name": "s2"}],
        }
    ).encode()


class Instance:
    """A sidecar with its target, on its own loopback address and ports picked by the system."""

    def __init__(self, address: str, store: Endpoint, target: Endpoint) -> None:
        self.target_address = str(target)
        self.settings = SidecarSettings(
            node_id=f"n-{address}",
            address=address,
            data_centre="a",
            peer_port=0,
            metrics_port=0,
            callers=Endpoint(address, 0),
            readiness=Endpoint(address, 0),
            announcements=Endpoint(address, 0),
            target=target,
            own_service="s1",
            store=store,
        )
        self.sidecar = self.new_sidecar()

    def new_sidecar(self) -> Sidecar:
        return Sidecar(self.settings, PlatformStore(self.settings.store), Adapter())

    def url(self, setting: str, path: str) -> str:
        """Return the URL of a path at one of the sidecar's servers."""
        return f"http://{self.sidecar.bound_by_setting[setting]}{path}"

    async def until_serving(self) -> None:
        await until(lambda: len(self.sidecar.directory.ready_peers("s1")) == 2)
        await until(self.sidecar.is_ready)

    async def until_version(self, version: int) -> None:
        await until(lambda: self.sidecar.routing.version == version)


class SidecarTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        patch = mock.patch.object(application, "READINESS_PROPAGATION_S", 0.05)
        patch.start()
        self.addCleanup(patch.stop)
        self.store = StoreStandIn()
        endpoint = await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        self.http = aiohttp.ClientSession()
        self.addAsyncCleanup(self.http.close)
        self.targets = [FakeTarget(), FakeTarget()]
        self.instances = []
        for address, target in zip(ADDRESSES, self.targets, strict=True):
            target_endpoint = await target.start()
            self.addAsyncCleanup(target.stop)
            instance = Instance(address, endpoint, target_endpoint)
            await instance.sidecar.start()
            self.addAsyncCleanup(instance.sidecar.stop)
            self.instances.append(instance)

    async def announce(self, number: int, state: str = "ready", sequence: int = 1) -> int:
        instance = self.instances[number]
        announcement = {
            "service": "s1",
            "address": instance.target_address,
            "zone": "a",
            "version": "v1",
            "slots": 4,
            "state": state,
            "seq": sequence,
            "born": 1,
        }
        url = instance.url("announcements", f"/-/instances/t-{number}")
        async with self.http.put(url, json=announcement) as response:
            return response.status

    async def call(self, number: int, call_id: str, path: str = "/a/b") -> tuple[int, bytes]:
        headers = {"Host": "h", "X-Id": call_id, "X-Left": "9000"}
        url = self.instances[number].url("callers", path)
        async with self.http.get(url, headers=headers) as response:
            return response.status, await response.read()

    async def is_ready(self, number: int) -> bool:
        url = self.instances[number].url("readiness", "/-/ready")
        async with self.http.get(url) as response:
            return response.status == 200

    async def serve(self) -> None:
        """Publish a configuration, announce both targets, and wait until both nodes list them."""
        self.store.put("keyed.op", "config", configuration(1))
        for number in range(2):
            await self.announce(number)
        for instance in self.instances:
            await instance.until_serving()

    async def test_calls_are_rejected_until_a_configuration_is_applied(self) -> None:
        self.assertFalse(await self.is_ready(0))
        self.assertEqual((await self.call(0, "c-1"))[0], 503)

    async def test_callers_can_connect_before_the_node_can_say_that_it_is_ready(self) -> None:
        started = list(self.instances[0].sidecar.bound_by_setting)
        self.assertLess(started.index("callers"), started.index("readiness"))

    async def test_calls_are_served_by_both_targets(self) -> None:
        await self.serve()
        for i in range(40):
            self.assertEqual(await self.call(i % 2, f"c-{i}"), (200, b"body"))
        self.assertTrue(all(target.received for target in self.targets))
        self.assertEqual((await self.call(0, "c-x", "/other/"))[0], 404)

    async def test_a_node_that_misses_records_does_not_claim_that_a_route_is_missing(self) -> None:
        # 404 is final for callers, although the records that this node misses may have the route.
        await self.serve()
        status, _ = await self.call(0, "c-1", "/other/")
        self.assertEqual(status, 404)
        self.store.status = 503
        await until(lambda: not self.instances[0].sidecar.is_configuration_current())
        status, _ = await self.call(0, "c-2", "/other/")
        self.assertEqual(status, 503)
        self.assertEqual((await self.call(0, "c-3"))[0], 200)

    async def test_a_body_that_stops_arriving_is_refused_at_the_deadline(self) -> None:
        await self.serve()
        endpoint = self.instances[0].sidecar.bound_by_setting["callers"]
        reader, writer = await asyncio.open_connection(endpoint.address, endpoint.port)
        writer.write(
            b"POST /a/b HTTP/1.1\r\nHost: h\r\nX-Id: c-1\r\nX-Left: 50\r\n"
            b"Content-Length: 10\r\n\r\n12345"
        )
        async with asyncio.timeout(GUARD_S):
            response = await reader.read()
        writer.close()
        self.assertIn(b" 408 ", response.splitlines()[0])
        self.assertFalse(any(target.received for target in self.targets))

    async def test_a_draining_target_gets_no_calls_after_the_acknowledgement(self) -> None:
        await self.serve()
        self.assertEqual(await self.announce(1, "draining", 2), 200)
        written = self.store.newest("keyed.nodes")[node_key(ADDRESSES[1])]
        self.assertEqual(json.loads(written)["target"]["state"], "draining")
        for i in range(20):
            self.assertEqual((await self.call(i % 2, f"c-{i}"))[0], 200)
        self.assertEqual(self.targets[1].received, [])

    async def test_draining_is_acknowledged_while_the_store_is_unavailable(self) -> None:
        await self.serve()
        self.store.status = 503
        with mock.patch("bulrushflow.sidecar.endpoints.ACKNOWLEDGE_TIMEOUT_S", 0.01):
            self.assertEqual(await self.announce(1, "draining", 2), 200)
        for i in range(20):
            self.assertEqual((await self.call(i % 2, f"c-{i}"))[0], 200)
        self.assertEqual(self.targets[1].received, [])

    async def test_an_older_configuration_is_ignored(self) -> None:
        await self.serve()
        self.store.put("keyed.op", "config", configuration(5))
        for instance in self.instances:
            await instance.until_version(5)
        self.store.put("keyed.op", "config", configuration(3, "s2"))
        self.store.put("keyed.op", "config", b"cut short")
        self.store.put("keyed.op", "config", configuration(6))
        for instance in self.instances:
            await instance.until_version(6)

    async def test_a_restarted_node_restores_its_target_from_the_store(self) -> None:
        await self.serve()
        instance = self.instances[1]
        await instance.sidecar.stop()
        restarted = instance.sidecar = instance.new_sidecar()
        await restarted.start()
        self.addAsyncCleanup(restarted.stop)
        await until(restarted.is_ready)

        await until(lambda: len(restarted.directory.ready_peers("s1")) == 2)
        for i in range(20):
            self.assertEqual((await self.call(1, f"c-{i}"))[0], 200)
        self.assertTrue(self.targets[1].received)

    async def test_a_caller_that_disconnects_during_the_response_logs_no_server_error(self) -> None:
        await self.serve()
        disconnect = mock.patch.object(
            web.Response, "write_eof", side_effect=ConnectionResetError("left")
        )
        call_fails = self.assertRaises(aiohttp.ClientError)
        with disconnect, self.assertNoLogs("aiohttp.server"), call_fails:
            await self.call(0, "c-1")
        self.assertEqual((await self.call(0, "c-2"))[0], 200)

    async def test_a_stop_drains_calls_in_flight(self) -> None:
        await self.serve()
        for target in self.targets:
            target.released.clear()
        calls = [asyncio.ensure_future(self.call(0, f"c-{i}")) for i in range(4)]
        received = [target.received for target in self.targets]
        await until(lambda: sum(map(len, received)) == 4)
        stopping = asyncio.ensure_future(self.instances[0].sidecar.stop())
        await asyncio.sleep(0.1)
        for target in self.targets:
            target.released.set()
        self.assertEqual({status for status, _ in await asyncio.gather(*calls)}, {200})
        await stopping

    async def test_metrics_are_served(self) -> None:
        await self.serve()
        await self.call(0, "c-1")
        url = self.instances[0].url("metrics", "/metrics")
        async with self.http.get(url) as response:
            self.assertIn("bulrushflow_call_seconds", await response.text())
