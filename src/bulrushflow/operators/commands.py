"""The operators' command line, ``bulrushflow``."""

from dataclasses import dataclass

import cappa

from bulrushflow.operators.explain_command import Explain
from bulrushflow.operators.inspecting import Diff
from bulrushflow.operators.inspecting import Get
from bulrushflow.operators.inspecting import HistoryCommand
from bulrushflow.operators.inspecting import Status
from bulrushflow.operators.inspecting import Watch
from bulrushflow.operators.inspecting import Why
from bulrushflow.operators.publishing import Check
from bulrushflow.operators.publishing import EnableSchemaLevel
from bulrushflow.operators.publishing import Move
from bulrushflow.operators.publishing import Publish
from bulrushflow.operators.publishing import Withdraw
from bulrushflow.operators.story_command import StoryCommand

Subcommand = (
    Check
    | Diff
    | Publish
    | Move
    | Withdraw
    | EnableSchemaLevel
    | Status
    | Why
    | HistoryCommand
    | Watch
    | Get
    | StoryCommand
    | Explain
)


@cappa.command(name="bulrushflow")
@dataclass
class Bulrushflow:
    """Publish configuration, start moves, and inspect their results.

    Exit status: 0 done, 1 not done or not confirmed, 2 wrong usage, bad input or a rejected
    record. Errors go to standard error, one per line.
    """

    subcommand: cappa.Subcommands[Subcommand]


def main() -> None:
    """Run the ``bulrushflow`` program."""
    cappa.invoke(Bulrushflow)
