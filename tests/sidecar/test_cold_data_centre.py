"""Nodes with targets that are cold after an evacuation, on one store."""

import asyncio
import json
import math
import typing as t

from bulrushflow.sidecar.model import TargetEntry
from bulrushflow.sidecar.records.codec import decode_node_entry
from bulrushflow.sidecar.records.codec import node_key
from tests.sidecar.fleet import FleetTestCase
from tests.sidecar.fleet import configuration
from tests.waiting import until

COLD_S = 60


def with_cold_starts(version: int, per_s: float) -> bytes:
    document = json.loads(configuration(version))
    document["clusters"] = [{"name": "s1", "coldStart": f"{COLD_S}s", "coldPerS": per_s}]
    return json.dumps(document).encode()


class ColdDataCentreTests(FleetTestCase):
    """Node 0 is in data centre ``a``, node 1 in ``b``."""

    data_centres = "ab"
    configuration = with_cold_starts(1, 9.0)

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.serve()
        self.sequence = 1

    async def announce_warmth(self, number: int, **fields: t.Any) -> None:
        self.sequence += 1
        instance = self.instances[number]
        announcement = {
            "service": "s1",
            "address": instance.target_address,
            "zone": instance.settings.data_centre,
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "seq": self.sequence,
            "born": 1,
        } | fields
        url = instance.url("announcements", f"/-/instances/t-{number}")
        async with self.http.put(url, json=announcement) as response:
            self.assertEqual(response.status, 200)

    def limit_ends_in_s(self, number: int) -> float:
        until_s = self.instances[number].sidecar._admission.warmth.limit.until
        return until_s - asyncio.get_running_loop().time()

    def listed(self, by: int, number: int) -> TargetEntry:
        """Return a target's entry as another node has it."""
        key = node_key(self.instances[number].settings.address)
        entry = self.instances[by].sidecar.directory.entry(key)
        assert entry is not None and entry.target is not None
        return entry.target

    async def evacuate_and_return(self, data_centre: str) -> None:
        for value, count in ((b"{}", 1), (b"", 0)):
            self.store.put("keyed.op", f"evacuate/{data_centre}", value)
            for instance in self.instances:
                directory = instance.sidecar.directory
                await until(
                    lambda directory=directory, count=count: (  # type: ignore[misc]
                        len(directory.evacuations.data_centres) == count
                    )
                )

    # COLD: the targets of a data centre that returned were taken for warm, as they were before.
    async def test_after_an_evacuation_targets_are_cold_for_all_nodes_until_they_say_otherwise(
        self,
    ) -> None:
        warm_at_ms = self.listed(0, 1).warm_at_ms
        await self.evacuate_and_return("b")
        self.assertEqual(self.limit_ends_in_s(1), math.inf)
        await until(lambda: self.listed(0, 1).warm_at_ms > warm_at_ms + 1_000)
        for i in range(20):
            self.assertEqual((await self.call(0, f"c-{i}"))[0], 200)
        self.assertTrue(self.targets[0].received)
        await self.announce_warmth(1, coldRemaining="0ms")
        self.assertLess(self.limit_ends_in_s(1), 0)
        await until(lambda: self.listed(0, 1).warm_at_ms == 0)
        self.assertLess(self.limit_ends_in_s(0), 0)

    async def test_a_restarted_node_limits_its_target_until_the_next_announcement(self) -> None:
        await self.announce_warmth(1, coldRemaining="0ms")
        await self.instances[1].restart()
        await self.instances[1].until_serving(2)
        self.assertEqual(self.limit_ends_in_s(1), math.inf)
        stored = decode_node_entry(
            self.store.newest("keyed.nodes")[node_key(self.instances[1].settings.address)]
        ).unwrap()
        self.assertIsNotNone(stored.target)
        await self.announce_warmth(1, coldRemaining="0ms")
        self.assertLess(self.limit_ends_in_s(1), 0)

    # COLD: the bound holds while the store is down, since the node beside the target keeps it.
    async def test_a_target_that_turns_cold_while_the_store_is_down_is_limited(self) -> None:
        self.store.status = 503
        await self.announce_warmth(1, coldRemaining=f"{COLD_S}s")
        self.assertGreater(self.limit_ends_in_s(1), COLD_S / 2)
        made = [self.call(i % 2, f"c-{i}") for i in range(60)]
        statuses = {status for status, _ in await asyncio.gather(*made)}
        self.assertLessEqual(statuses, {200, 503})
        self.assertEqual(self.listed(0, 1).warm_at_ms, 0)
        key = node_key(self.instances[1].settings.address)
        peer = self.instances[0].sidecar.directory.peers_by_key[key]
        self.assertTrue(peer.is_cold(asyncio.get_running_loop().time(), 0, COLD_S))
        sidecar = self.instances[1].sidecar
        self.assertEqual(sidecar._admission.warmth.limit.sent, len(self.targets[1].received))
        await sidecar._observe_state()
        metrics = await self.metrics(1)
        self.assertIn("bulrushflow_target_cold 1", metrics)
        self.assertIn(f"bulrushflow_cold_calls_total {len(self.targets[1].received)}", metrics)

    async def test_a_configuration_switches_the_limit_on_and_off(self) -> None:
        await self.announce_warmth(1, coldRemaining=f"{COLD_S}s")
        self.assertGreater(self.limit_ends_in_s(1), COLD_S / 2)
        self.store.put("keyed.op", "config", with_cold_starts(2, 0.0))
        await self.instances[1].until_version(2)
        self.assertEqual(self.limit_ends_in_s(1), -math.inf)
        self.store.put("keyed.op", "config", with_cold_starts(3, 9.0))
        await self.instances[1].until_version(3)
        self.assertGreater(self.limit_ends_in_s(1), COLD_S / 2)
