"""The interface to the platform's append-only log, and its errors."""

import enum
import typing as t

import msgspec
from result import Result

from bulrushflow.configuration import LogRecord

CONFIGURATION_STREAM = "configuration"
SEED_RECORD_STREAM = "introductions"


class LogErrorKind(enum.Enum):
    """Why a request to the log failed."""

    UNAVAILABLE = "unavailable"
    """Nothing was done, or it can't be known; an append may have taken effect."""
    LIMITED = "limited"
    """Refused for its rate; nothing was done."""
    TRIMMED = "trimmed"
    """The asked offset is no longer kept."""
    REJECTED = "rejected"
    """The request itself is wrong; a retry would not help."""


class LogError(msgspec.Struct, frozen=True):
    """A failed request to the log."""

    kind: LogErrorKind
    message: str
    first_offset: int = 0
    """The oldest offset kept, with :attr:`LogErrorKind.TRIMMED`."""


class LogPage(msgspec.Struct, frozen=True):
    """Records from a read, and the offset that the next append will get."""

    records: tuple[LogRecord, ...]
    next_offset: int


class Log(t.Protocol):
    """The platform's log as the system uses it."""

    async def append(self, stream: str, body: bytes) -> Result[int, LogError]:
        """Append a record and return its offset."""

    async def read(
        self, stream: str, from_offset: int, wait_s: float = 0.0
    ) -> Result[LogPage, LogError]:
        """Return records from an offset on, waiting up to ``wait_s`` seconds for the first."""

    async def tail(self, stream: str, count: int) -> Result[LogPage, LogError]:
        """Return up to ``count`` of the newest records."""
