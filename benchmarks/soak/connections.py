"""The callers' HTTP connections, which carry one call after the other."""

import asyncio
import socket
import typing as t
import zlib

from benchmarks.soak.events import Call
from benchmarks.soak.routes import HOST
from bulrushflow.platform.headers import HEADER_NAMES

CONNECT_TIMEOUT_S = 1.0
READ_BYTES = 16 << 10
SLOW_READ_BYTES = 8 << 10
SLOW_BYTES_PER_S = 250_000
SLOW_BUFFER_BYTES = 16 << 10


class Connection:
    """A connection to one node.

    :param slow: reads at ``SLOW_BYTES_PER_S``, with a small receive buffer.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, slow: bool
    ) -> None:
        self.used = False
        self.retry_after_s: float | None = None
        """What the last response said."""
        self._reader = reader
        self._writer = writer
        self._slow = slow
        self._reusable = True

    @classmethod
    async def open(cls, address: str, port: int, slow: bool) -> "Connection":
        """Connect to a node.

        :raises OSError: if it refuses.
        :raises TimeoutError: after ``CONNECT_TIMEOUT_S``.
        """
        sock = socket.socket()
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if slow:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().sock_connect(sock, (address, port))
                limit = SLOW_READ_BYTES if slow else READ_BYTES
                reader, writer = await asyncio.open_connection(sock=sock, limit=limit)
        except BaseException:
            sock.close()
            raise
        return cls(reader, writer, slow)

    @property
    def usable(self) -> bool:
        """Whether another call can be sent."""
        return self._reusable and not self._reader.at_eof() and not self._writer.is_closing()

    def close(self) -> None:
        """Close the connection."""
        self._reusable = False
        self._writer.close()

    async def exchange(self, call: Call, path: str, now: t.Callable[[], float]) -> None:
        """Send a call and read its response; the call gets what was seen of it.

        It waits beyond the caller's deadline, so that the record shows when the node ends the call.
        """
        self.retry_after_s = None
        head = (
            f"{'POST' if call.unsafe else 'GET'} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"{HEADER_NAMES.request_id}: {call.call_id}\r\n"
            f"{HEADER_NAMES.timeout_ms}: {round(call.timeout_s * 1000)}\r\n"
            f"{'Content-Length: 0' if call.unsafe else 'Accept: */*'}\r\n\r\n"
        )
        self._writer.write(head.encode())
        call.sent_at = now()
        self.used = True
        try:
            async with asyncio.timeout(call.timeout_s + 1.0):
                await self._read_response(call)
        except (OSError, EOFError, ValueError) as exc:
            call.error = repr(exc)
        call.ended_at = now()
        if not call.complete:
            self.close()

    async def _read_response(self, call: Call) -> None:
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status_line, *lines = head.rstrip("\r\n").split("\r\n")
        fields = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines)
        }
        call.status = int(status_line.split()[1])
        call.response_id = fields.get(HEADER_NAMES.request_id.lower(), "")
        call.signed = HEADER_NAMES.signature.lower() in fields
        if fields.get("connection", "").lower() == "close":
            self._reusable = False
        if "retry-after" in fields:
            self.retry_after_s = float(fields["retry-after"])
        await self._read_body(call, int(fields["content-length"]))
        call.complete = True

    async def _read_body(self, call: Call, size: int) -> None:
        step = SLOW_READ_BYTES if self._slow else READ_BYTES
        while call.received_bytes < size:
            data = await self._reader.read(min(step, size - call.received_bytes))
            if not data:
                raise EOFError(f"closed after {call.received_bytes} of {size} bytes")
            call.received_bytes += len(data)
            call.digest = zlib.crc32(data, call.digest)
            if self._slow:
                await asyncio.sleep(len(data) / SLOW_BYTES_PER_S)
