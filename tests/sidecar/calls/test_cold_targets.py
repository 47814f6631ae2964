"""Replays of loads on cold targets in virtual time, without a network."""

import asyncio
import unittest

from tests.sidecar.cold_fleet import COLD
from tests.sidecar.cold_fleet import SERVICE_TIME_S
from tests.sidecar.cold_fleet import SLOTS
from tests.sidecar.cold_fleet import ColdFleet
from tests.sidecar.cold_fleet import ColdTarget
from tests.virtual_time import run_virtually

assert COLD is not None
WARM_PER_S = SLOTS / SERVICE_TIME_S
SEEDS = range(3)


def most_in_a_second(times: list[float]) -> int:
    """Return the greatest number of calls in any second."""
    most = start = 0
    for i, time in enumerate(times):
        while times[start] <= time - 1:
            start += 1
        most = max(most, i - start + 1)
    return most


class ColdTargetTests(unittest.TestCase):
    def assert_bounded(self, targets: list[ColdTarget], since: float, until: float) -> None:
        """Check the calls in each second of a time in which the targets were cold."""
        assert COLD is not None
        for target in targets:
            times = [at for at in target.client.received_at if since <= at < until]
            self.assertLessEqual(most_in_a_second(times), COLD.max_calls)

    def refused(self, targets: list[ColdTarget]) -> int:
        return sum(target.admission.warmth.limit.refused for target in targets)

    # COLD: a data centre that returns got its usual share of the calls and its targets crashed.
    def test_a_data_centre_that_returns_cold_shares_the_load_with_the_warm_one(self) -> None:
        async def replay(seed: int) -> None:
            fleet = ColdFleet(seed)
            loop = asyncio.get_running_loop()
            await fleet.until_listed()
            self.assertGreater(await fleet.press(150, 4), 0.99)
            fleet.evacuate("b")
            ordered_at = loop.time()
            self.assertGreater(await fleet.press(150, 4), 0.99)
            returning = fleet.in_data_centre("b")
            self.assertEqual([t.received_since(ordered_at) for t in returning], [[]] * 3)
            for target in returning:
                target.cold_until = loop.time() + 6
            fleet.evacuate()
            returned_at = loop.time()
            self.assertGreater(await fleet.press(150, 6), 0.99)
            self.assert_bounded(returning, returned_at, returned_at + 6)
            received = [len(target.received_since(returned_at)) for target in returning]
            self.assertGreater(min(received), 0)
            self.assertGreater(sum(received), 20)
            self.assertLess(self.refused(returning), 10)
            warm_at = loop.time()
            self.assertGreater(await fleet.press(150, 4), 0.99)
            served = sum(len(target.received_since(warm_at + 2)) for target in returning)
            self.assertGreater(served, 100)

        for seed in SEEDS:
            with self.subTest(seed=seed):
                run_virtually(replay(seed))

    # COLD: callers that pressed at many times the rate of the cold targets filled them.
    def test_the_bound_holds_under_many_times_the_rate(self) -> None:
        async def replay(seed: int) -> None:
            fleet = ColdFleet(seed)
            loop = asyncio.get_running_loop()
            await fleet.until_listed()
            await fleet.press(900, 2)
            fleet.evacuate("b")
            await fleet.press(900, 2)
            returning = fleet.in_data_centre("b")
            for target in returning:
                target.cold_until = loop.time() + 5
            fleet.evacuate()
            returned_at = loop.time()
            answered = await fleet.press(900, 5)
            self.assert_bounded(returning, returned_at, returned_at + 5)
            # What the warm targets can take is not lost to refusals by the cold ones.
            self.assertGreater(answered * 900, 3 * WARM_PER_S * 0.9)

        for seed in SEEDS:
            with self.subTest(seed=seed):
                run_virtually(replay(seed))

    # COLD: a target that turned cold under load kept its queue, and its calls of the last second.
    def test_targets_that_turn_cold_at_any_moment_stay_within_the_bound(self) -> None:
        async def replay(seed: int) -> None:
            fleet = ColdFleet(seed)
            loop = asyncio.get_running_loop()
            await fleet.until_listed()
            pressing = loop.create_task(fleet.press(200, 14))
            for _ in range(3):
                await asyncio.sleep(fleet.rng.uniform(1.0, 2.0))
                turned = fleet.rng.sample(fleet.targets, 2)
                since = loop.time()
                for target in turned:
                    target.turn_cold(2.5)
                await asyncio.sleep(2.5)
                self.assert_bounded(turned, since, since + 2.5)
            self.assertGreater(await pressing, 0.99)

        for seed in SEEDS:
            with self.subTest(seed=seed):
                run_virtually(replay(seed))

    # COLD: other nodes knew of no phase that began while the store was down, and were refused.
    def test_while_the_store_is_down_nodes_learn_of_a_cold_target_from_its_responses(self) -> None:
        async def replay(seed: int) -> None:
            fleet = ColdFleet(seed)
            loop = asyncio.get_running_loop()
            await fleet.until_listed()
            await fleet.press(220, 2)
            fleet.store_down = True
            turned = fleet.in_data_centre("b")[:2]
            since = loop.time()
            for target in turned:
                target.turn_cold(6)
            self.assertGreater(await fleet.press(220, 6), 0.99)
            self.assert_bounded(turned, since, since + 6)
            self.assertLess(self.refused(turned), 10)
            warm_at = loop.time()
            self.assertGreater(await fleet.press(220, 4), 0.99)
            self.assertGreater(sum(len(one.received_since(warm_at)) for one in turned), 100)

        for seed in SEEDS:
            with self.subTest(seed=seed):
                run_virtually(replay(seed))

    def test_all_targets_cold_at_once_get_their_rate_and_the_rest_is_refused(self) -> None:
        async def replay(seed: int) -> None:
            assert COLD is not None
            fleet = ColdFleet(seed)
            loop = asyncio.get_running_loop()
            await fleet.until_listed()
            await fleet.press(100, 2)
            since = loop.time()
            for target in fleet.targets:
                target.turn_cold(8)
            answered = await fleet.press(200, 8)
            self.assert_bounded(fleet.targets, since, since + 8)
            self.assertGreater(answered * 200, len(fleet.targets) * COLD.per_s * 0.7)

        for seed in SEEDS:
            with self.subTest(seed=seed):
                run_virtually(replay(seed))

    # COLD: a target that warms up in steps was limited until the time that it said first.
    def test_the_limit_ends_at_the_time_of_the_newest_announcement(self) -> None:
        async def replay() -> None:
            fleet = ColdFleet(1)
            loop = asyncio.get_running_loop()
            await fleet.until_listed()
            pressing = loop.create_task(fleet.press(150, 12))
            await asyncio.sleep(2.0)
            target = fleet.targets[0]
            for seconds in (8.0, 4.0, 1.0):
                target.turn_cold(seconds)
                since = loop.time()
                await asyncio.sleep(0.9)
                self.assert_bounded([target], since, since + 0.9)
            await asyncio.sleep(1.0)
            warm_at = loop.time()
            self.assertIsNone(target.admission.warmth.limit.per_s(warm_at))
            self.assertGreater(await pressing, 0.99)
            self.assertGreater(len(target.received_since(warm_at)) / 6, COLD.per_s if COLD else 0)

        run_virtually(replay())
