"""JSON encoding and keys of node entries and rollout statuses."""

import ipaddress

import msgspec
from result import Err
from result import Ok
from result import Result

from bulrushflow.documents import decode_document
from bulrushflow.sidecar.model import NodeEntry
from bulrushflow.sidecar.model import RolloutStatus

NODE_KEY_PREFIX = "node/"
ROLLOUT_KEY_PREFIX = "move/"
"""Prefix of the keys of rollout statuses in notices between nodes."""


def node_key(address: str) -> str:
    """Return the key of a node's entry; a new node at the same address replaces the entry."""
    return NODE_KEY_PREFIX + address


def encode_node_entry(entry: NodeEntry) -> bytes:
    """Encode a node entry as JSON."""
    return msgspec.json.encode(entry)


def decode_node_entry(data: bytes) -> Result[NodeEntry, str]:
    """Decode a node entry; the error has the reason."""
    match decode_document(data, NodeEntry):
        case Err(reason):
            return Err(f"node entry: {reason}")
        case Ok(entry):
            pass
    try:
        ipaddress.IPv4Address(entry.address)
    except ValueError as exc:
        return Err(f"node entry: {exc}")
    return Ok(entry)


def encode_rollout_status(status: RolloutStatus) -> bytes:
    """Encode a rollout status as JSON."""
    return msgspec.json.encode(status)


def decode_rollout_status(data: bytes) -> Result[RolloutStatus, str]:
    """Decode a rollout status; the error has the reason."""
    return decode_document(data, RolloutStatus).map_err(lambda reason: f"move status: {reason}")
