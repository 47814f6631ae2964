"""Feeds a replica from the store: loads the topic's whole state, then long-polls for new records.

A replica that is several records behind loads the state again, since a topic's later records
replace earlier ones of the same key.
"""

import asyncio
import contextlib
import random
import typing as t

from result import Err
from result import Ok
from result import Result

from bulrushflow.background import BackgroundService
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.records.backoff import Backoff
from bulrushflow.sidecar.records.replica import Replica
from bulrushflow.sidecar.records.storage import Store
from bulrushflow.sidecar.records.storage import StoreError
from bulrushflow.sidecar.records.storage import StoreErrorKind
from bulrushflow.sidecar.records.storage import StorePage

SHORT_POLL_S = 1.0
"""Long-poll timeout of the first read after records arrived. Changes often come in series, and an
append that overlaps with a read may not wake it."""
LONG_POLL_S = 5.0
"""Long-poll timeout of later reads. A silent connection is noticed only when the read times out."""
BATCH_PAUSE_S = 0.5
"""Pause after a response with records began, so that the next read returns several at once. The
transfer, which takes long on a narrow link, is a part of it."""
MAX_HISTORY_RECORDS = 1
"""Number of missing records up to which they are read one by one. Beyond it the newest record of
each key is loaded, which leaves out those that later ones replaced."""
SLOW_RESPONSE_S = 0.3
"""Time from the begin of a response to its end from which on it is logged: a record that takes so
long on this node's link is late, and calls share the link with it."""
MIN_PATIENCE_S = 0.4
"""Time beyond its wait for records that a read without an answer is left alone at first. The store
answers within some ms, and its reads time out only after seconds."""
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.8


