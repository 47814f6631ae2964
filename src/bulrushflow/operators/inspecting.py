"""Commands that change nothing: status, why, history, watch, get, diff."""

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
    """Show what one node knows: itself, the members, what is unrecorded.

    With --fleet, every member is asked which version it holds; status 1 when some lag.
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
    """Tell a move's account: steps, times, offsets, evidence and rules."""

    move_id: t.Annotated[str, cappa.Arg(help="the move's id")]
    node_url: NodeUrl = DEFAULT_NODE
    json: JsonOutput = False

    def __call__(self) -> None:
        account = asyncio.run(fetch(self.node_url, f"/moves/{self.move_id}", RolloutReport))
        print(encode(account) if self.json else formatting.format_rollout(account))


@cappa.command(name="history")
@dataclass
class HistoryCommand:
    """Tell what happened: who published or stated what, and what the system decided and why.

    The account comes from the log, or from a node while the log can't be read. It says what
    became of each record, and which decisions are not on the log yet.
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
        account = asyncio.run(self._run(since_ms, now_ms))
        print(encode(account) if self.json else format_incident(account))

    async def _run(self, since_ms: int, now_ms: int) -> t.Any:
        async with OperatorClient(self.log_url, self.node_url, 0.0) as client:
            return expect(await build_incident_report(client, since_ms, now_ms))


@dataclass
class Watch:
    """Follow the log: print each version and each move's step as it is recorded."""

    seconds: t.Annotated[
        float | None, cappa.Arg(long=True, help="end after so many seconds; default: never")
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
                await self._follow()
        except TimeoutError:
            return

    async def _follow(self) -> None:
        async with OperatorClient(self.log_url, self.node_url, 0.0) as client:
            found = expect(await read_records(client))
            history = History(found.start)
            for record in found.records:
                history.add(record)
            print(f"watching from version {history.configuration.offset}", file=sys.stderr)
            while True:
                await self._next(client, history)

    async def _next(self, client: OperatorClient, history: History) -> None:
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

    It names the versions it is based on, so that publishing it after somebody else's change is
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
    """Print what a document would change in the configuration in force.

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
        tried = dry_run(configuration, record, time.time_ns() // 1_000_000)
        if not tried.verdict.accepted:
            raise error_exit(f"would be rejected: {tried.verdict.reason}", EXIT_USAGE)
        for line in tried.differences:
            print(line)
