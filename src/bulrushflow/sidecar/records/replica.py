"""The replicated state of a store topic, fed from the store or by another node.

The topic's whole state is loaded first, then new records are applied. It is loaded again when the
store comes back from an older copy: an offset then means another record than before.
"""

import asyncio
import typing as t

from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.records.confirmation import Confirmation
from bulrushflow.sidecar.records.freshness import FreshnessBound
from bulrushflow.sidecar.records.lag_monitor import LagMonitor
from bulrushflow.sidecar.records.lag_monitor import Position
from bulrushflow.sidecar.records.storage import KeyedRecord
from bulrushflow.sidecar.records.storage import StorePage
from bulrushflow.sidecar.records.storage import TopicUpdate
from bulrushflow.sidecar.records.topic_cache import TopicCache
from bulrushflow.sidecar.records.topic_end import TopicEnd

LAG_TOLERANCE_S = 0.3
"""Time that a replica may lag behind another node's offset before its reader is told."""


class RecordHandler(t.Protocol):
    """Applies the records of a topic."""

    def replace(self, records: t.Sequence[KeyedRecord]) -> None:
        """Replace the state by the latest record of each key.

        A key without a record was deleted, or dropped by the store. Each handler's class says what
        it keeps of such a key.
        """

    def apply(self, record: KeyedRecord) -> None:
        """Apply one new record; an empty value deletes its key."""


LagObserver = t.Callable[[int, int], None]
"""Called with an offset that another node has read up to, and its era."""


