"""The pure fold from the log's records to the configuration.

Each record is checked in two stages. Its header alone decides whether every release rejects it or
whether this release must stop before it; only then is its body decoded. Reasons for rejection
are stored and hashed with the configuration, so their texts must not change.
"""

import typing as t

import msgspec
from result import Err
from result import Ok
from result import Result

from bulrushflow.configuration import rollout_rules
from bulrushflow.configuration import rules
from bulrushflow.configuration.model import Configuration
from bulrushflow.configuration.model import SnapshotMark
from bulrushflow.configuration.model import Verdict
from bulrushflow.configuration.records import EnableSchema
from bulrushflow.configuration.records import FinishRollout
from bulrushflow.configuration.records import RecordHeader
from bulrushflow.configuration.records import RecordRolloutStep
from bulrushflow.configuration.records import Snapshot
from bulrushflow.configuration.records import StartRollout
from bulrushflow.configuration.records import WithdrawRollout
from bulrushflow.configuration.records import record_digest
from bulrushflow.configuration.schemas import MADE_AT_SCHEMA
from bulrushflow.configuration.schemas import SUPPORTED_SCHEMA
from bulrushflow.configuration.schemas import ConfigureV2
from bulrushflow.configuration.schemas import CurrentRecord
from bulrushflow.configuration.schemas import decode_body
from bulrushflow.configuration.schemas import decode_header
from bulrushflow.configuration.schemas import upgrade
from bulrushflow.configuration.snapshots import open_snapshot
from bulrushflow.exceptions import InvariantError

MAX_VERDICTS = 4096
"""Verdicts kept, which bounds how many records back a repeated publish id is recognised."""

OPERATOR_KINDS = frozenset({"configure", "enable_schema", "start_move", "withdraw_move"})


class LogRecord(msgspec.Struct, frozen=True):
    """A record on the platform's log, with its offset and time of appending."""

    offset: int
    appended_at_ms: int
    body: bytes


class FoldResult(msgspec.Struct, frozen=True):
    """The result of folding a run of records.

    When ``unsupported`` is not empty, it is the reason why the record after
    ``configuration.offset`` needs a later release of this program.
    """

    configuration: Configuration
    unsupported: str = ""


def fold(
    configuration: Configuration, log_record: LogRecord, supported: int = SUPPORTED_SCHEMA
) -> Configuration:
    """Apply one record; a rejected record changes only the verdicts and the offset.

    A record that this release does not support leaves the configuration as it is.

    :raises InvariantError: when the record is not the next one.
    """
    return fold_records(configuration, [log_record], supported).configuration


def fold_records(
    configuration: Configuration,
    log_records: t.Iterable[LogRecord],
    supported: int = SUPPORTED_SCHEMA,
) -> FoldResult:
    """Apply records in order, up to the first one that this release does not support.

    :param supported: highest record schema that is understood.
    :raises InvariantError: when a record is not the next one.
    """
    # One copy is changed in place for the whole run; nothing else sees it before the run ends.
    verdicts = dict(configuration.verdicts_by_publish_id)
    state = msgspec.structs.replace(configuration, verdicts_by_publish_id=verdicts)
    for log_record in log_records:
        if log_record.offset != state.offset + 1:
            raise InvariantError(
                f"record {log_record.offset} does not follow version {state.offset}"
            )
        match _fold_record(state, log_record, supported):
            case Ok(next_state):
                state = next_state
            case Err(reason):
                return FoldResult(state, f"record {log_record.offset}: {reason}")
    return FoldResult(state)


