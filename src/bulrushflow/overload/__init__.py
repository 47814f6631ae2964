"""Decisions for callers that compete for too little capacity, without I/O."""

from bulrushflow.overload.caller_waits import CallerWaits
from bulrushflow.overload.fairness import DemandShares
from bulrushflow.overload.fairness import UrgencyShares
from bulrushflow.overload.origin import LOADED_WAIT_S
from bulrushflow.overload.origin import OriginLimits
from bulrushflow.overload.queue import OVERLOAD_RULES
from bulrushflow.overload.queue import PLAIN_RULES
from bulrushflow.overload.queue import CallQueue
from bulrushflow.overload.queue import Placement
from bulrushflow.overload.queue import QueueRules
from bulrushflow.overload.queue import SlotRequest
from bulrushflow.overload.queue import WaitingCall
from bulrushflow.overload.retry_after import RetryPlanner
from bulrushflow.overload.service_times import RouteObjectives
from bulrushflow.overload.service_times import ServiceTimes

__all__ = [
    "LOADED_WAIT_S",
    "OVERLOAD_RULES",
    "PLAIN_RULES",
    "CallQueue",
    "CallerWaits",
    "DemandShares",
    "OriginLimits",
    "Placement",
    "QueueRules",
    "RetryPlanner",
    "RouteObjectives",
    "ServiceTimes",
    "SlotRequest",
    "UrgencyShares",
    "WaitingCall",
]
