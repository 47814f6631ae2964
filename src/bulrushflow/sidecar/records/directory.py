"""Service discovery: the known nodes and targets, with the statistics of calls to them."""

import collections
import typing as t

import msgspec

from bulrushflow.placement import Evacuations
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
    returned_at_ms: int = 0
    """When the evacuation of the data centre ended; 0 once the node's entry has changed since."""
    reported_warm_at: float | None = None
    """Event loop time at which the target is expected to be warm, by the node's latest response;
    ``None`` once the node's entry has changed since."""

    link_backlog_s: float = 0.0
    """Time for which the node's link was busy with responses, as reported last."""
    link_reported_at: float | None = None
    """When that was reported; ``None`` if the node reports none, as without a known bandwidth."""
    work: WorkReport | None = None
    """What the node said last of its target's work; ``None`` before the first report."""
    work_at: float = 0.0
    """Event loop time of that report."""
    sent_since_report: int = 0
    """Calls that this node sent since."""
    slowness: float = 1.0
    """Service time of the target, relative to the mean of its service."""

    @property
    def named_limit(self) -> NamedLimit | None:
        """The limit that the target named to this node, to be sent with calls."""
        target = self.entry.target
        if target is None or self.limit_per_s is None:
            return None
        return NamedLimit(target.target_id, target.incarnation, self.limit_per_s)

    def record_cold(self, cold_ms: int, now: float) -> None:
        """Record for how many milliseconds the target is cold, as the peer reported it."""
        self.reported_warm_at = now + cold_ms / 1000
        self.returned_at_ms = 0

    def is_cold(self, now: float, now_ms: int, start_s: float) -> bool:
        """Return whether the target is expected to be cold.

        A response says so before the entry does, also while the store is down.

        :param now: event loop time in seconds.
        :param now_ms: epoch milliseconds.
        :param start_s: seconds for which a target of the service is cold after a start.
        """
        if self.reported_warm_at is not None:
            return self.reported_warm_at > now
        target = self.entry.target
        warm_at_ms = target.warm_at_ms if target is not None else 0
        if self.returned_at_ms:
            warm_at_ms = max(warm_at_ms, self.returned_at_ms + int(start_s * 1000))
        return warm_at_ms > now_ms

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

    def record_link_backlog(self, backlog_s: float, now: float) -> None:
        """Record for how long the peer's link is busy, as it reported with an answer."""
        self.link_backlog_s = backlog_s
        self.link_reported_at = now

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

    Targets in evacuated data centres are listed apart from the ready ones, and get no calls.

    A target that announced its leave in a response to this node is never listed as ready again,
    whatever its entry says and even if the entry is lost and comes back.
    """

    __slots__ = (
        "_evacuated_by_service",
        "_leaving",
        "_ready_by_service",
        "evacuations",
        "peers_by_key",
    )

    def __init__(self) -> None:
        self.peers_by_key: dict[str, Peer] = {}
        self._leaving: collections.OrderedDict[tuple[str, int], None] = collections.OrderedDict()
        """Ids and incarnations of targets that leave, oldest first."""
        self._ready_by_service: dict[str, list[Peer]] = {}
        self._evacuated_by_service: dict[str, list[Peer]] = {}
        """Peers that would be ready if their data centre weren't evacuated."""
        self.evacuations = Evacuations()

    def update(self, key: str, entry: NodeEntry) -> None:
        """Add or update a node. The statistics are kept as long as the target is the same."""
        current = self.peers_by_key.get(key)
        if current is not None:
            self._remove_from_ready(current)
        if current is not None and _same_target(current.entry, entry):
            if current.entry.target != entry.target:
                current.unavailable_until = 0.0
                current.returned_at_ms = 0
                current.reported_warm_at = None
            current.entry = entry
        else:
            current = self.peers_by_key[key] = Peer(entry)
        self._list_if_ready(current)

    def apply_evacuations(self, evacuations: Evacuations, now_ms: int = 0) -> None:
        """Replace the evacuated data centres.

        :param now_ms: epoch milliseconds. Targets in data centres that are evacuated no more are
            expected to be cold from then on.
        """
        returned = self.evacuations.data_centres - evacuations.data_centres
        for peer in self.peers_by_key.values():
            if peer.entry.data_centre in returned:
                peer.returned_at_ms = now_ms
                peer.reported_warm_at = None
        self.evacuations = evacuations
        self._ready_by_service.clear()
        self._evacuated_by_service.clear()
        for peer in self.peers_by_key.values():
            self._list_if_ready(peer)

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
        """Return the peers with a ready target of a service, evacuated ones left out."""
        return self._ready_by_service.get(service, ())

    def evacuated_peers(self, service: str) -> t.Sequence[Peer]:
        """Return the peers that would be ready if their data centre weren't evacuated."""
        return self._evacuated_by_service.get(service, ())

    def all_evacuated(self, service: str) -> bool:
        """Return whether all ready targets of a service are in evacuated data centres."""
        return bool(self.evacuated_peers(service)) and not self.ready_peers(service)

    def _list_if_ready(self, peer: Peer) -> None:
        target = peer.entry.target
        if (
            target is None
            or target.state is not TargetState.READY
            or target.process in self._leaving
        ):
            return
        evacuated = peer.entry.data_centre in self.evacuations.data_centres
        by_service = self._evacuated_by_service if evacuated else self._ready_by_service
        by_service.setdefault(target.service, []).append(peer)

    def _remove_from_ready(self, peer: Peer) -> None:
        target = peer.entry.target
        if target is None:
            return
        for by_service in (self._ready_by_service, self._evacuated_by_service):
            listed = by_service.get(target.service, [])
            # Compared by identity, since two peers may have equal fields.
            for i, other in enumerate(listed):
                if other is peer:
                    del listed[i]
                    return


def _same_target(current: NodeEntry, entry: NodeEntry) -> bool:
    if current.target is None or entry.target is None or current.endpoint != entry.endpoint:
        return False
    return current.target.process == entry.target.process
