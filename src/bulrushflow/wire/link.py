"""One connection between two nodes: length-prefixed thrift frames, with concurrent exchanges.

Each request carries an exchange number, which its response repeats.
"""

import asyncio
import itertools
import typing as t

import msgspec
from loguru import logger
from result import Err
from result import Ok
from result import Result

from bulrushflow.wire import messages
from bulrushflow.wire.chunks import ChunkSender
from bulrushflow.wire.chunks import TransferEnd
from bulrushflow.wire.chunks import UnpacedLink
from bulrushflow.wire.frames import LENGTH
from bulrushflow.wire.frames import MAX_FRAME_BYTES
from bulrushflow.wire.frames import REQUEST_FIELDS
from bulrushflow.wire.frames import RESPONSE_FIELDS
from bulrushflow.wire.frames import encode_frame
from bulrushflow.wire.keepalive import Ping
from bulrushflow.wire.keepalive import unacknowledged_bytes
from bulrushflow.wire.keepalive import unsent_bytes
from bulrushflow.wire.transfers import ChunkedResponse
from bulrushflow.wire.transfers import IncomingBody
from bulrushflow.wire.transfers import LinkTransfers

HIGH_WATER_BYTES = 1 << 20
"""Unwritten bytes above which new requests fail without being sent."""
MAX_WRITE_BUFFER_BYTES = 64 << 20
"""Unwritten bytes above which the connection is closed."""
BUSY_KEEPALIVE_S = 1.0
"""Seconds without received bytes after which the peer is pinged, while exchanges are open."""
IDLE_KEEPALIVE_S = 3.0
"""The same without open exchanges, so that a dead connection is found before the next call."""
PONG_TIMEOUT_S = 1.0
"""Seconds without received bytes after a ping, after which the connection is closed.

They start again whenever the peer acknowledges bytes that were queued ahead of the ping.
"""

_TOO_LARGE = f"the response does not fit into a frame of {MAX_FRAME_BYTES} bytes"

Handler = t.Callable[[t.Any], t.Awaitable[dict[str, t.Any] | ChunkedResponse | None]]


class LinkError(msgspec.Struct, frozen=True):
    """A failed exchange; ``sent`` is false if the peer certainly did not receive the request."""

    sent: bool
    reason: str


class _Pending(t.NamedTuple):
    """An exchange that waits for its response."""

    future: asyncio.Future[t.Any]
    window: int
    """Bytes of the response's body that the peer may send in chunks; 0 if it may send none."""


