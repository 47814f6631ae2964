"""CONFIG: the time from the store's acknowledgement of a change until it is in force.

Each test has one trouble on the way of a change. Nodes that reach the store have the change in
force within the bound of their settings, whatever happens to the node that they had it from.
"""

import asyncio
import contextlib
import typing as t
from unittest import mock

from bulrushflow.sidecar.records import relay
from bulrushflow.sidecar.records import store_reader
from bulrushflow.sidecar.records.replica import Replica
from bulrushflow.sidecar.records.storage import TopicUpdate
from bulrushflow.sidecar.records.upstreams import LOCAL_CANDIDATES
from bulrushflow.sidecar.records.upstreams import Upstreams
from tests.platform.standin import StoreStandIn
from tests.sidecar.fleet import FleetTestCase
from tests.sidecar.fleet import Instance
from tests.sidecar.fleet import configuration
from tests.sidecar.fleet import store_with_status_topic
from tests.sidecar.samples import RecordingDecisions
from tests.waiting import until

SLOW_TRANSFER_S = 4.0
"""Time from the begin of a response to its end; longer than a change may take to be in force."""

SLOW_WAY_S = 0.25
"""Time that an answer takes between two nodes; too little for the node to count as failed."""


async def hang(*_: t.Any, **__: t.Any) -> t.Any:
    await asyncio.Event().wait()


def cut_off(instance: Instance) -> None:
    """Have a node's reads of the store get no answer, those that wait now included."""
    store = instance.sidecar._store
    store.read = store.newest = hang  # type: ignore[method-assign]
    for reader in instance.sidecar.records.readers:
        reader.interrupt_wait()


def slow_down(instance: Instance) -> None:
    """Have the responses of the store take :data:`SLOW_TRANSFER_S` to arrive at a node."""
    store = instance.sidecar._store
    read, newest = store.read, store.newest

    async def read_slowly(*args: t.Any, **kwargs: t.Any) -> t.Any:
        result = await read(*args, **kwargs)
        await asyncio.sleep(SLOW_TRANSFER_S)
        return result

    async def load_slowly(topic: str) -> t.Any:
        result = await newest(topic)
        await asyncio.sleep(SLOW_TRANSFER_S)
        return result

    store.read = read_slowly  # type: ignore[method-assign]
    store.newest = load_slowly  # type: ignore[method-assign]
    for reader in instance.sidecar.records.readers:
        reader.interrupt_wait()


def freeze(instance: Instance) -> None:
    """Have a node answer no request for records, those that wait now included."""
    links = instance.sidecar._links
    links._handlers["updates_request"] = hang
    for link in links._accepted:
        for task in link._tasks.values():
            task.cancel()


