"""Commands that only read: status, why, history, watch, get, diff."""

import asyncio
import sys
import time
import typing as t
from dataclasses import dataclass

import cappa
from result import Err
from result import Ok

from bulrushflow.operators import formatting
from bulrushflow.operators.client import OperatorClient
from bulrushflow.operators.client import new_publish_id
from bulrushflow.operators.documents import parse_since
from bulrushflow.operators.documents import to_document
from bulrushflow.operators.dry_run import dry_run
from bulrushflow.operators.history import Event
from bulrushflow.operators.history import History
from bulrushflow.operators.incidents import build_incident_report
from bulrushflow.operators.incidents import format_event
from bulrushflow.operators.incidents import format_incident
from bulrushflow.operators.options import DEFAULT_LOG
from bulrushflow.operators.options import DEFAULT_NODE
from bulrushflow.operators.options import EXIT_FAILED
from bulrushflow.operators.options import EXIT_USAGE
from bulrushflow.operators.options import JsonOutput
from bulrushflow.operators.options import LogUrl
from bulrushflow.operators.options import NodeUrl
from bulrushflow.operators.options import encode
from bulrushflow.operators.options import encode_line
from bulrushflow.operators.options import error_exit
from bulrushflow.operators.options import expect
from bulrushflow.operators.options import expect_valid_input
from bulrushflow.operators.options import fetch
from bulrushflow.operators.publishing import DocumentPath
from bulrushflow.operators.publishing import load_or_exit
from bulrushflow.operators.record_reader import read_records
from bulrushflow.operators.reports import Convergence
from bulrushflow.operators.reports import NodeStatus
from bulrushflow.operators.reports import RolloutReport
from bulrushflow.recording import CONFIGURATION_STREAM

LONG_POLL_S = 10.0
RETRY_S = 1.0


@dataclass
class Status:
    """Show one node's status: itself, its member table, and records that are not on the log yet.

    With --fleet, every member is asked for its version; status 1 when some lag or do not respond.
    """

    fleet: t.Annotated[bool, cappa.Arg(long=True, help="ask every member for its version")] = False
    node_url: NodeUrl = DEFAULT_NODE
    json: JsonOutput = False

    def __call__(self) -> None:
        status = asyncio.run(fetch(self.node_url, "/status", NodeStatus))
        if not self.fleet:
            print(encode(status) if self.json else formatting.format_status(status))
            return
        path = f"/convergence?offset={status.offset}"
        convergence = asyncio.run(fetch(self.node_url, path, Convergence))
        if self.json:
            print(encode({"status": status, "convergence": convergence}))
        else:
            print(formatting.format_status(status))
            print(formatting.format_convergence(convergence))
        if convergence.behind or convergence.silent:
            raise cappa.Exit(code=EXIT_FAILED)


@dataclass
class Why:
    """Show the history of a move: steps, times, offsets, evidence and rules."""

    move_id: t.Annotated[str, cappa.Arg(help="the move's id")]
    node_url: NodeUrl = DEFAULT_NODE
    json: JsonOutput = False

    def __call__(self) -> None:
        report = asyncio.run(fetch(self.node_url, f"/moves/{self.move_id}", RolloutReport))
        print(encode(report) if self.json else formatting.format_rollout(report))


@cappa.command(name="history")
@dataclass
class HistoryCommand:
    """Show the history: who published what, and what the system decided and why.

    It is read from the log, or from a node while the log can't be read. It has the outcome of
    each record, and the decisions that are not on the log yet.
    """

    since: t.Annotated[
        str, cappa.Arg(long=True, help="30s, 10m, 2h, 7d ago or an ISO 8601 time with its zone")
    ] = "7d"
    log_url: LogUrl = DEFAULT_LOG
    node_url: NodeUrl = DEFAULT_NODE
    json: JsonOutput = False

    def __call__(self) -> None:
        now_ms = time.time_ns() // 1_000_000
        since_ms = expect_valid_input(parse_since(self.since, now_ms))
        report = asyncio.run(self._run(since_ms, now_ms))
        print(encode(report) if self.json else format_incident(report))

    async def _run(self, since_ms: int, now_ms: int) -> t.Any:
        async with OperatorClient(self.log_url, self.node_url, 0.0) as client:
            return expect(await build_incident_report(client, since_ms, now_ms))


@dataclass
class Watch:
    """Follow the log: print each record as it is appended, and its verdict."""

    seconds: t.Annotated[
        float | None,
        cappa.Arg(long=True, help="seconds after which the command ends; default: never"),
    ] = None
    log_url: LogUrl = DEFAULT_LOG
    node_url: NodeUrl = DEFAULT_NODE
    json: JsonOutput = False

    def __call__(self) -> None:
        try:
            asyncio.run(self._run())
        except KeyboardInterrupt:
            return

    async def _run(self) -> None:
        try:
            async with asyncio.timeout(self.seconds):
                await self._print_events()
        except TimeoutError:
            return

    async def _print_events(self) -> None:
        async with OperatorClient(self.log_url, self.node_url, 0.0) as client:
            loaded = expect(await read_records(client))
            history = History(loaded.start)
            for record in loaded.records:
                history.add(record)
            print(f"watching from version {history.configuration.offset}", file=sys.stderr)
            while True:
                await self._print_next_page(client, history)

    async def _print_next_page(self, client: OperatorClient, history: History) -> None:
        match await client.log.read(CONFIGURATION_STREAM, history.next_offset, LONG_POLL_S):
            case Err(error):
                print(f"the log could not be read: {error.message}", file=sys.stderr)
                await asyncio.sleep(RETRY_S)
            case Ok(page):
                for record in page.records:
                    self._print(history.add(record))

    def _print(self, event: Event) -> None:
        text = encode_line(event) if self.json else "\n".join(format_event(event))
        print(text, flush=True)


@dataclass
class Get:
    """Print the configuration in force as a document, ready to be edited and published.

    It contains the offsets it is based on, so that publishing it after somebody else's change is
    rejected.
    """

    node_url: NodeUrl = DEFAULT_NODE

    def __call__(self) -> None:
        print(encode(asyncio.run(self._run())))

    async def _run(self) -> dict[str, t.Any]:
        async with OperatorClient(DEFAULT_LOG, self.node_url, 0.0) as client:
            return to_document(expect(await client.configuration()))


@dataclass
class Diff:
    """Print the changes that a document would make to the configuration in force.

    Status 2 when it would be rejected.
    """

    file: DocumentPath
    node_url: NodeUrl = DEFAULT_NODE

    def __call__(self) -> None:
        asyncio.run(self._run())

    async def _run(self) -> None:
        record = load_or_exit(self.file, new_publish_id(), "diff")
        async with OperatorClient(DEFAULT_LOG, self.node_url, 0.0) as client:
            configuration = expect(await client.configuration())
        result = dry_run(configuration, record, time.time_ns() // 1_000_000)
        if not result.verdict.accepted:
            raise error_exit(f"would be rejected: {result.verdict.reason}", EXIT_USAGE)
        for line in result.differences:
            print(line)
