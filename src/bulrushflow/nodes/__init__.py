"""Other nodes: membership over UDP, spreading of records, forwarded calls."""

from bulrushflow.nodes.driving import RolloutDriver
from bulrushflow.nodes.forwarding import Forwarding
from bulrushflow.nodes.gossip import Gossip
from bulrushflow.nodes.introductions import Introductions
from bulrushflow.nodes.spreading import Spreading

__all__ = ["Forwarding", "Gossip", "Introductions", "RolloutDriver", "Spreading"]
