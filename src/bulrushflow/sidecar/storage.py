"""What the sidecar needs of a store of keyed records that outlives every process."""

import enum
import typing as t
from dataclasses import dataclass

from result import Result


class StoreErrorKind(enum.Enum):
    """How a call to the store failed."""

    REFUSED = "refused"
    """Nothing was done."""
    UNKNOWN = "unknown"
    """The call may have been executed, or may be executed later."""
    CONFLICT = "conflict"
    """A conditional append found records it did not expect."""
    TRIMMED = "trimmed"
    """The records asked for are no longer kept one by one."""
    UNREADABLE = "unreadable"


@dataclass(frozen=True, slots=True)
class StoreError:
    """A failed call to the store."""

    kind: StoreErrorKind
    message: str


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """One record; an empty value drops the key."""

    key: str
    value: bytes
    offset: int


@dataclass(frozen=True, slots=True)
class StoreWrite:
    """One record to append."""

    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class StorePage:
    """Records, and the offset from which reading goes on."""

    records: tuple[KeyedRecord, ...]
    next_offset: int


class Store(t.Protocol):
    """The store, as the sidecar uses it."""

    async def newest(self, topic: str) -> Result[StorePage, StoreError]:
        """Return the newest record of each key."""

    async def read(
        self, topic: str, from_offset: int, wait_s: float
    ) -> Result[StorePage, StoreError]:
        """Return records from an offset on, waiting for the first."""

    async def append(
        self, topic: str, writes: t.Sequence[StoreWrite], expected_end: int | None = None
    ) -> Result[int, StoreError]:
        """Append records, all or none, and return the first one's offset."""

    async def close(self) -> None:
        """Close the connections."""
