"""Keeps what one topic of the store holds: all of it first, then each new record."""

import asyncio
import random
import typing as t

from result import Err
from result import Ok
from result import Result

from bulrushflow.background import BackgroundService
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.storage import KeyedRecord
from bulrushflow.sidecar.storage import Store
from bulrushflow.sidecar.storage import StoreError
from bulrushflow.sidecar.storage import StoreErrorKind
from bulrushflow.sidecar.storage import StorePage

SHORT_POLL_S = 1.0
"""Wait of a read for the next record, after records came; changes often come in series, and a
read that crosses an append may not be woken by it."""
LONG_POLL_S = 10.0
"""Wait of each later read; a connection that went silent is noticed only at its end."""
BATCH_PAUSE_S = 0.5
"""Pause after records, so that several come with one read."""
LAG_TOLERANCE_S = 0.3
"""Time that a read may lag behind what other nodes have before it is made anew."""
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.8


class RecordHandler(t.Protocol):
    """What takes in a topic's records."""

    def replace(self, records: t.Sequence[KeyedRecord]) -> None:
        """Take in the newest record of every key; keys that are missing are gone."""

    def apply(self, record: KeyedRecord) -> None:
        """Take in one further record; an empty value drops its key."""


class Replica(BackgroundService):
    """Follows one topic."""

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
        self._rng = rng
        self._connected: bool | None = None
        self._backoff_s = FIRST_BACKOFF_S
        self._poll_timeout_s = SHORT_POLL_S
        self._reading: asyncio.Task[t.Any] | None = None
        self._peer_offset = 0
        self.offset: int | None = None
        """Where the next read begins; ``None`` while the whole state has to be read."""
        self.loaded = False
        """Whether the topic's whole state was read since the start."""

    def note_peer_offset(self, offset: int) -> None:
        """Take in that another node has read up to ``offset``."""
        if self.offset is None or offset <= max(self.offset, self._peer_offset):
            return
        self._peer_offset = offset
        asyncio.get_running_loop().call_later(LAG_TOLERANCE_S, self._check_lag, offset)

    def _check_lag(self, offset: int) -> None:
        if self.offset is None or self.offset >= offset or self._reading is None:
            return
        self._decisions.event(
            "read lags behind", topic=self._topic, offset=self.offset, others_have=offset
        )
        self._poll_timeout_s = 0.0
        self._reading.cancel()

    async def run(self) -> None:
        """See :meth:`BackgroundService.run`."""
        while True:
            if await self._read_once():
                self._backoff_s = FIRST_BACKOFF_S
                continue
            await asyncio.sleep(self._rng.uniform(0.5, 1.0) * self._backoff_s)
            self._backoff_s = min(MAX_BACKOFF_S, self._backoff_s * 2)

    async def _read_once(self) -> bool:
        """Read once; tell whether the store answered."""
        if self.offset is None:
            match await self._store.newest(self._topic):
                case Err(error):
                    self._mark_disconnected(error.message)
                    return False
                case Ok(page):
                    pass
            self._mark_connected(page.next_offset)
            self._handler.replace(page.records)
            self.offset = page.next_offset
            self.loaded = True
            return True
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
        self._mark_connected(page.next_offset)
        for record in page.records:
            self._handler.apply(record)
        self.offset = page.next_offset
        if page.records:
            self._poll_timeout_s = SHORT_POLL_S
            await asyncio.sleep(BATCH_PAUSE_S)
        else:
            self._poll_timeout_s = LONG_POLL_S
        return True

    async def _read(self, offset: int) -> Result[StorePage, StoreError] | None:
        """Wait for records; ``None`` when the read is to be made anew."""
        reading = asyncio.get_running_loop().create_task(
            self._store.read(self._topic, offset, self._poll_timeout_s)
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

    def _mark_disconnected(self, reason: str) -> None:
        if self._connected is not False:
            self._connected = False
            self._decisions.event("store lost", topic=self._topic, reason=reason)

    def _mark_connected(self, offset: int) -> None:
        if not self._connected:
            self._connected = True
            self._decisions.event("store reached", topic=self._topic, offset=offset)
