"""The adapter to the users' platform: settings, store, documents and headers.

Names of the platform are decoded here, once, into the product's own types.
"""

from bulrushflow.platform.settings import load_settings
from bulrushflow.platform.store import PlatformStore

__all__ = ["PlatformStore", "load_settings"]
