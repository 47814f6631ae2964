"""Tests that records reach every node, and that nodes know whether any is missing."""

import typing as t
from unittest import mock

from bulrushflow.configuration import EnableSchema
from bulrushflow.configuration import encode_record
from bulrushflow.configuration import make_snapshot
from bulrushflow.nodes.pulling import SERVED_BURST_BYTES
from bulrushflow.nodes.pulling import SERVED_BYTES_PER_S
from bulrushflow.nodes.pulling import PullServer
from tests.nodes.dissemination_fleet import DisseminationTestCase
from tests.recording.fakes import MemoryLog
from tests.recording.test_recovery import change
from tests.recording.test_recovery import log_with_snapshots
from tests.waiting import until


def down_log() -> MemoryLog:
    log = MemoryLog()
    log.down = True
    return log


class RecordDisseminationTests(DisseminationTestCase):
    async def test_few_nodes_read_the_log_and_all_get_every_record(self) -> None:
        nodes = await self.add_all(*["celje-a"] * 7, *["velenje"] * 7)
        await until(self.all_caught_up)
        for number in range(20):
            self.log.add(change(number))
        await until(lambda: self.all_at_version(19))
        readers = [n.data_centre for n in nodes if n.dissemination.is_reader()]
        self.assertEqual(sorted(readers), ["celje-a"] * 2 + ["velenje"] * 2)
        self.assertEqual(len({n.store.current.offset for n in nodes}), 1)

    async def test_a_data_centre_without_the_log_pulls_from_another(self) -> None:
        await self.add_all(*["celje-a"] * 3)
        await self.add_all(*["velenje"] * 5, log=down_log())
        for number in range(3):
            self.log.add(change(number))
        await until(lambda: self.all_at_version(2) and self.all_caught_up())

    async def test_the_second_reader_pushes_records_if_the_first_does_not(self) -> None:
        nodes = await self.add_all(*["celje-a"] * 8)
        await until(self.all_caught_up)
        first = next(n for n in nodes if n.dissemination._reader_ids()[0] == n.node_id)
        first.dissemination._reader._log = down_log()
        first.dissemination._pulling = True  # Keeps it from pulling, too.
        self.log.add(change(0))
        await until(lambda: self.all_at_version(0))
        with mock.patch("bulrushflow.nodes.pulling.MAX_PULL_DELAY_S", 600.0):
            self.log.add(change(1))
            await until(lambda: self.all_at_version(1))

    async def test_a_restarted_node_becomes_ready_from_peers_while_the_log_is_down(self) -> None:
        self.log.add(change(0))
        await self.add_all("celje-a", "celje-a", "velenje")
        await until(self.all_caught_up)
        self.log.down = True
        restarted = await self.add("celje-a")
        await until(lambda: restarted.dissemination.caught_up)
        self.assertEqual(restarted.store.current.offset, 0)
        self.assertTrue(self.all_caught_up())

    async def test_new_nodes_do_not_confirm_each_others_version(self) -> None:
        self.log.add(change(0))
        self.log.down = True
        await self.add_all("celje-a", "celje-a", "velenje")
        await until(lambda: all(n.dissemination._reader.failures > 1 for n in self.nodes[:2]))
        self.assertFalse(any(n.dissemination.caught_up for n in self.nodes))
        self.log.down = False
        await until(self.all_caught_up)
        self.assertTrue(self.all_at_version(0))

    async def test_a_paused_node_is_not_caught_up_until_it_has_checked(self) -> None:
        nodes = await self.add_all("celje-a", "celje-a", "celje-a")
        await until(self.all_caught_up)
        for node in nodes:
            with self.subTest(reader=node.dissemination.is_reader()):
                node.ahead_s += 60.0
                # No timer has run since: reading the property must detect the pause.
                self.assertFalse(node.dissemination.caught_up)
                await until(lambda n=node: n.dissemination.caught_up)  # type: ignore[misc]

    async def test_nodes_paused_together_while_the_log_is_down_recover(self) -> None:
        nodes = await self.add_all(*["celje-a"] * 4)
        self.log.add(change(0))
        await until(lambda: self.all_at_version(0) and self.all_caught_up())
        self.log.down = True
        for node in nodes:
            node.ahead_s += 60.0
        self.assertFalse(any(node.dissemination.caught_up for node in nodes))
        with mock.patch("bulrushflow.configuration.freshness.CHECKING_PEERS_ACCEPTED_AFTER_S", 0.1):
            await until(self.all_caught_up)

    async def test_a_log_that_lost_its_tail_reverts_no_node(self) -> None:
        for number in range(3):
            self.log.add(change(number))
        nodes = await self.add_all("celje-a", "celje-a")
        await until(lambda: self.all_at_version(2) and self.all_caught_up())
        del self.log.records[1:]
        self.log.add(change(7))
        restarted = await self.add("celje-a")
        for node in nodes:
            node.ahead_s += 60.0
        await until(self.all_caught_up)
        self.assertTrue(self.all_at_version(2))
        self.assertEqual(nodes[0].store.current.services_by_name["plots"].version, "v2")
        self.assertIsNotNone(restarted.store.current.verdicts_by_publish_id.get("p2"))
        await until(lambda: any(len(node.metrics.log_behind.values) for node in nodes))

    async def test_nodes_start_from_a_snapshot_of_a_trimmed_log(self) -> None:
        self.log = log_with_snapshots(12)
        del self.log.records[:8]
        await self.add_all("celje-a", "velenje")
        await until(lambda: self.all_at_version(19) and self.all_caught_up())

    async def test_without_a_valid_snapshot_a_node_does_not_catch_up(self) -> None:
        self.log = log_with_snapshots(12, corrupt=12)
        del self.log.records[:8]
        node = await self.add("celje-a")
        await until(lambda: node.dissemination._reader.failures > 1)
        self.assertFalse(node.dissemination.caught_up)
        self.assertEqual(node.store.current.offset, -1)

    async def test_an_older_release_stops_applying_but_forwards_records(self) -> None:
        await self.add_all("celje-a", "celje-a", supported=1)
        newer = await self.add_non_reader("celje-a")
        await until(self.all_caught_up)
        self.log.add(change(0))
        self.log.add(encode_record(EnableSchema(1, "e", "ana", 2)))
        await until(lambda: newer.store.current.offset == 1)
        self.log.add(change(2))
        await until(lambda: newer.store.current.offset == 2)
        older = self.nodes[:2]
        self.assertEqual([n.store.current.offset for n in older], [0, 0])
        self.assertFalse(any(n.dissemination.caught_up for n in older))
        self.assertTrue(newer.dissemination.caught_up)

    async def test_a_differing_snapshot_is_reported_as_an_invariant_violation(self) -> None:
        node = await self.add("celje-a")
        self.log.add(change(0))
        await until(lambda: self.all_at_version(0))
        other = MemoryLog([change(5)])
        store = type(node.store)()
        store.apply(other.records)
        self.log.add(encode_record(make_snapshot(store.current)))
        await until(lambda: bool(node.invariant_errors))
        self.assertEqual(node.store.current.offset, 0)


