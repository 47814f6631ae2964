"""Decisions on where a call may run, and what links and targets can carry; plain data, no I/O."""

from bulrushflow.placement.choice import WorkChoice
from bulrushflow.placement.cold_starts import ColdLimit
from bulrushflow.placement.cold_starts import ColdPhase
from bulrushflow.placement.cold_starts import ColdStart
from bulrushflow.placement.cold_starts import cold_share
from bulrushflow.placement.cold_starts import cold_start
from bulrushflow.placement.cold_starts import is_same_phase
from bulrushflow.placement.costs import CostHistogram
from bulrushflow.placement.costs import CostModel
from bulrushflow.placement.evacuation import Evacuations
from bulrushflow.placement.links import LinkPacer
from bulrushflow.placement.links import ResponseSizes
from bulrushflow.placement.remaining_work import RunningWork
from bulrushflow.placement.remaining_work import WorkReport

__all__ = [
    "ColdLimit",
    "ColdPhase",
    "ColdStart",
    "CostHistogram",
    "CostModel",
    "Evacuations",
    "LinkPacer",
    "ResponseSizes",
    "RunningWork",
    "WorkChoice",
    "WorkReport",
    "cold_share",
    "cold_start",
    "is_same_phase",
]
