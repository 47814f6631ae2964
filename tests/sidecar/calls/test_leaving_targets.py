"""Targets that announce their leave in responses, behind several nodes that send them calls."""

import asyncio
import random

from bulrushflow.sidecar.model import TargetState
from tests.sidecar.fleet import FleetTestCase
from tests.sidecar.fleet import configuration
from tests.waiting import until


class LeavingTargetTests(FleetTestCase):
    """Four nodes; the target beside the first one leaves, and never says so in an announcement."""

    node_count = 4
    # How long calls take depends on the machine's load, and none may be refused as late.
    configuration = configuration(1, timeout="90s")
    call_timeout_ms = 90_000

    async def send_calls(self, prefix: str, numbers: list[int], count: int = 40) -> None:
        """Send calls to random nodes; all must succeed."""
        rng = random.Random(prefix)
        calls = [self.call(rng.choice(numbers), f"{prefix}-{i}") for i in range(count)]
        self.assertEqual({status for status, _ in await asyncio.gather(*calls)}, {200})

    async def leave(self) -> None:
        """Let every node pass on a response in which the first target announces its leave."""
        await self.serve()
        self.targets[0].signals = {"X-Leaving": "1"}
        for target in self.targets:
            target.released.clear()
        calls = [
            asyncio.ensure_future(self.call(number, f"{i}-{number}"))
            for number in range(self.node_count)
            for i in range(8)
        ]
        await until(lambda: all(len(target.received) >= 4 for target in self.targets))
        for target in self.targets:
            target.released.set()
        await asyncio.gather(*calls)
        self.targets[0].received.clear()

    # DRAIN: nodes went on sending calls as long as the target announced that it was ready.
    async def test_a_target_that_leaves_gets_no_calls_whatever_it_announces(self) -> None:
        await self.leave()
        self.assertEqual(await self.announce(0, sequence=2), 200)
        await self.send_calls("a", [0, 1, 2, 3])
        self.store.status = 503
        self.assertEqual(await self.announce(0, sequence=3), 200)
        await self.send_calls("b", [0, 1, 2, 3])
        self.assertEqual(self.targets[0].received, [])

    # DRAIN after a restart: the restarted node believed the next announcement.
    async def test_a_restarted_node_restores_that_its_target_leaves(self) -> None:
        await self.leave()
        admission = self.instances[0].sidecar._admission
        await until(lambda: admission.entry is not None and admission.entry.leaving)
        await until(lambda: b'"leaving":true' in self.stored_entry())
        await self.instances[0].restart()
        self.assertEqual(await self.announce(0, sequence=9), 200)
        sidecar = self.instances[0].sidecar
        await until(sidecar.is_ready)
        await until(lambda: bool(sidecar._admission.entry and sidecar._admission.entry.leaving))
        await until(lambda: len(sidecar.directory.ready_peers("s1")) == self.node_count - 1)
        self.assertEqual(await self.announce(0, sequence=10), 200)
        await self.send_calls("c", [0, 1, 2, 3])
        self.assertEqual(self.targets[0].received, [])

    async def test_a_new_start_of_the_target_gets_calls_again(self) -> None:
        await self.leave()
        self.targets[0].signals = {}
        self.assertEqual(await self.announce(0, sequence=1, born=2), 200)
        entry = self.instances[0].sidecar._admission.entry
        assert entry is not None
        self.assertEqual((entry.state, entry.leaving), (TargetState.READY, False))
        for instance in self.instances:
            await instance.until_serving(self.node_count)
        # A connection that is not opened in time makes it unavailable until it announces itself.
        for sequence in range(2, 32):
            await self.send_calls("d", [0, 1, 2, 3])
            if self.targets[0].received:
                break
            await self.announce(0, sequence=sequence, born=2)
        self.assertTrue(self.targets[0].received)

    def stored_entry(self) -> bytes:
        address = self.instances[0].settings.address
        return self.store.newest("keyed.nodes")[f"node/{address}"]
