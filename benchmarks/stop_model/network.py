"""Uplinks, and the connections between nodes that share them."""

import asyncio
import typing as t

from bulrushflow.wire.link import Link

WAY_S = 0.002
"""Time on the way behind the uplink."""
HEADER_BYTES = 40


class Uplink:
    """A node's link: one first-in-first-out queue for all that it sends."""

    __slots__ = ("_bytes_per_s", "_free_at")

    def __init__(self, mbps: float) -> None:
        self._bytes_per_s = mbps * 1e6 / 8
        self._free_at = 0.0

    def transmit(self, size: int, on_passed: t.Callable[[], None]) -> None:
        """Add bytes to the queue; call back once the last of them has passed."""
        loop = asyncio.get_running_loop()
        wire_bytes = size + HEADER_BYTES
        self._free_at = max(self._free_at, loop.time()) + wire_bytes / self._bytes_per_s
        loop.call_at(self._free_at, on_passed)


class LinkTransport(asyncio.Transport):
    """One end of a connection between two nodes. All bytes that haven't passed count as unsent."""

    def __init__(self, uplink: Uplink, link: Link) -> None:
        super().__init__()
        self._uplink = uplink
        self._link = link
        self.peer: LinkTransport | None = None
        self._unsent_bytes = 0
        self._closing = False
        self._lost = False

    def get_write_buffer_size(self) -> int:
        return self._unsent_bytes

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Take the limits, which the loads of this model don't reach."""

    def is_closing(self) -> bool:
        return self._closing

    def write(self, data: t.Any) -> None:
        if self._closing:
            return
        size = len(data)
        self._unsent_bytes += size
        self._uplink.transmit(size, lambda: self._pass_on(bytes(data)))

    def close(self) -> None:
        self._closing = True
        if not self._unsent_bytes:
            self.abort()

    def abort(self) -> None:
        self._closing = True
        for end in (self, self.peer):
            if end is not None:
                # Behind the bytes that are on their way.
                asyncio.get_running_loop().call_later(WAY_S, end._lose)

    def _pass_on(self, data: bytes) -> None:
        if self._lost:
            return
        self._unsent_bytes -= len(data)
        asyncio.get_running_loop().call_later(WAY_S, self._deliver, data)
        if self._closing and not self._unsent_bytes:
            self.abort()

    def _deliver(self, data: bytes) -> None:
        if self.peer is not None and not self.peer._lost:
            self.peer._link.data_received(data)

    def _lose(self) -> None:
        if not self._lost:
            self._lost = self._closing = True
            self._link.connection_lost(None)


def join(first: Link, first_uplink: Uplink, second: Link, second_uplink: Uplink) -> None:
    """Connect two nodes' ends of a link."""
    ends = LinkTransport(first_uplink, first), LinkTransport(second_uplink, second)
    ends[0].peer, ends[1].peer = ends[1], ends[0]
    first.connection_made(ends[0])
    second.connection_made(ends[1])
