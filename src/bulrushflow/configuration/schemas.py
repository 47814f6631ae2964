"""Record types of each schema, and the upgrade of older types to the current ones.

A published schema never changes, neither in its types nor in how the fold treats them; any change
needs a new schema. Records of a schema take effect once an ``enable_schema`` record has raised
the level to it.
"""

import typing as t

import msgspec
from result import Err
from result import Ok
from result import Result

from bulrushflow.configuration.records import BaseRecord
from bulrushflow.configuration.records import Configure
from bulrushflow.configuration.records import EnableSchema
from bulrushflow.configuration.records import FinishRollout
from bulrushflow.configuration.records import Identifier
from bulrushflow.configuration.records import Path
from bulrushflow.configuration.records import RecordHeader
from bulrushflow.configuration.records import RecordRolloutStep
from bulrushflow.configuration.records import RouteBody
from bulrushflow.configuration.records import ServiceBody
from bulrushflow.configuration.records import Snapshot
from bulrushflow.configuration.records import StartRollout
from bulrushflow.configuration.records import WithdrawRollout

SUPPORTED_SCHEMA = 2
"""The highest record schema that this program reads and writes."""

MADE_AT_SCHEMA = 2
"""From this schema on, operators' records must set ``made_at``."""

ALL_METHODS = "*"
"""Entry of ``idempotent_methods`` that stands for every method."""

Method = t.Annotated[str, msgspec.Meta(pattern=r"^([A-Z]+|\*)$", max_length=32)]


class RouteBodyV2(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A route in a record of schema 2: timeout in seconds, and idempotency by method."""

    service: Identifier
    timeout_s: t.Annotated[float, msgspec.Meta(ge=0.001, le=600.0)] = 2.0
    idempotent_methods: tuple[Method, ...] = ()


class ConfigureV2(BaseRecord, frozen=True, tag="configure"):
    """Put or delete services and routes as :class:`Configure` does, in schema 2."""

    operator: Identifier
    services: dict[Identifier, ServiceBody | None] = msgspec.field(default_factory=dict)
    routes: dict[Path, RouteBodyV2 | None] = msgspec.field(default_factory=dict)
    base: dict[str, int] = msgspec.field(default_factory=dict)


RecordV1 = (
    Configure
    | EnableSchema
    | StartRollout
    | WithdrawRollout
    | RecordRolloutStep
    | FinishRollout
    | Snapshot
)
RecordV2 = (
    ConfigureV2
    | EnableSchema
    | StartRollout
    | WithdrawRollout
    | RecordRolloutStep
    | FinishRollout
    | Snapshot
)
Record = RecordV1 | ConfigureV2
"""A record in the schema that it was written in."""
CurrentRecord = RecordV2
"""A record in the schema that the fold works on."""

_header_decoder = msgspec.json.Decoder(RecordHeader)
_decoders_by_schema: dict[int, msgspec.json.Decoder[t.Any]] = {
    1: msgspec.json.Decoder(RecordV1),
    2: msgspec.json.Decoder(RecordV2),
}


def decode_header(body: bytes) -> Result[RecordHeader, str]:
    """Decode the part of a record that every schema shares."""
    try:
        return Ok(_header_decoder.decode(body))
    except msgspec.DecodeError as exc:
        return Err(f"malformed header: {exc}")
    except RecursionError:
        return Err("malformed header: nested too deeply")


def decode_body(header: RecordHeader, body: bytes) -> Result[Record, str]:
    """Decode a record by its schema, which must be a supported one."""
    try:
        return Ok(_decoders_by_schema[header.schema].decode(body))
    except msgspec.DecodeError as exc:
        return Err(str(exc))
    except RecursionError:
        return Err("nested too deeply")


def decode_record(body: bytes) -> Result[Record, str]:
    """Decode a record; the error says what is wrong and where."""
    match decode_header(body):
        case Err(reason):
            return Err(reason)
        case Ok(header):
            pass
    if header.schema > SUPPORTED_SCHEMA:
        return Err(f"schema {header.schema} is above the supported schema {SUPPORTED_SCHEMA}")
    return decode_body(header, body)


def upgrade(record: Record) -> CurrentRecord:
    """Return a record converted to the current schema's types."""
    if not isinstance(record, Configure):
        return record
    routes = {
        path: None if route is None else _upgrade_route(route)
        for path, route in record.routes.items()
    }
    return ConfigureV2(
        record.schema,
        record.publish_id,
        record.operator,
        record.services,
        routes,
        record.base,
        made_at=record.made_at,
    )


def _upgrade_route(route: RouteBody) -> RouteBodyV2:
    methods = (ALL_METHODS,) if route.idempotent else ()
    return RouteBodyV2(route.service, route.timeout_ms / 1000, methods)
