"""Commands that append records (publish, move, withdraw, enable-schema), and the check command."""

import asyncio
import pathlib
import sys
import time
import typing as t
from dataclasses import dataclass

import cappa
import msgspec
from result import Err
from result import Ok

from bulrushflow.configuration import Configure
from bulrushflow.configuration import ConfigureV2
from bulrushflow.configuration import EnableSchema
from bulrushflow.configuration import Record
from bulrushflow.configuration import StartRollout
from bulrushflow.configuration import WithdrawRollout
from bulrushflow.operators import formatting
from bulrushflow.operators.client import OperatorClient
from bulrushflow.operators.client import new_publish_id
from bulrushflow.operators.documents import load_document
from bulrushflow.operators.documents import parse_deadline
from bulrushflow.operators.dry_run import dry_run
from bulrushflow.operators.options import DEFAULT_LOG
from bulrushflow.operators.options import EXIT_USAGE
from bulrushflow.operators.options import RECORD_SCHEMA
from bulrushflow.operators.options import AppendOptions
from bulrushflow.operators.options import error_exit
from bulrushflow.operators.options import expect
from bulrushflow.operators.options import expect_valid_input
from bulrushflow.operators.options import operator_name

DocumentPath = t.Annotated[pathlib.Path, cappa.Arg(help="JSON-with-comments document")]


@dataclass
class Check:
    """Check a configuration document without publishing it.

    With --node, a dry run on the configuration of that node follows.
    """

    file: DocumentPath
    node_url: t.Annotated[
        str | None, cappa.Arg(long="--node", help="operator URL of a node for a dry run")
    ] = None

    def __call__(self) -> None:
        record = load_or_exit(self.file, new_publish_id(), "check")
        if self.node_url is not None:
            asyncio.run(print_dry_run(self.node_url, record))
        print(f"{self.file}: well-formed")


@dataclass
class Publish(AppendOptions):
    """Publish a configuration document and wait until it is in force on every node."""

    file: DocumentPath
    dry_run: t.Annotated[
        bool,
        cappa.Arg(
            long=True, help="show the result on the node's configuration and publish nothing"
        ),
    ] = False

    def __call__(self) -> None:
        publish_id = self.record_id()
        loaded = load_or_exit(self.file, publish_id, operator_name(self.operator))
        record = msgspec.structs.replace(loaded, made_at=self.made_at)
        asyncio.run(print_dry_run(self.node_url, record) if self.dry_run else self._run(record))

    async def _run(self, record: Configure | ConfigureV2) -> None:
        started_at = time.monotonic()
        async with OperatorClient(self.log_url, self.node_url, self.timeout_s) as client:
            offset = await publish(client, record)
            convergence = expect(await client.wait_in_force(offset))
        seconds = time.monotonic() - started_at
        print(f"version {offset} in force on {convergence.in_force} nodes after {seconds:.2f} s")


@dataclass
class Move(AppendOptions):
    """Move a service's traffic to another target version by a deadline."""

    service: t.Annotated[str, cappa.Arg(help="service to move")]
    to: t.Annotated[str, cappa.Arg(long=True, help="version to move to")]
    by: t.Annotated[
        str, cappa.Arg(long=True, help="+30s, +10m, +2h or an ISO 8601 time with its zone")
    ]
    wait: t.Annotated[bool, cappa.Arg(long=True, help="wait for the move's end")] = False

    def __call__(self) -> None:
        finish_by_ms = expect_valid_input(parse_deadline(self.by, time.time_ns() // 1_000_000))
        record = StartRollout(
            RECORD_SCHEMA,
            self.record_id(),
            operator_name(self.operator),
            self.service,
            self.to,
            finish_by_ms,
            made_at=self.made_at,
        )
        asyncio.run(self._run(record))

    async def _run(self, record: StartRollout) -> None:
        remaining_s = max(0.0, record.finish_by_ms / 1000 - time.time())
        timeout_s = self.timeout_s + (remaining_s if self.wait else 0)
        async with OperatorClient(self.log_url, self.node_url, timeout_s) as client:
            offset = await publish(client, record)
            print(f"move {record.publish_id} stated at offset {offset}", flush=True)
            if self.wait:
                report = expect(
                    await formatting.wait_finished(client, record.publish_id, timeout_s)
                )
                print(formatting.format_rollout(report))


@dataclass
class Withdraw(AppendOptions):
    """Withdraw a move; all traffic returns to the old version."""

    move_id: t.Annotated[str, cappa.Arg(help="the move's id")]
    reason: t.Annotated[str, cappa.Arg(long=True, help="reason to record")] = ""

    def __call__(self) -> None:
        record = WithdrawRollout(
            RECORD_SCHEMA,
            self.record_id(),
            operator_name(self.operator),
            self.move_id,
            self.reason,
            made_at=self.made_at,
        )
        offset = asyncio.run(publish_once(self.log_url, self.node_url, self.timeout_s, record))
        print(f"move {self.move_id} withdrawn at offset {offset}")


@cappa.command(name="enable-schema")
@dataclass
class EnableSchemaLevel(AppendOptions):
    """Allow records of a schema level from now on; every node must support that level."""

    level: t.Annotated[int, cappa.Arg(help="schema level to enable")]

    def __call__(self) -> None:
        record = EnableSchema(
            RECORD_SCHEMA,
            self.record_id(),
            operator_name(self.operator),
            self.level,
            made_at=self.made_at,
        )
        offset = asyncio.run(publish_once(self.log_url, self.node_url, self.timeout_s, record))
        print(f"schema level {self.level} enabled at offset {offset}")


def load_or_exit(file: pathlib.Path, publish_id: str, operator: str) -> Configure | ConfigureV2:
    """Load a document, or end with status 2 and print its errors."""
    match load_document(file, publish_id, operator):
        case Ok(record):
            return record
        case Err(errors):
            for error in errors[:-1]:
                print(f"error: {file}: {error}", file=sys.stderr)
            raise error_exit(f"{file}: {errors[-1]}", EXIT_USAGE)


async def print_dry_run(node_url: str, record: Record) -> None:
    """Fold a record onto a node's configuration locally, and print the changes.

    Ends with status 2 when the record would be rejected.
    """
    async with OperatorClient(DEFAULT_LOG, node_url, 0.0) as client:
        configuration = expect(await client.configuration())
    result = dry_run(configuration, record, time.time_ns() // 1_000_000)
    if not result.verdict.accepted:
        reason = result.verdict.reason
        raise error_exit(
            f"would be rejected at version {configuration.offset}: {reason}", EXIT_USAGE
        )
    print(f"would be accepted at version {configuration.offset}")
    for line in result.differences or ["nothing would change"]:
        print(f"  {line}")


async def publish_once(log_url: str, node_url: str, timeout_s: float, record: Record) -> int:
    """Publish one record with a client of its own; see :func:`publish`."""
    async with OperatorClient(log_url, node_url, timeout_s) as client:
        return await publish(client, record)


async def publish(client: OperatorClient, record: Record) -> int:
    """Publish a record and return its offset.

    Ends with status 1 when the record is not confirmed, 2 when it is rejected.
    """
    verdict = expect(await client.publish(record))
    if not verdict.accepted:
        raise error_exit(f"rejected at offset {verdict.offset}: {verdict.reason}", EXIT_USAGE)
    return verdict.offset
