"""An in-memory log for tests."""

import asyncio

from result import Err
from result import Ok
from result import Result

from bulrushflow.configuration import LogRecord
from bulrushflow.recording import LogError
from bulrushflow.recording import LogErrorKind
from bulrushflow.recording import LogPage

DOWN = LogError(LogErrorKind.UNAVAILABLE, "down")


class MemoryLog:
    """One stream; the next appends fail with ``errors``, or lose their response after the write."""

    def __init__(self, bodies: list[bytes] | None = None, page_records: int = 4) -> None:
        self.records = [LogRecord(i, 1000 + i, b) for i, b in enumerate(bodies or [])]
        self.errors: list[LogError] = []
        self.lost_responses = 0
        self.down = False
        self.reported_next_offset: int | None = None
        self.reads = 0
        self._page_records = page_records
        self._changed = asyncio.Event()

    @property
    def first_offset(self) -> int:
        """The oldest offset kept."""
        return self.records[0].offset if self.records else 0

    def add(self, body: bytes) -> int:
        """Append without faults."""
        offset = self.records[-1].offset + 1 if self.records else 0
        self.records.append(LogRecord(offset, 1000 + offset, body))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return offset

    async def append(self, stream: str, body: bytes) -> Result[int, LogError]:
        """See :meth:`Log.append`."""
        if self.errors:
            return Err(self.errors.pop(0))
        if self.down:
            return Err(DOWN)
        offset = self.add(body)
        if self.lost_responses:
            self.lost_responses -= 1
            return Err(DOWN)
        return Ok(offset)

    async def read(
        self, stream: str, from_offset: int, wait_s: float = 0.0
    ) -> Result[LogPage, LogError]:
        """See :meth:`Log.read`."""
        self.reads += 1
        if self.down:
            return Err(DOWN)
        if from_offset < self.first_offset:
            return Err(LogError(LogErrorKind.TRIMMED, "trimmed", self.first_offset))
        if wait_s and not any(r.offset >= from_offset for r in self.records):
            try:
                await asyncio.wait_for(self._changed.wait(), wait_s)
            except TimeoutError:
                pass
        records = [r for r in self.records if r.offset >= from_offset][: self._page_records]
        return Ok(self._page(records))

    async def tail(self, stream: str, count: int) -> Result[LogPage, LogError]:
        """See :meth:`Log.tail`."""
        return Err(DOWN) if self.down else Ok(self._page(self.records[-count:]))

    def _page(self, records: list[LogRecord]) -> LogPage:
        end = self.records[-1].offset + 1 if self.records else 0
        return LogPage(
            tuple(records), end if self.reported_next_offset is None else self.reported_next_offset
        )
