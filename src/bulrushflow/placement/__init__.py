"""Decisions on where a call may run, without I/O; times are passed as arguments."""

from bulrushflow.placement.cold_starts import ColdLimit
from bulrushflow.placement.cold_starts import ColdPhase
from bulrushflow.placement.cold_starts import ColdStart
from bulrushflow.placement.cold_starts import cold_share
from bulrushflow.placement.cold_starts import cold_start
from bulrushflow.placement.cold_starts import is_same_phase
from bulrushflow.placement.evacuation import Evacuations

__all__ = [
    "ColdLimit",
    "ColdPhase",
    "ColdStart",
    "Evacuations",
    "cold_share",
    "cold_start",
    "is_same_phase",
]
