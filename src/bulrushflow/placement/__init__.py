"""Decisions on where calls go, without I/O."""

from bulrushflow.placement.choice import WorkChoice
from bulrushflow.placement.costs import CostHistogram
from bulrushflow.placement.costs import CostModel
from bulrushflow.placement.remaining_work import RunningWork
from bulrushflow.placement.remaining_work import WorkReport

__all__ = ["CostHistogram", "CostModel", "RunningWork", "WorkChoice", "WorkReport"]
