"""Conversion of relayed records between domain types and thrift messages."""

import typing as t
import zlib

import msgspec
from result import Err
from result import Ok
from result import Result

from bulrushflow.sidecar.records.storage import KeyedRecord
from bulrushflow.sidecar.records.storage import TopicUpdate
from bulrushflow.wire import messages

COMPRESSION_LEVEL = 1
"""The fastest one; a configuration shrinks to about a tenth with it."""
MAX_RECORDS_BYTES = 64 << 20
"""Bound on the decompressed records of one update."""

MAX_AGE_S = 3600.0
"""Greatest age that is sent; before the first confirmation the age is infinite."""


class TopicPosition(msgspec.Struct, frozen=True):
    """How far a node has replicated a topic."""

    topic: str
    offset: int | None
    """Offset of the next record; ``None`` before the topic was loaded."""
    era: int
    known_end: int
    """Offset at which the topic is known to end."""


def position_to_message(position: TopicPosition) -> t.Any:
    """Return the thrift message for a position."""
    return messages.TopicPosition(
        topic=position.topic,
        offset=position.offset,
        era=position.era,
        known_end=position.known_end,
    )


def position_from_message(message: t.Any) -> TopicPosition:
    """Return the position in a thrift message."""
    return TopicPosition(message.topic, message.offset, message.era, message.known_end)


def pack_records(records: t.Sequence[KeyedRecord]) -> bytes | None:
    """Return records encoded and compressed; ``None`` for none."""
    if not records:
        return None
    message = messages.StoreRecords(
        records=[
            messages.StoreRecord(key=record.key, value=record.value, offset=record.offset)
            for record in records
        ]
    )
    return zlib.compress(messages.encode(message), COMPRESSION_LEVEL)


def update_to_message(update: TopicUpdate, records: bytes | None) -> t.Any:
    """Return the thrift message for an update.

    :param records: the update's records, as :func:`pack_records` returns them; ``None`` leaves
        them out.
    """
    return messages.TopicUpdate(
        topic=update.topic,
        era=update.era,
        start_offset=update.start_offset,
        end_offset=update.end_offset,
        records=records,
        current=update.current,
        confirmed_ms_ago=int(min(update.confirmed_s_ago, MAX_AGE_S) * 1000),
    )


def update_from_message(message: t.Any) -> Result[TopicUpdate, str]:
    """Return the update in a thrift message; the error says why its records are unreadable."""
    match _unpack_records(message.records, message.era):
        case Err(reason):
            return Err(f"records of {message.topic}: {reason}")
        case Ok(records):
            pass
    return Ok(
        TopicUpdate(
            topic=message.topic,
            era=message.era,
            start_offset=message.start_offset,
            end_offset=message.end_offset,
            records=records,
            current=message.current,
            confirmed_s_ago=message.confirmed_ms_ago / 1000,
        )
    )


def _unpack_records(data: bytes | None, era: int) -> Result[tuple[KeyedRecord, ...], str]:
    if data is None:
        return Ok(())
    decompressor = zlib.decompressobj()
    try:
        encoded = decompressor.decompress(data, MAX_RECORDS_BYTES)
    except zlib.error as exc:
        return Err(str(exc))
    if not decompressor.eof:
        return Err(f"truncated, or over {MAX_RECORDS_BYTES} bytes")
    match messages.decode(messages.StoreRecords, encoded):
        case Err(reason):
            return Err(reason)
        case Ok(message):
            records = message.records
    return Ok(tuple(KeyedRecord(r.key, r.value or b"", r.offset, era) for r in records))
