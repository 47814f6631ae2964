"""Several nodes on a store that comes back from an older copy and gives offsets out again."""

import json

from tests.sidecar.fleet import FleetTestCase
from tests.sidecar.fleet import configuration
from tests.waiting import until


def order(version: str) -> bytes:
    return json.dumps({"service": "s1", "targetVersion": version, "duration": "60s"}).encode()


class RestoredStoreTests(FleetTestCase):
    node_count = 3

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.store.era = 1
        await self.serve()

    async def until_ordered(self, version: str) -> None:
        for instance in self.instances:
            by_service = instance.sidecar._rollouts.by_service
            await until(lambda by_service=by_service: "s1" in by_service)  # type: ignore[misc]
            await until(
                lambda by_service=by_service: (  # type: ignore[misc]
                    by_service["s1"].order.to_version == version
                )
            )

    # CONFIG: an acknowledged configuration was missed at an offset that the nodes had read before.
    async def test_a_configuration_written_after_the_restore_comes_into_force(self) -> None:
        copy = self.store.copy()
        for version in (2, 3, 4):
            self.store.put("keyed.op", "config", configuration(version))
        for instance in self.instances:
            await instance.until_version(4)
        self.store.restore(copy)
        for version in (4, 6, 9):
            self.store.put("keyed.op", "config", configuration(version))
        for instance in self.instances:
            await instance.until_version(9)

    async def test_nodes_list_each_others_targets_after_the_restore(self) -> None:
        copy = {"keyed.op": self.store.copy()["keyed.op"]}
        self.store.restore(copy)
        for number in range(self.node_count):
            await self.announce(number, sequence=2, slots=5)
        for instance in self.instances:
            await instance.until_serving(self.node_count)
            await until(instance.sidecar.is_configuration_current)
        await until(lambda: len(self.store.newest("keyed.nodes")) == self.node_count)

    async def test_a_new_order_at_an_offset_given_out_again_is_carried_out(self) -> None:
        copy = self.store.copy()
        for version in (2, 3):
            self.store.put("keyed.op", "config", configuration(version))
        self.store.put("keyed.op", "rollout/s1", order("v2"))
        await self.until_ordered("v2")
        self.store.restore(copy)
        self.store.put("keyed.op", "config", configuration(4))
        self.store.put("keyed.op", "rollout/s1", order("v3"))
        await self.until_ordered("v3")
