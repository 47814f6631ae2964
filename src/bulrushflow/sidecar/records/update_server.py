"""Hands the store's records on to the nodes that request them from this one."""

import asyncio
import collections
import typing as t

from msgspec.structs import replace

from bulrushflow.sidecar.records.relay_codec import TopicPosition
from bulrushflow.sidecar.records.relay_codec import pack_records
from bulrushflow.sidecar.records.relay_codec import position_from_message
from bulrushflow.sidecar.records.relay_codec import update_to_message
from bulrushflow.sidecar.records.replica import Replica
from bulrushflow.sidecar.records.storage import TopicUpdate
from bulrushflow.wire import messages
from bulrushflow.wire.links import Links

MAX_WAIT_S = 5.0
"""Bound on the time for which a request waits for records."""
MAX_PACKED_UPDATES = 8
"""Encoded updates that are kept, since most nodes request the same ones."""


class UpdateServer:
    """Answers requests for updates at once if there are any, or when they arrive.

    While this node loads its topics, requests wait; topics that it hasn't loaded in time are left
    out. A request is also answered at once when this node loses the store or lags behind, so that
    the other node can turn elsewhere.

    :param on_request: called with each request for records, until the server is closed.
    """

    def __init__(
        self, links: Links, replicas: t.Sequence[Replica], on_request: t.Callable[[], None]
    ) -> None:
        self._replicas_by_topic = {replica.topic: replica for replica in replicas}
        self._on_request = on_request
        self._changed = asyncio.Event()
        self._packed: collections.OrderedDict[tuple[t.Any, ...], bytes | None] = (
            collections.OrderedDict()
        )
        self.closed = False
        """Whether this node says that it isn't current, since it is about to stop."""
        for replica in replicas:
            replica.subscribe(self._notify)
        links.handle("updates_request", self._serve)

    def close(self) -> None:
        """Answer all requests, from now on at once."""
        self.closed = True
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, message: t.Any) -> dict[str, t.Any]:
        if not message.offsets_only and not self.closed:
            self._on_request()
        positions = [
            position
            for position in map(position_from_message, message.positions)
            if position.topic in self._replicas_by_topic
        ]
        for position in positions:
            replica = self._replicas_by_topic[position.topic]
            replica.note_peer_offset(position.known_end, position.era)
        wait_s = min(MAX_WAIT_S, message.wait_ms / 1000)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        await self._wait_until_due(positions, wait_s)
        updates = [
            self._update(position, message.offsets_only)
            for position in positions
            if self._replicas_by_topic[position.topic].offset is not None
        ]
        waited_ms = int((loop.time() - started_at) * 1000)
        return {"updates": messages.Updates(updates=updates, waited_ms=waited_ms)}

    async def _wait_until_due(self, positions: t.Sequence[TopicPosition], wait_s: float) -> None:
        try:
            async with asyncio.timeout(wait_s):
                while not self._is_due(positions):
                    await self._changed.wait()
        except TimeoutError:
            return

    def _is_due(self, positions: t.Sequence[TopicPosition]) -> bool:
        """Return whether there is anything that the other node should know now."""
        replicas = [self._replicas_by_topic[position.topic] for position in positions]
        loaded = [replica for replica in replicas if replica.offset is not None]
        if self.closed or not all(map(self._is_current, loaded)):
            return True
        if len(loaded) < len(replicas):
            # A part of the topics is of no use to a node that is starting, as this one is.
            return False
        return any(map(self._has_news, positions))

    def _has_news(self, position: TopicPosition) -> bool:
        replica = self._replicas_by_topic[position.topic]
        if position.offset is None:
            # The node has just started, and perhaps was the one that this node had its records
            # from, so that they may lack the last ones. The request has this node read the store.
            return replica.confirmed_directly
        if replica.era > position.era:
            return True
        return replica.offset is not None and replica.offset > position.offset

    def _is_current(self, replica: Replica) -> bool:
        return not self.closed and replica.connected and not replica.stale

    def _update(self, position: TopicPosition, offsets_only: bool) -> t.Any:
        replica = self._replicas_by_topic[position.topic]
        update = replica.update_since(position.offset, position.era)
        update = replace(update, current=update.current and self._is_current(replica))
        return update_to_message(update, None if offsets_only else self._pack(update))

    def _pack(self, update: TopicUpdate) -> bytes | None:
        key = (update.topic, update.era, update.start_offset, update.end_offset)
        if key not in self._packed:
            self._packed[key] = pack_records(update.records)
            while len(self._packed) > MAX_PACKED_UPDATES:
                self._packed.popitem(last=False)
        return self._packed[key]
