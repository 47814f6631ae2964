"""Appends a node's own records to the log at a bounded rate, with retries."""

import asyncio
import random
import typing as t

from loguru import logger
from result import Err
from result import Ok

from bulrushflow.background import BackgroundService
from bulrushflow.configuration import ConfigurationStore
from bulrushflow.configuration import Record
from bulrushflow.configuration import encode_record
from bulrushflow.recording.log import CONFIGURATION_STREAM
from bulrushflow.recording.log import Log
from bulrushflow.recording.log import LogErrorKind

FLEET_APPENDS_PER_S = 200.0
"""Bound on the appends of all nodes together, below the log's own rate limit."""
MAX_BACKOFF_S = 5.0
MAX_PENDING_RECORDS = 256
"""Bound on the records that wait for being appended; further ones are dropped."""


class Recorder(BackgroundService):
    """Keeps records until they are on the log; publish ids make duplicate appends harmless.

    Before the first append a node waits for a random part of its spacing, and between appends for
    a whole one. Nodes that all have records to append at the same time thus stay below the
    fleet's rate together.

    :param rate_per_s: bound on this node's own rate.
    :param writer_count: returns how many nodes may have records to append now.
    """

    def __init__(
        self,
        log: Log,
        store: ConfigurationStore,
        rate_per_s: float,
        rng: random.Random,
        writer_count: t.Callable[[], int] = lambda: 1,
    ) -> None:
        super().__init__()
        self._log = log
        self._store = store
        self._rate_per_s = rate_per_s
        self._rng = rng
        self._writer_count = writer_count
        self._pending_by_id: dict[str, Record] = {}
        self._is_current_by_id: dict[str, t.Callable[[], bool]] = {}
        self._wake = asyncio.Event()

    def submit(self, record: Record, is_current: t.Callable[[], bool] | None = None) -> None:
        """Queue a record for appending, unless its publish id is pending or known to the store.

        :param is_current: called before each append; the record is dropped once it returns false.
        """
        if record.publish_id in self._pending_by_id or self._is_known(record):
            return
        if len(self._pending_by_id) >= MAX_PENDING_RECORDS:
            logger.error(
                "record {} dropped: {} records are pending", record.publish_id, MAX_PENDING_RECORDS
            )
            return
        self._pending_by_id[record.publish_id] = record
        if is_current is not None:
            self._is_current_by_id[record.publish_id] = is_current
        self._wake.set()

    def pending_records(self) -> list[Record]:
        """Return the records that are not known to be on the log."""
        self._discard_obsolete()
        return list(self._pending_by_id.values())

    def spacing_s(self) -> float:
        """Return the seconds between two appends of this node."""
        return max(1 / self._rate_per_s, self._writer_count() / FLEET_APPENDS_PER_S)

    def _is_known(self, record: Record) -> bool:
        return record.publish_id in self._store.current.verdicts_by_publish_id

    def _discard_obsolete(self) -> None:
        for record in list(self._pending_by_id.values()):
            if self._is_known(record) or not self._is_current(record):
                self._discard(record)

    def _is_current(self, record: Record) -> bool:
        is_current = self._is_current_by_id.get(record.publish_id)
        return is_current is None or is_current()

    def _discard(self, record: Record) -> None:
        self._pending_by_id.pop(record.publish_id, None)
        self._is_current_by_id.pop(record.publish_id, None)

    async def run(self) -> None:
        """See :meth:`BackgroundService.run`."""
        while True:
            await self._wake.wait()
            await asyncio.sleep(self._rng.uniform(0, self.spacing_s()))
            await self._append_pending()
            self._wake.clear()

    async def _append_pending(self) -> None:
        failures = 0
        while True:
            # Appends by other nodes, and own ones whose response was lost, show in the store.
            self._discard_obsolete()
            record = next(iter(self._pending_by_id.values()), None)
            if record is None:
                return
            if await self._append(record):
                self._discard(record)
                failures = 0
            else:
                failures += 1
            cap_s = min(MAX_BACKOFF_S, 2.0**failures / self._rate_per_s) if failures else 0.0
            await asyncio.sleep(self.spacing_s() + self._rng.uniform(0, cap_s))

    async def _append(self, record: Record) -> bool:
        """Try one append; return whether the record needs no further one."""
        match await self._log.append(CONFIGURATION_STREAM, encode_record(record)):
            case Ok(_):
                return True
            case Err(error):
                pass
        logger.warning("appending record {} failed: {}", record.publish_id, error.message)
        return error.kind is LogErrorKind.REJECTED
