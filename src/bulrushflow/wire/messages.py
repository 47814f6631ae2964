"""Thrift messages between nodes, and their binary encoding."""

import enum
import pathlib
import struct
import typing as t

import thriftpy2
import xxhash
from result import Err
from result import Ok
from result import Result
from thriftpy2.protocol import TCyBinaryProtocol
from thriftpy2.thrift import TType
from thriftpy2.transport import TCyMemoryBuffer

_module = thriftpy2.load(
    str(pathlib.Path(__file__).with_name("messages.thrift")), module_name="messages_thrift"
)

_CHECKSUM = struct.Struct(">I")
CHECKSUM_BYTES = _CHECKSUM.size


class _Nesting(enum.Enum):
    """Whether a field holds structs that are checked in turn."""

    NONE = 0
    STRUCT = 1
    LIST = 2


_fields_by_kind: dict[t.Any, tuple[tuple[str, bool, _Nesting], ...]] = {}

Target: t.Any = _module.Target
Member: t.Any = _module.Member
MoveState: t.Any = _module.MoveState
Gossip: t.Any = _module.Gossip
Ping: t.Any = _module.Ping
Ack: t.Any = _module.Ack
PingRequest: t.Any = _module.PingRequest
BucketDigests: t.Any = _module.BucketDigests
BucketRequest: t.Any = _module.BucketRequest
Datagram: t.Any = _module.Datagram
Header: t.Any = _module.Header
CallRequest: t.Any = _module.CallRequest
CallAnswer: t.Any = _module.CallAnswer
CallCancel: t.Any = _module.CallCancel
Record: t.Any = _module.Record
RecordsRequest: t.Any = _module.RecordsRequest
Records: t.Any = _module.Records
RecordsPush: t.Any = _module.RecordsPush
MembersRequest: t.Any = _module.MembersRequest
Members: t.Any = _module.Members
RouteEvidence: t.Any = _module.RouteEvidence
EvidenceReport: t.Any = _module.EvidenceReport
Heartbeat: t.Any = _module.Heartbeat
ExchangeFailure: t.Any = _module.ExchangeFailure
Goodbye: t.Any = _module.Goodbye
StateNotice: t.Any = _module.StateNotice
Frame: t.Any = _module.Frame


def encode(message: t.Any) -> bytes:
    """Encode a message as a checksum and thrift's binary protocol."""
    buffer = TCyMemoryBuffer()
    protocol = TCyBinaryProtocol(buffer)
    message.write(protocol)
    protocol.write_message_end()
    body: bytes = buffer.getvalue()
    return _CHECKSUM.pack(xxhash.xxh32_intdigest(body)) + body


def decode(kind: t.Any, data: bytes) -> Result[t.Any, str]:
    """Decode a message of ``kind``; the error says what is wrong with it.

    The library's decoder does not stop at the end of its input: a stray datagram that claims a
    list of 2**31 items would keep it busy for minutes. So the checksum comes first. Fields that
    are absent are left empty by the library, so the required ones are checked here.
    """
    body = data[_CHECKSUM.size :]
    if len(data) < _CHECKSUM.size or _CHECKSUM.unpack_from(data)[0] != xxhash.xxh32_intdigest(body):
        return Err("the checksum is wrong")
    message = kind()
    try:
        message.read(TCyBinaryProtocol(TCyMemoryBuffer(body)))
    except Exception as exc:
        # Whatever a peer sends must not stop this node.
        return Err(f"{type(exc).__name__}: {exc}")
    missing = _missing_field(message)
    return Err(f"field {missing} is missing") if missing else Ok(message)


def _missing_field(message: t.Any) -> str | None:
    kind = type(message)
    for name, is_required, nesting in _fields_of(kind):
        value = getattr(message, name)
        if value is None:
            if is_required:
                return f"{kind.__name__}.{name}"
            continue
        if nesting is _Nesting.NONE:
            continue
        for inner in value if nesting is _Nesting.LIST else (value,):
            missing = _missing_field(inner)
            if missing:
                return missing
    return None


def _fields_of(kind: t.Any) -> tuple[tuple[str, bool, "_Nesting"], ...]:
    fields = _fields_by_kind.get(kind)
    if fields is None:
        fields = _fields_by_kind[kind] = _read_fields(kind)
    return fields


def _read_fields(kind: t.Any) -> tuple[tuple[str, bool, "_Nesting"], ...]:
    fields = []
    for spec in kind.thrift_spec.values():
        nesting = _Nesting.NONE
        if spec[0] == TType.STRUCT:
            nesting = _Nesting.STRUCT
        elif spec[0] == TType.LIST and isinstance(spec[2], tuple):
            nesting = _Nesting.LIST
        fields.append((spec[1], spec[-1], nesting))
    return tuple(fields)
