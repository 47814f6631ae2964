"""Reads the log, on the few nodes of a data centre that have this role."""

import asyncio
import random
import typing as t

from loguru import logger
from result import Err
from result import Ok

from bulrushflow.configuration import ConfigurationStore
from bulrushflow.configuration import LogRecord
from bulrushflow.recording import CONFIGURATION_STREAM
from bulrushflow.recording import Log
from bulrushflow.recording import LogError
from bulrushflow.recording import LogErrorKind
from bulrushflow.recording import LogPage
from bulrushflow.recording import recover_from_snapshot
from bulrushflow.settings import PlatformSettings

FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
IDLE_WAIT_S = 0.5
"""Longest random wait after an empty page that was returned without waiting."""
FAR_BEHIND_FACTOR = 4
"""Snapshot intervals behind the log's end from which a node starts from a snapshot instead."""


class LogReaderOwner(t.Protocol):
    """Applies what the reader reads, and decides how it reads."""

    def is_checking(self) -> bool:
        """Return whether a check for freshness is in progress, so that reads must not wait."""

    def generation(self) -> int:
        """Return the generation of the latest check for freshness."""

    def apply(self, records: t.Iterable[LogRecord]) -> int:
        """Apply records; return how many were new."""

    def handle_page(self, page: LogPage, generation: int) -> None:
        """Handle a page after its records were applied; ``generation`` is that of its request."""

    def handle_log_behind(self, next_offset: int) -> None:
        """Report that the log ends below the current version."""


class LogReader:
    """Reads the log from the current version on, until :meth:`run` is cancelled."""

    def __init__(
        self,
        owner: LogReaderOwner,
        store: ConfigurationStore,
        log: Log,
        settings: PlatformSettings,
        rng: random.Random,
    ) -> None:
        self.failures = 0
        """Consecutive failed reads."""
        self._owner = owner
        self._store = store
        self._log = log
        self._settings = settings
        self._rng = rng
        self._cursor = 0
        self._tried_recovery = False

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            await self._read_once()

    async def _read_once(self) -> None:
        # A check must not wait, or the node would not become ready while the log gets no records.
        at_once = self._owner.is_checking() and not self._store.unsupported
        wait_s = 0.0 if at_once else self._settings.long_poll_s
        generation = self._owner.generation()
        started_at = asyncio.get_running_loop().time()
        match await self._log.read(CONFIGURATION_STREAM, self._next_offset(), wait_s):
            case Err(error):
                await self._handle_error(error)
                return
            case Ok(page):
                pass
        await self._process_page(page, generation)
        waited_s = asyncio.get_running_loop().time() - started_at
        if not page.records and waited_s < wait_s / 2 + IDLE_WAIT_S / 2:
            await asyncio.sleep(self._rng.uniform(0, IDLE_WAIT_S))

    def _next_offset(self) -> int:
        current_offset = self._store.current.offset
        # Records that this release can't apply are still read, for nodes that can apply them.
        return (
            max(self._cursor, current_offset + 1) if self._store.unsupported else current_offset + 1
        )

    async def _process_page(self, page: LogPage, generation: int) -> None:
        current_offset = self._store.current.offset
        if page.next_offset <= current_offset:
            self._owner.handle_log_behind(page.next_offset)
        max_gap = FAR_BEHIND_FACTOR * self._settings.snapshot_every_records
        if page.next_offset - current_offset > max_gap and not self._tried_recovery:
            self._tried_recovery = True
            if await self._recover(0):
                self.failures = 0
                return
        self._owner.apply(page.records)
        if page.records:
            self._cursor = page.records[-1].offset + 1
        self._owner.handle_page(page, generation)
        current_offset = self._store.current.offset
        if page.records and page.records[0].offset > current_offset and not self._store.unsupported:
            await self._back_off(
                f"offset {current_offset + 1} is missing before {page.records[0].offset}"
            )
            return
        self.failures = 0

    async def _handle_error(self, error: LogError) -> None:
        if error.kind is LogErrorKind.TRIMMED and await self._recover(error.first_offset):
            return
        await self._back_off(error.message)

    async def _back_off(self, reason: str) -> None:
        self.failures += 1
        logger.warning("reading the log failed {} times in a row: {}", self.failures, reason)
        cap_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2.0 ** min(self.failures, 10))
        await asyncio.sleep(self._rng.uniform(0, cap_s))

    async def _recover(self, first_offset: int) -> bool:
        current_offset = self._store.current.offset
        span = 2 * self._settings.snapshot_every_records
        match await recover_from_snapshot(self._log, current_offset, first_offset, span):
            case Err(reason):
                logger.error("no recovery from a snapshot: {}", reason)
                return False
            case Ok(recovery):
                pass
        if not self._store.restore(recovery.configuration):
            return False
        logger.warning("version {} restored from a snapshot", recovery.configuration.offset)
        self._owner.apply(recovery.records)
        return True
