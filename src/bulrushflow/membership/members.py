"""Members, their targets, and the order by which claims about a member win."""

import enum
from dataclasses import dataclass


class Status(enum.IntEnum):
    """What is believed of a node; at one incarnation the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class TargetState(enum.IntEnum):
    """What a target said of itself."""

    COLD = 0
    READY = 1
    DRAINING = 2
    GONE = 3


@dataclass(frozen=True, slots=True, order=True)
class Target:
    """A node's target, as its node announces it to the others."""

    service: str
    version: str
    state: TargetState
    slots: int


Precedence = tuple[int, int, str, int, str, tuple[Target, ...]]


@dataclass(frozen=True, slots=True)
class Member:
    """A node and its target. A node raises ``incarnation`` with every change of its own."""

    node_id: str
    data_centre: str
    address: str
    peer_port: int
    incarnation: int
    status: Status = Status.ALIVE
    target: Target | None = None

    @property
    def precedence(self) -> Precedence:
        """The claim with the higher precedence wins.

        The content comes last: two processes with one node id may claim the same incarnation,
        and every node has to settle on the same claim whatever the order in which they arrive.
        """
        target = () if self.target is None else (self.target,)
        return (
            self.incarnation,
            self.status,
            self.address,
            self.peer_port,
            self.data_centre,
            target,
        )

    @property
    def endpoint(self) -> tuple[str, int]:
        """Address and port of the node's peer protocol."""
        return self.address, self.peer_port

    @property
    def is_live(self) -> bool:
        """Tell whether the node may be talked to: alive or only suspected."""
        return self.status <= Status.SUSPECT

    @property
    def is_self_reported(self) -> bool:
        """Tell whether the node itself said so: that it lives or that it left."""
        return self.status in (Status.ALIVE, Status.LEFT)

    @property
    def ready_version(self) -> tuple[str, str] | None:
        """Service and version for which the target takes new calls, ``None`` when for none."""
        if self.status is not Status.ALIVE or self.target is None:
            return None
        if self.target.state is not TargetState.READY:
            return None
        return self.target.service, self.target.version
