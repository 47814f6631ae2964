"""Parsing of operators' configuration documents, deadlines and times."""

import datetime
import pathlib
import re
import typing as t

import json5
import msgspec
from result import Err
from result import Ok
from result import Result

from bulrushflow.configuration import Configuration
from bulrushflow.configuration import Configure
from bulrushflow.configuration import ConfigureV2
from bulrushflow.configuration import Route
from bulrushflow.configuration import decode_record

DOCUMENT_SCHEMA = 1
METHOD_IDEMPOTENCY_SCHEMA = 2
"""From this schema on, routes have ``timeout_s`` and ``idempotent_methods``."""
ALL_METHODS = "*"

_DURATION = re.compile(r"^(\d+(?:\.\d+)?)([smhd])$")
_SECONDS_BY_UNIT = {"s": 1, "m": 60, "h": 3600, "d": 86_400}


def load_document(
    path: pathlib.Path, publish_id: str, operator: str
) -> Result[Configure | ConfigureV2, list[str]]:
    """Read a document with the keys ``services``, ``routes`` and, optionally, ``base``.

    The key ``schema`` is the schema of the document, 1 by default. Errors say which key is wrong.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        return Err([f"cannot be read: {exc}"])
    try:
        raw = json5.loads(text, allow_duplicate_keys=False)
    except ValueError as exc:
        return Err([f"not JSON with comments: {exc}"])
    if not isinstance(raw, dict):
        return Err(["$: expected an object"])
    header = {
        "kind": "configure",
        "publish_id": publish_id,
        "operator": operator,
        "schema": raw.get("schema", DOCUMENT_SCHEMA),
    }
    match decode_record(msgspec.json.encode({**raw, **header})):
        case Ok(Configure() | ConfigureV2() as record):
            return Ok(record)
        case Ok(other):
            return Err([f"$: {type(other).__name__} is not a configuration document"])
        case Err(reason):
            return Err([reason])


def parse_deadline(text: str, now_ms: int) -> Result[int, str]:
    """Return epoch milliseconds for ``+30s``, ``+10m``, ``+2h`` or an ISO 8601 time."""
    if text.startswith("+"):
        duration_ms = _duration_ms(text[1:])
        if duration_ms is not None:
            return Ok(now_ms + duration_ms)
    return _parse_time(text, "+30s, +10m, +2h")


def parse_since(text: str, now_ms: int) -> Result[int, str]:
    """Return epoch milliseconds for ``30s``, ``10m``, ``2h`` or ``7d`` ago or an ISO 8601 time."""
    duration_ms = _duration_ms(text)
    return (
        _parse_time(text, "30s, 10m, 2h, 7d") if duration_ms is None else Ok(now_ms - duration_ms)
    )


def _duration_ms(text: str) -> int | None:
    duration = _DURATION.match(text)
    if duration is None:
        return None
    return int(float(duration[1]) * _SECONDS_BY_UNIT[duration[2]] * 1000)


def _parse_time(text: str, durations: str) -> Result[int, str]:
    try:
        moment = datetime.datetime.fromisoformat(text)
    except ValueError:
        return Err(f"{text!r} is neither {durations} nor an ISO 8601 time")
    if moment.tzinfo is None:
        return Err(f"{text!r} has no time zone")
    return Ok(int(moment.timestamp() * 1000))


def to_document(configuration: Configuration) -> dict[str, t.Any]:
    """Return a document of what is in force, with the present offsets as its ``base``.

    Publishing it after somebody else's change is rejected.
    """
    services = configuration.services_by_name
    routes = configuration.routes_by_path
    base = {f"service/{name}": service.offset for name, service in services.items()}
    base.update({f"route/{path}": route.offset for path, route in routes.items()})
    by_method = configuration.schema_level >= METHOD_IDEMPOTENCY_SCHEMA
    fields = _route_fields_by_method if by_method else _route_fields
    return {
        "schema": METHOD_IDEMPOTENCY_SCHEMA if by_method else DOCUMENT_SCHEMA,
        "services": {name: {"version": service.version} for name, service in services.items()},
        "routes": {path: fields(route) for path, route in routes.items()},
        "base": base,
    }


def _route_fields(route: Route) -> dict[str, t.Any]:
    return {
        "service": route.service,
        "timeout_ms": route.timeout_ms,
        "idempotent": route.idempotent,
    }


def _route_fields_by_method(route: Route) -> dict[str, t.Any]:
    methods = [ALL_METHODS] if route.idempotent else list(route.idempotent_methods)
    return {
        "service": route.service,
        "timeout_s": route.timeout_ms / 1000,
        "idempotent_methods": methods,
    }
