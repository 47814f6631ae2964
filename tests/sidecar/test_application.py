import asyncio
import json
from unittest import mock

import aiohttp
from aiohttp import web

from bulrushflow.sidecar.records.codec import node_key
from tests.sidecar.fleet import FleetTestCase
from tests.sidecar.fleet import configuration
from tests.waiting import GUARD_S
from tests.waiting import until


class SidecarTests(FleetTestCase):
    async def test_calls_are_rejected_until_a_configuration_is_applied(self) -> None:
        self.assertFalse(await self.is_ready(0))
        self.assertEqual((await self.call(0, "c-1"))[0], 503)

    async def test_callers_can_connect_before_the_node_can_say_that_it_is_ready(self) -> None:
        started = list(self.instances[0].sidecar.listeners.bound_by_setting)
        self.assertLess(started.index("callers"), started.index("readiness"))

    async def test_calls_are_served_by_both_targets(self) -> None:
        await self.serve()
        for i in range(40):
            self.assertEqual(await self.call(i % 2, f"c-{i}"), (200, b"body"))
        self.assertTrue(all(target.received for target in self.targets))
        self.assertEqual((await self.call(0, "c-x", "/other/"))[0], 404)

    # A target that fails since a call of its own failed looked like a faulty version.
    async def test_only_answers_that_nothing_else_explains_are_evidence_after_completion(
        self,
    ) -> None:
        await self.serve()
        sidecar = self.instances[0].sidecar
        with mock.patch.object(sidecar._rollouts, "observe_call") as observe:
            for target in self.targets:
                target.status = 500
            await self.call(0, "c-1")
            sidecar._callers.outcomes.last_failure_at = asyncio.get_running_loop().time() + 60
            await self.call(0, "c-2")
            sidecar._callers.outcomes.last_failure_at = float("-inf")
            for target in self.targets:
                target.status = 504
            await self.call(0, "c-3")
        attributable = [made.args[-1] for made in observe.call_args_list]
        self.assertEqual(attributable[0], True)
        self.assertNotIn(True, attributable[-1:])

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
        endpoint = self.instances[0].sidecar.listeners.bound_by_setting["callers"]
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
        written = self.store.newest("keyed.nodes")[node_key(self.instances[1].settings.address)]
        self.assertEqual(json.loads(written)["target"]["state"], "draining")
        for i in range(20):
            self.assertEqual((await self.call(i % 2, f"c-{i}"))[0], 200)
        self.assertEqual(self.targets[1].received, [])

    async def test_draining_is_in_force_while_the_store_is_unavailable(self) -> None:
        await self.serve()
        self.store.status = 503
        with mock.patch("bulrushflow.sidecar.endpoints.ACKNOWLEDGE_TIMEOUT_S", 0.01):
            # Not acknowledged: after a restart the node would find the target ready in the store.
            self.assertEqual(await self.announce(1, "draining", 2), 503)
        for i in range(20):
            self.assertEqual((await self.call(i % 2, f"c-{i}"))[0], 200)
        self.assertEqual(self.targets[1].received, [])
        self.store.status = 200
        self.assertEqual(await self.announce(1, "draining", 3), 200)
        self.assertIn(b'"state":"draining"', self.store.newest("keyed.nodes")["node/127.0.0.2"])

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

    async def test_a_node_says_why_it_has_no_configuration(self) -> None:
        self.store.put("keyed.op", "config", configuration(1).replace(b'"/a/"', b'"/a"'))
        sidecar = self.instances[0].sidecar
        await until(lambda: sidecar.rejected_configuration is not None)
        url = self.instances[0].url("readiness", "/-/ready")
        async with self.http.get(url) as response:
            self.assertEqual(response.status, 503)
            answer = await response.json()
        self.assertIn("prefix '/a' must begin and end", answer["rejected_configuration"])
        self.assertEqual(answer["configuration"], 0)
        await sidecar._observe_state()
        metrics = await self.metrics(0)
        self.assertIn("bulrushflow_configuration_rejected 1", metrics)
        status, body = await self.call(0, "c-1")
        self.assertEqual(status, 503)
        self.assertIn(b"rejected", body)

    # A call of a route that the release can't serve must run nowhere, a shorter prefix included.
    async def test_calls_of_a_route_of_an_unknown_kind_are_refused_alone(self) -> None:
        document = json.loads(configuration(1))
        rules = document["listeners"][0]["ruleSet"]
        rules.append(rules[0] | {"name": "odd", "kind": "odd", "match": {"pathPrefix": "/a/odd/"}})
        self.configuration = json.dumps(document).encode()
        await self.serve()
        status, body = await self.call(0, "c-1", "/a/odd/b")
        self.assertEqual(status, 503)
        self.assertIn(b"route odd is disabled: unknown kind 'odd'", body)
        self.assertFalse(any(target.received for target in self.targets))
        self.assertEqual((await self.call(0, "c-2"))[0], 200)
        self.assertIsNone(self.instances[0].sidecar.rejected_configuration)

    async def test_a_valid_configuration_ends_the_report_of_a_rejected_one(self) -> None:
        self.store.put("keyed.op", "config", b"cut short")
        sidecar = self.instances[0].sidecar
        await until(lambda: sidecar.rejected_configuration is not None)
        await self.serve()
        self.assertIsNone(sidecar.rejected_configuration)
        await sidecar._observe_state()
        metrics = await self.metrics(0)
        self.assertIn("bulrushflow_configuration_rejected 0", metrics)
        self.assertIn("bulrushflow_configuration_version 1", metrics)
        self.assertTrue(await self.is_ready(0))

    async def test_a_restarted_node_restores_its_target_from_the_store(self) -> None:
        await self.serve()
        await self.instances[1].restart()
        restarted = self.instances[1].sidecar
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
