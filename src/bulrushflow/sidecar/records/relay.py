"""Decides where this node has the store's records from: the store itself, or another node.

One node of each data centre reads the store, as a rule, and the others request its records from it.
A node that is asked for records reads the store as long as it is asked, so records are never passed
on by a node that has them from a third one.
"""

import asyncio
import random
import typing as t

from msgspec.structs import replace
from result import Err
from result import Ok
from result import Result

from bulrushflow.background import BackgroundService
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.model import NodeEntry
from bulrushflow.sidecar.records.freshness import FreshnessBound
from bulrushflow.sidecar.records.relay_codec import TopicPosition
from bulrushflow.sidecar.records.relay_codec import position_to_message
from bulrushflow.sidecar.records.relay_codec import update_from_message
from bulrushflow.sidecar.records.replica import Replica
from bulrushflow.sidecar.records.storage import TopicUpdate
from bulrushflow.sidecar.records.store_reader import StoreReader
from bulrushflow.sidecar.records.upstreams import FIRST_EXCLUSION_S
from bulrushflow.sidecar.records.upstreams import STARTING_EXCLUSION_S
from bulrushflow.sidecar.records.upstreams import Upstreams
from bulrushflow.wire import messages
from bulrushflow.wire.links import Links

MAX_UPDATE_WAIT_S = 0.6
"""Time after which a request is answered without records; the answer shows that the node lives."""
RESPONSE_MARGIN_S = 0.4
"""Time beyond it after which the node counts as failed."""
LOAD_TIMEOUT_S = 2.0
"""Bound on a request for the whole state of a topic."""
REVIEW_PERIOD_S = 1.0
"""Interval at which a node that works is compared with those that rank before it."""
STARTING_REVIEW_S = 0.4
"""Time after which a node that loaded the topics itself at its start looks for a source again; less
than its readers' pause before they read on."""
DEMAND_S = 2.0
"""Time after a request of another node for which this node reads the store."""
NEIGHBOURS_TIMEOUT_S = 0.5
"""Time that a starting node waits for the list of nodes before it reads all topics."""
WATCHED_NODES = 2
"""Nodes of other data centres whose offsets show whether this node's reads still work."""
COMPARE_PAUSE_S = 0.1
"""Pause between such comparisons, since a node that is behind is answered at once."""
MAX_CONFIRMED_AGE_S = 7.0
"""Age of the store's last confirmation up to which a node takes records of one that it compares
itself with. A read that waits for records is confirmed after 5 s at the latest."""
PROBE_S = 0.4
"""Time that a node without an upstream waits for the store's answer to one read."""
MIN_PROBE_PAUSE_S = 0.7
MAX_PROBE_PAUSE_S = 1.4
"""Bounds of the random pause after such a read failed. A change has to be in force 2 s after the
store serves the node again, and its transfer takes up to 0.4 s on a narrow link."""


