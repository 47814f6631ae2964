"""Keys of organisations: who is refused, what targets learn, and that no key is shown."""

import asyncio
import io
import json
import logging
import sys
import unittest
from unittest import mock

from loguru import logger
from msgspec.structs import replace

from bulrushflow.routing import Call
from bulrushflow.sidecar.calls.dispatcher import Dispatcher
from bulrushflow.sidecar.calls.fingerprints import fingerprint
from bulrushflow.sidecar.model import Route
from tests.sidecar.fleet import configuration
from tests.sidecar.organisations import ELM
from tests.sidecar.organisations import ELM_KEY
from tests.sidecar.organisations import OAK
from tests.sidecar.organisations import OAK_KEY
from tests.sidecar.organisations import OrganisationTestCase
from tests.sidecar.organisations import organisations_configuration
from tests.sidecar.samples import call
from tests.waiting import GUARD_S
from tests.waiting import until

CALLS = 12
"""Calls sent to one node, of which some go to the other node's target."""


class KeyTests(OrganisationTestCase):
    async def test_targets_get_the_organisation_s_name_and_not_the_key(self) -> None:
        await self.serve()
        for key, name in ((OAK_KEY, "oak"), (ELM_KEY, "elm")):
            for i in range(CALLS):
                call_id = f"{name}-{i}"
                extra = {"X-Organisation": "ash"}
                self.assertEqual((await self.request(0, call_id, key, **extra))[0], 200)
                headers = self.received_headers(call_id)
                self.assertEqual(headers.getall("X-Organisation"), [name])
                self.assertNotIn("Authorization", headers)
        self.assertTrue(all(target.received for target in self.targets))

    async def test_a_call_without_a_key_has_no_organisation_whatever_the_caller_sent(self) -> None:
        await self.serve()
        for i in range(CALLS):
            extra = {"x-organisation": "oak"}
            status, _ = await self.request(0, f"c-{i}", path="/open/b", **extra)
            self.assertEqual(status, 200)
            self.assertNotIn("X-Organisation", self.received_headers(f"c-{i}"))

    async def test_a_key_is_checked_on_a_route_for_anonymous_calls_too(self) -> None:
        await self.serve()
        self.assertEqual((await self.request(0, "c-1", OAK_KEY, "/open/b"))[0], 200)
        self.assertEqual(self.received_headers("c-1")["X-Organisation"], "oak")
        self.assertEqual((await self.request(0, "c-2", "k-ash", "/open/b"))[0], 401)
        self.assertFalse(self.reached("c-2"))

    async def test_missing_and_unknown_keys_get_401_and_reach_no_target(self) -> None:
        await self.serve()
        for call_id, key in (("c-1", None), ("c-2", "k-ash"), ("c-3", "")):
            with self.subTest(key):
                self.assertEqual((await self.request(0, call_id, key))[0], 401)
                self.assertFalse(self.reached(call_id))
        self.assertIn("bulrushflow_key_refusals_total", await self.metrics(0))

    # 401 is final for callers, although the records that this node misses may have the key.
    async def test_an_unknown_key_gets_503_while_the_configuration_may_be_outdated(self) -> None:
        await self.serve()
        self.store.status = 503
        await until(lambda: not self.instances[0].sidecar.is_configuration_current())
        status, body = await self.request(0, "c-1", "k-ash")
        self.assertEqual(status, 503)
        self.assertIn("may be outdated", body)
        self.assertFalse(self.reached("c-1"))
        self.assertEqual((await self.request(0, "c-2", OAK_KEY))[0], 200)

    async def test_the_organisation_s_priority_takes_precedence_over_the_route_s(self) -> None:
        await self.serve()
        priorities: list[int] = []
        dispatch = Dispatcher.dispatch

        async def record(dispatcher: Dispatcher, route: Route, call: Call) -> object:
            priorities.append(call.priority)
            return await dispatch(dispatcher, route, call)

        with mock.patch.object(Dispatcher, "dispatch", record):
            for i, key in enumerate((OAK_KEY, ELM_KEY)):
                self.assertEqual((await self.request(0, f"c-{i}", key))[0], 200)
        self.assertEqual(priorities, [3, 0])

    async def test_without_organisations_the_authorization_is_forwarded(self) -> None:
        self.configuration = configuration(1)
        await self.serve()
        extra = {"X-Organisation": "oak"}
        self.assertEqual((await self.request(0, "c-1", "k-ash", **extra))[0], 200)
        headers = self.received_headers("c-1")
        self.assertEqual(headers["Authorization"], "Bearer k-ash")
        self.assertEqual(headers["X-Organisation"], "oak")