class Replica:
    """Applies the records of one topic to a record handler, and keeps the newest of each key.

    While the store is unavailable the handler keeps its state.

    :param freshness: bounds the age of the state, ``None`` if it may be of any age.
    """

    __slots__ = (
        "_cache",
        "_confirmation",
        "_connected",
        "_decisions",
        "_end",
        "_era",
        "_handler",
        "_lag",
        "_lag_observers",
        "_loaded",
        "_observers",
        "_peer_era",
        "_restarts",
        "freshness",
        "offset",
        "topic",
    )

    def __init__(
        self,
        topic: str,
        handler: RecordHandler,
        decisions: DecisionLog,
        freshness: FreshnessBound | None = None,
    ) -> None:
        self.topic = topic
        self.freshness = freshness
        self._handler = handler
        self._decisions = decisions
        self._connected: bool | None = None
        self._end = TopicEnd()
        self._lag = LagMonitor()
        self._restarts = 0
        """Reads that were restarted since the replica lags."""
        self._era: int | None = None
        """Era of the store that the offsets are of; ``None`` before the first response."""
        self._peer_era = 0
        """Latest era that another node named."""
        self._cache = TopicCache()
        self._observers: list[t.Callable[[], None]] = []
        self._lag_observers: list[LagObserver] = []
        self._confirmation = Confirmation()
        self.offset: int | None = None
        """Start offset of the next read; ``None`` while the whole state has to be loaded."""
        self._loaded = asyncio.Event()

    @property
    def loaded(self) -> bool:
        """Whether the whole state was loaded at least once since the start."""
        return self._loaded.is_set()

    async def wait_loaded(self, timeout_s: float) -> bool:
        """Wait until the whole state was loaded once; return ``False`` on a timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._loaded.wait()
        except TimeoutError:
            return False
        return True

    @property
    def connected(self) -> bool:
        """Whether the store was reached at last, directly or by the node that feeds the replica."""
        return bool(self._connected)

    @property
    def records_behind(self) -> int:
        """Number of records that the topic is known to have and this replica has not read."""
        return 0 if self.offset is None else max(0, self._end.offset - self.offset)

    @property
    def is_behind(self) -> bool:
        """Whether records or a later era are known that this replica has not read."""
        return bool(self.records_behind) or self._peer_era > self.era

    @property
    def is_current(self) -> bool:
        """Whether the store responds and, by all that is known, no change can be missing here."""
        if not self.connected or self.offset is None or self.is_behind:
            return False
        return self.freshness is None or self.confirmed_s_ago <= self.freshness.apply_s

    @property
    def stale(self) -> bool:
        """Whether the replica has failed for a while to read what other nodes have read."""
        return self._lag.is_stale(asyncio.get_running_loop().time())

    @property
    def era(self) -> int:
        """Era of the store that :attr:`offset` is of; 0 if the store names none."""
        return self._era or 0

    @property
    def known_end(self) -> int:
        """Offset at which the topic is known to end."""
        return max(self._end.offset, self.offset or 0)

    @property
    def confirmed_s_ago(self) -> float:
        """Age of the store's latest confirmation of the state; infinite before the first one."""
        return self._confirmation.age_s

    @property
    def confirmed_directly(self) -> bool:
        """Whether the latest confirmation came from the store itself, not through another node."""
        return self._confirmation.direct

    def subscribe(self, observer: t.Callable[[], None]) -> None:
        """Call ``observer`` whenever the offset or the connection to the store changes."""
        self._observers.append(observer)

    def subscribe_lag(self, observer: LagObserver) -> None:
        """Call ``observer`` when the replica lags for :data:`LAG_TOLERANCE_S`."""
        self._lag_observers.append(observer)

    def begin_request(self) -> None:
        """Note that a request for the topic's records is sent to the store."""
        self._end.begin_request()
        self._confirmation.begin()

    def begin_response(self) -> None:
        """Note that the store's response begins: it has what the topic had until then."""
        self._confirmation.begin()

    def apply_state(self, page: StorePage) -> bool:
        """Replace the state by a page of the store with the newest record of each key.

        :return: whether the page was applied; one that ends before what was read already is not.
        """
        if self._rejects_era(page):
            return False
        self._enter_era(page)
        if self.offset is not None and page.end < self.offset:
            # Applied, it would take back what was read already.
            self.mark_disconnected(f"the topic ends at {page.end}, before {self.offset}")
            return False
        self._replace(page)
        self._confirm(page)
        return True

    def apply_page(self, page: StorePage) -> bool:
        """Apply a page of the store with the records that follow; return whether it was applied.

        A page of a later era isn't, since the offset is of the era before; the topic's whole state
        has to be loaded.
        """
        if self._rejects_era(page) or self._enter_era(page):
            return False
        self._apply_records(page)
        self._confirm(page)
        return True

    def count_restart(self) -> None:
        """Count a read that was restarted since the replica lags."""
        self._restarts += 1

    def drop_offset(self) -> None:
        """Have the whole state loaded again, since the store no longer keeps the next records."""
        self._decisions.event("store trimmed", topic=self.topic, offset=self.offset)
        self.offset = None

    def update_since(self, offset: int | None, era: int) -> TopicUpdate:
        """Return what was read beyond a position, or the whole state if that isn't possible.

        :param offset: offset of the position; ``None`` for the whole state.
        :param era: era of the store that the offset is of.
        """
        records = None if offset is None or era != self.era else self._cache.since(offset)
        return TopicUpdate(
            topic=self.topic,
            era=self.era,
            start_offset=None if records is None else offset,
            end_offset=self.offset or 0,
            records=self._cache.state() if records is None else records,
            current=self.connected and self.offset is not None,
            confirmed_s_ago=self.confirmed_s_ago,
        )

    def apply_update(self, update: TopicUpdate) -> bool:
        """Apply what another node has read; return whether it continues this replica's state.

        An update of another position or of an earlier state is ignored.
        """
        if self._era is not None and update.era < self._era:
            return False
        if update.era == self.era and update.end_offset < (self.offset or 0):
            return False
        restored = update.era != self.era
        page = StorePage(
            update.records,
            update.end_offset,
            max(update.end_offset, 0 if restored else self._end.offset),
            update.era,
        )
        if update.start_offset is None:
            self._enter_era(page)
            self._replace(page)
        else:
            if restored or update.start_offset != self.offset:
                return False
            self._apply_records(page)
        self._confirmation.take_over(update.confirmed_s_ago, restored)
        return True

    def note_peer_offset(self, offset: int, era: int | None = None) -> None:
        """Note that another node has read up to ``offset``.

        :param era: era of the store that the offset is of; ``None`` if the node names none. An
            offset of an earlier era means nothing any more. A later era counts as a later offset.
        """
        if era is not None and era != self.era:
            if era > max(self.era, self._peer_era):
                self._peer_era = era
                self._check_lag_later(offset, era)
            return
        if not self._end.note(offset) or self.offset is None or offset <= self.offset:
            return
        self._check_lag_later(offset, self.era)

    def _check_lag_later(self, offset: int, era: int) -> None:
        self._await_position(Position(era, offset))
        asyncio.get_running_loop().call_later(LAG_TOLERANCE_S, self._check_lag, offset, era)

    def _await_position(self, position: Position) -> None:
        loop = asyncio.get_running_loop()
        stale_at = self._lag.await_position(position, loop.time())
        if stale_at is not None:
            loop.call_at(stale_at, self._check_stale, stale_at)

    def _check_stale(self, stale_at: float) -> None:
        loop = asyncio.get_running_loop()
        if loop.time() < stale_at:
            # The event loop runs timers up to the clock's resolution early.
            loop.call_at(stale_at, self._check_stale, stale_at)
        elif self.stale:
            self._notify()

    def _check_lag(self, offset: int, era: int) -> None:
        if self.era > era or self.offset is None:
            return
        if self.era == era and self.offset >= offset:
            return
        for observer in self._lag_observers:
            observer(offset, era)

    def _replace(self, page: StorePage) -> None:
        """Replace the state, or apply what changed since it was read last, if that is known."""
        self._mark_connected(page.next_offset)
        if self.offset is None:
            self._cache.replace(page.records, page.next_offset)
            self._handler.replace(page.records)
        elif (changed := self._cache.reload(page.records, page.next_offset)) is None:
            self._handler.replace(page.records)
        else:
            for record in changed:
                self._handler.apply(record)
        self._advance(page)
        self._loaded.set()

    def _apply_records(self, page: StorePage) -> None:
        """Apply the records of a page, leaving out those that later ones in it replace."""
        self._mark_connected(page.next_offset)
        newest = {record.key: record for record in page.records}
        for record in page.records:
            if newest[record.key] is record:
                self._cache.add(record)
                self._handler.apply(record)
        self._advance(page)

    def _confirm(self, page: StorePage) -> None:
        if page.next_offset >= page.end:
            self._confirmation.complete()
        if not self._confirmation.direct:
            self._confirmation.direct = True
            self._notify()

    def _rejects_era(self, page: StorePage) -> bool:
        """Return whether a response was on its way while the store was restored."""
        if self._era is None or page.era >= self._era:
            return False
        self.mark_disconnected(f"a response of era {page.era}, which ended before {self._era}")
        return True

    def _enter_era(self, page: StorePage) -> bool:
        """Record the era of a response; return whether the store was restored since the last one.

        In a new era nothing is known of the topic, and its whole state has to be loaded.
        """
        restored = self._era is not None and page.era != self._era
        if restored:
            self._decisions.event(
                "store restored",
                topic=self.topic,
                era=page.era,
                before=self._era,
                offset=self.offset,
                end=page.end,
            )
            self.offset = None
            self._end = TopicEnd()
            self._lag = LagMonitor()
        self._era = page.era
        return restored

    def _advance(self, page: StorePage) -> None:
        """Move on to the end of a page."""
        moved = self.offset != page.next_offset
        self.offset = page.next_offset
        if moved:
            self._notify()
        self._end.update(page.end)
        if self.records_behind:
            if self._lag.reach(Position(self.era, page.next_offset)):
                self._await_position(Position(self.era, self._end.offset))
            return
        seconds = self._lag.catch_up(asyncio.get_running_loop().time())
        if seconds is None:
            return
        self._decisions.event(
            "caught up",
            topic=self.topic,
            offset=self.offset,
            seconds=round(seconds, 3),
            restarted_reads=self._restarts,
        )
        self._restarts = 0

    def mark_disconnected(self, reason: str) -> None:
        """Note that the store can't be reached; the state stays."""
        if self._connected is not False:
            self._connected = False
            self._notify()
            self._decisions.event("store lost", topic=self.topic, reason=reason)

    def _notify(self) -> None:
        for observer in self._observers:
            observer()

    def _mark_connected(self, offset: int) -> None:
        if not self._connected:
            self._connected = True
            self._decisions.event("store reached", topic=self.topic, offset=offset)
