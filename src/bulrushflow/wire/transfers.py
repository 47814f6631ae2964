"""Bodies that one connection receives and sends in chunks, by the number of their exchange."""

import asyncio
import collections
import math
import typing as t

import msgspec
from result import Err
from result import Ok
from result import Result

from bulrushflow.wire import messages
from bulrushflow.wire.chunks import ChunkLink
from bulrushflow.wire.chunks import ChunkSender
from bulrushflow.wire.chunks import OutgoingBody
from bulrushflow.wire.chunks import TransferEnd

GRANT_FRACTION = 0.5
"""Fraction of the window that the reader consumes before it is granted again."""


class ChunkedResponse(msgspec.Struct, frozen=True):
    """A response whose body follows its head in chunks.

    :param head: the frame's fields.
    :param window: bytes of the body that may be sent before the receiver grants more.
    :param on_end: called once the body was sent, or is not sent any further.
    :param due_at: event loop time after which the response is late.
    :param deadline: event loop time after which the receiver doesn't take it any more.
    """

    head: dict[str, t.Any]
    body: bytes
    window: int
    on_end: t.Callable[[TransferEnd], None]
    due_at: float = math.inf
    deadline: float = math.inf


class IncomingBody:
    """A body that arrives in chunks, for one reader.

    At most ``window`` bytes are held: the sender is granted more as the reader consumes them.

    :param total: length of the body, in bytes.
    :param on_grant: called with the bytes by which the sender's window grows.
    :param on_cancel: called when the body is closed before all of it arrived.
    """

    __slots__ = (
        "_chunks",
        "_consumed_bytes",
        "_error",
        "_granted_bytes",
        "_on_cancel",
        "_on_grant",
        "_received_bytes",
        "_waiter",
        "_window",
        "total",
    )

    def __init__(
        self,
        total: int,
        window: int,
        on_grant: t.Callable[[int], None],
        on_cancel: t.Callable[[], None],
    ) -> None:
        self.total = total
        self._window = window
        self._granted_bytes = window
        self._on_grant = on_grant
        self._on_cancel = on_cancel
        self._received_bytes = 0
        self._consumed_bytes = 0
        """Bytes read since the last grant."""
        self._chunks: collections.deque[bytes] = collections.deque()
        self._error: str | None = None
        self._waiter: asyncio.Future[None] | None = None

    @property
    def held_bytes(self) -> int:
        """Bytes that arrived and were not read."""
        return sum(map(len, self._chunks))

    @property
    def open(self) -> bool:
        """Whether the body can be read, as it has neither failed nor been closed."""
        return self._error is None

    @property
    def arrived(self) -> bool:
        """Whether all bytes have arrived."""
        return self._received_bytes == self.total

    def add(self, data: bytes) -> bool:
        """Add a chunk; return whether the window and the length allow it, and the body goes on."""
        received = self._received_bytes + len(data)
        if self._error is not None or received > min(self.total, self._granted_bytes):
            return False
        self._received_bytes = received
        self._chunks.append(data)
        self._wake()
        return True

    def fail(self, reason: str) -> None:
        """End the body before its end; reads fail from now on, with the first reason given."""
        self._error = self._error or reason
        self._chunks.clear()
        self._wake()

    def close(self) -> None:
        """Discard the body; one that hasn't arrived as a whole is cancelled at its sender."""
        if self._error is not None:
            return
        cancelled = not self.arrived
        self.fail("closed by its reader")
        if cancelled:
            self._on_cancel()

    async def wait_begun(self) -> Result[None, str]:
        """Wait for the first bytes."""
        while self._error is None and not self._chunks:
            await self._wait()
        return Ok(None) if self._error is None else Err(self._error)

    async def read(self) -> Result[bytes, str]:
        """Return the next bytes; none at the end. The error says why the rest won't arrive."""
        while self._error is None and not self._chunks and not self.arrived:
            await self._wait()
        if self._error is not None:
            return Err(self._error)
        if not self._chunks:
            return Ok(b"")
        data = self._chunks.popleft()
        self._consumed_bytes += len(data)
        self._grant()
        return Ok(data)

    async def read_all(self) -> Result[bytes, str]:
        """Return the rest of the body."""
        chunks: list[bytes] = []
        while True:
            match await self.read():
                case Ok(b""):
                    return Ok(b"".join(chunks))
                case Ok(data):
                    chunks.append(data)
                case Err(reason):
                    return Err(reason)

    def _grant(self) -> None:
        if self._granted_bytes >= self.total:
            return
        if self._consumed_bytes < self._window * GRANT_FRACTION:
            return
        self._granted_bytes += self._consumed_bytes
        self._on_grant(self._consumed_bytes)
        self._consumed_bytes = 0

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class LinkTransfers:
    """The bodies that are in transfer on one connection.

    Numbers of received bodies are those of this node's exchanges, numbers of sent ones the peer's.
    """

    __slots__ = ("_deadlines", "_incoming", "_link", "_outgoing", "_sender", "_untaken")

    def __init__(self, link: ChunkLink, sender: ChunkSender) -> None:
        self._link = link
        self._sender = sender
        self._incoming: dict[int, IncomingBody] = {}
        self._untaken: dict[int, IncomingBody] = {}
        """Bodies whose exchange has not returned yet."""
        self._outgoing: dict[int, OutgoingBody] = {}
        self._deadlines: dict[int, float] = {}
        """Deadlines that the peer moved, of exchanges whose bodies are not being sent yet."""

    @property
    def receiving(self) -> bool:
        """Whether bodies are being received."""
        return bool(self._incoming)

    @property
    def incoming(self) -> t.Collection[int]:
        """The exchanges whose bodies are being received."""
        return self._incoming.keys()

    def begin(self, exchange: int, total: int, window: int) -> None:
        """Expect the body of a response whose head has arrived."""

        def grant(size: int) -> None:
            self._link.send(exchange=exchange, body_grant=messages.BodyGrant(size=size))

        body = IncomingBody(total, window, grant, lambda: self._cancel(exchange))
        self._incoming[exchange] = self._untaken[exchange] = body

    def take(self, exchange: int) -> IncomingBody | None:
        """Return the body of an exchange that has returned; its reader has to close it."""
        return self._untaken.pop(exchange, None)

    def discard(self, exchange: int) -> None:
        """Forget the body of an exchange that was cancelled, which its sender is told anyway."""
        self._incoming.pop(exchange, None)
        self._untaken.pop(exchange, None)

    def receive_chunk(self, exchange: int, data: bytes) -> None:
        """Add a chunk to its body; those of bodies that were cancelled are ignored."""
        body = self._incoming.get(exchange)
        if body is None:
            return
        if not body.add(data):
            body.fail(f"the peer sent more than the window or the length of {body.total} bytes")
            self._cancel(exchange)
        elif body.arrived:
            del self._incoming[exchange]

    def fail(self, exchange: int, reason: str) -> bool:
        """End a body that its sender can't complete; return whether one was being received."""
        body = self._incoming.pop(exchange, None)
        if body is None:
            return False
        body.fail(reason)
        return True

    def fail_all(self, reason: str) -> None:
        """End all bodies that are being received."""
        for exchange in list(self._incoming):
            self.fail(exchange, reason)

    async def send(self, exchange: int, response: ChunkedResponse) -> None:
        """Send a response's body in chunks; a cancellation stops it at once."""
        sent = asyncio.get_running_loop().create_future()

        def complete() -> None:
            if not sent.done():
                sent.set_result(None)

        outgoing = OutgoingBody(
            self._link,
            exchange,
            response.body,
            response.window,
            complete,
            response.due_at,
            min(response.deadline, self._deadlines.pop(exchange, math.inf)),
        )
        self._outgoing[exchange] = outgoing
        try:
            self._sender.start(outgoing)
            await sent
        finally:
            self._sender.stop(outgoing)
            del self._outgoing[exchange]
            response.on_end(outgoing.end(asyncio.get_running_loop().time()))

    def receive_grant(self, exchange: int, size: int) -> None:
        """Enlarge the window of a body that is being sent."""
        outgoing = self._outgoing.get(exchange)
        if outgoing is not None and size > 0:
            self._sender.grant(outgoing, size)

    def limit_deadline(self, exchange: int, deadline: float) -> None:
        """Move the deadline of a body that is being sent, or will be, if it is later."""
        outgoing = self._outgoing.get(exchange)
        if outgoing is not None:
            outgoing.deadline = min(outgoing.deadline, deadline)
        else:
            self._deadlines[exchange] = deadline

    def forget(self, exchange: int) -> None:
        """Forget the deadline of an exchange of the peer that has ended."""
        self._deadlines.pop(exchange, None)

    def _cancel(self, exchange: int) -> None:
        if self._incoming.pop(exchange, None) is not None:
            self._link.send(call_cancel=messages.CallCancel(exchange=exchange))