def _fold_record(
    configuration: Configuration, log_record: LogRecord, supported: int
) -> Result[Configuration, str]:
    """Return the next state, or the reason why this release must stop."""
    if log_record.offset == 0:
        first = SnapshotMark(appended_at_ms=log_record.appended_at_ms)
        configuration = msgspec.structs.replace(configuration, newest_snapshot=first)
    match decode_header(log_record.body):
        case Err(reason):
            return Ok(_malformed(configuration, log_record, reason))
        case Ok(header):
            pass
    if header.publish_id in configuration.verdicts_by_publish_id:
        # A retry after a lost response: the first record stands.
        return Ok(msgspec.structs.replace(configuration, offset=log_record.offset))
    if header.schema > configuration.schema_level:
        reason = f"unknown schema {header.schema}: level {configuration.schema_level} is enabled"
        return Ok(_rejected(configuration, log_record, header, reason))
    if header.schema > supported:
        return Err(f"schema {header.schema} is above the supported schema {supported}")
    error = _made_at_error(log_record, header)
    if error:
        return Ok(_rejected(configuration, log_record, header, error))
    match decode_body(header, log_record.body):
        case Err(reason):
            return Ok(_rejected(configuration, log_record, header, reason))
        case Ok(record):
            pass
    if (
        isinstance(record, EnableSchema)
        and supported < record.level == configuration.schema_level + 1
    ):
        # All releases reject a level that is not the next; only the next one stops this release.
        return Err(f"level {record.level} is above the supported schema {supported}")
    digest = "" if isinstance(record, Snapshot) else record_digest(record)
    match _apply(configuration, log_record, upgrade(record), supported):
        case Err(reason):
            return Ok(_rejected(configuration, log_record, header, reason, digest))
        case Ok(changed):
            pass
    if isinstance(record, Snapshot):
        return Ok(changed)
    verdict = Verdict(
        header.publish_id, log_record.offset, header.operator, True, record_digest=digest
    )
    return Ok(_with_verdict(changed, verdict))


def _made_at_error(log_record: LogRecord, header: RecordHeader) -> str | None:
    if header.made_at is None:
        if header.schema >= MADE_AT_SCHEMA and header.kind in OPERATOR_KINDS:
            return f"made_at is missing; schema {header.schema} requires it"
        return None
    if not -1 <= header.made_at < log_record.offset:
        return f"made_at {header.made_at} is not before the record's own offset"
    if log_record.offset - header.made_at > MAX_VERDICTS:
        return (
            f"made at version {header.made_at}, more than {MAX_VERDICTS} records ago; an earlier "
            "copy may have taken effect, which is no longer known: compare with what is in force"
        )
    return None


def _malformed(configuration: Configuration, log_record: LogRecord, reason: str) -> Configuration:
    verdict = Verdict(f"offset-{log_record.offset}", log_record.offset, "", False, reason)
    return _with_verdict(configuration, verdict)


def _rejected(
    configuration: Configuration,
    log_record: LogRecord,
    header: RecordHeader,
    reason: str,
    digest: str = "",
) -> Configuration:
    verdict = Verdict(header.publish_id, log_record.offset, header.operator, False, reason, digest)
    return _with_verdict(configuration, verdict)


def _with_verdict(configuration: Configuration, verdict: Verdict) -> Configuration:
    verdicts = configuration.verdicts_by_publish_id
    # Removed first, so that the dictionary stays in offset order.
    verdicts.pop(verdict.publish_id, None)
    verdicts[verdict.publish_id] = verdict
    if len(verdicts) > MAX_VERDICTS:
        del verdicts[next(iter(verdicts))]
    return msgspec.structs.replace(configuration, offset=verdict.offset)


def _apply(
    configuration: Configuration, log_record: LogRecord, record: CurrentRecord, supported: int
) -> Result[Configuration, str]:
    offset = log_record.offset
    at_ms = log_record.appended_at_ms
    if isinstance(record, ConfigureV2):
        return rules.configure(configuration, offset, record)
    if isinstance(record, EnableSchema):
        return rules.enable_schema(configuration, record)
    if isinstance(record, StartRollout):
        return rollout_rules.start(configuration, offset, at_ms, record)
    if isinstance(record, WithdrawRollout):
        return rollout_rules.withdraw(configuration, offset, at_ms, record)
    if isinstance(record, RecordRolloutStep):
        return rollout_rules.step(configuration, offset, at_ms, record)
    if isinstance(record, FinishRollout):
        return rollout_rules.finish(configuration, offset, at_ms, record)
    return _mark_snapshot(configuration, log_record, record, supported)


def _mark_snapshot(
    configuration: Configuration, log_record: LogRecord, record: Snapshot, supported: int
) -> Result[Configuration, str]:
    if record.state_offset >= log_record.offset:
        return Err(f"snapshot of version {record.state_offset}, which is not before its record")
    match open_snapshot(record, supported):
        case Err(reason):
            return Err(reason)
        case Ok(_):
            pass
    mark = configuration.newest_snapshot
    if record.state_offset >= mark.state_offset:
        mark = SnapshotMark(
            record.state_offset, log_record.offset, log_record.appended_at_ms, record.digest
        )
    return Ok(
        msgspec.structs.replace(configuration, offset=log_record.offset, newest_snapshot=mark)
    )