class FingerprintTests(unittest.IsolatedAsyncioTestCase):
    # Fingerprints of requests that crash targets are published in the nodes' entries.
    async def test_a_fingerprint_depends_on_the_organisation_and_not_on_the_key(self) -> None:
        plain = call()
        with_key = replace(plain, headers=(*plain.headers, ("Authorization", f"Bearer {OAK_KEY}")))
        self.assertEqual(fingerprint(plain), fingerprint(with_key))
        prints = {fingerprint(replace(plain, organisation=name)) for name in ("", "oak", "elm")}
        self.assertEqual(len(prints), 3)


class ShownKeyTests(OrganisationTestCase):
    """Every place that a key could be shown in, while requests succeed, fail and are refused."""

    async def asyncSetUp(self) -> None:
        self.shown = io.StringIO()
        sink = logger.add(self.shown, level=0, format="{message} {extra}", diagnose=False)
        self.addCleanup(logger.remove, sink)
        handler = logging.StreamHandler(self.shown)
        root = logging.getLogger()
        level = root.level
        root.addHandler(handler)
        root.setLevel(logging.INFO)
        self.addCleanup(root.setLevel, level)
        self.addCleanup(root.removeHandler, handler)
        patch = mock.patch.object(sys, "stderr", self.shown)
        patch.start()
        self.addCleanup(patch.stop)
        await super().asyncSetUp()

    async def test_no_key_is_shown(self) -> None:
        await self.serve()
        bodies = [(await self.request(0, f"ok-{i}", OAK_KEY))[1] for i in range(CALLS)]
        for i, path in enumerate(("/a/b", "/open/b", "/other/b")):
            bodies.append((await self.request(0, f"unknown-{i}", "k-ash-unknown", path))[1])
        for target in self.targets:
            target.status = 500
        bodies += [(await self.request(0, f"error-{i}", ELM_KEY))[1] for i in range(CALLS)]
        failure = mock.patch.object(Dispatcher, "dispatch", side_effect=RuntimeError("fault"))
        with failure:
            bodies.append((await self.request(0, "fault", OAK_KEY))[1])
        bodies.append(await self.malformed_request())
        self.store.put("keyed.op", "config", self.invalid_configuration())
        sidecars = [instance.sidecar for instance in self.instances]
        await until(lambda: all(sidecar.rejected_configuration for sidecar in sidecars))
        for number, instance in enumerate(self.instances):
            await instance.sidecar._observe_state()
            bodies.append(await self.metrics(number))
            async with self.http.get(instance.url("readiness", "/-/ready")) as response:
                bodies.append(await response.text())
            bodies.append(repr(instance.sidecar.routing))
        bodies += [value.decode() for value in self.store.newest("keyed.nodes").values()]
        bodies += [value.decode() for value in self.store.newest("keyed.status").values()]
        shown = "\n".join([*bodies, self.shown.getvalue()])
        self.assertIn("fault", shown)
        for key in (OAK_KEY, ELM_KEY, "k-ash-unknown"):
            self.assertNotIn(key, shown)

    # The library quoted the header in its log line and in its response.
    async def malformed_request(self) -> str:
        """Send a request with a key and a character that isn't allowed; return the response."""
        endpoint = self.instances[0].sidecar.listeners.bound_by_setting["callers"]
        reader, writer = await asyncio.open_connection(endpoint.address, endpoint.port)
        writer.write(
            f"GET /a/b HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {OAK_KEY}\x01\r\n\r\n".encode()
        )
        async with asyncio.timeout(GUARD_S):
            response = await reader.read()
        writer.close()
        self.assertIn(b" 400 ", response.splitlines()[0])
        return response.decode()

    def invalid_configuration(self) -> bytes:
        document = json.loads(organisations_configuration(9, OAK, ELM))
        document["tenants"][1]["apiKeys"].append(OAK_KEY)
        return json.dumps(document).encode()
