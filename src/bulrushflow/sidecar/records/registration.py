"""Registration of this node: reconciles its entry in the store with the entry to publish."""

import asyncio
import random

from result import Err
from result import Ok

from bulrushflow.background import BackgroundService
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.model import NodeEntry
from bulrushflow.sidecar.records.backoff import Backoff
from bulrushflow.sidecar.records.codec import encode_node_entry
from bulrushflow.sidecar.records.codec import node_key
from bulrushflow.sidecar.records.storage import Store
from bulrushflow.sidecar.records.storage import StoreWrite

FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0


class Registration(BackgroundService):
    """Writes this node's latest entry to the store, with retries.

    Entries that a later one replaces before they are written are skipped.
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
        self._changed = asyncio.Event()
        self._in_sync = asyncio.Event()
        self._awaited = asyncio.Event()
        """Set when somebody begins to wait for the entry, which ends a pause after a failure."""

    def publish(self, entry: NodeEntry) -> None:
        """Set the entry that the store should have; it is written in the background."""
        self._desired = entry
        if entry != self._stored:
            self._in_sync.clear()
            self._changed.set()

    def reconcile(self, entry: NodeEntry | None) -> None:
        """Record the entry that the store has; overwrite it if it isn't the published one."""
        self._stored = entry
        if self._desired is None:
            # Nothing has changed since the start.
            self._in_sync.set()
            return
        self.publish(self._desired)

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
            entry = self._desired
            if entry is None or entry == self._stored:
                self._in_sync.set()
                continue
            before = self._stored
            write = StoreWrite(node_key(entry.address), encode_node_entry(entry))
            match await self._store.append(self._topic, [write]):
                case Ok(offset):
                    if self._stored == before:
                        self._stored = entry
                    # Else another entry was read meanwhile, perhaps of an earlier write that was
                    # executed late and replaced this one; reconcile has it overwritten.
                    self._backoff.reset()
                    self._decisions.event("entry written", offset=offset)
                    if entry == self._desired == self._stored:
                        self._in_sync.set()
                case Err(error):
                    self._decisions.event("entry not written", reason=error.message)
                    await self._pause(self._backoff.next_s())
                    self._changed.set()

    async def _pause(self, seconds: float) -> None:
        """Pause before the next try; a target that waits for its acknowledgement ends the pause."""
        try:
            async with asyncio.timeout(seconds):
                await self._awaited.wait()
        except TimeoutError:
            return
        self._awaited.clear()