class StoreReader(BackgroundService):
    """Reads one topic while it is enabled; failed reads are repeated with backoff."""

    def __init__(
        self, store: Store, replica: Replica, decisions: DecisionLog, rng: random.Random
    ) -> None:
        super().__init__()
        self.replica = replica
        self._store = store
        self._decisions = decisions
        self._backoff = Backoff(FIRST_BACKOFF_S, MAX_BACKOFF_S, rng)
        self.enabled = True
        """Whether the topic is read."""
        self._refresh_requested = False
        """Whether one read is requested, also while the topic isn't read."""
        self._woken = asyncio.Event()
        """Set when a read is requested, which ends a pause."""
        self._poll_timeout_s = SHORT_POLL_S
        self._pause_s = 0.0
        """Pause before the next read, unless one is requested meanwhile."""
        self._read_task: asyncio.Task[t.Any] | None = None
        self._read_started_at = 0.0
        self._responded_at = 0.0
        self._response_due_at = 0.0
        """When the pending read's wait for records ends."""
        self._patience_s = MIN_PATIENCE_S
        self._waiting = False
        self._responding = False
        self._read_ended = asyncio.Event()
        self.reading = False
        """Whether a read is pending."""
        self.has_failed = False
        """Whether the last read failed."""
        replica.subscribe_lag(self._restart_read)

    def enable(self) -> None:
        """Read the topic from now on."""
        if self.enabled:
            return
        # The first read doesn't wait, so that its answer shows that the store is reached.
        self._poll_timeout_s = 0.0
        self.enabled = True
        self._woken.set()

    def disable(self) -> None:
        """Read the topic no longer; a read that fetches records is left to finish."""
        self.enabled = False
        self.interrupt_wait()

    def refresh(self) -> None:
        """Read the topic once without waiting for records, also while it isn't read."""
        self._refresh_requested = True
        self._woken.set()

    def restart_overdue(self) -> None:
        """Restart a read that the store doesn't answer, on a new connection.

        It gets twice the time with each restart, so that a slow store's answer is reached.
        """
        now = asyncio.get_running_loop().time()
        if self._read_task is None or self._responding:
            return
        if now < self._response_due_at + self._patience_s:
            return
        self._decisions.event(
            "read without answer",
            topic=self.replica.topic,
            offset=self.replica.offset,
            reading_for_s=round(now - self._read_started_at, 3),
        )
        self._patience_s *= 2
        self._refresh_requested = True
        self._read_task.cancel()

    async def wait_for_read(self, timeout_s: float) -> None:
        """Wait until a read ends, well or not, and at most ``timeout_s`` seconds."""
        self._read_ended.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._read_ended.wait()

    def interrupt_wait(self) -> None:
        """End a read that waits for records."""
        if self._read_task is not None and self._waiting:
            self._read_task.cancel()

    async def run(self) -> None:
        """See :meth:`BackgroundService.run`."""
        while True:
            await self._until_requested()
            self.reading = True
            self.has_failed = not await self._read_once()
            self.reading = False
            self._read_ended.set()
            if not self.has_failed:
                self._backoff.reset()
                await self._pause()
                continue
            # The read after an error doesn't wait, so that its answer shows that the store is back.
            self._poll_timeout_s = 0.0
            await asyncio.sleep(self._backoff.next_s())

    async def _until_requested(self) -> None:
        while not (self.enabled or self._refresh_requested):
            self._woken.clear()
            await self._woken.wait()
        if self._refresh_requested:
            self._refresh_requested = False
            self._poll_timeout_s = 0.0

    async def _pause(self) -> None:
        if not self._pause_s or self._refresh_requested:
            return
        self._woken.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(self._responded_at + self._pause_s):
                await self._woken.wait()

    async def _read_once(self) -> bool:
        """Load the state or read new records once; return whether the store responded."""
        replica = self.replica
        offset = replica.offset
        self._pause_s = 0.0
        if offset is None or replica.records_behind > MAX_HISTORY_RECORDS:
            return await self._load()
        result = await self._read(offset)
        if result is None or replica.offset != offset:
            # Restarted, or overtaken by what another node has read.
            return True
        match result:
            case Err(error) if error.kind is StoreErrorKind.TRIMMED:
                replica.drop_offset()
                return True
            case Err(error):
                replica.mark_disconnected(error.message)
                return False
            case Ok(page):
                pass
        self._log_slow_response(page)
        if not replica.apply_page(page):
            # Without an offset, the next read loads the topic.
            return replica.offset is None
        if page.next_offset < page.end and not page.records:
            # The next record doesn't fit into a response.
            return await self._load()
        self._pace(page, received=bool(page.records))
        return True

    async def _load(self) -> bool:
        """Load the newest record of each key; return whether the store responded."""
        replica = self.replica
        replica.begin_request()
        self._responded_at = asyncio.get_running_loop().time()
        before = replica.offset
        match await self._store.newest(replica.topic):
            case Err(error):
                replica.mark_disconnected(error.message)
                return False
            case Ok(page):
                pass
        if replica.offset not in {None, before} and page.end < (replica.offset or 0):
            # Overtaken by what another node has read.
            return True
        if not replica.apply_state(page):
            return False
        self._pace(page, received=True)
        return True

    def _pace(self, page: StorePage, received: bool) -> None:
        """Choose the next poll timeout, and a pause after records unless the page left some out."""
        self._poll_timeout_s = SHORT_POLL_S if received else LONG_POLL_S
        complete = page.next_offset >= page.end
        # Reads don't wait while others are known to have read more than the store returns here.
        if complete and (received or self.replica.is_behind):
            self._pause_s = BATCH_PAUSE_S
            if self.replica.freshness is not None:
                self._pause_s = min(self._pause_s, self.replica.freshness.max_wait_s)

    async def _read(self, offset: int) -> Result[StorePage, StoreError] | None:
        """Wait for records; return ``None`` if the read was cancelled to be restarted."""
        loop = asyncio.get_running_loop()
        self.replica.begin_request()
        since_response_s = loop.time() - self._responded_at
        self._read_started_at = self._responded_at = loop.time()
        wait_s = self._wait_s(since_response_s)
        self._response_due_at = self._read_started_at + wait_s
        self._waiting = wait_s > 0
        self._responding = False
        reading = loop.create_task(
            self._store.read(self.replica.topic, offset, wait_s, on_response=self._end_wait)
        )
        self._read_task = reading
        try:
            return await reading
        except asyncio.CancelledError:
            current = asyncio.current_task()
            if current is not None and current.cancelling():
                reading.cancel()
                raise
            return None
        finally:
            self._read_task = None

    def _wait_s(self, since_response_s: float) -> float:
        """Return how long the next read waits for records.

        :param since_response_s: seconds since the last response began, which count for the bound.
        """
        if self.replica.is_behind:
            return 0.0
        if self.replica.freshness is None:
            return self._poll_timeout_s
        left_s = self.replica.freshness.max_wait_s - since_response_s
        return max(0.0, min(self._poll_timeout_s, left_s))

    def _end_wait(self) -> None:
        self._waiting = False
        self._responding = True
        self._patience_s = MIN_PATIENCE_S
        self._responded_at = asyncio.get_running_loop().time()
        self.replica.begin_response()

    def _log_slow_response(self, page: StorePage) -> None:
        seconds = asyncio.get_running_loop().time() - self._responded_at
        if seconds < SLOW_RESPONSE_S:
            return
        self._decisions.event(
            "store response slow",
            topic=self.replica.topic,
            records=len(page.records),
            bytes=sum(len(record.value) for record in page.records),
            seconds=round(seconds, 3),
        )

    def _restart_read(self, offset: int, era: int) -> None:
        """Restart a read that still waits though another node has later records.

        One that fetches records is left to finish: it would be restarted by each new record, and
        never complete while these come faster than a response.
        """
        if self._read_task is None or not self._waiting:
            return
        now = asyncio.get_running_loop().time()
        self._decisions.event(
            "read lags behind",
            topic=self.replica.topic,
            offset=self.replica.offset,
            others_have=offset,
            era=self.replica.era,
            others_era=era,
            reading_for_s=round(now - self._read_started_at, 3),
        )
        self.replica.count_restart()
        # Of a restored store, whose records may be as many as before, a read that waits again would
        # learn only when its time is over.
        self._poll_timeout_s = 0.0
        self._read_task.cancel()
