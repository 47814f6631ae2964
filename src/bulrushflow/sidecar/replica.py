"""Replication of a store topic: loads its whole state, then follows new records by long polling.

A replica that is several records behind loads the state again, since a topic's later records
replace earlier ones of the same key. It does so too when the store comes back from an older copy:
an offset then means another record than before.
"""

import asyncio
import random
import typing as t

from result import Err
from result import Ok
from result import Result

from bulrushflow.background import BackgroundService
from bulrushflow.sidecar.backoff import Backoff
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.storage import KeyedRecord
from bulrushflow.sidecar.storage import Store
from bulrushflow.sidecar.storage import StoreError
from bulrushflow.sidecar.storage import StoreErrorKind
from bulrushflow.sidecar.storage import StorePage
from bulrushflow.sidecar.topic_end import TopicEnd

SHORT_POLL_S = 1.0
"""Long-poll timeout of the first read after records arrived. Changes often come in series, and an
append that overlaps with a read may not wake it."""
LONG_POLL_S = 10.0
"""Long-poll timeout of later reads. A silent connection is noticed only when the read times out."""
BATCH_PAUSE_S = 0.5
"""Pause after records arrived, so that the next read returns several at once."""
LAG_TOLERANCE_S = 0.3
"""Time that a waiting read may lag behind another node's offset before it is restarted."""
MAX_HISTORY_RECORDS = 1
"""Number of missing records up to which they are read one by one. Beyond it the newest record of
each key is loaded, which leaves out those that later ones replaced."""
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.8


class RecordHandler(t.Protocol):
    """Applies the records of a topic."""

    def replace(self, records: t.Sequence[KeyedRecord]) -> None:
        """Replace the state by the latest record of each key.

        A key without a record was deleted, or dropped by the store. Each handler's class says what
        it keeps of such a key.
        """

    def apply(self, record: KeyedRecord) -> None:
        """Apply one new record; an empty value deletes its key."""


