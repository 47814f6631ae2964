"""Decisions for callers that compete for too little capacity, without I/O."""

from bulrushflow.overload.fairness import DemandShares
from bulrushflow.overload.fairness import UrgencyShares
from bulrushflow.overload.queue import OVERLOAD_RULES
from bulrushflow.overload.queue import PLAIN_RULES
from bulrushflow.overload.queue import CallQueue
from bulrushflow.overload.queue import Placement
from bulrushflow.overload.queue import QueueRules
from bulrushflow.overload.queue import SlotRequest
from bulrushflow.overload.queue import WaitingCall
from bulrushflow.overload.service_times import RouteObjectives
from bulrushflow.overload.service_times import ServiceTimes

__all__ = [
    "OVERLOAD_RULES",
    "PLAIN_RULES",
    "CallQueue",
    "DemandShares",
    "Placement",
    "QueueRules",
    "RouteObjectives",
    "ServiceTimes",
    "SlotRequest",
    "UrgencyShares",
    "WaitingCall",
]
