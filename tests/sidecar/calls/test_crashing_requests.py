"""Requests that crash each target that runs them, behind several nodes."""

import asyncio
import functools

from tests.sidecar.crashing_targets import CRASH_PATH
from tests.sidecar.crashing_targets import CrashingTarget
from tests.sidecar.fleet import FleetTestCase
from tests.waiting import until

MAX_CRASHED_TARGETS = 3
MAX_LATER_RUNS = 3
"""Runs allowed once the third crash is known everywhere."""
SETTLE_S = 1.0
"""Time after the third crash in which the nodes learn of it; the users' bound is 3 s."""


class CrashingRequestTestCase(FleetTestCase):
    """Three nodes whose targets end when they run a marked request."""

    node_count = 3
    target_type = CrashingTarget
    targets: list[CrashingTarget]  # type: ignore[assignment]

    @property
    def crashes(self) -> int:
        return sum(target.crashes for target in self.targets)

    @property
    def crashing_runs(self) -> int:
        return sum(target.crashing_runs for target in self.targets)

    async def restart_targets(self) -> None:
        """Start the targets that ended, as new processes, and wait until all nodes list them."""
        self.born += 1
        for number, target in enumerate(self.targets):
            if not target.is_running:
                await target.start()
                await self.announce(number, born=self.born)
                self.born_by_number[number] = self.born
        await until(self.lists_all_targets)

    def lists_all_targets(self) -> bool:
        for instance in self.instances:
            peers = instance.sidecar.directory.ready_peers("s1")
            known = sorted(
                peer.entry.target.incarnation for peer in peers if peer.entry.target is not None
            )
            if known != sorted(self.born_by_number):
                return False
            if any(peer.unreachable for peer in peers):
                return False
        return True

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.born = 1
        self.born_by_number = [1] * self.node_count
        await self.serve()

    def has_received(self, call_id: str) -> bool:
        return any(call_id in target.received for target in self.targets)

    def has_ended(self, target: CrashingTarget) -> bool:
        return not target.is_running

    async def crash_targets(self) -> None:
        """Send the marked request to one node after the other until three targets crashed."""
        for i in range(20):
            if self.crashes >= MAX_CRASHED_TARGETS:
                break
            await self.call(i % self.node_count, f"crash-{i}", CRASH_PATH)
            await self.restart_targets()
        self.assertGreaterEqual(self.crashes, MAX_CRASHED_TARGETS)


class CrashingRequestTests(CrashingRequestTestCase):
    # BUDGET: a request ended 18 targets, since nothing tied its repeats together.
    async def test_a_request_that_crashed_three_targets_runs_at_no_others(self) -> None:
        await self.crash_targets()
        await asyncio.sleep(SETTLE_S)
        await self.restart_targets()
        before = self.crashing_runs
        for i in range(12):
            status, _ = await self.call(i % self.node_count, f"again-{i}", CRASH_PATH)
            self.assertGreaterEqual(status, 400)
            await self.restart_targets()
        self.assertLessEqual(self.crashing_runs - before, MAX_LATER_RUNS)
        for number in range(self.node_count):
            self.assertEqual((await self.call(number, f"other-{number}"))[0], 200)

    # A restarted node had forgotten the request, and sent it.
    async def test_a_restarted_node_refuses_a_request_that_crashed_three_targets(self) -> None:
        await self.crash_targets()
        await asyncio.sleep(SETTLE_S)
        await self.restart_targets()
        await self.instances[1].restart()
        await self.announce(1, sequence=2, born=self.born_by_number[1])
        await self.instances[1].until_serving(self.node_count)
        before = self.crashing_runs
        self.assertEqual((await self.call(1, "again", CRASH_PATH))[0], 429)
        self.assertEqual(self.crashing_runs, before)

    async def test_a_refused_caller_is_told_when_to_come_back(self) -> None:
        await self.crash_targets()
        await asyncio.sleep(SETTLE_S)
        headers = {"Host": "h", "X-Id": "again", "X-Left": "9000"}
        url = self.instances[2].url("callers", CRASH_PATH)
        async with self.http.get(url, headers=headers) as response:
            self.assertEqual(response.status, 429)
            self.assertGreater(int(response.headers["Retry-After"]), 60)

    async def test_a_target_that_only_closes_its_connections_has_not_crashed(self) -> None:
        for i in range(2 * MAX_CRASHED_TARGETS):
            for target in self.targets:
                target.released.clear()
            running = asyncio.ensure_future(self.call(i % self.node_count, f"cut-{i}"))
            await until(functools.partial(self.has_received, f"cut-{i}"))
            for target in self.targets:
                target.close_connections()
                target.released.set()
            await running
        await asyncio.sleep(SETTLE_S)
        self.assertEqual((await self.call(0, "after"))[0], 200)

    # DENIED: whatever ran at a target that ended looks alike.
    async def test_a_popular_request_is_served_though_its_targets_end_again_and_again(self) -> None:
        for i in range(3 * MAX_CRASHED_TARGETS):
            target = self.targets[i % self.node_count]
            self.assertEqual((await self.call(i % self.node_count, f"before-{i}"))[0], 200)
            target.released.clear()
            running = [
                asyncio.ensure_future(self.call(number, f"popular-{i}-{number}"))
                for number in range(self.node_count)
                for _ in range(4)
            ]
            await asyncio.sleep(0.05)
            target.crash()
            await until(functools.partial(self.has_ended, target))
            statuses = [status for status, _ in await asyncio.gather(*running)]
            self.assertNotIn(429, statuses)
            await self.restart_targets()
        for number in range(self.node_count):
            self.assertEqual((await self.call(number, f"last-{number}"))[0], 200)
