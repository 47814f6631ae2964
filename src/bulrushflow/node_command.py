"""The options of ``bulrushflow-node``; imported only if there are options to parse."""

import pathlib
import typing as t
from dataclasses import dataclass

import cappa

from bulrushflow.settings import NODE_VARIABLES


@cappa.command(name="bulrushflow-node")
@dataclass
class NodeCommand:
    """Run one node beside one target.

    Settings are read from a JSON-with-comments file; flags and environment variables override
    the file's values. Exit status: 0 after a graceful stop, 2 for invalid settings, 3 for a
    broken invariant.
    """

    settings: t.Annotated[pathlib.Path, cappa.Arg(help="settings file")]
    node_id: t.Annotated[
        str | None, cappa.Arg(long=True, help=f"id; or {NODE_VARIABLES['node_id']}")
    ] = None
    address: t.Annotated[
        str | None, cappa.Arg(long=True, help=f"IP address; or {NODE_VARIABLES['address']}")
    ] = None
    data_centre: t.Annotated[
        str | None, cappa.Arg(long=True, help=f"data centre; or {NODE_VARIABLES['data_centre']}")
    ] = None
    check_settings: t.Annotated[
        bool, cappa.Arg(long=True, help="check the settings without starting the node")
    ] = False

    @property
    def overrides(self) -> dict[str, str | None]:
        """Values that override the environment and the settings file, by the setting's key."""
        return {
            "node_id": self.node_id,
            "address": self.address,
            "data_centre": self.data_centre,
        }


def parse_command() -> NodeCommand:
    """Parse the command line; exits with a message if it is invalid."""
    return cappa.parse(NodeCommand)
