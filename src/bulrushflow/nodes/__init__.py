"""Communication between nodes: membership, log records, rollouts and forwarded calls."""

from bulrushflow.nodes.dissemination import RecordDissemination
from bulrushflow.nodes.forwarding import Forwarding
from bulrushflow.nodes.gossip import Gossip
from bulrushflow.nodes.rollout_driver import RolloutDriver
from bulrushflow.nodes.seed_discovery import SeedDiscovery

__all__ = ["Forwarding", "Gossip", "RecordDissemination", "RolloutDriver", "SeedDiscovery"]