class Link(asyncio.Protocol):
    """One connection; requests may be sent in both directions.

    :param handlers: handler of each request, by its field in the frame.
    :param on_lost: called once the connection is lost.
    :param sender: sends large bodies, in turns with those of other connections.
    """

    def __init__(
        self,
        handlers: dict[str, Handler],
        on_lost: t.Callable[["Link"], None],
        sender: ChunkSender | None = None,
    ) -> None:
        self._handlers = handlers
        self._on_lost = on_lost
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None
        self._sender = sender or ChunkSender(UnpacedLink())
        self._transfers = LinkTransfers(self, self._sender)
        self._pending: dict[int, _Pending] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._one_way_tasks: set[asyncio.Task[None]] = set()
        self._exchange_numbers = itertools.count(1)
        self._last_received_at = 0.0
        self._ping: Ping | None = None
        self._written_bytes = 0
        self._congested = False
        self.last_used_at = 0.0
        self.lost = False
        self.peer_closing = False
        """Whether the peer announced that it is about to close the connection."""

    @property
    def usable(self) -> bool:
        """Whether the connection is open and the peer accepts new requests."""
        return not self.lost and not self.peer_closing

    @property
    def busy(self) -> bool:
        """Whether an exchange is open in either direction or bytes are unwritten."""
        if self._exchanging:
            return True
        return self._transport is not None and self._transport.get_write_buffer_size() > 0

    @property
    def unsent_bytes(self) -> int:
        """Bytes in the transport and the kernel that were not sent yet."""
        return 0 if self._transport is None else unsent_bytes(self._transport)

    @property
    def _exchanging(self) -> bool:
        return bool(self._pending or self._tasks) or self._transfers.receiving

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = t.cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=HIGH_WATER_BYTES)
        self._last_received_at = asyncio.get_running_loop().time()
        self.last_used_at = self._last_received_at

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True
        for pending in self._pending.values():
            if not pending.future.done():
                pending.future.set_result(Err(LinkError(True, f"connection lost: {exc}")))
        self._pending.clear()
        self._transfers.fail_all(f"connection lost: {exc}")
        for task in [*self._tasks.values(), *self._one_way_tasks]:
            task.cancel()
        self._on_lost(self)

    def pause_writing(self) -> None:
        self._congested = True

    def resume_writing(self) -> None:
        self._congested = False

    def data_received(self, data: bytes) -> None:
        self._last_received_at = asyncio.get_running_loop().time()
        self._ping = None
        self._buffer += data
        start = 0
        available = len(self._buffer)
        while available - start >= LENGTH.size:
            (length,) = LENGTH.unpack_from(self._buffer, start)
            if length > MAX_FRAME_BYTES:
                logger.warning(
                    "closing the connection: frame of {} bytes announced, at most {} are allowed",
                    length,
                    MAX_FRAME_BYTES,
                )
                self.abort()
                return
            end = start + LENGTH.size + length
            if available < end:
                break
            self._handle_frame(bytes(self._buffer[start + LENGTH.size : end]))
            if self.lost:
                return
            start = end
        if start:
            del self._buffer[:start]

    async def exchange(self, timeout_s: float, **body: t.Any) -> Result[t.Any, LinkError]:
        """Send a request and return the frame of its response.

        If a call times out or is cancelled here, a cancellation is sent to the peer. A body that
        follows in chunks is taken with :meth:`take_body`.

        :param body: the request, by its field in the frame.
        """
        if not self.usable:
            return Err(LinkError(False, "connection lost"))
        if self._congested:
            return Err(
                LinkError(
                    False,
                    f"connection congested: write buffer exceeded {HIGH_WATER_BYTES} bytes",
                )
            )
        number = next(self._exchange_numbers)
        match encode_frame(number, body):
            case Err(reason):
                return Err(LinkError(False, reason))
            case Ok(data):
                pass
        loop = asyncio.get_running_loop()
        self.last_used_at = loop.time()
        future: asyncio.Future[t.Any] = loop.create_future()
        window = getattr(body.get("call_request"), "chunk_window", None) or 0
        self._pending[number] = _Pending(future, window)
        self._write(data)
        try:
            async with asyncio.timeout(timeout_s):
                result: Result[t.Any, LinkError] = await future
                return result
        except TimeoutError:
            self._cancel_exchange(number, body)
            return Err(LinkError(True, f"no answer within {timeout_s:.3f} s"))
        except asyncio.CancelledError:
            self._cancel_exchange(number, body)
            raise
        finally:
            self._pending.pop(number, None)

    def take_body(self, frame: t.Any) -> IncomingBody | None:
        """Return the body that follows a response in chunks, if it does; the caller closes it.

        :param frame: the frame that the exchange returned just now.
        """
        return self._transfers.take(frame.exchange)

    def send(self, exchange: int = 0, **body: t.Any) -> bool:
        """Send a frame without waiting for a response.

        :return: whether the message fitted into a frame.
        """
        match encode_frame(exchange, body):
            case Err(reason):
                logger.warning("frame not sent: {}", reason)
                return False
            case Ok(data):
                self.last_used_at = asyncio.get_running_loop().time()
                self._write(data)
        return True

    def send_goodbye(self) -> None:
        """Ask the peer to send no new requests; those already sent are still answered."""
        self.send(goodbye=messages.Goodbye())

    def limit_deadlines(self, timeout_s: float) -> None:
        """Tell the peer that responses to the calls that are open are of no use after a time."""
        message = messages.CallDeadline(timeout_ms=max(0, int(timeout_s * 1000)))
        calls = [number for number, pending in self._pending.items() if pending.window]
        for number in [*calls, *self._transfers.incoming]:
            self.send(exchange=number, call_deadline=message)

    def close(self) -> None:
        """Close the connection once buffered bytes are written."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once, without writing buffered bytes."""
        self.lost = True
        if self._transport is not None:
            self._transport.abort()

    def check_keepalive(self, now: float) -> None:
        """Ping a silent peer, and close the connection if no bytes follow in time.

        A connection can stay silent for good while new ones to the same node work, so only
        bytes received on this connection show that it is alive. The ping can't be answered before
        the frames ahead of it are sent, so the wait goes on while the peer acknowledges these.
        """
        if self.lost or self._transport is None:
            return
        if self._ping is None:
            silence_s = BUSY_KEEPALIVE_S if self._exchanging else IDLE_KEEPALIVE_S
            if now - self._last_received_at >= silence_s:
                self._send_ping(now, self._transport)
            return
        unacknowledged = unacknowledged_bytes(self._transport)
        self._ping.record_progress(now, self._written_bytes - unacknowledged)
        if now - self._ping.waiting_since >= PONG_TIMEOUT_S:
            logger.warning(
                "closing the connection: silent for {} s after a ping, "
                "{} bytes unacknowledged, {} exchanges open",
                PONG_TIMEOUT_S,
                unacknowledged,
                len(self._pending),
            )
            self.abort()

    def reset_keepalive(self, now: float) -> None:
        """Restart the keep-alive period after a pause of this node itself."""
        self._last_received_at = now
        self._ping = None

    def _send_ping(self, now: float, transport: asyncio.Transport) -> None:
        acknowledged = self._written_bytes - unacknowledged_bytes(transport)
        self._ping = Ping(self._written_bytes, acknowledged, now)
        self._write(encode_frame(0, {"ping": messages.Heartbeat()}).unwrap())

    def _write(self, data: bytes) -> None:
        if self._transport is None or self.lost:
            return
        if self._transport.get_write_buffer_size() + len(data) > MAX_WRITE_BUFFER_BYTES:
            logger.warning(
                "closing the connection: the peer does not read, more than {} bytes are unwritten",
                MAX_WRITE_BUFFER_BYTES,
            )
            self.abort()
            return
        self._transport.write(data)
        self._written_bytes += len(data)
        self._sender.record_written(len(data))

    def _handle_frame(self, payload: bytes) -> None:
        match messages.decode(messages.Frame, payload):
            case Err(reason):
                logger.warning("closing the connection: malformed frame: {}", reason)
                self.abort()
                return
            case Ok(frame):
                pass
        if frame.ping is not None:
            self._write(encode_frame(frame.exchange, {"pong": messages.Heartbeat()}).unwrap())
            return
        if frame.goodbye is not None:
            self.peer_closing = True
            return
        if frame.call_cancel is not None:
            task = self._tasks.get(frame.call_cancel.exchange)
            if task is not None:
                task.cancel()
            return
        if frame.call_deadline is not None:
            self._limit_deadline(frame.exchange, frame.call_deadline.timeout_ms / 1000)
            return
        if frame.body_chunk is not None:
            self._transfers.receive_chunk(frame.exchange, frame.body_chunk.data)
            return
        if frame.body_grant is not None:
            self._transfers.receive_grant(frame.exchange, frame.body_grant.size)
            return
        if any(getattr(frame, name) is not None for name in RESPONSE_FIELDS):
            self._complete_exchange(frame)
            return
        for name in REQUEST_FIELDS:
            message = getattr(frame, name)
            if message is not None and name in self._handlers:
                self._start_handler(frame.exchange, self._handlers[name], message)
                return

    def _complete_exchange(self, frame: t.Any) -> None:
        if frame.failure is not None and self._transfers.fail(frame.exchange, frame.failure.reason):
            return
        pending = self._pending.get(frame.exchange)
        # The exchange of a late response is gone; the response is ignored.
        if pending is None or pending.future.done():
            return
        if frame.failure is not None:
            pending.future.set_result(Err(LinkError(True, frame.failure.reason)))
            return
        chunked_bytes = frame.call_answer and frame.call_answer.chunked_bytes
        if chunked_bytes:
            self._transfers.begin(frame.exchange, chunked_bytes, pending.window)
        pending.future.set_result(Ok(frame))

    def _start_handler(self, number: int, handler: Handler, message: t.Any) -> None:
        if number in self._tasks:
            logger.warning("closing the connection: exchange number {} is in use already", number)
            self.abort()
            return
        task = asyncio.get_running_loop().create_task(self._handle(number, handler, message))
        if number == 0:
            # Number 0 marks one-way messages, of which several may be handled at once.
            self._one_way_tasks.add(task)
            task.add_done_callback(self._one_way_tasks.discard)
            return
        self._tasks[number] = task
        task.add_done_callback(lambda _: self._end_handler(number))

    def _end_handler(self, number: int) -> None:
        self._tasks.pop(number, None)
        self._transfers.forget(number)

    def _limit_deadline(self, number: int, timeout_s: float) -> None:
        # The exchange may have ended while the message was on its way.
        if number in self._tasks:
            deadline = asyncio.get_running_loop().time() + timeout_s
            self._transfers.limit_deadline(number, deadline)

    async def _handle(self, number: int, handler: Handler, message: t.Any) -> None:
        try:
            response = await handler(message)
        except asyncio.CancelledError:
            raise
        except Exception:
            logger.exception("the handler of exchange {} failed", number)
            self._send_failure(
                number, "the peer failed to handle the request; its log has the exception"
            )
            return
        if isinstance(response, ChunkedResponse):
            await self._send_chunked(number, response)
        elif response is not None and not self.send(exchange=number, **response):
            self._send_failure(number, _TOO_LARGE)

    async def _send_chunked(self, number: int, response: ChunkedResponse) -> None:
        if self.send(exchange=number, **response.head):
            await self._transfers.send(number, response)
            return
        self._send_failure(number, _TOO_LARGE)
        response.on_end(TransferEnd(len(response.body), 0, 0.0, 0.0))

    def _send_failure(self, number: int, reason: str) -> None:
        if number:
            self.send(exchange=number, failure=messages.ExchangeFailure(reason=reason))

    def _cancel_exchange(self, number: int, body: dict[str, t.Any]) -> None:
        self._transfers.discard(number)
        if "call_request" in body:
            self.send(call_cancel=messages.CallCancel(exchange=number))
