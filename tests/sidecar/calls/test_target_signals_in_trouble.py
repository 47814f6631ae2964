"""Limits and leaves of targets while nodes restart and the store fails, in seeded orders."""

import asyncio
import random

import aiohttp

from tests.sidecar.calls.test_limited_targets import CALL_INTERVAL_S
from tests.sidecar.calls.test_limited_targets import LEARNING_S
from tests.sidecar.calls.test_limited_targets import LIMIT_PER_S
from tests.sidecar.calls.test_limited_targets import LimitedTargetTestCase

CALLS = 250
EVENTS = 6
LIMITED = 0
LEAVING = 1


class TargetSignalsInTroubleTests(LimitedTargetTestCase):
    """One target names a limit, another one leaves; both go on announcing that they are ready."""

    sequence = 1
    """Number of the latest announcement."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.known_since: dict[int, float] = {}
        """Event loop time at which the first response of each target was passed on."""

    async def try_call(self, number: int, call_id: str) -> None:
        try:
            await self.call(number, call_id)
        except (aiohttp.ClientError, KeyError):
            # The node is being restarted; a KeyError means that it doesn't listen yet.
            return
        for target in (LIMITED, LEAVING):
            if call_id in self.targets[target].completed:
                self.known_since.setdefault(target, asyncio.get_running_loop().time())

    async def disturb(self, rng: random.Random) -> None:
        """Cause one event; the leaving target's node isn't restarted while the store is away."""
        kind = rng.choice(("restart", "restart", "store", "announce"))
        number = rng.randrange(self.node_count)
        if kind == "store":
            self.store.status = 503 if self.store.status == 200 else 200
        elif kind == "restart" and (number != LEAVING or self.store.status == 200):
            await self.instances[number].restart()
        self.sequence += 1
        await self.announce(number, sequence=self.sequence)

    async def send_calls_until_done(
        self, rng: random.Random, disturbances: asyncio.Task[None]
    ) -> None:
        calls: list[asyncio.Task[None]] = []
        while not disturbances.done() or len(calls) < CALLS:
            number = rng.randrange(self.node_count)
            calls.append(asyncio.ensure_future(self.try_call(number, f"c-{len(calls)}")))
            await asyncio.sleep(CALL_INTERVAL_S)
        await disturbances
        await asyncio.gather(*calls)

    async def play(self, seed: int) -> None:
        rng = random.Random(seed)
        await self.serve()
        loop = asyncio.get_running_loop()
        self.targets[LIMITED].signals = {"X-Limit": str(LIMIT_PER_S)}
        self.targets[LEAVING].signals = {"X-Leaving": "1"}
        since = loop.time()

        async def disturb() -> None:
            for _ in range(EVENTS):
                await asyncio.sleep(rng.uniform(0.1, 0.5))
                await self.disturb(rng)

        await self.send_calls_until_done(rng, asyncio.ensure_future(disturb()))
        self.assert_limit_kept(LIMITED, self.known_since[LIMITED])
        known_from = self.known_since[LEAVING] + LEARNING_S
        late = [at for at in self.targets[LEAVING].received_at if at > known_from]
        self.assertEqual(late, [], "calls at a target that left")
        self.assertTrue(self.targets[LIMITED].received_at[-1] > since, "it gets some calls")

    async def test_both_hold_in_the_first_order_of_events(self) -> None:
        await self.play(1)

    async def test_both_hold_in_the_second_order_of_events(self) -> None:
        await self.play(2)

    async def test_both_hold_in_the_third_order_of_events(self) -> None:
        await self.play(3)