class RecordRelay(BackgroundService):
    """Feeds the replicas from the store or from another node.

    :param readers: readers of all topics.
    :param nodes: reader of the node entries, which are loaded before there is a choice.
    :param peer_entry: returns the entry of a node by its key, or ``None``.
    :param freshness: bounds the time that a request waits at another node.
    """

    def __init__(
        self,
        links: Links,
        upstreams: Upstreams,
        readers: t.Sequence[StoreReader],
        nodes: StoreReader,
        peer_entry: t.Callable[[str], NodeEntry | None],
        freshness: FreshnessBound,
        decisions: DecisionLog,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self._links = links
        self._upstreams = upstreams
        self._readers = readers
        self._replicas = [reader.replica for reader in readers]
        self._nodes = nodes
        self._peer_entry = peer_entry
        self._freshness = freshness
        self._decisions = decisions
        self._rng = rng
        self._asked_at = float("-inf")
        self.stopping = False
        """Whether this node is about to stop; it turns to the store no more, since many may stop at
        the same time, and each of them finds that the others aren't available."""
        self.source: str | None = None
        """Id of the node that the records come from; ``None`` for the store."""

    @property
    def is_asked(self) -> bool:
        """Whether other nodes have requested records recently."""
        return asyncio.get_running_loop().time() - self._asked_at < DEMAND_S

    @property
    def may_refresh(self) -> bool:
        """Whether this node may read the store for once.

        Not while it stops, nor while it has no source and pauses between probes of the store.
        """
        return not self.stopping and (self.source is not None or self._readers[0].enabled)

    @property
    def _starting(self) -> bool:
        """Whether a topic was not loaded yet."""
        return not all(replica.loaded for replica in self._replicas)

    def note_request(self) -> None:
        """Read the store for a while, since another node requested records."""
        self._asked_at = asyncio.get_running_loop().time()
        self._use_store("records requested by another node")

    async def on_start(self) -> None:
        for reader in self._readers:
            if reader is not self._nodes:
                reader.disable()
        await super().on_start()

    async def run(self) -> None:
        """See :meth:`BackgroundService.run`."""
        await self._load_nodes()
        while True:
            key = self._upstreams.choose(asyncio.get_running_loop().time())
            if self.is_asked or self._upstreams.leads():
                self._use_store("ranks first, or is asked for records")
                await self._review_reads()
            elif key is not None:
                await self._follow(key)
            elif self.stopping:
                await asyncio.sleep(REVIEW_PERIOD_S)
            else:
                await self._read_alone()

    async def _load_nodes(self) -> None:
        deadline = asyncio.get_running_loop().time() + NEIGHBOURS_TIMEOUT_S
        changed = asyncio.Event()
        self._nodes.replica.subscribe(changed.set)
        try:
            async with asyncio.timeout_at(deadline):
                while self._nodes.replica.offset is None:
                    changed.clear()
                    await changed.wait()
        except TimeoutError:
            while self._nodes.has_failed and self._nodes.replica.offset is None:
                # While the store fails, reading the other topics too would only cost calls.
                await self._nodes.wait_for_read(PROBE_S)
            self._use_store(f"no list of nodes within {NEIGHBOURS_TIMEOUT_S} s")

    def _use_store(self, reason: str) -> None:
        for reader in self._readers:
            reader.enable()
        self._set_source(None, reason)

    def _set_source(self, node_id: str | None, reason: str) -> None:
        if node_id == self.source:
            return
        self._decisions.event(
            "record source", source=node_id or "store", before=self.source or "store", reason=reason
        )
        self.source = node_id

    async def _review_reads(self) -> None:
        """Wait for the next review, and learn from other nodes whether this one lags behind."""
        until = asyncio.get_running_loop().time() + REVIEW_PERIOD_S
        watched = self._upstreams.watched(WATCHED_NODES)
        await asyncio.gather(
            asyncio.sleep(REVIEW_PERIOD_S), *(self._compare_offsets(key, until) for key in watched)
        )

    async def _compare_offsets(self, key: str, until: float) -> None:
        while asyncio.get_running_loop().time() < until:
            reads_work = self._reads_work
            match await self._request(key, offsets_only=reads_work):
                case Err(_):
                    # The nodes that have their records from it turn elsewhere.
                    return
                case Ok(updates):
                    pass
            for update in updates:
                replica = self._replica(update.topic)
                if replica is None:
                    continue
                if not reads_work and _is_fresh(update):
                    replica.apply_update(update)
                replica.note_peer_offset(update.end_offset, update.era)
            await asyncio.sleep(COMPARE_PAUSE_S)

    @property
    def _reads_work(self) -> bool:
        """Whether the store responds to this node's reads, and with all that others have read.

        Otherwise a node that ranks first, or is asked for records, takes them from a node that it
        compares itself with: the store may refuse this node alone.
        """
        return not any(reader.has_failed or reader.replica.stale for reader in self._readers)

    async def _read_alone(self) -> None:
        """Read the store, since no other node is available; one topic at first while it fails."""
        first = self._readers[0]
        starting = self._starting
        if not first.enabled:
            first.enable()
            # Only one read: with its retries, a probe of each node would be several calls.
            await first.wait_for_read(PROBE_S)
            if first.has_failed or first.replica.confirmed_s_ago > PROBE_S:
                self._stop_reading()
                pause_s = self._rng.uniform(MIN_PROBE_PAUSE_S, MAX_PROBE_PAUSE_S)
                self._decisions.event(
                    "store probe failed", topic=first.replica.topic, pause_s=round(pause_s, 3)
                )
                await asyncio.sleep(pause_s)
                return
        self._use_store("no other node is available")
        if starting:
            # Neighbours mostly start at the same time, and may be available before the next read.
            await asyncio.sleep(STARTING_REVIEW_S)
            return
        await self._review_reads()
        if not first.replica.connected:
            self._stop_reading()

    def _stop_reading(self) -> None:
        if self.is_asked:
            return
        for reader in self._readers:
            reader.disable()

    async def _follow(self, key: str) -> None:
        """Have the records from another node until it fails or the choice is due for review."""
        loop = asyncio.get_running_loop()
        entry = self._peer_entry(key)
        if entry is None:
            return
        self._stop_reading()
        self._set_source(entry.node_id, "ranks first of the available nodes")
        review_at = loop.time() + REVIEW_PERIOD_S
        while loop.time() < review_at and not self.is_asked:
            reason = await self._update_from(key)
            if reason is not None:
                self._decisions.event("record source failed", node=entry.node_id, reason=reason)
                first_s = STARTING_EXCLUSION_S if self._starting else FIRST_EXCLUSION_S
                self._upstreams.exclude(key, loop.time(), first_s)
                return

    async def _update_from(self, key: str) -> str | None:
        """Request and apply updates once; return why the node failed, or ``None``."""
        match await self._request(key, offsets_only=False):
            case Err(reason):
                return reason
            case Ok(updates):
                pass
        if len(updates) < len(self._replicas):
            return f"has loaded {len(updates)} of {len(self._replicas)} topics"
        outdated = None
        for update in updates:
            replica = self._replica(update.topic)
            if replica is None:
                continue
            replica.apply_update(update)
            if not update.current or update.era < replica.era:
                outdated = update
        if outdated is None:
            return None
        return (
            f"topic {outdated.topic} isn't current there: offset {outdated.end_offset} of era "
            f"{outdated.era}"
        )

    async def _request(self, key: str, offsets_only: bool) -> Result[t.Sequence[t.Any], str]:
        entry = self._peer_entry(key)
        if entry is None:
            return Err("the node left")
        wait_s = min(MAX_UPDATE_WAIT_S, self._freshness.update_wait_s)
        timeout_s = LOAD_TIMEOUT_S if self._starting else wait_s + RESPONSE_MARGIN_S
        request = messages.UpdatesRequest(
            positions=[position_to_message(_position(replica)) for replica in self._replicas],
            wait_ms=int(wait_s * 1000),
            offsets_only=offsets_only,
        )
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        match await self._links.exchange(entry.endpoint, timeout_s, updates_request=request):
            case Err(error):
                return Err(error.reason)
            case Ok(frame) if frame.updates is not None:
                pass
            case _:
                return Err("unexpected message instead of updates")
        waited_ms = frame.updates.waited_ms
        # An earlier build doesn't say how long the request waited there.
        waited_s = wait_s if waited_ms is None else waited_ms / 1000
        on_way_s = max(0.0, loop.time() - sent_at - waited_s)
        updates = []
        for message in frame.updates.updates:
            match update_from_message(message):
                case Err(reason):
                    return Err(reason)
                case Ok(update):
                    age_s = update.confirmed_s_ago + on_way_s
                    updates.append(replace(update, confirmed_s_ago=age_s))
        return Ok(updates)

    def _replica(self, topic: str) -> Replica | None:
        return next((replica for replica in self._replicas if replica.topic == topic), None)


def _is_fresh(update: TopicUpdate) -> bool:
    """Return whether an update is from a node that reaches the store.

    Two nodes that the store refuses, and that have their records from each other, would confirm
    each other's state for ever; its age shows it.
    """
    return update.current and update.confirmed_s_ago <= MAX_CONFIRMED_AGE_S


def _position(replica: Replica) -> TopicPosition:
    return TopicPosition(replica.topic, replica.offset, replica.era, replica.known_end)
