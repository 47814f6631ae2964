"""Several nodes of one data centre that have the store's records from one of them."""

import asyncio
import contextlib
import random
import typing as t
from unittest import mock

from msgspec.structs import replace

from bulrushflow.sidecar import application
from bulrushflow.sidecar.records import relay
from tests.platform.standin import StoreStandIn
from tests.sidecar.fleet import FleetTestCase
from tests.sidecar.fleet import Instance
from tests.sidecar.fleet import configuration
from tests.sidecar.fleet import store_with_status_topic
from tests.sidecar.samples import RecordingDecisions
from tests.waiting import GUARD_S
from tests.waiting import until


async def hang(*_: t.Any, **__: t.Any) -> t.Any:
    await asyncio.Event().wait()


@contextlib.contextmanager
def cut_off(instance: Instance) -> t.Iterator[None]:
    """Have a node's reads of the store get no answer, those that wait now included."""
    store = instance.sidecar._store
    with mock.patch.object(store, "read", hang), mock.patch.object(store, "newest", hang):
        for reader in instance.sidecar.records.readers:
            reader.interrupt_wait()
        yield


class RelayTestCase(FleetTestCase):
    node_count = 4

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.serve()

    def create_store(self) -> StoreStandIn:
        return store_with_status_topic()

    def readers(self) -> list[Instance]:
        return [item for item in self.instances if item.sidecar.records.relay.source is None]

    async def until_one_reads(self) -> Instance:
        """Wait until one node reads the store, and return it."""
        await until(lambda: len(self.readers()) == 1)
        return self.readers()[0]

    def others(self, instance: Instance) -> list[Instance]:
        return [item for item in self.instances if item is not instance]

    async def until_in_force(self, instances: list[Instance], version: int) -> None:
        await asyncio.gather(*(item.until_version(version) for item in instances))


