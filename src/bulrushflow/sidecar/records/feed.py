"""The replicas of the store's topics, and what brings the store's records to them."""

import math
import random

from mode import Service

from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.records.directory import Directory
from bulrushflow.sidecar.records.freshness import FreshnessBound
from bulrushflow.sidecar.records.refresher import CHECK_PERIOD_S
from bulrushflow.sidecar.records.refresher import RecordRefresher
from bulrushflow.sidecar.records.relay import RecordRelay
from bulrushflow.sidecar.records.replica import Replica
from bulrushflow.sidecar.records.storage import Store
from bulrushflow.sidecar.records.store_reader import StoreReader
from bulrushflow.sidecar.records.update_server import UpdateServer
from bulrushflow.sidecar.records.upstreams import Upstreams
from bulrushflow.timers import Timers
from bulrushflow.wire.links import Links


class RecordFeed(Service):
    """Owns one replica of each topic, and feeds them from the store or from another node.

    :param orders: replica of the operator's records, whose age is bounded.
    :param freshness: that bound.
    """

    def __init__(
        self,
        store: Store,
        orders: Replica,
        nodes: Replica,
        statuses: Replica,
        freshness: FreshnessBound,
        upstreams: Upstreams,
        directory: Directory,
        links: Links,
        timers: Timers,
        decisions: DecisionLog,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self.orders = orders
        self.nodes = nodes
        self.statuses = statuses
        self.replicas = (orders, nodes, statuses)
        self.readers = [StoreReader(store, replica, decisions, rng) for replica in self.replicas]
        orders_reader, nodes_reader, _ = self.readers
        self._timers = timers
        self.relay = RecordRelay(
            links,
            upstreams,
            self.readers,
            nodes_reader,
            directory.entry,
            freshness,
            decisions,
            rng,
        )
        self._refresher = RecordRefresher(
            orders_reader,
            freshness,
            lambda: self.relay.may_refresh,
            lambda: self.relay.source,
            decisions,
            rng,
        )
        self._update_server = UpdateServer(links, self.replicas, self.relay.note_request)

    async def on_start(self) -> None:
        await self.relay.start()
        for reader in self.readers:
            await reader.start()
        self._timers.subscribe("records age", CHECK_PERIOD_S, self._refresher.check)

    def begin_stop(self) -> None:
        """Have other nodes turn elsewhere, and read the store only while they still ask."""
        self._update_server.close()
        self.relay.stopping = True

    async def on_stop(self) -> None:
        for service in (self.relay, *self.readers):
            await service.stop()

    @property
    def source(self) -> str:
        """Name of the node that the records come from, or ``store``."""
        return self.relay.source or "store"

    def orders_age_s(self) -> float | None:
        """Return the seconds since the store confirmed the operator's records; ``None`` before."""
        age_s = self.orders.confirmed_s_ago
        return None if math.isinf(age_s) else round(age_s, 3)