class PullServerTests(DisseminationTestCase):
    async def test_a_node_far_behind_gets_a_snapshot_and_then_pages(self) -> None:
        with mock.patch("bulrushflow.configuration.store.MAX_RETAINED_RECORDS", 5):
            for number in range(30):
                self.log.add(change(number))
            await self.add_all("celje-a", "celje-a")
            await until(lambda: self.all_at_version(29))
        with mock.patch("bulrushflow.configuration.store.MAX_PAGE_BYTES", 100):
            await self.add("celje-a", log=down_log())
            await until(lambda: self.all_at_version(29) and self.all_caught_up())

    async def test_pulls_beyond_the_byte_rate_are_refused_and_retried(self) -> None:
        for number in range(3):
            self.log.add(change(number))
        nodes = await self.add_all("celje-a", "celje-a")
        await until(lambda: self.all_at_version(2))
        servers: list[PullServer] = [n.dissemination._server for n in nodes]
        for server in servers:
            server._bucket.consume(SERVED_BURST_BYTES)
            server._bucket.tokens_per_s = 0.0
        behind = await self.add_non_reader("celje-a")
        await until(lambda: sum(server.refused_pulls for server in servers) > 1)
        self.assertEqual(behind.store.current.offset, -1)
        for server in servers:
            server._bucket.tokens_per_s = SERVED_BYTES_PER_S
        await until(lambda: self.all_at_version(2) and self.all_caught_up())

    async def test_concurrent_announcements_cause_one_pull(self) -> None:
        nodes = await self.add_all("celje-a", "celje-a")
        await until(self.all_caught_up)
        behind = await self.add_non_reader("celje-a")
        await until(lambda: behind.dissemination.caught_up)
        behind.links.handle("records_push", mock.AsyncMock(return_value=None))
        requested_offsets: list[int] = []
        exchange = behind.links.exchange

        async def counted(*args: t.Any, **body: t.Any) -> t.Any:
            requested_offsets.append(body["records_request"].from_offset)
            return await exchange(*args, **body)

        with mock.patch.object(behind.links, "exchange", counted):
            self.log.add(change(0))
            await until(lambda: nodes[0].store.current.offset == 0)
            for _ in range(10):
                behind.dissemination.note_peer_offset(nodes[0].table.own.endpoint, 0)
            await until(lambda: behind.store.current.offset == 0)
        self.assertEqual(requested_offsets, [0])
