"""The store of the configuration in force on this node, and of recent records for peers."""

import typing as t
from collections import OrderedDict
from collections import deque

from loguru import logger
from result import Err
from result import Ok

from bulrushflow.configuration.fold import LogRecord
from bulrushflow.configuration.fold import fold_records
from bulrushflow.configuration.model import EMPTY_CONFIGURATION
from bulrushflow.configuration.model import Configuration
from bulrushflow.configuration.model import SnapshotMark
from bulrushflow.configuration.model import decode_configuration
from bulrushflow.configuration.model import digest
from bulrushflow.configuration.schemas import SUPPORTED_SCHEMA
from bulrushflow.configuration.snapshots import pack
from bulrushflow.configuration.snapshots import unpack
from bulrushflow.exceptions import InvariantError

MAX_RETAINED_RECORDS = 1024
MAX_RETAINED_BYTES = 4 << 20
MAX_PAGE_BYTES = 256 << 10
"""Bytes of records in one response to a peer; a single larger record is still sent."""
MAX_DIGESTS = 64
"""Own digests kept, to compare with snapshots that come later on the log."""

Subscriber = t.Callable[[Configuration], None]


class ConfigurationStore:
    """The current configuration, replaced as a whole and only by later versions.

    :param supported: highest record schema that this program understands.
    """

    __slots__ = (
        "_digests_by_offset",
        "_packed",
        "_records",
        "_retained_bytes",
        "_subscribers",
        "_supported",
        "current",
        "unsupported",
    )

    def __init__(self, supported: int = SUPPORTED_SCHEMA) -> None:
        self.current: Configuration = EMPTY_CONFIGURATION
        self.unsupported = ""
        """Reason why this release can't apply the next record; empty when it can."""
        self._supported = supported
        self._records: deque[LogRecord] = deque()
        self._retained_bytes = 0
        self._packed: tuple[int, bytes] = (-1, b"")
        self._digests_by_offset: OrderedDict[int, str] = OrderedDict()
        self._subscribers: list[Subscriber] = []

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call ``subscriber`` with each new configuration."""
        self._subscribers.append(subscriber)

    def apply(self, records: t.Iterable[LogRecord]) -> int:
        """Apply the records that come next; return how many were new.

        Records that are applied already are ignored, and none is applied beyond a gap or beyond a
        record that needs a later release.

        :raises InvariantError: when a snapshot on the log differs from this node's state at the
            same offset.
        """
        next_records = self._next_records(records)
        if not next_records:
            return 0
        folded = fold_records(self.current, next_records, self._supported)
        count = folded.configuration.offset - self.current.offset
        if count:
            self._check_snapshot(folded.configuration.newest_snapshot)
            self._retain(next_records[:count])
            self._swap(folded.configuration)
        self._set_unsupported(folded.unsupported)
        return count

    def restore(self, snapshot: Configuration) -> bool:
        """Restore a state that is ahead of the current one and supported; return whether it was."""
        if snapshot.offset <= self.current.offset or snapshot.schema_level > self._supported:
            return False
        self._records.clear()
        self._retained_bytes = 0
        self.unsupported = ""
        self._swap(snapshot)
        return True

    def restore_packed(self, packed: bytes) -> bool:
        """Restore the result of :meth:`packed` on another node; return whether it was ahead.

        One that can't be decoded is logged and ignored.
        """
        match unpack(packed).and_then(lambda data: decode_configuration(data, self._supported)):
            case Err(reason):
                logger.error(
                    "ignored a peer's snapshot, version {} stays in force: {}",
                    self.current.offset,
                    reason,
                )
                return False
            case Ok(configuration):
                return self.restore(configuration)

    def packed(self) -> bytes:
        """Return the configuration in force, encoded and compressed."""
        if self._packed[0] != self.current.offset:
            self._packed = (self.current.offset, pack(self.current))
        return self._packed[1]

    def records_from(self, from_offset: int) -> list[LogRecord] | None:
        """Return a page of records from an offset on; ``None`` if some are not retained."""
        if from_offset > self.current.offset:
            return []
        if not self._records or self._records[0].offset > from_offset:
            return None
        page: list[LogRecord] = []
        size = 0
        for record in self._records:
            if record.offset < from_offset:
                continue
            size += len(record.body)
            if page and size > MAX_PAGE_BYTES:
                break
            page.append(record)
        return page

    def _next_records(self, records: t.Iterable[LogRecord]) -> list[LogRecord]:
        next_records: list[LogRecord] = []
        next_offset = self.current.offset + 1
        for record in records:
            if record.offset == next_offset:
                next_records.append(record)
                next_offset += 1
            elif record.offset > next_offset:
                break
        return next_records

    def _set_unsupported(self, reason: str) -> None:
        if reason and reason != self.unsupported:
            logger.error(
                "version {} stays in force, this release can't go on: {}",
                self.current.offset,
                reason,
            )
        self.unsupported = reason

    def _check_snapshot(self, mark: SnapshotMark) -> None:
        local_digest = self._digests_by_offset.get(mark.state_offset)
        if local_digest is not None and local_digest != mark.digest:
            raise InvariantError(
                f"version {mark.state_offset} has digest {local_digest} here and {mark.digest} in "
                f"the snapshot at offset {mark.record_offset}"
            )

    def _retain(self, records: list[LogRecord]) -> None:
        for record in records:
            self._records.append(record)
            self._retained_bytes += len(record.body)
        while (
            len(self._records) > MAX_RETAINED_RECORDS or self._retained_bytes > MAX_RETAINED_BYTES
        ):
            self._retained_bytes -= len(self._records.popleft().body)

    def _swap(self, configuration: Configuration) -> None:
        self.current = configuration
        self._digests_by_offset[configuration.offset] = digest(configuration)
        while len(self._digests_by_offset) > MAX_DIGESTS:
            self._digests_by_offset.popitem(last=False)
        logger.info("configuration version {} in force", configuration.offset)
        for subscriber in self._subscribers:
            subscriber(configuration)
