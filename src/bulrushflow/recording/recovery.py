"""Recovery from the newest usable snapshot on the log.

It is used by nodes whose next record was trimmed, or which are far behind the log's end.
"""

import asyncio

import msgspec
from loguru import logger
from result import Err
from result import Ok
from result import Result

from bulrushflow.configuration import SUPPORTED_SCHEMA
from bulrushflow.configuration import Configuration
from bulrushflow.configuration import LogRecord
from bulrushflow.configuration import Snapshot
from bulrushflow.configuration import decode_header
from bulrushflow.configuration import decode_record
from bulrushflow.configuration import open_snapshot
from bulrushflow.recording.log import CONFIGURATION_STREAM
from bulrushflow.recording.log import Log
from bulrushflow.recording.log import LogError
from bulrushflow.recording.log import LogErrorKind
from bulrushflow.recording.log import LogPage

SPAN_FACTOR = 4
"""Growth of the searched span each time it contains no usable snapshot."""
MAX_ATTEMPTS = 3
"""Reads that may fail in a row before the search fails. It keeps the pages read so far, since a
search that begins anew after each error may never end on a log that fails now and then."""
RETRY_WAIT_S = 0.2
"""Wait before a failed read is repeated."""

_REPEATABLE_KINDS = {LogErrorKind.UNAVAILABLE, LogErrorKind.LIMITED}


class Recovery(msgspec.Struct, frozen=True):
    """The configuration of a snapshot, and the records that follow it on the log."""

    configuration: Configuration
    records: tuple[LogRecord, ...]


async def recover_from_snapshot(
    log: Log, current_offset: int, first_offset: int, span: int
) -> Result[Recovery, str]:
    """Return the newest usable snapshot above ``current_offset`` with the records that follow it.

    :param current_offset: the caller's configuration version; older snapshots are of no use to it.
    :param first_offset: oldest offset that the log keeps.
    :param span: number of the newest records that are searched first.
    """
    match await log.tail(CONFIGURATION_STREAM, 1):
        case Err(error):
            return Err(error.message)
        case Ok(page):
            end = page.next_offset
    while True:
        start = max(first_offset, end - span)
        match await _read_all(log, start, end):
            case Err(error):
                return Err(error.message)
            case Ok(records):
                pass
        configuration = _newest_usable(records, start, current_offset)
        if configuration is not None:
            rest = tuple(r for r in records if r.offset > configuration.offset)
            return Ok(Recovery(configuration, rest))
        if start == first_offset:
            return Err(
                f"the log keeps offsets {first_offset} to {end - 1} and no usable snapshot "
                f"above version {current_offset}"
            )
        span *= SPAN_FACTOR


async def _read_all(log: Log, start: int, end: int) -> Result[list[LogRecord], LogError]:
    records: list[LogRecord] = []
    while start < end:
        match await _read_page(log, start):
            case Err(error):
                return Err(error)
            case Ok(page):
                pass
        if not page.records:
            break
        records.extend(page.records)
        start = page.records[-1].offset + 1
    return Ok(records)


async def _read_page(log: Log, start: int) -> Result[LogPage, LogError]:
    failures = 0
    while True:
        match await log.read(CONFIGURATION_STREAM, start):
            case Err(error):
                pass
            case Ok(page):
                return Ok(page)
        failures += 1
        if failures >= MAX_ATTEMPTS or error.kind not in _REPEATABLE_KINDS:
            return Err(error)
        logger.debug("reading offset {} failed {} times: {}", start, failures, error.message)
        await asyncio.sleep(RETRY_WAIT_S)


def _newest_usable(
    records: list[LogRecord], start: int, current_offset: int
) -> Configuration | None:
    for record in reversed(records):
        snapshot = _as_snapshot(record)
        if snapshot is None or snapshot.state_offset <= current_offset:
            continue
        if snapshot.state_offset + 1 < start or snapshot.state_offset >= record.offset:
            continue
        match open_snapshot(snapshot):
            case Ok(configuration):
                return configuration
            case Err(reason):
                logger.error("record {} passed over: {}", record.offset, reason)
    return None


def _as_snapshot(record: LogRecord) -> Snapshot | None:
    match decode_header(record.body):
        case Ok(header) if header.kind == "snapshot":
            pass
        case _:
            return None
    if header.schema > SUPPORTED_SCHEMA:
        logger.error(
            "snapshot at offset {} skipped: schema {}, supported are schemas up to {}",
            record.offset,
            header.schema,
            SUPPORTED_SCHEMA,
        )
        return None
    match decode_record(record.body):
        case Ok(Snapshot() as snapshot):
            return snapshot
        case Err(reason):
            logger.error("record {} passed over: {}", record.offset, reason)
    return None
