"""What a node's link can carry: the pace of large responses, the backlog, and delivery in time.

Load: downloads of 90 to 540 KB from targets with links of 5 or 6 Mbit/s, beside small responses
that other targets need within 200 ms. Sent at full speed, several downloads fill the link's queue
with seconds of data, and the small responses behind them time out.
"""

import math
import typing as t

PACED_FRACTION = 0.85
"""Fraction of the link's bandwidth for paced bytes. The rest covers the headers of TCP and IP, some
4 in 100, and traffic that passes no connection between nodes, so that the link's own queue stays
short."""
BURST_S = 0.005
"""Time for which the link may have bytes to send when the next chunk is written. It spares fast
links a timer for each chunk."""
CHUNK_S = 0.01
"""Time that a chunk should occupy the link for, within the bounds on its size."""
MIN_CHUNK_BYTES = 8 << 10
MAX_CHUNK_BYTES = 16 << 10
WINDOW_S = 0.05
"""Time that a window should occupy the receiver's link for, within the bounds on its size. It
covers a round trip between data centres; a larger one would only queue ahead of the link."""
MIN_WINDOW_BYTES = 32 << 10
MAX_WINDOW_BYTES = 128 << 10
"""Bytes of one response that are held for a slow caller."""
LARGE_RESPONSE_BYTES = 16 << 10
"""Size above which a response is sent in chunks, and its route counts as one of large responses."""
SIZE_SMOOTHING = 0.05
"""Weight of the latest response in a route's mean size."""
MAX_ROUTES = 256
"""Routes whose mean size is kept; the names come from other nodes."""


class LinkPacer:
    """Tracks when one node's link has sent what was written to it, over all connections.

    Every byte counts, but only chunks wait for their turn.

    :param mbps: bandwidth of the link in megabits per second, above 0.
    """

    __slots__ = (
        "_bytes_per_s",
        "_expected_by_key",
        "_free_at",
        "_waiting_bytes",
        "chunk_bytes",
        "window_bytes",
    )

    def __init__(self, mbps: float) -> None:
        link_bytes_per_s = mbps * 1e6 / 8
        self._bytes_per_s = link_bytes_per_s * PACED_FRACTION
        self._free_at = -math.inf
        self._waiting_bytes = 0
        self._expected_by_key: dict[t.Hashable, float] = {}
        self.chunk_bytes = int(
            min(MAX_CHUNK_BYTES, max(MIN_CHUNK_BYTES, link_bytes_per_s * CHUNK_S))
        )
        """Size of the chunks, in bytes."""
        self.window_bytes = int(
            min(MAX_WINDOW_BYTES, max(MIN_WINDOW_BYTES, link_bytes_per_s * WINDOW_S))
        )
        """Bytes of one response that this node takes before it grants more."""

    def record_written(self, size: int, now: float) -> None:
        """Count ``size`` bytes that were written to any connection."""
        self._free_at = max(self._free_at, now) + self.transfer_s(size)

    def next_chunk_at(self, now: float) -> float:
        """Return when the next chunk may be written; ``now`` or earlier if it may be at once."""
        return self._free_at - BURST_S

    def add_waiting(self, size: int) -> None:
        """Count bytes of responses that wait to be written; negative once they don't any more."""
        self._waiting_bytes += size

    def backlog_s(self, now: float) -> float:
        """Return how long the link needs for what is written, waits or is expected, in seconds."""
        return max(0.0, self._free_at - now) + self.transfer_s(self.pending_bytes)

    def transfer_s(self, size: float) -> float:
        """Return how long the link takes for so many bytes, in seconds."""
        return size / self._bytes_per_s

    @property
    def pending_bytes(self) -> float:
        """Bytes of large responses that wait or are expected."""
        return self._waiting_bytes + sum(self._expected_by_key.values())

    def delivery_s(self, size: float, now: float) -> float:
        """Return after how many seconds ``size`` more bytes are delivered, behind the backlog."""
        return self.backlog_s(now) + self.transfer_s(size)

    def can_deliver(self, size: float, within_s: float, now: float) -> bool:
        """Return whether ``size`` more bytes can be delivered within a time.

        What was accepted before counts in full, although transfers take turns: otherwise each new
        one would be accepted at the cost of those that are under way.
        """
        return self.delivery_s(size, now) <= within_s

    def expect(self, key: t.Hashable, size: float) -> None:
        """Count the response of an accepted call, until :meth:`settle` with the same key."""
        self._expected_by_key[key] = size

    def settle(self, key: t.Hashable) -> None:
        """Forget an expected response, which failed or is counted as waiting from now on."""
        self._expected_by_key.pop(key, None)


class ResponseSizes:
    """The mean size of the responses of each route, in bytes."""

    __slots__ = ("_mean_by_route",)

    def __init__(self) -> None:
        self._mean_by_route: dict[str, float] = {}

    def record(self, route: str, size: int) -> None:
        """Count the body of one response."""
        mean = self._mean_by_route.get(route)
        if mean is None:
            if len(self._mean_by_route) >= MAX_ROUTES:
                return
            mean = float(size)
        self._mean_by_route[route] = mean + (size - mean) * SIZE_SMOOTHING

    def large_bytes(self, route: str) -> float:
        """Return the mean size of a route whose responses are large; 0 for any other."""
        mean = self._mean_by_route.get(route, 0.0)
        return mean if mean > LARGE_RESPONSE_BYTES else 0.0
