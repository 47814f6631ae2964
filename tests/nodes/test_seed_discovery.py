"""Tests of the discovery of the first other nodes."""

import asyncio
import random
import unittest
from unittest import mock

import msgspec
from result import Err
from result import Ok
from result import Result

from bulrushflow.configuration import LogRecord
from bulrushflow.membership import Member
from bulrushflow.membership import MemberTable
from bulrushflow.nodes import seed_discovery
from bulrushflow.nodes.seed_discovery import MAX_AGE_MS
from bulrushflow.nodes.seed_discovery import MAX_JOIN_ADDRESSES
from bulrushflow.nodes.seed_discovery import RECORDS_PER_DATA_CENTRE
from bulrushflow.nodes.seed_discovery import RENEWAL_AGE_MS
from bulrushflow.nodes.seed_discovery import SeedDiscovery
from bulrushflow.nodes.seed_discovery import SeedRecord
from bulrushflow.recording import LogError
from bulrushflow.recording import LogErrorKind
from bulrushflow.recording import LogPage
from bulrushflow.timers import Timers
from bulrushflow.wire.links import Endpoint
from tests.waiting import until

NOW_MS = 1_000_000_000


class FakeLog:
    """One stream in memory that counts its reads."""

    def __init__(self) -> None:
        self.records: list[LogRecord] = []
        self.reads = 0
        self.down = False

    async def append(self, stream: str, body: bytes) -> Result[int, LogError]:
        self.add(body, NOW_MS)
        return Ok(len(self.records) - 1)

    async def read(
        self, stream: str, from_offset: int, wait_s: float = 0.0
    ) -> Result[LogPage, LogError]:
        raise NotImplementedError

    async def tail(self, stream: str, count: int) -> Result[LogPage, LogError]:
        self.reads += 1
        await asyncio.sleep(0)
        if self.down:
            return Err(LogError(LogErrorKind.UNAVAILABLE, "down"))
        return Ok(LogPage(tuple(self.records[-count:]), len(self.records)))

    def add(self, body: bytes, at_ms: int) -> None:
        self.records.append(LogRecord(len(self.records), at_ms, body))

    def add_seed_record(self, node_id: str, data_centre: str, port: int, age_ms: int = 0) -> None:
        body = msgspec.json.encode(SeedRecord(node_id, data_centre, "127.0.0.1", port))
        self.add(body, NOW_MS - age_ms)


class FakeJoiner:
    """Joins through live members by endpoint; a join adds all of them to the table."""

    def __init__(self, table: MemberTable, live: dict[Endpoint, Member]) -> None:
        self.table = table
        self.live = live
        self.attempts: list[tuple[Endpoint, ...]] = []

    async def join(self, *endpoints: Endpoint) -> bool:
        self.attempts.append(endpoints)
        await asyncio.sleep(0)
        if not any(e in self.live for e in endpoints):
            return False
        for member in self.live.values():
            self.table.merge(member, 0.0)
        return True


class SeedDiscoveryTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.log = FakeLog()
        self.live: dict[Endpoint, Member] = {}
        patch = mock.patch.object(seed_discovery, "MAX_APPEND_DELAY_S", 0.2)
        patch.start()
        self.addCleanup(patch.stop)

    async def node(
        self, number: int, data_centre: str = "celje-a", seeds: tuple[str, ...] = ()
    ) -> tuple[SeedDiscovery, FakeJoiner]:
        rng = random.Random(number)
        timers = Timers(rng)
        await timers.start()
        self.addAsyncCleanup(timers.stop)
        own = Member(f"n{number}", data_centre, "127.0.0.1", number, 1)
        table = MemberTable(own)
        joiner = FakeJoiner(table, self.live)
        discovery = SeedDiscovery(table, joiner, self.log, timers, seeds, rng, lambda: NOW_MS)
        # Tests call the checks themselves; the timer has a test of its own.
        discovery._next_check_at = float("inf")
        self.live[own.endpoint] = own
        return discovery, joiner

    async def test_nodes_that_start_together_append_a_few_records(self) -> None:
        nodes = [await self.node(i, f"dc{i % 3}") for i in range(1, 61)]
        await asyncio.gather(*(discovery.check() for discovery, _ in nodes))
        self.assertLessEqual(len(self.log.records), 3 * (RECORDS_PER_DATA_CENTRE + 2))
        self.assertGreaterEqual(len(self.log.records), 1)
        self.assertLessEqual(self.log.reads, 2 * 60)

    async def test_a_node_with_peers_reads_only_as_a_publisher(self) -> None:
        nodes = [await self.node(i) for i in range(1, 31)]
        for _, joiner in nodes:
            for member in self.live.values():
                joiner.table.merge(member, 0.0)
        self.log.reads = 0
        for discovery, _ in nodes:
            # Its timer would tick beside this test's call, which waits before it appends.
            await discovery._timers.stop()
            discovery._next_check_at = 0.0
            await discovery._tick()
        self.assertLessEqual(self.log.reads, 2 * RECORDS_PER_DATA_CENTRE)

    async def test_outdated_records_cause_a_bounded_number_of_attempts(self) -> None:
        for i in range(100):
            self.log.add_seed_record(f"gone{i}", "celje-a", 1000 + i)
        discovery, joiner = await self.node(1)
        await discovery.check()
        self.assertLessEqual(
            sum(len(attempts) for attempts in joiner.attempts), 2 * MAX_JOIN_ADDRESSES
        )
        tried_first = {e for attempts in joiner.attempts for e in attempts}
        joiner.attempts.clear()
        await discovery.check()
        # Addresses that did not respond are tried last the next time.
        self.assertFalse(tried_first & set(joiner.attempts[0]))

    async def test_expired_and_malformed_records_are_ignored(self) -> None:
        self.log.add_seed_record("old", "celje-a", 1000, MAX_AGE_MS + 1)
        self.log.add(b"{", NOW_MS)
        self.log.add(b'{"other":' + b"[" * 200_000 + b"]" * 200_000 + b"}", NOW_MS)
        self.log.add_seed_record("n70", "celje-a", 70_000)
        discovery, joiner = await self.node(1)
        await discovery.check()
        self.assertEqual(joiner.attempts, [])

    async def test_configured_seeds_are_used_while_the_log_is_down(self) -> None:
        await self.node(9)
        self.log.down = True
        discovery, joiner = await self.node(1, seeds=("127.0.0.1:9", "127.0.0.1:1"))
        await discovery.check()
        self.assertEqual(joiner.attempts, [(("127.0.0.1", 9),)])
        self.assertIn("n9", joiner.table.by_id)

    async def test_waits_grow_while_the_log_is_down_up_to_a_limit(self) -> None:
        self.log.down = True
        discovery, _ = await self.node(1)
        with mock.patch.object(discovery._rng, "uniform", lambda low, high: high):
            waits = []
            for _ in range(8):
                await discovery.check()
                waits.append(discovery._next_wait_s())
        self.assertEqual(waits, [1.0, 2.0, 4.0, 8.0, 10.0, 10.0, 10.0, 10.0])

    async def test_a_publisher_appends_its_record_only_if_needed(self) -> None:
        cases = {
            "no records": ([], True),
            "own fresh record": ([("n1", 1, 0)], False),
            "own from another address": ([("n1", 99, 0)], True),
            "own record due for renewal": ([("n1", 1, RENEWAL_AGE_MS + 1)], True),
            "two of live others": ([("n2", 2, 0), ("n3", 3, 0)], False),
            "two of live others due for renewal": (
                [("n2", 2, RENEWAL_AGE_MS + 1), ("n3", 3, 0)],
                True,
            ),
            "two of dead others": ([("x", 77, 0), ("y", 78, 0)], True),
        }
        for name, (seeds_on_log, expected) in cases.items():
            with self.subTest(name):
                self.log.records.clear()
                self.live.clear()
                discovery, _ = await self.node(1)
                await self.node(2)
                await self.node(3)
                for node_id, port, age_ms in seeds_on_log:
                    self.log.add_seed_record(node_id, "celje-a", port, age_ms)
                before = len(self.log.records)
                with mock.patch.object(discovery, "_is_publisher", return_value=True):
                    await discovery.check()
                self.assertEqual(len(self.log.records) > before, expected)

    async def test_the_timer_starts_the_check(self) -> None:
        await self.node(2)
        self.log.add_seed_record("n2", "celje-a", 2)
        discovery, joiner = await self.node(1)
        discovery._next_check_at = 0.0
        await until(lambda: "n2" in joiner.table.by_id)
