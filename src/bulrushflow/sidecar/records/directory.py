"""Service discovery: the known nodes and targets, with the statistics of calls to them."""

import collections
import typing as t

import msgspec

from bulrushflow.placement.remaining_work import WorkReport
from bulrushflow.sidecar.model import NamedLimit
from bulrushflow.sidecar.model import NodeEntry
from bulrushflow.sidecar.model import TargetState

LATENCY_SMOOTHING = 0.1
"""Weight of the latest response in the moving average of the latency."""
FAILURE_SMOOTHING = 0.15
"""Weight of the latest outcome in the moving average of the failure rate."""
LOAD_HALF_LIFE_S = 0.5
"""Half-life of the weight of a reported load."""
MAX_BACKOFF_S = 2.0
FIRST_BACKOFF_S = 0.1
EJECTION_FAILURE_RATE = 0.4
"""Average failure rate from which a target is ejected for :data:`EJECTION_S` seconds."""
EJECTION_S = 2.0
MAX_LEAVING_TARGETS = 4096
"""Leaving targets that are remembered; an entry is some 100 bytes."""


class Peer(msgspec.Struct):
    """One node with its target, and the statistics of this node's calls to it."""

    entry: NodeEntry
    in_flight: int = 0
    latency_s: float = 0.0
    failure_rate: float = 0.0
    reported_load: float = 0.0
    reported_at: float = 0.0
    unavailable_until: float = 0.0
    ejected_until: float = 0.0
    unreachable: bool = False
    """Whether connections to the node fail."""
    backoff_s: float = FIRST_BACKOFF_S
    limit_per_s: float | None = None
    """Rate limit in the target's latest response to this node; ``None`` without one."""
    work: WorkReport | None = None
    """What the node said last of its target's work; ``None`` before the first report."""
    work_at: float = 0.0
    """Event loop time of that report."""
    sent_since_report: int = 0
    """Calls that this node sent since."""
    slowness: float = 1.0
    """Service time of the target, relative to the mean of its service."""
    link_backlog_s: float = 0.0
    """Seconds for which the node's link is occupied by what it has to send."""

    @property
    def named_limit(self) -> NamedLimit | None:
        """The limit that the target named to this node, to be sent with calls."""
        target = self.entry.target
        if target is None or self.limit_per_s is None:
            return None
        return NamedLimit(target.target_id, target.incarnation, self.limit_per_s)

    def load(self, now: float) -> float:
        """Return the load in calls per slot.

        The greater of this node's own calls in flight and the reported load, discounted by its age.
        """
        target = self.entry.target
        own = self.in_flight / target.slots if target is not None else 1.0
        age_s = now - self.reported_at
        return max(own, self.reported_load * 0.5 ** (age_s / LOAD_HALF_LIFE_S))

    def record_load(self, load: float, now: float) -> None:
        """Record the load, in calls per slot, that the peer reported with a response."""
        self.reported_load = load
        self.reported_at = now

    def record_response(self, seconds: float, failed: bool, now: float) -> None:
        """Update latency and failure rate with a response; eject a target that fails too often."""
        self.backoff_s = FIRST_BACKOFF_S
        self.failure_rate += (failed - self.failure_rate) * FAILURE_SMOOTHING
        if not failed:
            weight = LATENCY_SMOOTHING if self.latency_s else 1.0
            self.latency_s += (seconds - self.latency_s) * weight
        if self.failure_rate >= EJECTION_FAILURE_RATE:
            self.ejected_until = now + EJECTION_S
            self.failure_rate = EJECTION_FAILURE_RATE / 2

    def mark_unavailable(self, now: float) -> None:
        """Back off from the node, whose target accepts no calls now."""
        if now < self.unavailable_until:
            # Several concurrent calls failed alike; they count as one.
            return
        self.unavailable_until = now + self.backoff_s
        self.backoff_s = min(MAX_BACKOFF_S, self.backoff_s * 2)


class Directory:
    """Nodes by key, and peers with a ready target by service.

    A target that announced its leave in a response to this node is never listed as ready again,
    whatever its entry says and even if the entry is lost and comes back.
    """

    __slots__ = ("_leaving", "_ready_by_service", "peers_by_key")

    def __init__(self) -> None:
        self.peers_by_key: dict[str, Peer] = {}
        self._leaving: collections.OrderedDict[tuple[str, int], None] = collections.OrderedDict()
        """Ids and incarnations of targets that leave, oldest first."""
        self._ready_by_service: dict[str, list[Peer]] = {}

    def update(self, key: str, entry: NodeEntry) -> None:
        """Add or update a node. The statistics are kept as long as the target is the same."""
        current = self.peers_by_key.get(key)
        if current is not None:
            self._remove_from_ready(current)
        if current is not None and _same_target(current.entry, entry):
            if current.entry.target != entry.target:
                current.unavailable_until = 0.0
            current.entry = entry
        else:
            current = self.peers_by_key[key] = Peer(entry)
        target = entry.target
        if (
            target is not None
            and target.state is TargetState.READY
            and target.process not in self._leaving
        ):
            self._ready_by_service.setdefault(target.service, []).append(current)

    def mark_leaving(self, peer: Peer) -> bool:
        """List a peer's target as ready no more; return whether it was not marked before."""
        target = peer.entry.target
        if target is None or target.process in self._leaving:
            return False
        self._leaving[target.process] = None
        while len(self._leaving) > MAX_LEAVING_TARGETS:
            self._leaving.popitem(last=False)
        self._remove_from_ready(peer)
        return True

    def entry(self, key: str) -> NodeEntry | None:
        """Return a node's entry, or ``None`` if the node isn't known."""
        peer = self.peers_by_key.get(key)
        return peer.entry if peer is not None else None

    def is_current(self, peer: Peer) -> bool:
        """Return whether a peer is still listed, and not replaced by another target."""
        return any(known is peer for known in self.peers_by_key.values())

    def remove(self, key: str) -> None:
        """Remove a node, if it is known."""
        peer = self.peers_by_key.pop(key, None)
        if peer is not None:
            self._remove_from_ready(peer)

    def retain(self, keys: t.Collection[str]) -> None:
        """Remove the nodes whose key isn't among ``keys``."""
        for key in [key for key in self.peers_by_key if key not in keys]:
            self.remove(key)

    def ready_peers(self, service: str) -> t.Sequence[Peer]:
        """Return the peers with a ready target of a service."""
        return self._ready_by_service.get(service, ())

    def _remove_from_ready(self, peer: Peer) -> None:
        target = peer.entry.target
        listed = self._ready_by_service.get(target.service, []) if target is not None else []
        # Compared by identity, since two peers may have equal fields.
        for i, other in enumerate(listed):
            if other is peer:
                del listed[i]
                return


def _same_target(current: NodeEntry, entry: NodeEntry) -> bool:
    if current.target is None or entry.target is None or current.endpoint != entry.endpoint:
        return False
    return current.target.process == entry.target.process
