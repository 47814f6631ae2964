"""The announcement that a target sends to its node, and how long it is valid."""

import ipaddress
import typing as t

import msgspec

from bulrushflow.membership import Target
from bulrushflow.membership import TargetState

ANNOUNCEMENT_TTL_S = 3.0
"""Time without a renewal after which the target counts as gone."""


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A target's service, address and state, which it announces about once per second."""

    service: t.Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
    version: t.Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
    address: str
    port: t.Annotated[int, msgspec.Meta(ge=1, le=65535)]
    state: t.Literal["cold", "ready", "draining"]
    slots: t.Annotated[int, msgspec.Meta(ge=1)]
    connections: t.Annotated[int, msgspec.Meta(ge=1)]

    def __post_init__(self) -> None:
        ipaddress.ip_address(self.address)

    @property
    def target(self) -> Target:
        """The part that is disseminated to other nodes."""
        state = TargetState[self.state.upper()]
        return Target(self.service, self.version, state, self.slots)

    @property
    def url(self) -> str:
        """Base URL for calls to the target."""
        return f"http://{self.address}:{self.port}"
