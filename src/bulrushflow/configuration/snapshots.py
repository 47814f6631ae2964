"""Snapshots of the configuration: encoding, verification, and when one is due."""

import zlib

import msgspec
from result import Err
from result import Ok
from result import Result

from bulrushflow.configuration.model import Configuration
from bulrushflow.configuration.model import decode_configuration
from bulrushflow.configuration.model import digest_of_encoded
from bulrushflow.configuration.model import encode_configuration
from bulrushflow.configuration.records import Snapshot
from bulrushflow.configuration.schemas import SUPPORTED_SCHEMA

MAX_STATE_BYTES = 64 << 20
"""A state that decompresses to more than this is rejected as corrupt."""


class SnapshotPolicy(msgspec.Struct, frozen=True):
    """Age of the newest snapshot at which another is due, in records and in milliseconds.

    Both must stay well below the log's retention.
    """

    every_records: int
    every_ms: int


def make_snapshot(configuration: Configuration) -> Snapshot:
    """Return the snapshot record of a configuration.

    Its schema is the configuration's level, so that every release that can reach this version
    can read it.
    """
    data = encode_configuration(configuration)
    state_digest = digest_of_encoded(data)
    return Snapshot(
        configuration.schema_level,
        f"snapshot/{configuration.offset}/{state_digest}",
        configuration.offset,
        state_digest,
        zlib.compress(data),
    )


def open_snapshot(
    record: Snapshot, supported: int = SUPPORTED_SCHEMA
) -> Result[Configuration, str]:
    """Return the configuration in a snapshot, verified against its digest, offset and schema.

    :param supported: highest schema level that is understood.
    """
    match unpack(record.state):
        case Err(reason):
            return Err(f"corrupt snapshot of version {record.state_offset}: {reason}")
        case Ok(data):
            pass
    if digest_of_encoded(data) != record.digest:
        return Err(f"corrupt snapshot of version {record.state_offset}: the digest differs")
    match decode_configuration(data, supported):
        case Err(reason):
            return Err(f"unusable snapshot of version {record.state_offset}: {reason}")
        case Ok(configuration):
            pass
    if (configuration.offset, configuration.schema_level) != (record.state_offset, record.schema):
        return Err(f"corrupt snapshot: it holds version {configuration.offset}")
    return Ok(configuration)


def pack(configuration: Configuration) -> bytes:
    """Return the encoded configuration, compressed."""
    return zlib.compress(encode_configuration(configuration))


def unpack(packed: bytes) -> Result[bytes, str]:
    """Return the encoded configuration in the result of :func:`pack`."""
    unpacker = zlib.decompressobj()
    try:
        data = unpacker.decompress(packed, MAX_STATE_BYTES)
    except zlib.error as exc:
        return Err(str(exc))
    if not unpacker.eof:
        return Err("incomplete or too large")
    return Ok(data)


def is_snapshot_due(configuration: Configuration, policy: SnapshotPolicy, now_ms: int) -> bool:
    """Return whether the newest snapshot is too old by count of records or by age."""
    if configuration.offset < 0:
        return False
    mark = configuration.newest_snapshot
    if configuration.offset - mark.state_offset >= policy.every_records:
        return True
    return now_ms - mark.appended_at_ms >= policy.every_ms
