"""Options, exit statuses, error reporting and JSON output shared by the operators' commands."""

import getpass
import sys
import typing as t
from dataclasses import dataclass

import cappa
import msgspec
from result import Err
from result import Ok
from result import Result

from bulrushflow.operators.client import OperatorClient
from bulrushflow.operators.client import new_publish_id

EXIT_FAILED = 1
EXIT_USAGE = 2
DEFAULT_LOG = "http://127.0.0.1:7000"
DEFAULT_NODE = "http://127.0.0.1:7400"
RECORD_SCHEMA = 1

LogUrl = t.Annotated[
    str,
    cappa.Arg(
        long="--log",
        default=cappa.Env("BULRUSHFLOW_LOG", default=DEFAULT_LOG),
        help="log's URL; or BULRUSHFLOW_LOG",
    ),
]
NodeUrl = t.Annotated[
    str,
    cappa.Arg(
        long="--node",
        default=cappa.Env("BULRUSHFLOW_NODE", default=DEFAULT_NODE),
        help="operator URL of a node, or several with commas: the first that responds is used; "
        "or BULRUSHFLOW_NODE",
    ),
]
TimeoutS = t.Annotated[float, cappa.Arg(long=True, help="seconds after which the command fails")]
Operator = t.Annotated[str | None, cappa.Arg(long=True, help="who publishes; default: the user")]
PublishId = t.Annotated[
    str | None, cappa.Arg(long=True, help="id to publish under, to retry an unconfirmed publish")
]
MadeAt = t.Annotated[
    int | None,
    cappa.Arg(
        long=True, help="version the record was made at, from the error that advises a retry"
    ),
]
JsonOutput = t.Annotated[bool, cappa.Arg(long=True, help="machine-readable output")]

T = t.TypeVar("T")


@dataclass(kw_only=True)
class AppendOptions:
    """Options of every command that appends a record."""

    log_url: LogUrl = DEFAULT_LOG
    node_url: NodeUrl = DEFAULT_NODE
    timeout_s: TimeoutS = 30.0
    operator: Operator = None
    publish_id: PublishId = None
    made_at: MadeAt = None

    def record_id(self) -> str:
        """Return the id to publish under: the one given, or a new one."""
        return self.publish_id or new_publish_id()


def expect_valid_input(result: Result[T, str]) -> T:
    """Return the value, or end with status 2 and the error."""
    return _unwrap(result, EXIT_USAGE)


def expect(result: Result[T, str]) -> T:
    """Return the value, or end with status 1 and the error."""
    return _unwrap(result, EXIT_FAILED)


def error_exit(reason: str, code: int) -> cappa.Exit:
    """Print an error on one line of standard error, and return the exception that ends the program.

    The command-line library would wrap the line, so that scripts could not match it.
    """
    print(f"error: {reason}", file=sys.stderr)
    return cappa.Exit(code=code)


def operator_name(given: str | None) -> str:
    """Return the operator's name: the one given, or the user of the operating system."""
    return given or getpass.getuser()


def encode(value: t.Any) -> str:
    """Return a report as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(value)).decode()


def encode_line(value: t.Any) -> str:
    """Return a report as JSON on one line."""
    return msgspec.json.encode(value).decode()


async def fetch(node_url: str, path: str, kind: type[T]) -> T:
    """Return a node's decoded response, or end with status 1; without retries."""
    async with OperatorClient(DEFAULT_LOG, node_url, 0.0) as client:
        return expect(await client.get(path, kind))


def _unwrap(result: Result[T, str], code: int) -> T:
    match result:
        case Ok(value):
            return value
        case Err(reason):
            raise error_exit(reason, code)
