"""The command ``explain``, which asks a node where a request would go."""

import asyncio
import os
import pathlib
import typing as t
from dataclasses import dataclass
from urllib.parse import urlencode

import cappa
from result import Err
from result import Ok
from result import Result

from bulrushflow.operators.client import OperatorClient
from bulrushflow.operators.explain_formatting import format_explanation
from bulrushflow.operators.options import DEFAULT_LOG
from bulrushflow.operators.options import DEFAULT_NODE
from bulrushflow.operators.options import EXIT_FAILED
from bulrushflow.operators.options import JsonOutput
from bulrushflow.operators.options import encode
from bulrushflow.operators.options import expect_valid_input
from bulrushflow.platform.settings import parse_duration
from bulrushflow.sidecar.calls.explanation_report import Explanation
from bulrushflow.sidecar.calls.headers import AUTHORIZATION

KEY_VARIABLE = "BULRUSHFLOW_KEY"
MAX_KEY_CHARS = 4096
"""Longer than any key; nodes refuse headers of 8 KiB."""

MetricsUrl = t.Annotated[
    str,
    cappa.Arg(
        long="--node",
        default=cappa.Env("BULRUSHFLOW_NODE", default=DEFAULT_NODE),
        help="URL of the node's metrics address, or several with commas: the first that responds "
        "is used; or BULRUSHFLOW_NODE",
    ),
]


@cappa.command(name="explain")
@dataclass
class Explain:
    """Show where a node would send a request now, and why, without sending it.

    Status 1 when the request would be refused, 2 when the input is bad or the node can't be asked.
    A key is read from a file or from BULRUSHFLOW_KEY, and never shown.
    """

    host: t.Annotated[str, cappa.Arg(long=True, help="the request's host")]
    path: t.Annotated[str, cappa.Arg(long=True, help="the request's path")]
    key_file: t.Annotated[
        str | None, cappa.Arg(long=True, help="file with the key; default: BULRUSHFLOW_KEY, if set")
    ] = None
    caller: t.Annotated[
        str, cappa.Arg(long=True, help="the caller's service; default: that of the node's instance")
    ] = ""
    time_left: t.Annotated[
        str | None, cappa.Arg(long=True, help="the caller's timeout, such as 1500ms or 2s")
    ] = None
    node_url: MetricsUrl = DEFAULT_NODE
    json: JsonOutput = False

    def __call__(self) -> None:
        path = expect_valid_input(self._query_path())
        key = expect_valid_input(_read_key(self.key_file))
        explanation = asyncio.run(self._run(path, key))
        print(encode(explanation) if self.json else format_explanation(explanation))
        if explanation.refusal is not None:
            raise cappa.Exit(code=EXIT_FAILED)

    def _query_path(self) -> Result[str, str]:
        """Return the path and query of the question to the node."""
        if not self.host:
            return Err("--host is empty")
        if not self.path.startswith("/"):
            return Err("--path must begin with /")
        query = {"host": self.host, "path": self.path}
        if self.caller:
            query["caller"] = self.caller
        if self.time_left is not None:
            try:
                query["time_left_ms"] = str(int(parse_duration(self.time_left) * 1000))
            except ValueError as exc:
                return Err(f"--time-left: {exc}")
        return Ok(f"/explain?{urlencode(query)}")

    async def _run(self, path: str, key: str) -> Explanation:
        headers = {AUTHORIZATION: f"Bearer {key}"} if key else {}
        async with OperatorClient(DEFAULT_LOG, self.node_url, 0.0) as client:
            # Status 1 is that of a refusal only.
            return expect_valid_input(await client.get(path, Explanation, headers))


def _read_key(key_file: str | None) -> Result[str, str]:
    """Return the key, or an empty text for none; errors don't quote it."""
    if key_file is None:
        key = os.environ.get(KEY_VARIABLE, "").strip()
        source = KEY_VARIABLE
    else:
        source = key_file
        try:
            key = pathlib.Path(key_file).read_text("ascii").strip()
        except OSError as exc:
            return Err(f"{key_file}: {exc.strerror}")
        except UnicodeDecodeError:
            return Err(f"{key_file}: not a key: it has characters other than ASCII")
        if not key:
            return Err(f"{key_file}: the file has no key")
    if len(key) > MAX_KEY_CHARS:
        return Err(f"{source}: not a key: longer than {MAX_KEY_CHARS} characters")
    if not (key.isascii() and key.isprintable()) or " " in key:
        return Err(f"{source}: not a key: it has characters that a header can't have")
    return Ok(key)
