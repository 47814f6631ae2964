"""The HTTP server for callers, and the dispatch of their calls to targets."""

from bulrushflow.callers.dispatcher import Dispatcher
from bulrushflow.callers.server import CallerServer

__all__ = ["CallerServer", "Dispatcher"]
