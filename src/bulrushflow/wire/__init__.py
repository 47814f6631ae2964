"""Connections between nodes: length-prefixed thrift messages over TCP."""

from bulrushflow.wire.link import Link
from bulrushflow.wire.link import LinkError
from bulrushflow.wire.links import Links

__all__ = ["Link", "LinkError", "Links"]
