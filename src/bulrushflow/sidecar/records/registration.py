"""Registration of this node: reconciles what the store has of it with what is to be published.

An append without a response may be executed seconds later, behind a later one and perhaps after
this process has ended. It may replace the node's entry by an older one, until this process or its
successor overwrites that. It can't undo a departure: each has a key of its own, and its value never
changes.
"""

import asyncio
import random
import typing as t

from result import Err
from result import Ok

from bulrushflow.background import BackgroundService
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.model import DepartedTarget
from bulrushflow.sidecar.model import NodeEntry
from bulrushflow.sidecar.records.backoff import Backoff
from bulrushflow.sidecar.records.codec import DEPARTURE_KEY_PREFIX
from bulrushflow.sidecar.records.codec import departure_key
from bulrushflow.sidecar.records.codec import encode_departure
from bulrushflow.sidecar.records.codec import encode_node_entry
from bulrushflow.sidecar.records.codec import node_key
from bulrushflow.sidecar.records.storage import Store
from bulrushflow.sidecar.records.storage import StoreWrite

FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0


class Registration(BackgroundService):
    """Writes this node's latest entry and its departures to the store, with retries.

    Entries that a later one replaces before they are written are skipped. Departures that are no
    longer published are deleted along with the next write.
    """

    def __init__(
        self, store: Store, topic: str, decisions: DecisionLog, rng: random.Random
    ) -> None:
        super().__init__()
        self._store = store
        self._topic = topic
        self._decisions = decisions
        self._backoff = Backoff(FIRST_BACKOFF_S, MAX_BACKOFF_S, rng)
        self._desired: NodeEntry | None = None
        self._stored: NodeEntry | None = None
        self._departures_by_key: dict[str, DepartedTarget] = {}
        """Departures that the store should have."""
        self._stored_departures: set[str] = set()
        """Keys of the departures that the store has."""
        self._changed = asyncio.Event()
        self._in_sync = asyncio.Event()
        self._awaited = asyncio.Event()
        """Set when somebody begins to wait for the entry, which ends a pause after a failure."""

    def publish(self, entry: NodeEntry, departed: t.Iterable[DepartedTarget] = ()) -> None:
        """Set what the store should have of this node; it is written in the background."""
        self._desired = entry
        self._departures_by_key = {departure_key(entry.address, d): d for d in departed}
        self._review()

    def reconcile(self, entry: NodeEntry | None) -> None:
        """Record the entry that the store has; overwrite it if it isn't the published one."""
        self._stored = entry
        if self._desired is None:
            # Nothing has changed since the start.
            self._in_sync.set()
            return
        self._review()

    def note_departure(self, key: str, stored: bool) -> None:
        """Record whether the store has a departure; write it again if it has to."""
        if stored:
            self._stored_departures.add(key)
        else:
            self._stored_departures.discard(key)
            self._review()

    def retain_departures(self, keys: t.Collection[str]) -> None:
        """Record that the store has no departures of other keys; write again what it lacks."""
        self._stored_departures.intersection_update(keys)
        self._review()

    def _review(self) -> None:
        """Begin to write if the store lacks anything."""
        if self._missing():
            self._in_sync.clear()
            self._changed.set()

    def _missing(self) -> list[StoreWrite]:
        """Return the records that the store lacks; departures go before the entry without them."""
        writes = [
            StoreWrite(key, encode_departure(departed))
            for key, departed in self._departures_by_key.items()
            if key not in self._stored_departures
        ]
        entry = self._desired
        if entry is not None and entry != self._stored:
            writes.append(StoreWrite(node_key(entry.address), encode_node_entry(entry)))
        return writes

    def _expired_departures(self) -> list[StoreWrite]:
        expired = self._stored_departures - self._departures_by_key.keys()
        return [StoreWrite(key, b"") for key in sorted(expired)]

    async def wait_written(self, timeout_s: float) -> bool:
        """Wait until the store has the published entry; return ``False`` on a timeout."""
        self._awaited.set()
        try:
            async with asyncio.timeout(timeout_s):
                await self._in_sync.wait()
        except TimeoutError:
            return False
        return True

    async def run(self) -> None:
        """See :meth:`BackgroundService.run`."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            missing = self._missing()
            if not missing:
                self._in_sync.set()
                continue
            entry, before = self._desired, self._stored
            writes = [*self._expired_departures(), *missing]
            match await self._store.append(self._topic, writes):
                case Ok(offset):
                    if self._stored == before:
                        self._stored = entry
                    # Else another entry was read meanwhile, perhaps of an earlier write that was
                    # executed late and replaced this one; reconcile has it overwritten.
                    self._note_written(writes)
                    self._backoff.reset()
                    self._decisions.event("entry written", offset=offset, records=len(writes))
                    if not self._missing():
                        self._in_sync.set()
                case Err(error):
                    self._decisions.event("entry not written", reason=error.message)
                    await self._pause(self._backoff.next_s())
                    self._changed.set()

    def _note_written(self, writes: t.Iterable[StoreWrite]) -> None:
        for write in writes:
            if not write.key.startswith(DEPARTURE_KEY_PREFIX):
                continue
            if write.value:
                self._stored_departures.add(write.key)
            else:
                self._stored_departures.discard(write.key)

    async def _pause(self, seconds: float) -> None:
        """Pause before the next try; a target that waits for its acknowledgement ends the pause."""
        try:
            async with asyncio.timeout(seconds):
                await self._awaited.wait()
        except TimeoutError:
            return
        self._awaited.clear()