class RelayTests(RelayTestCase):
    async def test_one_node_of_the_data_centre_reads_the_store(self) -> None:
        reader = await self.until_one_reads()
        before = self.store.reads
        for version in (2, 3, 4):
            self.store.put("keyed.op", "config", configuration(version))
            await self.until_in_force(self.instances, version)
        # Three topics, of which the one with records is read again after each.
        self.assertLess(self.store.reads - before, 3 * 3 * self.node_count)
        for instance in self.others(reader):
            self.assertEqual(instance.sidecar.records.relay.source, reader.settings.node_id)
            self.assertTrue(instance.sidecar.is_configuration_current())

    async def test_metrics_show_who_reads_the_store_and_how_old_the_state_may_be(self) -> None:
        reader = await self.until_one_reads()
        for number, instance in enumerate(self.instances):
            await instance.sidecar._observe_state()
            metrics = await self.metrics(number)
            self.assertIn(f"bulrushflow_reads_store {int(instance is reader)}", metrics)
            line = next(
                line
                for line in metrics.splitlines()
                if line.startswith('bulrushflow_store_confirmed_seconds{topic="keyed.op"}')
            )
            self.assertLess(float(line.split()[-1]), GUARD_S)

    async def test_the_log_shows_from_whom_a_configuration_came_and_how_late_it_may_be(
        self,
    ) -> None:
        reader = await self.until_one_reads()
        logs_by_node = {}
        for instance in self.instances:
            decisions = instance.sidecar._orders._decisions = RecordingDecisions()
            logs_by_node[instance.settings.node_id] = decisions
        self.store.put("keyed.op", "config", configuration(2))
        await self.until_in_force(self.instances, 2)
        reader_id = reader.settings.node_id
        for node_id, decisions in logs_by_node.items():
            [change] = decisions.inputs("configuration in force")
            self.assertEqual(change["source"], "store" if node_id == reader_id else reader_id)
            self.assertLess(change["unconfirmed_s"], GUARD_S)

    async def test_a_change_comes_into_force_though_the_reader_is_frozen(self) -> None:
        reader = await self.until_one_reads()
        reader.sidecar._links._handlers["updates_request"] = hang
        reader.sidecar.records.relay.note_request()
        self.store.put("keyed.op", "config", configuration(2))
        await self.until_in_force(self.others(reader), 2)

    async def test_a_change_comes_into_force_though_the_reader_does_not_reach_the_store(
        self,
    ) -> None:
        reader = await self.until_one_reads()
        with cut_off(reader):
            self.store.put("keyed.op", "config", configuration(2))
            # Nodes of other data centres learn of it, and a call brings their offset.
            reader.sidecar.records.orders.note_peer_offset(2, 1)
            # The reader itself too, which asked no node and kept the former configuration.
            await self.until_in_force(self.instances, 2)

    # CONFIG: with one data centre, the others took a reader that was cut off from the store for
    # current until its read failed, after 3 s, and kept the former configuration.
    async def test_a_change_comes_into_force_in_time_though_the_reader_is_cut_off_alone(
        self,
    ) -> None:
        reader = await self.until_one_reads()
        with cut_off(reader):
            self.store.put("keyed.op", "config", configuration(2))
            async with asyncio.timeout(reader.settings.bounds.config_apply_s):
                await self.until_in_force(self.others(reader), 2)

    async def test_a_change_comes_into_force_though_the_store_refuses_the_reader(self) -> None:
        reader = await self.until_one_reads()
        reader.sidecar._store._base = "http://127.0.0.1:1"  # type: ignore[attr-defined]
        for item in reader.sidecar.records.readers:
            item.interrupt_wait()
        self.store.put("keyed.op", "config", configuration(2))
        await self.until_in_force(self.instances, 2)

    # Two nodes that have their records from each other would confirm each other's state for ever.
    async def test_records_are_taken_only_from_a_node_that_the_store_confirmed_lately(self) -> None:
        replica = self.instances[0].sidecar.records.orders
        update = replica.update_since(0, replica.era)
        self.assertTrue(relay._is_fresh(replace(update, confirmed_s_ago=1.0)))
        self.assertFalse(relay._is_fresh(replace(update, confirmed_s_ago=1.0, current=False)))
        age_s = relay.MAX_CONFIRMED_AGE_S + 0.1
        self.assertFalse(relay._is_fresh(replace(update, confirmed_s_ago=age_s)))

    async def test_a_change_comes_into_force_after_the_reader_stopped(self) -> None:
        reader = await self.until_one_reads()
        others = self.others(reader)
        await reader.stop()
        self.instances = others
        self.store.put("keyed.op", "config", configuration(2))
        await self.until_in_force(others, 2)

    async def test_a_change_comes_into_force_though_no_neighbour_reaches_the_reader(self) -> None:
        reader = await self.until_one_reads()
        links = reader.sidecar._links
        assert links._server is not None
        links._server.close()
        for link in links._all_links():
            link.abort()
        self.store.put("keyed.op", "config", configuration(2))
        await self.until_in_force(self.instances, 2)

    async def test_a_node_that_missed_a_trimmed_history_has_the_state_from_another_one(
        self,
    ) -> None:
        reader = await self.until_one_reads()
        behind = self.others(reader)[0]
        await behind.stop()
        for version in (2, 3, 4):
            self.store.put("keyed.op", "config", configuration(version))
        self.store.first_offset_by_topic["keyed.op"] = 4
        await self.until_in_force(self.others(behind), 4)
        behind.sidecar = behind.new_sidecar()
        await behind.sidecar.start()
        await self.until_in_force([behind], 4)

    async def test_a_leaving_target_is_known_to_all_though_the_reader_stops(self) -> None:
        reader = await self.until_one_reads()
        leaving = self.instances.index(self.others(reader)[0])
        stopping = asyncio.create_task(reader.stop())
        await self.announce(leaving, state="draining", sequence=2)
        self.instances = self.others(reader)
        for instance in self.instances:
            directory = instance.sidecar.directory
            address = self.instances[0].settings.address
            await until(
                lambda directory=directory, address=address: (  # type: ignore[misc]
                    address not in {p.entry.address for p in directory.ready_peers("s1")}
                )
            )
        await stopping

    async def test_nodes_that_all_restart_at_once_come_back_to_one_reader(self) -> None:
        await self.until_one_reads()
        before = self.store.reads
        await asyncio.gather(*(instance.restart() for instance in self.instances))
        for instance in self.instances:
            await instance.until_serving(self.node_count)
        await self.until_one_reads()
        # One for the list of nodes at each, and a few at those that read for a moment.
        self.assertLess(self.store.reads - before, 8 * self.node_count)
        self.store.put("keyed.op", "config", configuration(2))
        await self.until_in_force(self.instances, 2)

    async def test_nodes_that_all_stop_at_once_do_not_turn_to_the_store(self) -> None:
        reader = await self.until_one_reads()
        with mock.patch.object(application, "READINESS_PROPAGATION_S", 1.0):
            stopping = asyncio.gather(*(item.stop() for item in self.instances))
            for _ in range(5):
                await asyncio.sleep(0.1)
                for instance in self.others(reader):
                    self.assertFalse(any(item.enabled for item in instance.sidecar.records.readers))
            await stopping
        self.instances = []

    async def test_all_nodes_follow_a_store_that_comes_back_from_an_older_copy(self) -> None:
        copy = self.store.copy()
        for version in (2, 3, 4):
            self.store.put("keyed.op", "config", configuration(version))
        await self.until_in_force(self.instances, 4)
        self.store.restore(copy)
        self.store.put("keyed.op", "config", configuration(5))
        await self.until_in_force(self.instances, 5)
        for instance in self.instances:
            await until(
                lambda instance=instance: (  # type: ignore[misc]
                    instance.sidecar.records.orders.era == 2
                )
            )

    async def test_an_outage_of_the_store_ends_for_all_nodes(self) -> None:
        with (
            mock.patch.object(relay, "MIN_PROBE_PAUSE_S", 0.05),
            mock.patch.object(relay, "MAX_PROBE_PAUSE_S", 0.1),
        ):
            await self.until_one_reads()
            self.store.status = 503
            for instance in self.instances:
                for item in instance.sidecar.records.readers:
                    item.interrupt_wait()
            for instance in self.instances:
                sidecar = instance.sidecar
                await until(
                    lambda sidecar=sidecar: (  # type: ignore[misc]
                        not sidecar.is_configuration_current()
                    )
                )
            self.store.put("keyed.op", "config", configuration(2))
            self.store.status = 200
            await self.until_in_force(self.instances, 2)


