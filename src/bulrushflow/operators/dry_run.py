"""Dry runs: the verdict on a record and the changes it would make, without publishing it."""

import typing as t

import msgspec

from bulrushflow.configuration import Configuration
from bulrushflow.configuration import LogRecord
from bulrushflow.configuration import Record
from bulrushflow.configuration import Verdict
from bulrushflow.configuration import encode_record
from bulrushflow.configuration import fold

_OMITTED_FIELDS = frozenset({"name", "path", "offset"})


class DryRun(msgspec.Struct, frozen=True):
    """The verdict on a record, and one line per service and route that it would change."""

    verdict: Verdict
    differences: list[str]


def dry_run(configuration: Configuration, record: Record, now_ms: int) -> DryRun:
    """Fold a record onto a configuration by the same rules as nodes do."""
    if record.made_at is None:
        record = msgspec.structs.replace(record, made_at=configuration.offset)
    log_record = LogRecord(configuration.offset + 1, now_ms, encode_record(record))
    after = fold(configuration, log_record)
    verdict = after.verdicts_by_publish_id.get(record.publish_id)
    if verdict is None:
        reason = "it needs a later release of this program"
        verdict = Verdict(record.publish_id, log_record.offset, "", False, reason)
    return DryRun(verdict, differences(configuration, after))


def differences(before: Configuration, after: Configuration) -> list[str]:
    """Return the differences in services and routes, one line per key."""
    services = _differences("service", before.services_by_name, after.services_by_name)
    return services + _differences("route", before.routes_by_path, after.routes_by_path)


def _differences(
    kind: str, before: t.Mapping[str, msgspec.Struct], after: t.Mapping[str, msgspec.Struct]
) -> list[str]:
    lines = []
    for key in sorted({*before, *after}):
        old = _text(before.get(key))
        new = _text(after.get(key))
        if old == new:
            continue
        if not new:
            lines.append(f"- {kind} {key}: {old}")
        elif not old:
            lines.append(f"+ {kind} {key}: {new}")
        else:
            lines.append(f"~ {kind} {key}: {old} -> {new}")
    return lines


def _text(value: msgspec.Struct | None) -> str:
    if value is None:
        return ""
    fields = msgspec.structs.asdict(value)
    return " ".join(f"{name}={fields[name]}" for name in fields if name not in _OMITTED_FIELDS)
