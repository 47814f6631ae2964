"""SWIM-style membership without I/O: member table, failure detection and update queue."""

from bulrushflow.membership.detection import LocalHealth
from bulrushflow.membership.detection import ProbeOrder
from bulrushflow.membership.detection import suspicion_timeout_s
from bulrushflow.membership.members import Member
from bulrushflow.membership.members import Status
from bulrushflow.membership.members import Target
from bulrushflow.membership.members import TargetState
from bulrushflow.membership.rendezvous import is_top_ranked
from bulrushflow.membership.rendezvous import rank_members
from bulrushflow.membership.table import MemberTable
from bulrushflow.membership.update_queue import UpdatePriority
from bulrushflow.membership.update_queue import UpdateQueue
from bulrushflow.membership.update_queue import transmission_limit

__all__ = [
    "LocalHealth",
    "Member",
    "MemberTable",
    "ProbeOrder",
    "Status",
    "Target",
    "TargetState",
    "UpdatePriority",
    "UpdateQueue",
    "is_top_ranked",
    "rank_members",
    "suspicion_timeout_s",
    "transmission_limit",
]