class FailingStoreTests(FleetTestCase):
    node_count = 1

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.serve()
        self.sidecar = self.instances[0].sidecar
        await self.sidecar.records.relay.stop()
        self.store.status = 503
        for reader in self.sidecar.records.readers:
            reader.disable()
            await until(lambda reader=reader: reader._read_task is None)  # type: ignore[misc]

    async def test_a_node_without_a_source_probes_a_failing_store_with_one_read(self) -> None:
        # Each probe was four reads, since the reader repeated a failed one at once.
        before = self.store.reads
        with (
            mock.patch.object(relay, "MIN_PROBE_PAUSE_S", 0.5),
            mock.patch.object(relay, "MAX_PROBE_PAUSE_S", 0.5),
        ):
            decisions = self.sidecar.records.relay._decisions = RecordingDecisions()
            await self.sidecar.records.relay._read_alone()
        self.assertEqual(self.store.reads - before, 1)
        [probe] = decisions.inputs("store probe failed")
        self.assertEqual((probe["topic"], probe["pause_s"]), ("keyed.op", 0.5))

    async def test_a_node_that_starts_while_the_store_fails_reads_one_topic_only(self) -> None:
        started = self.instances[0].new_sidecar()
        await self.instances[0].stop()
        self.instances[0].sidecar = started
        await started.start()
        with mock.patch.object(relay, "NEIGHBOURS_TIMEOUT_S", 0.01):
            await until(lambda: started.records.readers[1].has_failed)
            before = self.store.reads
            await until(lambda: self.store.reads >= before + 3)
        self.assertEqual(
            [reader.enabled for reader in started.records.readers], [False, True, False]
        )
        self.store.status = 200
        await self.instances[0].until_version(1)


class SeededRelayTests(RelayTestCase):
    async def test_changes_reach_all_nodes_in_a_seeded_order_of_faults(self) -> None:
        rng = random.Random(7)
        version = 1
        for _ in range(12):
            event = rng.choice(["restart", "cut", "restore", "trim", "none"])
            victim = rng.choice(self.instances)
            with self.subTest(event=event, version=version):
                if event == "restart":
                    await victim.restart()
                elif event == "restore":
                    self.store.restore(self.store.copy())
                elif event == "trim":
                    topic = "keyed.op"
                    end = len(self.store.records_by_topic[topic])
                    self.store.first_offset_by_topic[topic] = end
                base = victim.sidecar._store._base  # type: ignore[attr-defined]
                if event == "cut":
                    victim.sidecar._store._base = "http://127.0.0.1:1"  # type: ignore[attr-defined]
                version += rng.randint(1, 3)
                self.store.put("keyed.op", "config", configuration(version))
                others = self.others(victim) if event == "cut" else self.instances
                await self.until_in_force(others, version)
                victim.sidecar._store._base = base  # type: ignore[attr-defined]
        await self.until_in_force(self.instances, version)


class EarlierBuildTests(FleetTestCase):
    node_count = 3

    async def test_nodes_of_a_build_that_relays_nothing_read_for_themselves(self) -> None:
        await self.serve()
        await until(
            lambda: sum(i.sidecar.records.relay.source is None for i in self.instances) == 1
        )
        [reader] = [i for i in self.instances if i.sidecar.records.relay.source is None]
        # An earlier build ignores requests that it doesn't know.
        reader.sidecar._links._handlers.pop("updates_request")
        self.store.put("keyed.op", "config", configuration(2))
        for instance in self.instances:
            await instance.until_version(2)
