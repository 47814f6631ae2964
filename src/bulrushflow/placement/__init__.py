"""Decisions on where calls go: what links and targets can carry. Plain data, without I/O."""

from bulrushflow.placement.links import LinkPacer
from bulrushflow.placement.links import ResponseSizes

__all__ = ["LinkPacer", "ResponseSizes"]
