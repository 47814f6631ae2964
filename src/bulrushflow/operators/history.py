"""The history of the configuration, from the log's records: events, their authors and outcomes.

Pure code: it does no input or output.
"""

import typing as t

import msgspec
from result import Err
from result import Ok

from bulrushflow.configuration import Configuration
from bulrushflow.configuration import Configure
from bulrushflow.configuration import ConfigureV2
from bulrushflow.configuration import EnableSchema
from bulrushflow.configuration import FinishRollout
from bulrushflow.configuration import LogRecord
from bulrushflow.configuration import Record
from bulrushflow.configuration import RecordRolloutStep
from bulrushflow.configuration import StartRollout
from bulrushflow.configuration import Verdict
from bulrushflow.configuration import WithdrawRollout
from bulrushflow.configuration import decode_header
from bulrushflow.configuration import decode_record
from bulrushflow.configuration import fold_records
from bulrushflow.operators.times import format_time

NOT_JUDGED = "not judged: the state before it is not known"


class Event(msgspec.Struct, frozen=True):
    """One record of the log, as shown to operators."""

    offset: int
    at_ms: int
    kind: str
    by: str
    """``operator NAME``, ``node ID``, or empty when the record has neither."""
    publish_id: str
    summary: str
    verdict: str
    """``accepted``, ``rejected``, ``repeat``, ``unchanged`` or ``not judged``, with the reason."""
    evidence: str = ""
    became: str = ""
    """The record's outcome so far: whether it is in force or replaced, or how its move ended."""


class History:
    """Folds records in the log's order, and collects an event for each.

    :param start: state before the first record that can be folded; the events of records up to
        its offset have the verdicts that this state contains.
    """

    def __init__(self, start: Configuration) -> None:
        self.configuration = start
        self.next_offset = start.offset + 1
        """Offset of the record that follows those added."""
        self._start_offset = start.offset
        self._unsupported = ""
        self._events: list[Event] = []
        self._verdicts_by_publish_id = dict(start.verdicts_by_publish_id)
        self._keys_by_offset: dict[int, set[str]] = {}
        self._latest_offset_by_key: dict[str, int] = {}
        self._service_by_rollout_id: dict[str, str] = {
            rollout.move_id: rollout.service for rollout in start.moves_by_id.values()
        }
        self._outcome_by_rollout_id: dict[str, str] = {}

    def add(self, log_record: LogRecord) -> Event:
        """Add the next record and return its event, without the outcome.

        :raises InvariantError: when a record is missing.
        """
        self.next_offset = log_record.offset + 1
        if log_record.offset > self.configuration.offset and not self._unsupported:
            folded = fold_records(self.configuration, [log_record])
            self.configuration = folded.configuration
            self._unsupported = folded.unsupported
        match decode_record(log_record.body):
            case Err(reason):
                event = self._unreadable_event(log_record, reason)
            case Ok(record):
                event = self._event(log_record, record)
        self._events.append(event)
        return event

    def events(self) -> list[Event]:
        """Return all events, each with its outcome so far."""
        return [msgspec.structs.replace(e, became=self._outcome(e)) for e in self._events]

    def _event(self, log_record: LogRecord, record: Record) -> Event:
        verdict = self._verdict(log_record.offset, record.publish_id)
        if verdict == "accepted":
            self._record_effect(log_record.offset, record)
        return Event(
            log_record.offset,
            log_record.appended_at_ms,
            _kind(record),
            _author(record),
            record.publish_id,
            summarize(record),
            verdict,
            getattr(record, "evidence", ""),
        )

    def _unreadable_event(self, log_record: LogRecord, reason: str) -> Event:
        """Return the event of a record of which at most the header can be decoded."""
        match decode_header(log_record.body):
            case Ok(header):
                kind, publish_id = header.kind, header.publish_id
                by = f"operator {header.operator}" if header.operator else ""
            case Err(_):
                kind, publish_id, by = "malformed", f"offset-{log_record.offset}", ""
        return Event(
            log_record.offset,
            log_record.appended_at_ms,
            kind,
            by,
            publish_id,
            f"{len(log_record.body)} bytes that can't be read: {reason}",
            self._verdict(log_record.offset, publish_id),
        )

    def _verdict(self, offset: int, publish_id: str) -> str:
        if self._unsupported and offset > self.configuration.offset:
            return f"not judged: {self._unsupported}"
        current = self.configuration.verdicts_by_publish_id.get(publish_id)
        if current is not None:
            self._verdicts_by_publish_id[publish_id] = current
        verdict: Verdict | None = self._verdicts_by_publish_id.get(publish_id)
        if verdict is None:
            return "unchanged" if offset > self._start_offset else NOT_JUDGED
        if verdict.offset != offset:
            return f"repeat of offset {verdict.offset}: no effect"
        return "accepted" if verdict.accepted else f"rejected: {verdict.reason}"

    def _record_effect(self, offset: int, record: Record) -> None:
        if isinstance(record, StartRollout):
            self._service_by_rollout_id[record.publish_id] = record.service
        if isinstance(record, FinishRollout | WithdrawRollout):
            outcome = summarize(record).removeprefix(f"move {record.move_id} ")
            self._outcome_by_rollout_id[record.move_id] = f"{outcome}, at offset {offset}"
        keys = _changed_keys(record, self._service_by_rollout_id)
        self._keys_by_offset[offset] = keys
        for key in keys:
            self._latest_offset_by_key[key] = offset

    def _outcome(self, event: Event) -> str:
        if event.kind == "start_move" and event.verdict == "accepted":
            return self._rollout_outcome(event.publish_id)
        keys = self._keys_by_offset.get(event.offset)
        if not keys:
            return ""
        replaced = {k: o for k in keys if (o := self._latest_offset_by_key[k]) != event.offset}
        if not replaced:
            return "in force"
        text = ", ".join(f"{key} by offset {offset}" for key, offset in sorted(replaced.items()))
        return f"replaced: {text}" if len(replaced) == len(keys) else f"replaced in part: {text}"

    def _rollout_outcome(self, move_id: str) -> str:
        if move_id in self._outcome_by_rollout_id:
            return self._outcome_by_rollout_id[move_id]
        rollout = self.configuration.moves_by_id.get(move_id)
        return str(rollout.status) if rollout else ""


