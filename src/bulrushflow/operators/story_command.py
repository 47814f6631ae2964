"""The command ``story``, which shows a request's timeline from log files."""

import pathlib
import sys
import typing as t
from dataclasses import dataclass

import cappa
from result import Err
from result import Ok
from result import Result

from bulrushflow.operators.options import EXIT_FAILED
from bulrushflow.operators.options import error_exit
from bulrushflow.operators.options import expect_valid_input
from bulrushflow.operators.request_timeline import build_timeline
from bulrushflow.operators.request_timeline import format_timeline

AROUND_S = 2.0
STANDARD_INPUT = "-"


@cappa.command(name="story")
@dataclass
class StoryCommand:
    """Show the timeline of one request, from the nodes' log files.

    The request's own lines are marked. The other lines are state changes of the nodes that
    handled it, from about the same time.
    """

    request: t.Annotated[str, cappa.Arg(help="the request's id")]
    logs: t.Annotated[
        list[str], cappa.Arg(help="log files, of several nodes in any order; - for standard input")
    ]
    around_s: t.Annotated[
        float, cappa.Arg(long="--around", help="seconds before and after the request")
    ] = AROUND_S

    def __call__(self) -> None:
        lines: list[str] = []
        for name in self.logs:
            lines += expect_valid_input(_read(name))
        timeline = build_timeline(self.request, lines, self.around_s)
        if timeline is None:
            raise error_exit(
                f"none of {len(lines)} lines names request {self.request}", EXIT_FAILED
            )
        print(format_timeline(timeline))


def _read(name: str) -> Result[list[str], str]:
    try:
        if name == STANDARD_INPUT:
            return Ok(sys.stdin.read().splitlines())
        return Ok(pathlib.Path(name).read_text("utf-8", "replace").splitlines())
    except OSError as exc:
        return Err(f"{name}: {exc.strerror}")