class InForceTestCase(FleetTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.serve()

    def create_store(self) -> StoreStandIn:
        return store_with_status_topic()

    def readers_by_data_centre(self) -> dict[str, Instance]:
        """Return the nodes that all others of their data centre have the records from."""
        by_id = {item.settings.node_id: item for item in self.instances}
        sources_by_data_centre: dict[str, set[str]] = {}
        for item in self.instances:
            sources = sources_by_data_centre.setdefault(item.settings.data_centre, set())
            sources.add(item.sidecar.records.relay.source or item.settings.node_id)
        return {
            name: by_id[next(iter(sources))]
            for name, sources in sources_by_data_centre.items()
            if len(sources) == 1
        }

    async def until_settled(self) -> list[Instance]:
        """Wait until one node of each data centre reads the store for long, and return these."""
        names = {item.settings.data_centre for item in self.instances}

        def settled() -> bool:
            readers_by_name = self.readers_by_data_centre()
            if set(readers_by_name) != names:
                return False
            polls = [
                item.sidecar.records.readers[0]._poll_timeout_s for item in readers_by_name.values()
            ]
            return all(seconds >= store_reader.LONG_POLL_S for seconds in polls)

        await until(settled)
        return list(self.readers_by_data_centre().values())

    async def change_in_time(self, instances: t.Iterable[Instance]) -> None:
        """Publish version 2, and wait until it is in force within the bound of the settings."""
        self.store.put("keyed.op", "config", configuration(2))
        async with asyncio.timeout(self.instances[0].settings.bounds.config_apply_s):
            await asyncio.gather(*(instance.until_version(2) for instance in instances))

    def all_but(self, excluded: t.Collection[Instance]) -> list[Instance]:
        return [item for item in self.instances if item not in excluded]


class TwoDataCentresTests(InForceTestCase):
    node_count = 6
    data_centres = "ab"

    # The readers compared their offsets with one another, and found nothing missing.
    async def test_a_change_is_not_late_though_the_readers_of_all_data_centres_are_cut_off(
        self,
    ) -> None:
        readers = await self.until_settled()
        for reader in readers:
            cut_off(reader)
        await self.change_in_time(self.all_but(readers))

    async def test_a_change_is_not_late_though_one_reader_reads_slowly(self) -> None:
        reader = (await self.until_settled())[0]
        slow_down(reader)
        await self.change_in_time(self.all_but([reader]))

    # A source that answered in time counted as good, however old its records were, as long as no
    # node of another data centre had later ones.
    async def test_a_change_is_not_late_though_the_readers_of_all_data_centres_read_slowly(
        self,
    ) -> None:
        readers = await self.until_settled()
        for reader in readers:
            slow_down(reader)
        await self.change_in_time(self.all_but(readers))


class OneDataCentreTests(InForceTestCase):
    node_count = 6

    # Records counted as just confirmed after a slow way from the reader to the follower.
    async def test_the_age_of_records_has_the_time_that_they_took_between_the_nodes(self) -> None:
        [reader] = await self.until_settled()
        follower = self.all_but([reader])[0]
        await follower.sidecar.records.relay.stop()
        handlers = reader.sidecar._links._handlers
        answer = handlers["updates_request"]
        ages_s = []

        async def answer_late(message: t.Any) -> t.Any:
            response = await answer(message)
            await asyncio.sleep(SLOW_WAY_S)
            return response

        def record_age(replica: Replica, update: TopicUpdate) -> bool:
            if replica in follower.sidecar.records.replicas:
                ages_s.append(update.confirmed_s_ago)
            return True

        with (
            mock.patch.dict(handlers, updates_request=answer_late),
            mock.patch.object(Replica, "apply_update", record_age),
        ):
            await follower.sidecar.records.relay._update_from(reader.sidecar._own_node_key)
        self.assertTrue(ages_s)
        self.assertGreaterEqual(min(ages_s), SLOW_WAY_S)

    # A follower waited a second for each node that it may have its records from.
    async def test_a_change_is_not_late_though_all_nodes_that_rank_first_are_frozen(self) -> None:
        await self.until_settled()
        local, _ = self.instances[0].sidecar.records.relay._upstreams._candidates()
        by_key = {item.sidecar._own_node_key: item for item in self.instances}
        frozen = [by_key[key] for key in local[:LOCAL_CANDIDATES]]
        for instance in frozen:
            freeze(instance)
        await self.change_in_time(self.all_but(frozen))


class OneNodeTests(InForceTestCase):
    node_count = 1

    # After a failed read, a node without a source read nothing for up to 2.5 s.
    async def test_a_change_is_not_late_once_the_store_serves_a_node_again(self) -> None:
        [node] = self.instances
        sidecar = node.sidecar
        decisions = sidecar.records.relay._decisions = RecordingDecisions()
        longest_pause = mock.patch.object(sidecar._rng, "uniform", lambda low, high: high)
        with contextlib.ExitStack() as patches:
            patches.enter_context(longest_pause)
            # Another node is listed, and not available, so that this one isn't the first to read.
            patches.enter_context(mock.patch.object(Upstreams, "leads", lambda _: False))
            self.store.status = 503
            for reader in sidecar.records.readers:
                reader.interrupt_wait()
            await until(lambda: bool(decisions.inputs("store probe failed")))
            self.store.status = 200
            await self.change_in_time([node])
        self.assertLessEqual(
            relay.PROBE_S + relay.MAX_PROBE_PAUSE_S, node.settings.bounds.config_apply_s
        )
