"""Choice of the target for one attempt: near ones first, by expected time to an answer."""

import random
import typing as t

from bulrushflow.sidecar.directory import Peer

NEAR_PART = 0.8
"""Part of the useful time within which a loaded near target has to answer to be preferred; calls
between data centres cost more than some waiting."""
FAST_PART = 0.25
"""Part of a service's targets that are faster than what counts as fast; one that was lucky in a few
calls is no measure."""
SLOW_FACTOR = 3.0
"""Times the latency of a fast target from which a near one with free slots isn't preferred."""
FAR_FACTOR = 1.5
"""Times its expected time that a target elsewhere counts with, where none has free slots: bytes
between data centres are not worth a small gain."""
COLD_FACTOR = 2.0
"""How much slower a target is taken to be while it warms up."""
DEFAULT_LATENCY_S = 0.05
"""Taken for targets while none of them has answered yet."""
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
        self,
        candidates: t.Sequence[Peer],
        excluded: t.Collection[str],
        now: float,
        useful_s: float,
    ) -> Peer | None:
        """Return a peer for one attempt; ``None`` when none is left.

        :param excluded: addresses of nodes that refused this call already.
        :param useful_s: time in which an answer has its full worth.
        """
        left = [
            peer
            for peer in candidates
            if not peer.unreachable
            and peer.unavailable_until <= now
            and peer.entry.address not in excluded
        ]
        if not left:
            return None
        sound = [peer for peer in left if peer.ejected_until <= now]
        if len(sound) < len(candidates) * MAX_EJECTED_PART:
            sound = left
        # A target that has not answered yet counts as a fast one, so that it gets calls.
        known = sorted(peer.latency_s for peer in sound if peer.latency_s)
        unknown_s = known[int(len(known) * FAST_PART)] if known else DEFAULT_LATENCY_S
        near = [peer for peer in sound if peer.entry.data_centre == self._data_centre]
        good = [peer for peer in near if self._is_good(peer, now, unknown_s, useful_s)]
        pool = good or [peer for peer in sound if peer.load(now) < 1]
        if pool:
            pool = self._rng.sample(pool, min(2, len(pool)))
            return min(pool, key=lambda peer: self._cost_s(peer, now, unknown_s))
        pool = [self._rng.choice(sound)]
        if near:
            pool.append(self._rng.choice(near))
        return min(pool, key=lambda peer: self._overload_cost_s(peer, now, unknown_s))

    def _is_good(self, peer: Peer, now: float, unknown_s: float, useful_s: float) -> bool:
        """Tell whether a near target is good enough not to look further."""
        if peer.load(now) < 1 and peer.latency_s <= unknown_s * SLOW_FACTOR:
            return True
        return self._expected_s(peer, now, unknown_s) <= useful_s * NEAR_PART

    def _expected_s(self, peer: Peer, now: float, unknown_s: float) -> float:
        """Return the expected time to an answer, in seconds."""
        latency_s = peer.latency_s or unknown_s
        target = peer.entry.target
        if target is not None and target.warm_at_ms > self._wall_ms():
            latency_s *= COLD_FACTOR
        return latency_s * max(1.0, peer.load(now))

    def _overload_cost_s(self, peer: Peer, now: float, unknown_s: float) -> float:
        """Return what targets are compared by where calls wait at each of them."""
        far = peer.entry.data_centre != self._data_centre
        return self._expected_s(peer, now, unknown_s) * (FAR_FACTOR if far else 1.0)

    def _cost_s(self, peer: Peer, now: float, unknown_s: float) -> float:
        """Return what targets are compared by: free slots count even where nothing waits."""
        return self._expected_s(peer, now, unknown_s) * (1 + peer.load(now))
