"""Established connections that go silent while new ones work: calls move to new connections."""

import typing as t

import aiohttp
import msgspec
from aiohttp import web

from tests.processes.fleet import PLOTS_AND_PAYMENTS
from tests.processes.fleet import FleetNode
from tests.processes.fleet import FleetTestCase
from tests.processes.programs import until
from tests.processes.relay import Relay


class SilentConnectionTests(FleetTestCase):
    async def start_relayed_target(self, service: str) -> Relay:
        """Start a node that reaches its target only through a relay, and return the relay."""
        fleet = self.fleet
        node = await fleet.start_node(f"relayed-{service}", "celje-b")
        relay = Relay(0)

        async def announce(request: web.Request) -> web.Response:
            announcement = await request.json()
            relay.target_port = announcement["port"]
            announcement["port"] = relay.port
            url = f"http://127.0.0.1:{node.target_port}/announce"
            async with (
                aiohttp.ClientSession() as session,
                session.post(url, json=announcement) as response,
            ):
                return web.Response(status=response.status, body=await response.read())

        await relay.start()
        self.addAsyncCleanup(relay.close)
        app = web.Application()
        app.router.add_post("/announce", announce)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        announce_port: int = runner.addresses[0][1]
        await fleet.start_target(f"relayed-{service}", service, "v1", announce_port)
        return relay

    async def test_silent_target_and_caller_connections_are_replaced(
        self,
    ) -> None:
        fleet = self.fleet
        await fleet.start(("celje-a", "plots"), ("celje-a", "payments"))
        relay = await self.start_relayed_target("plots")
        await fleet.wait_ready(3)
        verdict = await fleet.publish(PLOTS_AND_PAYMENTS)
        await fleet.wait_converged(verdict.offset)
        load = await fleet.start_load("silent", [n.caller_url for n in fleet.nodes], 5)

        async def used() -> bool:
            return relay.opened > 0

        await until(used, "a call through the relay")
        relay.silence()
        await self.assert_calls_intact(load)
        opened = relay.opened
        url = fleet.nodes_by_name["relayed-plots"].caller_url + "/plots/1"

        async def answered() -> bool:
            body = msgspec.json.decode(await fleet.get(url), type=dict[str, t.Any])
            return "body_digest" in body

        await until(answered, "a successful response through the relayed node")
        self.assertGreaterEqual(opened, 2)
        with self.subTest("a caller's connection"):
            await self.check_caller_connection(fleet.nodes[0])

    async def check_caller_connection(self, node: FleetNode) -> None:
        fleet = self.fleet
        relay = Relay(node.caller_port)
        await relay.start()
        self.addAsyncCleanup(relay.close)
        url = f"http://127.0.0.1:{relay.port}/plots/1"
        self.assertIn(b"body_digest", await fleet.get(url))
        relay.silence()
        with self.assertRaises(TimeoutError):
            await fleet.get(url, timeout_s=0.5)
        self.assertIn(b"body_digest", await fleet.get(url))
        self.assertEqual(await node.program.terminate(), 0)
