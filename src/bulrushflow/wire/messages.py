"""The thrift messages between nodes, and their binary encoding with a checksum."""

import struct
import typing as t

import xxhash
from result import Err
from result import Ok
from result import Result
from thriftpy2.protocol import TCyBinaryProtocol
from thriftpy2.thrift import TType
from thriftpy2.transport import TCyMemoryBuffer

from bulrushflow.wire import generated_messages

_CHECKSUM = struct.Struct(">I")
CHECKSUM_BYTES = _CHECKSUM.size


class _Fields(t.NamedTuple):
    """Fields of a message class that are checked after decoding."""

    required: tuple[str, ...]
    nested: tuple[tuple[str, bool], ...]
    """Names of fields with structs, and whether the field is a list of structs."""


_fields_by_kind: dict[t.Any, _Fields] = {}

Target: t.Any = generated_messages.Target
Member: t.Any = generated_messages.Member
MoveState: t.Any = generated_messages.MoveState
Gossip: t.Any = generated_messages.Gossip
Ping: t.Any = generated_messages.Ping
Ack: t.Any = generated_messages.Ack
PingRequest: t.Any = generated_messages.PingRequest
BucketDigests: t.Any = generated_messages.BucketDigests
BucketRequest: t.Any = generated_messages.BucketRequest
Datagram: t.Any = generated_messages.Datagram
Header: t.Any = generated_messages.Header
NamedLimit: t.Any = generated_messages.NamedLimit
CallRequest: t.Any = generated_messages.CallRequest
CallAnswer: t.Any = generated_messages.CallAnswer
AdmissionRequest: t.Any = generated_messages.AdmissionRequest
AdmissionAnswer: t.Any = generated_messages.AdmissionAnswer
CallCancel: t.Any = generated_messages.CallCancel
BodyChunk: t.Any = generated_messages.BodyChunk
BodyGrant: t.Any = generated_messages.BodyGrant
CallDeadline: t.Any = generated_messages.CallDeadline
Record: t.Any = generated_messages.Record
RecordsRequest: t.Any = generated_messages.RecordsRequest
Records: t.Any = generated_messages.Records
RecordsPush: t.Any = generated_messages.RecordsPush
MembersRequest: t.Any = generated_messages.MembersRequest
Members: t.Any = generated_messages.Members
RouteEvidence: t.Any = generated_messages.RouteEvidence
EvidenceReport: t.Any = generated_messages.EvidenceReport
Heartbeat: t.Any = generated_messages.Heartbeat
ExchangeFailure: t.Any = generated_messages.ExchangeFailure
Goodbye: t.Any = generated_messages.Goodbye
StateNotice: t.Any = generated_messages.StateNotice
TopicPosition: t.Any = generated_messages.TopicPosition
UpdatesRequest: t.Any = generated_messages.UpdatesRequest
StoreRecord: t.Any = generated_messages.StoreRecord
StoreRecords: t.Any = generated_messages.StoreRecords
TopicUpdate: t.Any = generated_messages.TopicUpdate
Updates: t.Any = generated_messages.Updates
AllowanceDemand: t.Any = generated_messages.AllowanceDemand
AllowancesRequest: t.Any = generated_messages.AllowancesRequest
AllowanceGrant: t.Any = generated_messages.AllowanceGrant
AllowancesAnswer: t.Any = generated_messages.AllowancesAnswer
HoldingsRequest: t.Any = generated_messages.HoldingsRequest
AllowanceHolding: t.Any = generated_messages.AllowanceHolding
Holdings: t.Any = generated_messages.Holdings
Frame: t.Any = generated_messages.Frame


def encode(message: t.Any) -> bytes:
    """Return a message in thrift's binary protocol, after a checksum of it."""
    buffer = TCyMemoryBuffer()
    protocol = TCyBinaryProtocol(buffer)
    message.write(protocol)
    protocol.write_message_end()
    body: bytes = buffer.getvalue()
    return _CHECKSUM.pack(xxhash.xxh32_intdigest(body)) + body


def decode(kind: t.Any, data: bytes) -> Result[t.Any, str]:
    """Decode a message of class ``kind``; the error says why ``data`` is invalid.

    The library's decoder reads on after the end of its input: a stray datagram that claims a
    list of 2**31 items would keep it busy for minutes. Therefore the checksum is compared first.
    The library also leaves absent fields ``None``, so required ones are checked here.
    """
    body = data[_CHECKSUM.size :]
    if len(data) < _CHECKSUM.size or _CHECKSUM.unpack_from(data)[0] != xxhash.xxh32_intdigest(body):
        return Err(f"no valid checksum in {len(data)} bytes")
    message = kind()
    try:
        message.read(TCyBinaryProtocol(TCyMemoryBuffer(body)))
    except Exception as exc:
        # The library raises various exceptions on malformed input; none may stop this node.
        return Err(f"{type(exc).__name__}: {exc}")
    missing = _missing_field(message)
    return Err(f"field {missing} is missing") if missing else Ok(message)


def _missing_field(message: t.Any) -> str | None:
    kind = type(message)
    fields = _fields_by_kind.get(kind)
    if fields is None:
        fields = _fields_by_kind[kind] = _read_fields(kind)
    values = message.__dict__
    for name in fields.required:
        if values[name] is None:
            return f"{kind.__name__}.{name}"
    for name, is_list in fields.nested:
        value = values[name]
        if value is None:
            continue
        for inner in value if is_list else (value,):
            missing = _missing_field(inner)
            if missing:
                return missing
    return None


def _read_fields(kind: t.Any) -> "_Fields":
    required = []
    nested = []
    for spec in kind.thrift_spec.values():
        if spec[-1]:
            required.append(spec[1])
        if spec[0] == TType.STRUCT:
            nested.append((spec[1], False))
        elif spec[0] == TType.LIST and isinstance(spec[2], tuple):
            nested.append((spec[1], True))
    return _Fields(tuple(required), tuple(nested))
