"""Targets that name a limit, behind several nodes that all send them calls."""

import asyncio
import itertools
import random

from tests.sidecar.fleet import FleetTestCase
from tests.waiting import until

LIMIT_PER_S = 5.0
ALLOWED_FACTOR = 1.5
ALLOWED_CALLS = 5
LEARNING_S = 0.5
"""Time after the first response with a limit from which on the limit has to hold."""
CALL_INTERVAL_S = 0.01


class LimitedTargetTestCase(FleetTestCase):
    """Four nodes, each with a target that can serve far more calls than the limits allow."""

    node_count = 4

    async def send_calls(self, rng: random.Random, count: int) -> list[int]:
        """Send calls to random nodes at a steady rate; return the statuses of the responses."""
        pending = []
        for i in range(count):
            number = rng.randrange(self.node_count)
            pending.append(asyncio.ensure_future(self.call(number, f"c-{rng.random()}-{i}")))
            await asyncio.sleep(CALL_INTERVAL_S)
        return [status for status, _ in await asyncio.gather(*pending)]

    def assert_limit_kept(self, number: int, since: float) -> None:
        """Check the calls that a target received in every interval from a time on."""
        times = [at for at in self.targets[number].received_at if at >= since + LEARNING_S]
        for (i, start), (j, end) in itertools.combinations(enumerate(times), 2):
            allowed = LIMIT_PER_S * ALLOWED_FACTOR * (end - start) + ALLOWED_CALLS
            self.assertLessEqual(j - i + 1, allowed, f"calls within {end - start:.3f} s")


class LimitedTargetTests(LimitedTargetTestCase):
    # LIMIT: targets got what their slots could carry, whatever limit their responses named.
    async def test_all_nodes_together_keep_the_limit_that_a_target_names(self) -> None:
        await self.serve()
        since = asyncio.get_running_loop().time()
        self.targets[0].signals = {"X-Limit": str(LIMIT_PER_S)}
        statuses = await self.send_calls(random.Random(1), 200)
        self.assertEqual(set(statuses), {200})
        self.assert_limit_kept(0, since)

    # LIMIT after a restart: nodes that know the limit sent calls to one that had forgotten it.
    async def test_a_limit_is_kept_by_a_restarted_node_that_could_not_reach_the_store(self) -> None:
        await self.serve()
        self.targets[0].signals = {"X-Limit": str(LIMIT_PER_S)}
        await self.send_calls(random.Random(2), 100)
        self.store.status = 503
        await self.instances[0].restart()
        self.targets[0].received.clear()
        # The node doesn't know yet which targets left, so nobody gets calls through it.
        self.assertEqual(await self.announce(0, sequence=2, slots=40), 503)
        await self.send_calls(random.Random(4), 20)
        self.assertEqual(self.targets[0].received, [])
        self.store.status = 200
        await until(lambda: self.instances[0].sidecar.records.nodes.loaded)
        self.assertEqual(await self.announce(0, sequence=2, slots=40), 200)
        self.targets[0].released.clear()
        since = asyncio.get_running_loop().time()
        rng = random.Random(3)
        others = range(1, self.node_count)
        pending = [
            asyncio.ensure_future(self.call(rng.choice(others), f"d-{i}")) for i in range(240)
        ]
        await asyncio.sleep(1.0)
        self.targets[0].released.set()
        await asyncio.gather(*pending)
        self.assert_limit_kept(0, since - LEARNING_S)
