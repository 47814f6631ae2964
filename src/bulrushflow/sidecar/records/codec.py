"""JSON encoding and keys of node entries and rollout statuses."""

import ipaddress

import msgspec
import xxhash
from result import Err
from result import Ok
from result import Result

from bulrushflow.documents import decode_document
from bulrushflow.sidecar.model import DepartedTarget
from bulrushflow.sidecar.model import NodeEntry
from bulrushflow.sidecar.model import RolloutStatus

NODE_KEY_PREFIX = "node/"
DEPARTURE_KEY_PREFIX = "departed/"
ROLLOUT_KEY_PREFIX = "move/"
"""Prefix of the keys of rollout statuses in notices between nodes."""


def node_key(address: str) -> str:
    """Return the key of a node's entry; a new node at the same address replaces the entry."""
    return NODE_KEY_PREFIX + address


def departures_prefix(address: str) -> str:
    """Return the prefix of the keys of a node's departures."""
    return f"{DEPARTURE_KEY_PREFIX}{address}/"


def departure_key(address: str, departed: DepartedTarget) -> str:
    """Return the key of a departure at a node.

    Each departure has a key of its own, so that no other write of the node replaces it. The
    target's id is hashed, since the store bounds the length of keys.
    """
    identity = f"{departed.target_id}/{departed.incarnation}/{departed.drained_at}"
    return departures_prefix(address) + xxhash.xxh3_128_hexdigest(identity.encode())


def encode_departure(departed: DepartedTarget) -> bytes:
    """Encode a departure as JSON."""
    return msgspec.json.encode(departed)


def decode_departure(data: bytes) -> Result[DepartedTarget, str]:
    """Decode a departure; the error has the reason."""
    return decode_document(data, DepartedTarget).map_err(lambda reason: f"departure: {reason}")


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
