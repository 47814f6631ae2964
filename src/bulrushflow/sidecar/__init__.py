"""The node on a platform whose store lasts: it keeps caches, and the store keeps the state."""

from bulrushflow.sidecar.application import Sidecar
from bulrushflow.sidecar.settings import SidecarSettings

__all__ = ["Sidecar", "SidecarSettings"]
