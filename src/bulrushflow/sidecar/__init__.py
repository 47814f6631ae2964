"""The node for platforms with a durable store, which owns the state; the node only caches it."""

from bulrushflow.sidecar.application import Sidecar
from bulrushflow.sidecar.settings import SidecarSettings

__all__ = ["Sidecar", "SidecarSettings"]
