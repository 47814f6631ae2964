"""Frames: one thrift message after its length, and the kinds of messages that they carry."""

import struct
import typing as t

from result import Err
from result import Ok
from result import Result

from bulrushflow.wire import messages

MAX_FRAME_BYTES = 16 << 20
LENGTH = struct.Struct(">I")
RESPONSE_FIELDS = (
    "call_answer",
    "records",
    "members",
    "pong",
    "failure",
    "updates",
    "admission_answer",
    "allowances_answer",
    "holdings",
)
REQUEST_FIELDS = (
    "call_request",
    "records_request",
    "members_request",
    "evidence_report",
    "records_push",
    "state_notice",
    "updates_request",
    "admission_request",
    "allowances_request",
    "holdings_request",
)


def encode_frame(exchange: int, body: dict[str, t.Any]) -> Result[bytes, str]:
    """Return a frame as it is sent; the error says why the message doesn't fit into one.

    :param body: the message, by its field in the frame.
    """
    payload = messages.encode(messages.Frame(exchange=exchange, **body))
    if len(payload) > MAX_FRAME_BYTES:
        return Err(
            f"message of {len(payload)} bytes exceeds the frame limit of {MAX_FRAME_BYTES} bytes"
        )
    return Ok(LENGTH.pack(len(payload)) + payload)
