"""Interface of the durable store of keyed records that the sidecar uses."""

import enum
import typing as t

import msgspec
from result import Result


class StoreErrorKind(enum.Enum):
    """How a call to the store failed."""

    REFUSED = "refused"
    """The call was not executed."""
    UNKNOWN = "unknown"
    """The call may have been executed, or may still be."""
    CONFLICT = "conflict"
    """A conditional append failed, since the topic doesn't end at the expected offset."""
    TRIMMED = "trimmed"
    """The requested offset was compacted away; only the latest record of each key is left."""
    UNREADABLE = "unreadable"
    """The response can't be decoded."""


class StoreError(msgspec.Struct, frozen=True):
    """A failed call to the store."""

    kind: StoreErrorKind
    message: str


class KeyedRecord(msgspec.Struct, frozen=True):
    """A stored record; an empty value deletes the key."""

    key: str
    value: bytes
    offset: int
    era: int = 0
    """Era of the store that the offset is of; 0 if the store doesn't number its eras."""


class StoreWrite(msgspec.Struct, frozen=True):
    """A record to append."""

    key: str
    value: bytes


class StorePage(msgspec.Struct, frozen=True):
    """Records of one response, the offset of the next read, and the end of the topic by then."""

    records: tuple[KeyedRecord, ...]
    next_offset: int
    end: int
    """Offset that the next record to be appended gets."""
    era: int = 0
    """Rises when the store comes back from an older copy: offsets of another era mean other
    records. 0 if the store doesn't number its eras."""


class TopicUpdate(msgspec.Struct, frozen=True):
    """What another node has read of a topic beyond a position, or the topic's whole state."""

    topic: str
    era: int
    start_offset: int | None
    """Offset from which on the records are complete; ``None`` if they are the whole state."""
    end_offset: int
    records: tuple[KeyedRecord, ...]
    """Newest record of each key; a later one of its key replaced those that are missing."""
    current: bool
    """Whether that node reaches the store and knows of no record that it hasn't read."""
    confirmed_s_ago: float
    """Age of the store's latest response to that node."""


class Store(t.Protocol):
    """Client of the store."""

    async def newest(self, topic: str) -> Result[StorePage, StoreError]:
        """Return the latest record of each key, and the offset at which to read on."""

    async def read(
        self,
        topic: str,
        from_offset: int,
        wait_s: float,
        on_response: t.Callable[[], None] | None = None,
    ) -> Result[StorePage, StoreError]:
        """Return records from an offset on, waiting up to ``wait_s`` seconds for the first one.

        :param on_response: called when the response begins to arrive.
        """

    async def append(
        self, topic: str, writes: t.Sequence[StoreWrite], expected_end: int | None = None
    ) -> Result[int, StoreError]:
        """Append all records atomically and return the offset of the first one.

        :param expected_end: if given, append only if the topic ends at this offset.
        """

    async def close(self) -> None:
        """Close the connections."""
