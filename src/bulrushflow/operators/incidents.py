"""Incident reports: the log's events in a period, and decisions that are not on the log yet."""

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
    """What operators published, what the system decided on which evidence, and what is pending."""

    asked_at_ms: int
    since_ms: int
    first_offset: int
    """The first offset that could be read; earlier records are not in this report."""
    version: int
    digest: str
    events: list[Event]
    unrecorded: list[str]
    """Decisions that a node has made or received and that are not on the log yet, as text."""
    convergence: Convergence | None
    notes: list[str]
    """Limitations of this report, such as a log that could not be read."""


async def build_incident_report(
    client: OperatorClient, since_ms: int, now_ms: int
) -> Result[IncidentReport, str]:
    """Build a report of the events since a time, in epoch milliseconds.

    Records are read from the log, or from a node while the log can't be read; unrecorded
    decisions come from the nodes that the client was given.
    """
    result = await read_records(client)
    match result:
        case Err(reason):
            return Err(reason)
        case Ok(loaded):
            pass
    history = History(loaded.start)
    for record in loaded.records:
        history.add(record)
    notes = list(loaded.notes)
    unrecorded = await _unrecorded(client, notes)
    version = history.configuration.offset
    convergence = await client.get(f"/convergence?offset={version}", Convergence)
    if convergence.is_err():
        notes.append(f"convergence is not known: {convergence.unwrap_err()}")
    return Ok(
        IncidentReport(
            now_ms,
            since_ms,
            loaded.first_offset,
            version,
            digest(history.configuration),
            [e for e in history.events() if e.at_ms >= since_ms],
            unrecorded,
            convergence.unwrap_or(None),
            notes,
        )
    )


def format_incident(report: IncidentReport) -> str:
    """Return the report as text, one paragraph per event."""
    lines = [f"account since {format_time(report.since_ms)}, version {report.version}"]
    lines += [f"note: {note}" for note in report.notes]
    for event in report.events:
        lines += format_event(event)
    lines += [f"not yet on the log: {decision}" for decision in report.unrecorded]
    if report.convergence is not None:
        lines.append(format_convergence(report.convergence))
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
    """Return the decisions that are not on the log yet; each node reports only its own.

    A node that can't be asked adds a note.
    """
    lines: list[str] = []
    for result in await client.get_from_each_node("/unrecorded", UnrecordedDecisions):
        match result:
            case Err(reason):
                notes.append(f"the unrecorded decisions of a node are not known: {reason}")
            case Ok(report):
                lines += _unrecorded_lines(report)
    return list(dict.fromkeys(lines))


def _unrecorded_lines(report: UnrecordedDecisions) -> list[str]:
    lines = [
        f"move {m.move.move_id} taken back by {m.decided_by}: {m.taken_back_reason}"
        for m in report.taken_back
    ]
    for raw in report.records:
        match decode_record(bytes(raw)):
            case Ok(record):
                lines.append(f"{record.publish_id} of node {report.node_id}: {summarize(record)}")
            case Err(reason):
                lines.append(f"a record of node {report.node_id} that can't be decoded: {reason}")
    return lines
