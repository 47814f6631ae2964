"""The newest record of each key of a store topic, kept to bring other nodes up to date."""

import typing as t

from bulrushflow.sidecar.records.storage import KeyedRecord


class TopicCache:
    """Newest records by key, deletions included, and the offset from which on they are complete.

    A record that a later one of its key replaced is missing, so what the cache returns leads to the
    same state as the topic's records, without all steps between.
    """

    __slots__ = ("_complete_from", "_records_by_key")

    def __init__(self) -> None:
        self._records_by_key: dict[str, KeyedRecord] = {}
        self._complete_from = 0

    def replace(self, records: t.Iterable[KeyedRecord], offset: int) -> None:
        """Replace everything by the topic's whole state, which was read up to ``offset``."""
        self._records_by_key = {record.key: record for record in records}
        # Deletions before the offset aren't known.
        self._complete_from = offset

    def reload(
        self, records: t.Iterable[KeyedRecord], offset: int
    ) -> tuple[KeyedRecord, ...] | None:
        """Replace everything by a later state of the same era, which was read up to ``offset``.

        :return: the records that changed, in their order; ``None`` if keys were deleted meanwhile.
        """
        before = self._records_by_key
        newest = {record.key: record for record in records}
        if any(record.value and key not in newest for key, record in before.items()):
            self.replace(newest.values(), offset)
            return None
        changed = [
            record
            for key, record in newest.items()
            if key not in before or before[key].offset != record.offset
        ]
        self._records_by_key = before | newest
        return tuple(sorted(changed, key=_offset))

    def add(self, record: KeyedRecord) -> None:
        """Add a new record, which replaces the one of its key."""
        self._records_by_key[record.key] = record

    def state(self) -> tuple[KeyedRecord, ...]:
        """Return the newest record of each key that wasn't deleted."""
        return tuple(record for record in self._records_by_key.values() if record.value)

    def since(self, offset: int) -> tuple[KeyedRecord, ...] | None:
        """Return the newest records from ``offset`` on; ``None`` if deletions may be missing."""
        if offset < self._complete_from:
            return None
        records = [item for item in self._records_by_key.values() if item.offset >= offset]
        return tuple(sorted(records, key=_offset))


def _offset(record: KeyedRecord) -> int:
    return record.offset
