"""Load balancing: the choice of the target for one attempt."""

import random
import typing as t

from bulrushflow.placement import ColdStart
from bulrushflow.placement import cold_share
from bulrushflow.placement.choice import way_s
from bulrushflow.sidecar.records.directory import Peer

LOCAL_LATENCY_FRACTION = 0.8
"""Fraction of the latency objective within which a loaded local target must be expected to respond
to be preferred. The rest is for calls that take longer than usual, which are in time then too."""
FAST_QUANTILE = 0.25
"""Quantile of a service's latencies that counts as fast. The minimum would not do, since one target
may have had a few fast calls by chance."""
SLOW_FACTOR = 3.0
"""Multiple of the fast latency above which a local target isn't preferred for its free slots
alone."""
REMOTE_COST_FACTOR = 1.5
"""Factor on the cost of a remote target when no target has free slots. A small gain in latency is
not worth the traffic between data centres."""
WARM_UP_FACTOR = 2.0
"""Factor on the expected latency of a target that is warming up."""
DEFAULT_LATENCY_S = 0.05
"""Latency assumed while no target of the service has responded yet."""
MAX_EJECTED_FRACTION = 0.5
"""Fraction of a service's targets that may be ejected at once, lest the rest be overloaded."""


class Balancer:
    """Power of two random choices by expected latency; prefers targets of the own data centre.

    :param wall_ms: returns the current time in epoch milliseconds.
    """

    __slots__ = ("_data_centre", "_rng", "_wall_ms")

    def __init__(self, data_centre: str, rng: random.Random, wall_ms: t.Callable[[], int]) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self._wall_ms = wall_ms

    def preview(self, rng: random.Random) -> "Balancer":
        """Return a balancer that decides alike, and draws from ``rng`` instead."""
        return Balancer(self._data_centre, rng, self._wall_ms)

    def is_cold(self, peer: Peer, cold_start: ColdStart, now: float) -> bool:
        """Return whether a target counts as cold in the choice."""
        return peer.is_cold(now, self._wall_ms(), cold_start.start_s)

    def expected_response_s(
        self, peer: Peer, candidates: t.Sequence[Peer], now: float, response_bytes: float
    ) -> float:
        """Return the expected time to a peer's response among candidates, in seconds."""
        return self._expected_latency_s(peer, now, _fast_latency_s(candidates), response_bytes)

    def choose(
        self,
        candidates: t.Sequence[Peer],
        excluded: t.Collection[str],
        now: float,
        latency_objective_s: float,
        cold_start: ColdStart | None = None,
        response_bytes: float = 0.0,
    ) -> Peer | None:
        """Return a peer for one attempt, or ``None`` when none is available.

        :param excluded: addresses of nodes that this call was sent to already.
        :param now: event loop time in seconds.
        :param latency_objective_s: seconds within which the response is in time.
        :param cold_start: limits for the service's cold targets, if it has any; such targets are
            chosen in proportion to what they can take.
        :param response_bytes: expected size of the response, if it is large; else 0.
        """
        available = [
            peer
            for peer in candidates
            if not peer.unreachable
            and peer.unavailable_until <= now
            and peer.entry.address not in excluded
        ]
        if not available:
            return None
        healthy = [peer for peer in available if peer.ejected_until <= now]
        if len(healthy) < len(candidates) * MAX_EJECTED_FRACTION:
            healthy = available
        if cold_start is not None:
            cold = [peer for peer in healthy if self.is_cold(peer, cold_start, now)]
            if cold:
                warm = [peer for peer in healthy if not self.is_cold(peer, cold_start, now)]
                chosen = self._choose_cold(cold, warm, cold_start, now)
                if chosen is not None or not warm:
                    return chosen or self._rng.choice(cold)
                healthy = warm
        fast_latency_s = _fast_latency_s(healthy)
        local = [peer for peer in healthy if peer.entry.data_centre == self._data_centre]
        preferred = [
            peer
            for peer in local
            if self._is_preferred(peer, now, fast_latency_s, latency_objective_s, response_bytes)
        ]
        pool = preferred or [peer for peer in healthy if peer.load(now) < 1]
        if pool:
            pool = self._rng.sample(pool, min(2, len(pool)))
            return min(
                pool, key=lambda peer: self._cost_s(peer, now, fast_latency_s, response_bytes)
            )
        pool = [self._rng.choice(healthy)]
        if local:
            pool.append(self._rng.choice(local))
        return min(
            pool,
            key=lambda peer: self._overload_cost_s(peer, now, fast_latency_s, response_bytes),
        )

    def _choose_cold(
        self,
        cold: t.Sequence[Peer],
        warm: t.Sequence[Peer],
        cold_start: ColdStart,
        now: float,
    ) -> Peer | None:
        """Return the cold target for a call, or ``None`` if a warm one is to get it.

        Targets of the own data centre go first, as among warm ones, and a cold one that is full
        gets no call while a warm one is left.
        """
        near = [peer for peer in cold if peer.load(now) < 1]
        free = [peer for peer in warm if peer.load(now) < 1]
        local_free = self._local(free)
        near = self._local(near) or ([] if local_free else near)
        if not near:
            return None
        warm_per_s = sum(_capacity_per_s(peer) for peer in local_free or free or warm)
        if self._rng.random() >= cold_share(cold_start, len(near), warm_per_s):
            return None
        return self._rng.choice(near)

    def _local(self, peers: t.Iterable[Peer]) -> list[Peer]:
        return [peer for peer in peers if peer.entry.data_centre == self._data_centre]

    def _is_preferred(
        self,
        peer: Peer,
        now: float,
        fast_latency_s: float,
        latency_objective_s: float,
        response_bytes: float,
    ) -> bool:
        """Return whether a local target is good enough not to consider remote ones."""
        if (
            peer.load(now) < 1
            and peer.latency_s <= fast_latency_s * SLOW_FACTOR
            and not way_s(peer, now, response_bytes)
        ):
            return True
        return (
            self._expected_latency_s(peer, now, fast_latency_s, response_bytes)
            <= latency_objective_s * LOCAL_LATENCY_FRACTION
        )

    def _expected_latency_s(
        self, peer: Peer, now: float, fast_latency_s: float, response_bytes: float
    ) -> float:
        """Return the expected time to a response, in seconds."""
        latency_s = peer.latency_s or fast_latency_s
        target = peer.entry.target
        if target is not None and target.warm_at_ms > self._wall_ms():
            latency_s *= WARM_UP_FACTOR
        return latency_s * max(1.0, peer.load(now)) + way_s(peer, now, response_bytes)

    def _overload_cost_s(
        self, peer: Peer, now: float, fast_latency_s: float, response_bytes: float
    ) -> float:
        """Return the cost by which targets without free slots are compared."""
        remote = peer.entry.data_centre != self._data_centre
        return self._expected_latency_s(peer, now, fast_latency_s, response_bytes) * (
            REMOTE_COST_FACTOR if remote else 1.0
        )

    def _cost_s(
        self, peer: Peer, now: float, fast_latency_s: float, response_bytes: float
    ) -> float:
        """Return the cost by which other targets are compared; load counts before calls queue."""
        return self._expected_latency_s(peer, now, fast_latency_s, response_bytes) * (
            1 + peer.load(now)
        )


def _fast_latency_s(peers: t.Iterable[Peer]) -> float:
    """Return the latency that counts as fast, also for a target without a measured one.

    Such a target gets calls, which show its latency.
    """
    measured = sorted(peer.latency_s for peer in peers if peer.latency_s)
    return measured[int(len(measured) * FAST_QUANTILE)] if measured else DEFAULT_LATENCY_S


def _capacity_per_s(peer: Peer) -> float:
    """Return the calls per second that a warm target can take, by its slots and latency."""
    target = peer.entry.target
    return target.slots / (peer.latency_s or DEFAULT_LATENCY_S) if target is not None else 0.0
