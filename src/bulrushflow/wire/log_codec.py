"""Conversion between thrift messages and the types that only nodes of the log design exchange.

Separate from :mod:`codec`, so that a sidecar loads neither membership nor the log's records.
"""

import typing as t

from bulrushflow.configuration import LogRecord
from bulrushflow.membership import Member
from bulrushflow.membership import Status
from bulrushflow.membership import Target
from bulrushflow.membership import TargetState
from bulrushflow.wire import messages

_MEMBER_BYTES = 47
"""Encoded bytes of a member in thrift's binary protocol, apart from its texts (ASCII)."""
_TARGET_BYTES = 32
"""The same for a member's target."""


def member_to_message(member: Member) -> t.Any:
    """Return the thrift message for a member."""
    target = None
    if member.target is not None:
        target = messages.Target(
            service_name=member.target.service,
            version=member.target.version,
            state=int(member.target.state),
            slots=member.target.slots,
        )
    return messages.Member(
        node_id=member.node_id,
        data_centre=member.data_centre,
        address=member.address,
        peer_port=member.peer_port,
        incarnation=member.incarnation,
        status=int(member.status),
        target=target,
    )


def member_size(member: Member) -> int:
    """Return a member's encoded size in bytes inside a message, without encoding it."""
    size = _MEMBER_BYTES + len(member.node_id) + len(member.data_centre) + len(member.address)
    if member.target is not None:
        size += _TARGET_BYTES + len(member.target.service) + len(member.target.version)
    return size


def digests_from_message(message: t.Any) -> bytes:
    """Return the packed digests in a thrift message."""
    return bytes(message.digests)


def member_from_message(message: t.Any) -> Member:
    """Return the member in a thrift message.

    :raises ValueError: if the status or the target's state is unknown.
    """
    target = None
    if message.target is not None:
        target = Target(
            message.target.service_name,
            message.target.version,
            TargetState(message.target.state),
            message.target.slots,
        )
    return Member(
        message.node_id,
        message.data_centre,
        message.address,
        message.peer_port,
        message.incarnation,
        Status(message.status),
        target,
    )


def record_to_message(record: LogRecord) -> t.Any:
    """Return the thrift message for a log record."""
    return messages.Record(
        offset=record.offset, appended_at_ms=record.appended_at_ms, body=record.body
    )


def record_from_message(message: t.Any) -> LogRecord:
    """Return the log record in a thrift message."""
    return LogRecord(message.offset, message.appended_at_ms, message.body)
