"""Decoding of the operator's orders and the targets' announcements into the project's types."""

import time

import msgspec
from result import Err
from result import Ok
from result import Result

from bulrushflow.documents import Count
from bulrushflow.documents import EpochMs
from bulrushflow.documents import decode_document
from bulrushflow.platform.settings import parse_duration
from bulrushflow.sidecar.model import RolloutOrder
from bulrushflow.sidecar.model import RolloutPhase
from bulrushflow.sidecar.model import RolloutStatus
from bulrushflow.sidecar.model import Slots
from bulrushflow.sidecar.model import TargetEntry
from bulrushflow.sidecar.model import TargetState
from bulrushflow.sidecar.records.storage import KeyedRecord

ROLLOUT_KEY_PREFIX = "rollout/"
"""Prefix of the keys of orders, and of statuses in their own topic."""
EVACUATION_KEY_PREFIX = "evacuate/"
"""Prefix of the keys of orders to evacuate a data centre."""
STATE_BY_PHASE = {
    RolloutPhase.RUNNING: "running",
    RolloutPhase.COMPLETED: "completed",
    RolloutPhase.ROLLED_BACK: "rolled_back",
}
TARGET_STATE_BY_NAME = {"ready": TargetState.READY, "draining": TargetState.DRAINING}


class _Rollout(msgspec.Struct):
    service: str
    targetVersion: str  # noqa: N815
    duration: str


class _Status(msgspec.Struct):
    move: RolloutStatus


class _Announcement(msgspec.Struct):
    service: str
    address: str
    zone: str
    version: str  # version of the service that the target runs
    slots: Slots
    state: str
    seq: Count
    born: EpochMs  # start of the target, in epoch milliseconds
    coldRemaining: str | None = None  # noqa: N815  time until the target is warm


def decode_rollout_order(record: KeyedRecord) -> Result[RolloutOrder, str]:
    """Decode the operator's order to roll out a version of a service.

    The offset of the record becomes the order's id.
    """
    key = record.key
    match decode_document(record.value, _Rollout):
        case Err(reason):
            return Err(f"{key}: {reason}")
        case Ok(document):
            pass
    try:
        duration_s = parse_duration(document.duration)
    except ValueError as exc:
        return Err(f"{key}: {exc}")
    if key != ROLLOUT_KEY_PREFIX + document.service:
        return Err(f"{key}: names service {document.service}")
    return Ok(
        RolloutOrder(
            document.service, document.targetVersion, duration_s, record.offset, record.era
        )
    )


def encode_status(status: RolloutStatus) -> bytes:
    """Encode a rollout status: the operators' fields, and the whole status under ``move``."""
    return msgspec.json.encode(
        {
            "service": status.service,
            "targetVersion": status.to_version,
            "state": STATE_BY_PHASE[status.phase],
            "move": status,
        }
    )


def decode_status(data: bytes) -> Result[RolloutStatus, str]:
    """Decode the whole status, under ``move``, of an encoded rollout status."""
    match decode_document(data, _Status):
        case Err(reason):
            return Err(f"status: {reason}")
        case Ok(document):
            return Ok(document.move)


def decode_announcement(target_id: str, data: bytes) -> Result[tuple[TargetEntry, str], str]:
    """Decode a target's announcement into its entry and its address."""
    match decode_document(data, _Announcement):
        case Err(reason):
            return Err(f"announcement: {reason}")
        case Ok(announcement):
            pass
    try:
        cold_s = parse_duration(announcement.coldRemaining or "0ms")
    except ValueError as exc:
        return Err(f"announcement: {exc}")
    state = TARGET_STATE_BY_NAME.get(announcement.state)
    if state is None:
        return Err(f"announcement: unknown state {announcement.state!r}")
    if not target_id or not announcement.service or not announcement.address:
        return Err("announcement: id, service and address must not be empty")
    warm_at_ms = int(time.time() * 1000 + cold_s * 1000) if cold_s else 0
    entry = TargetEntry(
        target_id=target_id,
        incarnation=announcement.born,
        sequence=announcement.seq,
        service=announcement.service,
        version=announcement.version,
        slots=announcement.slots,
        state=state,
        warm_at_ms=warm_at_ms,
        warmth_stated=announcement.coldRemaining is not None,
    )
    return Ok((entry, announcement.address))
