"""Adapter to the operators' platform: settings, store, documents and headers.

All names of the platform are decoded here into the project's own types.
"""

from bulrushflow.platform.settings import load_settings
from bulrushflow.platform.store import PlatformStore

__all__ = ["PlatformStore", "load_settings"]
