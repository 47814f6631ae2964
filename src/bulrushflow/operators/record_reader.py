"""Reads the configuration records from the log, or from a node while the log can't be read."""

import typing as t

import msgspec
from result import Err
from result import Ok
from result import Result

from bulrushflow.configuration import EMPTY_CONFIGURATION
from bulrushflow.configuration import Configuration
from bulrushflow.configuration import LogRecord
from bulrushflow.configuration import Snapshot
from bulrushflow.configuration import decode_record
from bulrushflow.configuration import open_snapshot
from bulrushflow.operators.client import OperatorClient
from bulrushflow.recording import CONFIGURATION_STREAM
from bulrushflow.recording import Log
from bulrushflow.recording import LogErrorKind


class LoadedRecords(msgspec.Struct, frozen=True):
    """Records in order, the state before the first one that can be folded, and limitations."""

    first_offset: int
    records: list[LogRecord]
    start: Configuration
    notes: list[str]


async def read_records(client: OperatorClient) -> Result[LoadedRecords, str]:
    """Return all records that the log retains, else those that a node retains."""
    match await _read_log(client.log):
        case Err(reason):
            return await _read_node(client, reason)
        case Ok((first_offset, records)):
            pass
    if first_offset == 0:
        return Ok(LoadedRecords(0, records, EMPTY_CONFIGURATION, []))
    note = f"the log keeps no records before offset {first_offset}"
    start = _oldest_snapshot(first_offset, records)
    if start is None:
        match await client.configuration():
            case Err(reason):
                return Err(f"{note}, it has no usable snapshot, and {reason}")
            case Ok(start):
                note += "; verdicts are those in a node's configuration"
        if start.offset + 1 < first_offset:
            return Err(f"{note}, and the node has only version {start.offset}")
    return Ok(LoadedRecords(first_offset, records, start, [note]))


async def _read_log(log: Log) -> Result[tuple[int, list[LogRecord]], str]:
    """Return the oldest offset that the log retains, and all records from it on.

    Starts over when the log was trimmed up to a later offset meanwhile.
    """
    first_offset = 0
    records: list[LogRecord] = []
    while True:
        match await log.read(CONFIGURATION_STREAM, first_offset + len(records)):
            case Err(error) if error.kind is LogErrorKind.TRIMMED:
                first_offset = error.first_offset
                records = []
                continue
            case Err(error):
                return Err(f"the log could not be read: {error.message}")
            case Ok(page):
                pass
        records += page.records
        if not page.records or first_offset + len(records) >= page.next_offset:
            return Ok((first_offset, records))


def _oldest_snapshot(first_offset: int, records: t.Iterable[LogRecord]) -> Configuration | None:
    """Return the first usable snapshot whose next record is retained.

    The first one lets the most records be folded.
    """
    for log_record in records:
        match decode_record(log_record.body):
            case Ok(Snapshot() as snapshot) if snapshot.state_offset + 1 >= first_offset:
                pass
            case _:
                continue
        match open_snapshot(snapshot):
            case Ok(configuration):
                return configuration
            case Err(_):
                pass
    return None


async def _read_node(client: OperatorClient, reason: str) -> Result[LoadedRecords, str]:
    """Return a node's records; only its configuration when it does not retain all records."""
    note = f"{reason}; read from a node instead"
    match await _read_retained(client):
        case Ok(records):
            return Ok(LoadedRecords(0, records, EMPTY_CONFIGURATION, [note]))
        case Err(_):
            pass
    configuration = await client.configuration()
    return configuration.map_err(lambda error: f"{reason}; {error}").map(
        lambda start: LoadedRecords(
            start.offset + 1, [], start, [f"{note}, which no longer has the first records"]
        )
    )


async def _read_retained(client: OperatorClient) -> Result[list[LogRecord], str]:
    records: list[LogRecord] = []
    while True:
        match await client.get(f"/records?from={len(records)}", list[LogRecord]):
            case Err(reason):
                return Err(reason)
            case Ok([]):
                return Ok(records)
            case Ok(page):
                records += page
