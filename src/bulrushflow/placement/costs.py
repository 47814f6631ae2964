"""Distributions of service times by the attributes of a call that predict them.

Load: service times with a heavy tail, which differ between routes, and on some routes between
organisations or paths. All times are in seconds.
"""

import bisect
import itertools
import typing as t

BOUNDS_S = tuple(0.005 * 1.35**i for i in range(26))
"""Upper bounds of the histogram's buckets, from 5 ms to about 9 s; a last one has the rest."""
LARGEST_S = BOUNDS_S[-1] * 1.35
MAX_WEIGHT = 512.0
"""Weight at which a histogram halves its counts, so that it follows a target that changes."""
MIN_SAMPLES = 30.0
"""Calls of an attribute's value from which its distribution counts."""
MIN_DIFFERENCE = 0.25
"""Difference from the route's mean, relative to it, from which an attribute's value predicts."""
MAX_KEYS = 256
"""Histograms kept; calls with further values are counted by route only."""
DEFAULT_S = 0.05
"""Service time assumed before the first response."""

_EDGES_S = (0.0, *BOUNDS_S, LARGEST_S)
_MIDDLES_S = tuple((low + high) / 2 for low, high in itertools.pairwise(_EDGES_S))


class CostHistogram:
    """Service times in buckets of growing width."""

    __slots__ = ("_counts", "_sum_s", "weight")

    def __init__(self) -> None:
        self.weight = 0.0
        self._counts = [0.0] * len(_MIDDLES_S)
        self._sum_s = 0.0

    @property
    def mean_s(self) -> float:
        """Mean service time."""
        return self._sum_s / self.weight if self.weight else DEFAULT_S

    def record(self, seconds: float) -> None:
        """Count a call."""
        if self.weight >= MAX_WEIGHT:
            self.weight /= 2
            self._sum_s /= 2
            self._counts = [count / 2 for count in self._counts]
        self._counts[bisect.bisect_left(BOUNDS_S, seconds)] += 1
        self._sum_s += seconds
        self.weight += 1

    def remaining_s(self, elapsed_s: float) -> float:
        """Return the mean time left of a call that has run for ``elapsed_s``.

        A call that has run for longer than every known one is taken to need as long again.
        """
        first = bisect.bisect_left(BOUNDS_S, elapsed_s)
        weight = seconds = 0.0
        for i in range(first, len(self._counts)):
            count = self._counts[i]
            if count:
                weight += count
                seconds += count * max(_MIDDLES_S[i], elapsed_s)
        if not weight:
            return max(elapsed_s, self.mean_s)
        return max(seconds / weight - elapsed_s, 0.0)


class CostModel:
    """Chooses, for each call, the distribution of the attribute that says most of its cost."""

    __slots__ = ("_by_key",)

    def __init__(self) -> None:
        self._by_key: dict[tuple[str, ...], CostHistogram] = {}

    def histogram(self, route: str, organisation: str, path: str) -> CostHistogram:
        """Return the distribution for a call; that of its route where nothing else predicts."""
        by_route = self._by_key.get((route,))
        if by_route is None:
            return CostHistogram()
        best, most_s = by_route, MIN_DIFFERENCE * by_route.mean_s
        for key in _specific_keys(route, organisation, path):
            found = self._by_key.get(key)
            if found is None or found.weight < MIN_SAMPLES:
                continue
            difference_s = abs(found.mean_s - by_route.mean_s)
            if difference_s > most_s:
                best, most_s = found, difference_s
        return best

    def route_mean_s(self, route: str) -> float:
        """Return the mean service time of a route's calls."""
        found = self._by_key.get((route,))
        return found.mean_s if found is not None else DEFAULT_S

    def record(self, route: str, organisation: str, path: str, seconds: float) -> None:
        """Count the service time of a call that was answered."""
        for key in ((route,), *_specific_keys(route, organisation, path)):
            histogram = self._by_key.get(key)
            if histogram is None:
                if len(self._by_key) >= MAX_KEYS:
                    continue
                histogram = self._by_key[key] = CostHistogram()
            histogram.record(seconds)


def _specific_keys(route: str, organisation: str, path: str) -> t.Iterator[tuple[str, ...]]:
    """Yield the keys below the route. The path's last part mostly names a single object."""
    parent = path.partition("?")[0].rpartition("/")[0]
    if parent:
        yield route, "path", parent
    if organisation:
        yield route, "organisation", organisation
