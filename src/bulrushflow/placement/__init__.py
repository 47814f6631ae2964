"""Decisions on where a call may run, and what links and targets can carry; plain data, no I/O."""

from bulrushflow.placement.evacuation import Evacuations
from bulrushflow.placement.links import LinkPacer
from bulrushflow.placement.links import ResponseSizes

__all__ = ["Evacuations", "LinkPacer", "ResponseSizes"]
