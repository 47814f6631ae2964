"""Decoding of JSON documents that any writer may have written."""

import typing as t

import msgspec
from result import Err
from result import Ok
from result import Result

T = t.TypeVar("T")

MAX_INT64 = 2**63 - 1
MAX_EPOCH_MS = 253_402_300_799_999
"""End of the year 9999 in epoch milliseconds."""

Count = t.Annotated[int, msgspec.Meta(ge=0, le=MAX_INT64)]
"""A number that also fits into a field of a message between nodes."""
EpochMs = t.Annotated[int, msgspec.Meta(ge=0, le=MAX_EPOCH_MS)]
Port = t.Annotated[int, msgspec.Meta(ge=1, le=65_535)]


def decode_document(data: bytes, kind: type[T]) -> Result[T, str]:
    """Decode a JSON document; the error says what can't be read, also of deeply nested ones."""
    try:
        return Ok(msgspec.json.decode(data, type=kind))
    except (msgspec.MsgspecError, ValueError) as exc:
        return Err(str(exc))
    except RecursionError:
        return Err(f"nested too deeply, in {len(data)} bytes")


__all__ = ["Count", "EpochMs", "Port", "decode_document"]
