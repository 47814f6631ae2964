"""What a node tells operators: the shapes shared by its endpoint and the command line."""

import msgspec

from bulrushflow.configuration import Rollout


class MemberStatus(msgspec.Struct, frozen=True):
    """One member as one node knows it."""

    node_id: str
    data_centre: str
    address: str
    peer_port: int
    status: str
    service: str = ""
    version: str = ""
    state: str = ""


class NodeStatus(msgspec.Struct, frozen=True):
    """What one node says of itself and of the members that it knows."""

    program_version: str
    node_id: str
    data_centre: str
    ready: bool
    offset: int
    digest: str
    members: list[MemberStatus]
    unrecorded: list[str]
    """Publish ids of this node's own records that the log is not known to have."""
    schema_level: int = 1
    unsupported: str = ""
    """Why this release can't apply the next record; empty when it can."""


class Convergence(msgspec.Struct, frozen=True):
    """On how many members a version is in force, and which ones lag or did not answer."""

    offset: int
    in_force: int
    behind: list[str]
    silent: list[str]


class RolloutReport(msgspec.Struct, frozen=True):
    """A move as the log has it, and what one node knows beyond that."""

    move: Rollout
    share_permille: int
    taken_back: bool
    taken_back_reason: str
    decided_by: str
    unrecorded: list[str]


class UnrecordedDecisions(msgspec.Struct, frozen=True):
    """Decisions that one node knows and the log is not known to have."""

    node_id: str
    records: list[msgspec.Raw]
    """This node's own records that wait to be appended, in the log's form."""
    taken_back: list[RolloutReport]
    """Moves that were taken back without a final record on the log yet."""
