"""The whole account of a time: the log's events, and what nodes know beyond the log."""

import msgspec
from result import Err
from result import Ok
from result import Result

from bulrushflow.configuration import decode_record
from bulrushflow.configuration import digest
from bulrushflow.operators.client import OperatorClient
from bulrushflow.operators.formatting import format_convergence
from bulrushflow.operators.history import Event
from bulrushflow.operators.history import History
from bulrushflow.operators.history import summarize
from bulrushflow.operators.record_reader import read_records
from bulrushflow.operators.reports import Convergence
from bulrushflow.operators.reports import UnrecordedDecisions
from bulrushflow.operators.times import format_time


class IncidentReport(msgspec.Struct, frozen=True):
    """Who stated what, what the system decided, on what evidence, and what is not on the log."""

    asked_at_ms: int
    since_ms: int
    first_offset: int
    """The first offset that could be read; earlier records are not in this account."""
    version: int
    digest: str
    events: list[Event]
    unrecorded: list[str]
    """Decisions that a node knows and the log does not have yet."""
    convergence: Convergence | None
    notes: list[str]
    """What limits this account, such as a log that could not be read."""


async def build_incident_report(
    client: OperatorClient, since_ms: int, now_ms: int
) -> Result[IncidentReport, str]:
    """Read the log, or a node where the log can't be read, and a node's own knowledge."""
    read = await read_records(client)
    match read:
        case Err(reason):
            return Err(reason)
        case Ok(found):
            pass
    history = History(found.start)
    for record in found.records:
        history.add(record)
    notes = list(found.notes)
    unrecorded = await _unrecorded(client, notes)
    version = history.configuration.offset
    convergence = await client.get(f"/convergence?offset={version}", Convergence)
    if convergence.is_err():
        notes.append(f"convergence is not known: {convergence.unwrap_err()}")
    return Ok(
        IncidentReport(
            now_ms,
            since_ms,
            found.first_offset,
            version,
            digest(history.configuration),
            [e for e in history.events() if e.at_ms >= since_ms],
            unrecorded,
            convergence.unwrap_or(None),
            notes,
        )
    )


def format_incident(account: IncidentReport) -> str:
    """Return the account as text, an event a paragraph."""
    lines = [f"account since {format_time(account.since_ms)}, version {account.version}"]
    lines += [f"note: {note}" for note in account.notes]
    for event in account.events:
        lines += format_event(event)
    lines += [f"not yet on the log: {told}" for told in account.unrecorded]
    if account.convergence is not None:
        lines.append(format_convergence(account.convergence))
    return "\n".join(lines)


def format_event(event: Event) -> list[str]:
    """Return the lines of one event."""
    by = f" by {event.by}" if event.by else ""
    lines = [
        f"{format_time(event.at_ms)} offset {event.offset} {event.kind}{by} [{event.publish_id}]",
        f"    {event.summary}",
        f"    {event.verdict}",
    ]
    if event.evidence:
        lines.append(f"    evidence: {event.evidence}")
    if event.became:
        lines.append(f"    became: {event.became}")
    return lines


async def _unrecorded(client: OperatorClient, notes: list[str]) -> list[str]:
    """Return what the named nodes know beyond the log; each tells only its own decisions."""
    told: list[str] = []
    for answer in await client.get_from_each_node("/unrecorded", UnrecordedDecisions):
        match answer:
            case Err(reason):
                notes.append(f"what a node has unrecorded is not known: {reason}")
            case Ok(account):
                told += _unrecorded_lines(account)
    return list(dict.fromkeys(told))


def _unrecorded_lines(account: UnrecordedDecisions) -> list[str]:
    lines = [
        f"move {m.move.move_id} taken back by {m.decided_by}: {m.taken_back_reason}"
        for m in account.taken_back
    ]
    for raw in account.records:
        match decode_record(bytes(raw)):
            case Ok(record):
                lines.append(f"{record.publish_id} of node {account.node_id}: {summarize(record)}")
            case Err(reason):
                lines.append(f"a record of node {account.node_id} that is not understood: {reason}")
    return lines
