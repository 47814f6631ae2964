"""The wait for a response to a ping, which goes on while the frames ahead of it make progress."""

import asyncio
import fcntl
import struct
import termios

import msgspec

_QUEUED_BYTES = struct.Struct("i")
_SIOCOUTQNSD = 0x894B
"""Linux's request for the bytes of a socket's send queue that were not sent yet."""


class Ping(msgspec.Struct):
    """A ping after which no bytes were received yet.

    :param offset: bytes written to the connection before the ping.
    :param acknowledged: how many of these the peer has acknowledged.
    :param waiting_since: time of the ping, or of the check that last found more acknowledged.
    """

    offset: int
    acknowledged: int
    waiting_since: float

    def record_progress(self, now: float, acknowledged: int) -> None:
        """Restart the wait if more of the bytes ahead of the ping are acknowledged.

        Bytes behind the ping don't count: a relay that discards what it reads acknowledges them,
        and new requests would keep its connection open for good.

        :param acknowledged: bytes of the whole connection that the peer has acknowledged.
        """
        acknowledged = min(acknowledged, self.offset)
        if acknowledged > self.acknowledged:
            self.acknowledged = acknowledged
            self.waiting_since = now


def unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Return the bytes in a transport's write buffer and in the kernel's send queue.

    Where the system doesn't tell the second part, only the first is returned.
    """
    # SIOCOUTQ, by the name that Python has for the same number.
    return transport.get_write_buffer_size() + _queued_bytes(transport, termios.TIOCOUTQ)


def unsent_bytes(transport: asyncio.Transport) -> int:
    """Return the bytes in a transport's write buffer, and in the kernel's if they weren't sent."""
    return transport.get_write_buffer_size() + _queued_bytes(transport, _SIOCOUTQNSD)


def _queued_bytes(transport: asyncio.Transport, request: int) -> int:
    """Return the answer to a request for the length of the kernel's send queue; 0 without one."""
    raw = transport.get_extra_info("socket")
    if raw is None:
        return 0
    try:
        data = fcntl.ioctl(raw.fileno(), request, bytes(_QUEUED_BYTES.size))
    except (OSError, ValueError):
        return 0
    queued: int = _QUEUED_BYTES.unpack(data)[0]
    return queued
