"""Records of the configuration stream in schema 1, and the header shared by all schemas."""

import typing as t

import msgspec
import xxhash

Identifier = t.Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Path = t.Annotated[str, msgspec.Meta(pattern=r"^/", max_length=512)]


class RecordHeader(msgspec.Struct, frozen=True):
    """The part that records of every schema share, decoded before the body.

    Its fields never change: releases must agree on which records they reject by header alone.
    """

    schema: t.Annotated[int, msgspec.Meta(ge=1)]
    publish_id: Identifier
    kind: Identifier
    operator: str = ""
    made_at: int | None = None


class _Identified(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="kind"):
    schema: int
    publish_id: Identifier


class BaseRecord(_Identified, frozen=True, kw_only=True):
    """Fields of every record.

    ``made_at`` is the version that the publisher saw when it made the record, -1 for none. It
    lets a duplicate be rejected even after the verdict on its publish id was dropped.
    """

    made_at: int | None = None


class ServiceBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service in a record of an operator."""

    version: Identifier


class RouteBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A route in a record of an operator."""

    service: Identifier
    timeout_ms: t.Annotated[int, msgspec.Meta(ge=1, le=600_000)] = 2000
    idempotent: bool = False


class Configure(BaseRecord, frozen=True, tag="configure"):
    """Put or delete services and routes, all or nothing; a null value deletes.

    ``base`` maps keys such as ``service/plots`` to the offset at which the operator last saw
    them; the record is rejected when one has changed since.
    """

    operator: Identifier
    services: dict[Identifier, ServiceBody | None] = {}
    routes: dict[Path, RouteBody | None] = {}
    base: dict[str, int] = {}


class EnableSchema(BaseRecord, frozen=True, tag="enable_schema"):
    """Allow records of schema ``level`` from here on."""

    operator: Identifier
    level: int


class StartRollout(BaseRecord, frozen=True, tag="start_move"):
    """Bring ``service`` to ``to_version`` by ``finish_by_ms`` (epoch milliseconds)."""

    operator: Identifier
    service: Identifier
    to_version: Identifier
    finish_by_ms: int


class WithdrawRollout(BaseRecord, frozen=True, tag="withdraw_move"):
    """End a rollout by an operator's order; the old version stays in force."""

    operator: Identifier
    move_id: Identifier
    reason: str = ""


class RecordRolloutStep(BaseRecord, frozen=True, tag="move_step"):
    """A step of a rollout, recorded by its driver."""

    move_id: Identifier
    share_permille: int
    rule: str
    evidence: str
    node_id: str


class FinishRollout(BaseRecord, frozen=True, tag="finish_move"):
    """The end of a rollout as decided by its driver: completed or rolled back."""

    move_id: Identifier
    taken_back: bool
    reason: str
    evidence: str
    node_id: str


class Snapshot(BaseRecord, frozen=True, tag="snapshot"):
    """The whole state at ``state_offset``; changes nothing for a node that has reached it.

    ``state`` is the encoded configuration, compressed; ``digest`` is the configuration's.
    """

    state_offset: int
    digest: str
    state: bytes


def encode_record(record: BaseRecord) -> bytes:
    """Encode a record for the log."""
    return msgspec.json.encode(record, order="deterministic")


def record_digest(record: BaseRecord) -> str:
    """Return a digest that distinguishes a duplicate from another record with the same publish id.

    ``made_at`` is left out, since a retry may have a later one.
    """
    return xxhash.xxh3_64_hexdigest(encode_record(msgspec.structs.replace(record, made_at=None)))
