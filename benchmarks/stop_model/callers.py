"""A caller's connection, which its node writes to and which it reads at its own rate."""

import asyncio
import typing as t

from benchmarks.stop_model.ledger import CallEntry
from benchmarks.stop_model.network import Uplink

SEGMENT_BYTES = 8 << 10
KERNEL_BYTES = 64 << 10
"""Bytes that the system holds for a connection, and sends on after the end of the process."""
RECEIVE_BUFFER_BYTES = 32 << 10
HIGH_WATER_BYTES = 64 << 10
"""Bytes in the process's buffer from which on a write waits."""


class CallerConnection:
    """One connection, for one call. Its bytes share the node's uplink."""

    def __init__(self, entry: CallEntry, uplink: Uplink, reading_mbps: float) -> None:
        self.entry = entry
        self._uplink = uplink
        self._bytes_per_s = reading_mbps * 1e6 / 8
        self._queued_bytes = 0
        self._arriving_bytes = 0
        """Bytes that have passed the uplink, and that the caller has not read."""
        self._sending = False
        self._read_at = 0.0
        self._drained = asyncio.Event()
        self._drained.set()
        self.closed = False

    @property
    def unsent_bytes(self) -> int:
        """Bytes in the process's buffer."""
        return max(0, self._queued_bytes - KERNEL_BYTES)

    async def write(self, size: int) -> None:
        """Add bytes, and wait while the buffer is full."""
        if self.closed:
            raise ConnectionResetError
        self._queued_bytes += size
        self._update()
        self._send()
        await self._drained.wait()

    def end(self) -> None:
        """Close the connection as the process ends; what its buffer holds is lost."""
        if self.closed:
            return
        self._cut()
        self._queued_bytes -= self.unsent_bytes
        self._close_if_empty()

    def abort(self) -> None:
        """Close the connection without sending what is queued."""
        if not self.closed:
            self._cut()
            self._queued_bytes = self._arriving_bytes = 0
            self._close_if_empty()
        self._drained.set()

    def _cut(self) -> None:
        self.closed = True
        self.entry.cut_at = asyncio.get_running_loop().time()

    def _update(self) -> None:
        (self._drained.clear if self.unsent_bytes > HIGH_WATER_BYTES else self._drained.set)()

    def _send(self) -> None:
        if not self._sending and self._queued_bytes:
            self._sending = True
            size = min(SEGMENT_BYTES, self._queued_bytes)
            self._uplink.transmit(size, lambda: self._pass(size))

    def _pass(self, size: int) -> None:
        loop = asyncio.get_running_loop()
        self._read_at = max(self._read_at, loop.time()) + size / self._bytes_per_s
        size = min(size, self._queued_bytes)
        self._queued_bytes -= size
        self._arriving_bytes += size
        self._update()
        loop.call_at(self._read_at, self._read, size)
        # The caller's system takes no more while its buffer is full.
        next_at = self._read_at - RECEIVE_BUFFER_BYTES / self._bytes_per_s
        loop.call_at(max(loop.time(), next_at), self._send_next)

    def _send_next(self) -> None:
        self._sending = False
        self._send()

    def _read(self, size: int) -> None:
        if not self._arriving_bytes:
            return
        self._arriving_bytes -= size
        self.entry.read_bytes += size
        if self.entry.is_whole:
            self.closed = True
        self._close_if_empty()

    def _close_if_empty(self) -> None:
        if self.closed and not self._queued_bytes and not self._arriving_bytes:
            self.entry.close(asyncio.get_running_loop().time())


class CallerResponse:
    """What the product's writing of a response needs of the HTTP server's response."""

    def __init__(self, connection: CallerConnection) -> None:
        self._connection = connection
        self.content_length = 0

    async def prepare(self, request: t.Any) -> None:
        """Begin the response: from now on it can't become a refusal."""
        self._connection.entry.begin(200, self.content_length)

    async def write(self, data: bytes) -> None:
        """Write a part of the body."""
        await self._connection.write(len(data))

    async def write_eof(self) -> None:
        """End the body."""


class CallerRequest:
    """What the product's writing of a response needs of the HTTP server's request."""

    def __init__(self, connection: CallerConnection) -> None:
        self.transport = connection
