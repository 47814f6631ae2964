"""Members, their targets, and the precedence between updates about a member."""

import enum

import msgspec


class Status(enum.IntEnum):
    """The recorded state of a node; at the same incarnation the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class TargetState(enum.IntEnum):
    """The state that a target announces."""

    COLD = 0
    READY = 1
    DRAINING = 2
    GONE = 3


class Target(msgspec.Struct, frozen=True, order=True):
    """A node's target, as the node announces it to other nodes."""

    service: str
    version: str
    state: TargetState
    slots: int


Precedence = tuple[int, int, str, int, str, tuple[Target, ...]]


class Member(msgspec.Struct, frozen=True):
    """A node and its target: an entry of the table, or a membership update.

    A node raises ``incarnation`` with every change of its own entry.
    """

    node_id: str
    data_centre: str
    address: str
    peer_port: int
    incarnation: int
    status: Status = Status.ALIVE
    target: Target | None = None

    @property
    def precedence(self) -> Precedence:
        """Sort key of updates about a node; the update with the higher precedence wins.

        The content comes last: two processes with one node id may announce the same incarnation,
        and every node has to settle on the same update, in whatever order they arrive.
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
        """Return whether the node is still contacted: it is alive or only suspected."""
        return self.status <= Status.SUSPECT

    @property
    def is_self_reported(self) -> bool:
        """Return whether the status was announced by the node itself: alive or left."""
        return self.status in (Status.ALIVE, Status.LEFT)

    @property
    def ready_version(self) -> tuple[str, str] | None:
        """Service and version for which the target accepts new calls, ``None`` if there is none."""
        if self.status is not Status.ALIVE or self.target is None:
            return None
        if self.target.state is not TargetState.READY:
            return None
        return self.target.service, self.target.version