class Replica(BackgroundService):
    """Replicates one topic into a record handler.

    While the store is unavailable the handler keeps its state, and reads are retried with backoff.
    """

    def __init__(
        self,
        store: Store,
        topic: str,
        handler: RecordHandler,
        decisions: DecisionLog,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self._store = store
        self._topic = topic
        self._handler = handler
        self._decisions = decisions
        self._backoff = Backoff(FIRST_BACKOFF_S, MAX_BACKOFF_S, rng)
        self._connected: bool | None = None
        self._poll_timeout_s = SHORT_POLL_S
        self._reading: asyncio.Task[t.Any] | None = None
        self._read_started_at = 0.0
        self._waiting = False
        self._end = TopicEnd()
        self._behind_since: float | None = None
        self._restarts = 0
        self._era: int | None = None
        """Era of the store that the offsets are of; ``None`` before the first response."""
        self._peer_era = 0
        """Latest era that another node named."""
        self.offset: int | None = None
        """Start offset of the next read; ``None`` while the whole state has to be loaded."""
        self.loaded = False
        """Whether the whole state was loaded at least once since the start."""

    @property
    def topic(self) -> str:
        """Name of the replicated topic."""
        return self._topic

    @property
    def connected(self) -> bool:
        """Whether the latest call to the store succeeded."""
        return bool(self._connected)

    @property
    def records_behind(self) -> int:
        """Number of records that the topic is known to have and this replica has not read."""
        return 0 if self.offset is None else max(0, self._end.offset - self.offset)

    @property
    def is_current(self) -> bool:
        """Whether the store responds and no record is known that this replica has not read."""
        if self._peer_era > self.era:
            return False
        return self.connected and self.offset is not None and not self.records_behind

    @property
    def era(self) -> int:
        """Era of the store that :attr:`offset` is of; 0 if the store names none."""
        return self._era or 0

    def note_peer_offset(self, offset: int, era: int | None = None) -> None:
        """Note that another node has read up to ``offset``.

        :param era: era of the store that the offset is of; ``None`` if the node names none. An
            offset of an earlier era means nothing any more. A later era restarts a waiting read as
            a later offset does.

        If this replica hasn't caught up after :data:`LAG_TOLERANCE_S`, a read that still waits for
        records is restarted. One that fetches records is left to finish: it would be restarted by
        each new record, and never complete while these come faster than a response.
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
        loop = asyncio.get_running_loop()
        if self._behind_since is None:
            self._behind_since = loop.time()
        loop.call_later(LAG_TOLERANCE_S, self._check_lag, offset, era)

    def _check_lag(self, offset: int, era: int) -> None:
        if self.era > era or self.offset is None:
            return
        if self.era == era and self.offset >= offset:
            return
        if self._reading is None or not self._waiting:
            return
        now = asyncio.get_running_loop().time()
        self._decisions.event(
            "read lags behind",
            topic=self._topic,
            offset=self.offset,
            others_have=offset,
            era=self.era,
            others_era=era,
            reading_for_s=round(now - self._read_started_at, 3),
        )
        self._restarts += 1
        self._reading.cancel()

    async def run(self) -> None:
        """See :meth:`BackgroundService.run`."""
        while True:
            if await self._read_once():
                self._backoff.reset()
                continue
            await asyncio.sleep(self._backoff.next_s())

    async def _read_once(self) -> bool:
        """Load the state or read new records once; return whether the store responded."""
        if self.offset is None or self.records_behind > MAX_HISTORY_RECORDS:
            return await self._load()
        result = await self._read(self.offset)
        if result is None:
            return True
        match result:
            case Err(error):
                if error.kind is StoreErrorKind.TRIMMED:
                    self._decisions.event("store trimmed", topic=self._topic, offset=self.offset)
                    self.offset = None
                    return True
                self._mark_disconnected(error.message)
                return False
            case Ok(page):
                pass
        if self._rejects_era(page):
            return False
        if self._enter_era(page):
            # The offset is of the era before, so the next read loads the topic.
            return True
        self._mark_connected(page.next_offset)
        for record in page.records:
            self._handler.apply(record)
        self._advance(page)
        if page.next_offset < page.end and not page.records:
            # The next record doesn't fit into a response.
            return await self._load()
        await self._pace(page, received=bool(page.records))
        return True

    async def _load(self) -> bool:
        """Load the newest record of each key; return whether the store responded."""
        self._end.begin_request()
        match await self._store.newest(self._topic):
            case Err(error):
                self._mark_disconnected(error.message)
                return False
            case Ok(page):
                pass
        if self._rejects_era(page):
            return False
        self._enter_era(page)
        if self.offset is not None and page.end < self.offset:
            # Applied, it would take back what was read already.
            self._mark_disconnected(f"the topic ends at {page.end}, before {self.offset}")
            return False
        self._mark_connected(page.next_offset)
        self._handler.replace(page.records)
        self._advance(page)
        if self.loaded:
            await self._pace(page, received=True)
        self.loaded = True
        return True

    async def _pace(self, page: StorePage, received: bool) -> None:
        """Choose the next poll timeout, and pause after records, unless the page left some out."""
        self._poll_timeout_s = SHORT_POLL_S if received else LONG_POLL_S
        if received and page.next_offset >= page.end:
            await asyncio.sleep(BATCH_PAUSE_S)

    async def _read(self, offset: int) -> Result[StorePage, StoreError] | None:
        """Wait for records; return ``None`` if the read was cancelled to be restarted."""
        loop = asyncio.get_running_loop()
        self._end.begin_request()
        self._read_started_at = loop.time()
        wait_s = 0.0 if self.records_behind else self._poll_timeout_s
        self._waiting = wait_s > 0
        reading = loop.create_task(
            self._store.read(self._topic, offset, wait_s, on_response=self._end_wait)
        )
        self._reading = reading
        try:
            return await reading
        except asyncio.CancelledError:
            current = asyncio.current_task()
            if current is not None and current.cancelling():
                reading.cancel()
                raise
            return None
        finally:
            self._reading = None

    def _rejects_era(self, page: StorePage) -> bool:
        """Return whether a response was on its way while the store was restored."""
        if self._era is None or page.era >= self._era:
            return False
        self._mark_disconnected(f"a response of era {page.era}, which ended before {self._era}")
        return True

    def _enter_era(self, page: StorePage) -> bool:
        """Record the era of a response; return whether the store was restored since the last one.

        In a new era nothing is known of the topic, and its whole state has to be loaded.
        """
        restored = self._era is not None and page.era != self._era
        if restored:
            self._decisions.event(
                "store restored",
                topic=self._topic,
                era=page.era,
                before=self._era,
                offset=self.offset,
                end=page.end,
            )
            self.offset = None
            self._end = TopicEnd()
            self._behind_since = None
        self._era = page.era
        return restored

    def _end_wait(self) -> None:
        self._waiting = False

    def _advance(self, page: StorePage) -> None:
        """Move on to the end of a page."""
        self.offset = page.next_offset
        self._end.update(page.end)
        if self._behind_since is None or self.records_behind:
            return
        self._decisions.event(
            "caught up",
            topic=self._topic,
            offset=self.offset,
            seconds=round(asyncio.get_running_loop().time() - self._behind_since, 3),
            restarted_reads=self._restarts,
        )
        self._behind_since = None
        self._restarts = 0

    def _mark_disconnected(self, reason: str) -> None:
        # The read after an error doesn't wait, so that its answer shows that the store is back.
        self._poll_timeout_s = 0.0
        if self._connected is not False:
            self._connected = False
            self._decisions.event("store lost", topic=self._topic, reason=reason)

    def _mark_connected(self, offset: int) -> None:
        if not self._connected:
            self._connected = True
            self._decisions.event("store reached", topic=self._topic, offset=offset)
