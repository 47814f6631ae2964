"""Choice of the target for one attempt: near ones first, by expected time to an answer."""

import random
import typing as t

from bulrushflow.sidecar.directory import Peer

NEAR_LOAD = 0.85
"""Load per slot below which a target in the own data centre is preferred."""
COLD_FACTOR = 2.0
"""How much slower a target is taken to be while it warms up."""
DEFAULT_LATENCY_S = 0.05
"""Taken for a target that has not answered yet; low, so that new targets get calls."""
MAX_EJECTED_PART = 0.5
"""Part of a service's targets that may be ejected at once, so that the rest isn't drowned."""


class Balancer:
    """Power of two choices on expected time, own data centre first."""

    __slots__ = ("_data_centre", "_rng", "_wall_ms")

    def __init__(self, data_centre: str, rng: random.Random, wall_ms: t.Callable[[], int]) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self._wall_ms = wall_ms

    def choose(
        self, candidates: t.Sequence[Peer], excluded: t.Collection[str], now: float
    ) -> Peer | None:
        """Return a peer for one attempt; ``None`` when none is left.

        :param excluded: addresses of nodes that refused this call already.
        """
        left = [
            peer
            for peer in candidates
            if peer.unavailable_until <= now and peer.entry.address not in excluded
        ]
        if not left:
            return None
        sound = [peer for peer in left if peer.ejected_until <= now]
        if len(sound) < len(candidates) * MAX_EJECTED_PART:
            sound = left
        near = [
            peer
            for peer in sound
            if peer.entry.data_centre == self._data_centre and peer.load(now) < NEAR_LOAD
        ]
        pool = near or [peer for peer in sound if peer.load(now) < 1] or sound
        if len(pool) > 2:
            pool = self._rng.sample(pool, 2)
        return min(pool, key=lambda peer: (self.expected_s(peer, now), self._rng.random()))

    def expected_s(self, peer: Peer, now: float) -> float:
        """Return the expected time to an answer, in seconds."""
        latency_s = peer.latency_s or DEFAULT_LATENCY_S
        target = peer.entry.target
        if target is not None and target.warm_at_ms > self._wall_ms():
            latency_s *= COLD_FACTOR
        return latency_s * (1 + peer.load(now))
