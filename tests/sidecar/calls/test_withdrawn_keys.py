"""Keys that a later configuration withdraws."""

import asyncio
import typing as t
from unittest import mock

import aiohttp
from result import Err
from result import Result

from bulrushflow.sidecar.records.storage import StoreError
from bulrushflow.sidecar.records.storage import StoreErrorKind
from tests.sidecar.organisations import ELM
from tests.sidecar.organisations import ELM_KEY
from tests.sidecar.organisations import OAK
from tests.sidecar.organisations import OAK_KEY
from tests.sidecar.organisations import OrganisationTestCase
from tests.sidecar.organisations import organisations_configuration
from tests.waiting import GUARD_S
from tests.waiting import until


async def refuse(*args: t.Any, **options: t.Any) -> Result[t.Any, StoreError]:
    return Err(StoreError(StoreErrorKind.REFUSED, "refused"))


class WithdrawnKeyTests(OrganisationTestCase):
    def withdraw_oak(self, version: int = 2) -> None:
        self.store.put("keyed.op", "config", organisations_configuration(version, ELM))

    async def until_version(self, version: int) -> None:
        for instance in self.instances:
            await instance.until_version(version)

    # A key that was checked once for each connection kept working on it.
    async def test_a_withdrawn_key_stops_working_on_connections_that_are_open(self) -> None:
        await self.serve()
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=1)) as self.http:
            self.assertEqual((await self.request(0, "c-1", OAK_KEY))[0], 200)
            self.withdraw_oak()
            await self.until_version(2)
            self.assertEqual((await self.request(0, "c-2", OAK_KEY))[0], 401)
            self.assertFalse(self.reached("c-2"))
            self.assertEqual((await self.request(0, "c-3", ELM_KEY))[0], 200)

    async def test_a_key_that_is_withdrawn_while_the_body_arrives_runs_nothing(self) -> None:
        await self.serve()
        endpoint = self.instances[0].sidecar.listeners.bound_by_setting["callers"]
        reader, writer = await asyncio.open_connection(endpoint.address, endpoint.port)
        writer.write(
            f"POST /a/b HTTP/1.1\r\nHost: h\r\nX-Id: c-1\r\nX-Left: 9000\r\n"
            f"Authorization: Bearer {OAK_KEY}\r\nContent-Length: 4\r\n\r\nbo".encode()
        )
        budget = self.instances[0].sidecar._callers.body_budget
        await until(lambda: budget.used_bytes > 0)
        self.withdraw_oak()
        await self.until_version(2)
        writer.write(b"dy")
        async with asyncio.timeout(GUARD_S):
            head = await reader.readuntil(b"\r\n")
        writer.close()
        self.assertIn(b" 401 ", head)
        self.assertFalse(self.reached("c-1"))

    async def test_a_key_is_withdrawn_on_a_node_that_the_store_refuses(self) -> None:
        await self.serve()
        for version, refused in enumerate(self.instances, start=2):
            with self.subTest(refused.settings.node_id):
                store = refused.sidecar._store
                with mock.patch.multiple(store, read=refuse, newest=refuse, append=refuse):
                    # Ends the read that the store has accepted already.
                    tenants = (OAK, ELM) if version % 2 else (ELM, OAK)
                    data = organisations_configuration(version * 10, *tenants)
                    self.store.put("keyed.op", "config", data)
                    await self.until_version(version * 10)
                    self.withdraw_oak(version * 10 + 1)
                    await self.until_version(version * 10 + 1)
                    number = self.instances.index(refused)
                    status, _ = await self.request(number, f"c-{version}", OAK_KEY)
                    self.assertIn(status, (401, 503))
                    self.assertFalse(self.reached(f"c-{version}"))
                    status, _ = await self.request(number, f"d-{version}", ELM_KEY)
                    self.assertEqual(status, 200)

    async def test_a_key_works_again_once_a_configuration_has_it_again(self) -> None:
        await self.serve()
        self.withdraw_oak()
        await self.until_version(2)
        self.assertEqual((await self.request(0, "c-1", OAK_KEY))[0], 401)
        self.store.put("keyed.op", "config", organisations_configuration(3, OAK, ELM))
        await self.until_version(3)
        self.assertEqual((await self.request(0, "c-2", OAK_KEY))[0], 200)