def summarize(record: Record) -> str:
    """Return a record's content as one line of text."""
    if isinstance(record, EnableSchema):
        return f"enable schema level {record.level}"
    if isinstance(record, StartRollout):
        return (
            f"move {record.publish_id} of {record.service} to {record.to_version} "
            f"by {format_time(record.finish_by_ms)}"
        )
    if isinstance(record, WithdrawRollout):
        return f"move {record.move_id} withdrawn: {record.reason or 'no reason given'}"
    if isinstance(record, RecordRolloutStep):
        share = f"{record.share_permille / 10:g}%"
        return f"move {record.move_id} step to {share}: {record.rule}"
    if isinstance(record, FinishRollout):
        outcome = "taken back" if record.taken_back else "done"
        return f"move {record.move_id} {outcome}: {record.reason}"
    if isinstance(record, Configure | ConfigureV2):
        return _configure_summary(record)
    return f"snapshot of version {record.state_offset}"


def _configure_summary(record: Configure | ConfigureV2) -> str:
    parts = []
    for name, service in record.services.items():
        parts.append(f"service {name} " + ("removed" if service is None else service.version))
    for path, route in record.routes.items():
        parts.append(f"route {path} " + ("removed" if route is None else f"to {route.service}"))
    return ", ".join(parts) or "nothing"


def _kind(record: Record) -> str:
    return str(type(record).__struct_config__.tag)


def _author(record: Record) -> str:
    operator = getattr(record, "operator", "")
    if operator:
        return f"operator {operator}"
    node_id = getattr(record, "node_id", "")
    return f"node {node_id}" if node_id else ""


def _changed_keys(record: Record, service_by_rollout_id: t.Mapping[str, str]) -> set[str]:
    if isinstance(record, Configure | ConfigureV2):
        services = {f"service {name}" for name in record.services}
        return services | {f"route {path}" for path in record.routes}
    if isinstance(record, FinishRollout) and not record.taken_back:
        service = service_by_rollout_id.get(record.move_id)
        return {f"service {service}"} if service else set()
    return set()
