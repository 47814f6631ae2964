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
    """The log did not confirm the request; an append may still have taken effect."""
    LIMITED = "limited"
    """Refused by the rate limit, without effect."""
    TRIMMED = "trimmed"
    """The requested offset is no longer kept."""
    REJECTED = "rejected"
    """The request is invalid; a retry would not help."""


class LogError(msgspec.Struct, frozen=True):
    """The reason why a request to the log failed."""

    kind: LogErrorKind
    message: str
    first_offset: int = 0
    """The oldest offset kept; set with :attr:`LogErrorKind.TRIMMED` only."""


class LogPage(msgspec.Struct, frozen=True):
    """Records from a read, and the offset that the next append will get."""

    records: tuple[LogRecord, ...]
    next_offset: int


class Log(t.Protocol):
    """The operations of the platform's log that nodes use."""

    async def append(self, stream: str, body: bytes) -> Result[int, LogError]:
        """Append a record and return its offset.

        After an error of kind ``UNAVAILABLE`` the record may be on the log all the same.
        """

    async def read(
        self, stream: str, from_offset: int, wait_s: float = 0.0
    ) -> Result[LogPage, LogError]:
        """Return records from an offset on, waiting up to ``wait_s`` seconds for the first."""

    async def tail(self, stream: str, count: int) -> Result[LogPage, LogError]:
        """Return up to ``count`` of the newest records."""
