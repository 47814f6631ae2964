"""Rollbacks that hold at nodes that have just started."""

import asyncio

from bulrushflow.platform import documents
from bulrushflow.sidecar.model import RolloutPhase
from bulrushflow.sidecar.model import RolloutStatus
from tests.sidecar.fleet import FleetTestCase
from tests.waiting import GUARD_S
from tests.waiting import until

ROLLED_BACK = RolloutStatus(
    "s1", "v2", 1, 2, 0, RolloutPhase.ROLLED_BACK, 0, 15_000, from_version="v1"
)


class RestartedNodeTests(FleetTestCase):
    """Two nodes; the version of the second one's target was rolled back."""

    # EXPOSURE: nodes that had read the configuration and the targets, but no status yet, sent calls
    # to a version that was rolled back.
    async def test_a_withdrawn_version_gets_no_calls_before_the_statuses_are_read(self) -> None:
        key = documents.ROLLOUT_KEY_PREFIX + "s1"
        self.store.put("keyed.status", key, documents.encode_status(ROLLED_BACK))
        self.store.put("keyed.op", "config", self.configuration)
        await self.announce(0)
        await self.announce(1, version="v2")
        for instance in self.instances:
            await instance.until_serving(2)
        self.store.unavailable_topics.add("keyed.status")
        await asyncio.gather(*(instance.stop() for instance in self.instances))
        for instance in self.instances:
            instance.sidecar = instance.new_sidecar()
            await instance.sidecar.start()
        await self.announce(0, sequence=2)
        await self.announce(1, sequence=2, version="v2")
        for instance in self.instances:
            await instance.until_serving(2)
        statuses = {(await self.call(i % 2, f"early-{i}"))[0] for i in range(12)}
        self.assertEqual(statuses, {503})
        self.assertEqual(self.targets[1].received, [])
        self.store.unavailable_topics.clear()
        await until(
            lambda: all(instance.sidecar.records.statuses.loaded for instance in self.instances)
        )
        async with asyncio.timeout(GUARD_S):
            for number in (0, 1):
                while (await self.call(number, f"late-{number}"))[0] != 200:
                    continue
        self.assertEqual(self.targets[1].received, [])
