"""Choice of the target for one attempt: local ones first, by expected time to an answer."""

import random
import typing as t

from bulrushflow.sidecar.directory import Peer

LOCAL_LATENCY_FRACTION = 0.8
"""Part of the useful time within which a loaded local target has to answer to be preferred; calls
between data centres cost more than some waiting."""
FAST_QUANTILE = 0.25
"""Part of a service's targets that are faster than what counts as fast; one that was lucky in a few
calls is no measure."""
SLOW_FACTOR = 3.0
"""Times the latency of a fast target from which a local one with free slots isn't preferred."""
REMOTE_COST_FACTOR = 1.5
"""Times its expected time that a target elsewhere counts with, where none has free slots: bytes
between data centres are not worth a small gain."""
WARM_UP_FACTOR = 2.0
"""How much slower a target is taken to be while it warms up."""
DEFAULT_LATENCY_S = 0.05
"""Taken for targets while none of them has answered yet."""
MAX_EJECTED_FRACTION = 0.5
"""Part of a service's targets that may be ejected at once, so that the rest isn't drowned."""


class Balancer:
    """Power of two choices on expected time, own data centre first."""

    __slots__ = ("_data_centre", "_rng", "_wall_ms")

    def __init__(self, data_centre: str, rng: random.Random, wall_ms: t.Callable[[], int]) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self._wall_ms = wall_ms

    def choose(
        self,
        candidates: t.Sequence[Peer],
        excluded: t.Collection[str],
        now: float,
        latency_objective_s: float,
    ) -> Peer | None:
        """Return a peer for one attempt; ``None`` when none is available.

        :param excluded: addresses of nodes that refused this call already.
        :param latency_objective_s: time in which an answer has its full worth.
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
        # A target that has not answered yet counts as a fast one, so that it gets calls.
        measured = sorted(peer.latency_s for peer in healthy if peer.latency_s)
        default_latency_s = (
            measured[int(len(measured) * FAST_QUANTILE)] if measured else DEFAULT_LATENCY_S
        )
        local = [peer for peer in healthy if peer.entry.data_centre == self._data_centre]
        preferred = [
            peer
            for peer in local
            if self._is_preferred(peer, now, default_latency_s, latency_objective_s)
        ]
        pool = preferred or [peer for peer in healthy if peer.load(now) < 1]
        if pool:
            pool = self._rng.sample(pool, min(2, len(pool)))
            return min(pool, key=lambda peer: self._cost_s(peer, now, default_latency_s))
        pool = [self._rng.choice(healthy)]
        if local:
            pool.append(self._rng.choice(local))
        return min(pool, key=lambda peer: self._overload_cost_s(peer, now, default_latency_s))

    def _is_preferred(
        self, peer: Peer, now: float, default_latency_s: float, latency_objective_s: float
    ) -> bool:
        """Tell whether a local target is preferred enough not to look further."""
        if peer.load(now) < 1 and peer.latency_s <= default_latency_s * SLOW_FACTOR:
            return True
        return (
            self._expected_latency_s(peer, now, default_latency_s)
            <= latency_objective_s * LOCAL_LATENCY_FRACTION
        )

    def _expected_latency_s(self, peer: Peer, now: float, default_latency_s: float) -> float:
        """Return the expected time to an answer, in seconds."""
        latency_s = peer.latency_s or default_latency_s
        target = peer.entry.target
        if target is not None and target.warm_at_ms > self._wall_ms():
            latency_s *= WARM_UP_FACTOR
        return latency_s * max(1.0, peer.load(now))

    def _overload_cost_s(self, peer: Peer, now: float, default_latency_s: float) -> float:
        """Return what targets are compared by where calls wait at each of them."""
        remote = peer.entry.data_centre != self._data_centre
        return self._expected_latency_s(peer, now, default_latency_s) * (
            REMOTE_COST_FACTOR if remote else 1.0
        )

    def _cost_s(self, peer: Peer, now: float, default_latency_s: float) -> float:
        """Return what targets are compared by: free slots count even where nothing waits."""
        return self._expected_latency_s(peer, now, default_latency_s) * (1 + peer.load(now))
