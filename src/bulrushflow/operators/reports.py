"""JSON reports of a node's operator endpoint, as the command line decodes them."""

import msgspec

from bulrushflow.configuration import Rollout


class MemberStatus(msgspec.Struct, frozen=True):
    """One member, as recorded in one node's member table."""

    node_id: str
    data_centre: str
    address: str
    peer_port: int
    status: str
    service: str = ""
    version: str = ""
    state: str = ""


class NodeStatus(msgspec.Struct, frozen=True):
    """One node's own status, and its member table."""

    program_version: str
    node_id: str
    data_centre: str
    ready: bool
    offset: int
    digest: str
    members: list[MemberStatus]
    unrecorded: list[str]
    """Publish ids of this node's records that the log has not confirmed."""
    schema_level: int = 1
    unsupported: str = ""
    """Why this release can't apply the next record, else empty."""


class Convergence(msgspec.Struct, frozen=True):
    """On how many members a version is in force, and which ones lag or did not respond."""

    offset: int
    in_force: int
    behind: list[str]
    silent: list[str]


class RolloutReport(msgspec.Struct, frozen=True):
    """A rollout as recorded on the log, and one node's state of it that is not on the log yet."""

    move: Rollout
    share_permille: int
    taken_back: bool
    taken_back_reason: str
    decided_by: str
    unrecorded: list[str]


class UnrecordedDecisions(msgspec.Struct, frozen=True):
    """Decisions in one node's state that the log has not confirmed."""

    node_id: str
    records: list[msgspec.Raw]
    """This node's records that wait to be appended, encoded as on the log."""
    taken_back: list[RolloutReport]
    """Rollouts that were rolled back and have no final record on the log yet."""
