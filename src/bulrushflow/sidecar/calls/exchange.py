"""An HTTP/1.1 client connection to the target: one request at a time, complete responses only."""

import asyncio
import typing as t

import h11
import msgspec

from bulrushflow.routing import FINAL_STATUSES
from bulrushflow.sidecar.calls.body_buffers import BodyBuffers

MAX_RESPONSE_HEAD_BYTES = 64 << 10
MAX_HEADER_LINES = 1000
"""Lines of a head. The parser bounds the bytes of a head only while it is incomplete, and a parsed
line takes many times its bytes in memory."""
MAX_EVENTS_PER_TURN = 64
"""Parser events of one connection that are handled before other tasks get their turn. A read of
256 KiB can hold some 40,000 chunks."""
MAX_INFORMATIONAL_RESPONSES = 16
"""Responses with a 1xx status before a final one, after which the final one is not awaited."""
MAX_FRAMING_BYTES = 128 << 10
"""Bytes of heads, chunk headers and trailers that are received for a call, beyond one for each byte
of a body. Chunks of one byte, the smallest that a target can write, carry five each, so that
some 32,000 of them are accepted."""
MAX_STALE_RESPONSES = 16
"""Responses to other calls that are skipped before a call's own one."""


class RawResponse(msgspec.Struct, frozen=True):
    """A complete HTTP response; header names are in lower case."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the first value of a header; ``name`` is in lower case."""
        return next((value for key, value in self.headers if key == name), None)


class ExchangeError(Exception):
    """Raised when the connection ends or fails before a complete response to the request."""


class TargetConnection(asyncio.Protocol):
    """A persistent connection that carries one request and response after the other.

    aiohttp's client is not used because it retries some requests on its own when a persistent
    connection fails, and takes a connection reset for the end of a response without a length. h11
    does the parsing only.

    :param id_header: header, in lower case, whose value ties a response to its request.
    :param max_body_bytes: limit on the body of a response.
    :param body_buffers: bounds the sum of the bodies that all connections receive.
    """

    def __init__(self, id_header: str, max_body_bytes: int, body_buffers: BodyBuffers) -> None:
        self._id_header = id_header
        self._max_body_bytes = max_body_bytes
        self._body_buffers = body_buffers
        self._transport: asyncio.Transport | None = None
        self._parser = h11.Connection(h11.CLIENT, MAX_RESPONSE_HEAD_BYTES)
        self._request: h11.Request | None = None
        self._request_id = ""
        self.exchange_count = 0
        """Number of requests that were sent on the connection."""
        self._response: h11.Response | None = None
        self._informational_responses = 0
        self._stale_responses = 0
        self._received_bytes = 0
        self._body_bytes = 0
        """Bytes of bodies among the received bytes, those of stale responses included."""
        self._body = bytearray()
        self._waiter: asyncio.Future[RawResponse] | None = None
        self.reusable = True
        self.idle_since = 0.0
        self.keep_alive_s: float | None = None
        """Seconds after which the target closes an idle connection, if its response says so."""

    @property
    def last_call_id(self) -> str:
        """Id of the call that was sent last on the connection; empty before the first one."""
        return self._request_id

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = t.cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.reusable = False
        if not self._is_pending():
            return
        if exc is None:
            # A response without a length ends with an orderly close, but not with a reset.
            self._feed(b"")
        self.fail(f"connection lost: {exc}")

    def data_received(self, data: bytes) -> None:
        if not self._is_pending():
            # No request is pending: an extra response, or the rest of a failed one.
            self.close()
            return
        self._feed(data)

    def close(self) -> None:
        """Abort the connection; unsent data is discarded."""
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    def fail(self, reason: str) -> None:
        """Fail the pending exchange, if there is one, and abort the connection."""
        if self._is_pending():
            t.cast("asyncio.Future[RawResponse]", self._waiter).set_exception(ExchangeError(reason))
        self._release_body()
        self.close()

    async def exchange(
        self,
        method: str,
        path: str,
        headers: t.Sequence[tuple[str, str]],
        body: bytes,
        call_id: str,
    ) -> RawResponse:
        """Send a request and return its response.

        A cancelled exchange closes the connection, so that the target can stop working on it.

        :param call_id: value that the response's id header has to carry, if it has one.
        :raises ExchangeError: if no complete response to this request arrives.
        """
        if self._transport is None or not self.reusable:
            raise ExchangeError("connection closed before use")
        self._request_id = call_id
        self.exchange_count += 1
        self._response = None
        self._informational_responses = 0
        self._stale_responses = 0
        self._received_bytes = 0
        self._body_bytes = 0
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            self._request = h11.Request(
                method=method,
                target=path.encode("utf-8", "surrogateescape"),
                headers=_encode(headers),
            )
            head = self._parser.send(self._request) or b""
            data = (self._parser.send(h11.Data(body)) or b"") if body else b""
            end = self._parser.send(h11.EndOfMessage()) or b""
            self._transport.write(head + data + end)
            return await self._waiter
        except h11.ProtocolError as exc:
            self.close()
            raise ExchangeError(str(exc)) from exc
        except BaseException:
            self.close()
            raise
        finally:
            self._waiter = None
            self._release_body()

    def _feed(self, data: bytes) -> None:
        self._received_bytes += len(data)
        self._parser.receive_data(data)
        self._parse()

    def _parse(self) -> None:
        """Handle the events of one turn; with more to parse, go on in the next turn."""
        try:
            complete = self._handle_events()
        except h11.RemoteProtocolError as exc:
            self.fail(f"no HTTP answer: {exc}")
            return
        if not self._is_pending():
            return
        self._check_framing()
        if not complete and self._transport is not None:
            # The received bytes are parsed before more of them are read into memory.
            self._transport.pause_reading()
            asyncio.get_running_loop().call_soon(self._continue_parsing)

    def _handle_events(self) -> bool:
        """Handle at most one turn's events; return whether all received bytes were parsed."""
        for _ in range(MAX_EVENTS_PER_TURN):
            if not self._is_pending():
                return True
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                return True
            self._handle_event(event)
        return False

    def _is_pending(self) -> bool:
        """Return whether a call waits for its response."""
        return self._waiter is not None and not self._waiter.done()

    def _check_framing(self) -> None:
        unparsed, _ = self._parser.trailing_data
        framing_bytes = self._received_bytes - self._body_bytes - len(unparsed)
        if framing_bytes > MAX_FRAMING_BYTES + self._body_bytes:
            self.fail(
                f"no HTTP answer: {framing_bytes} bytes of heads and chunk headers for "
                f"{self._body_bytes} bytes of a body"
            )

    def _continue_parsing(self) -> None:
        if self._transport is not None:
            self._transport.resume_reading()
        self._parse()

    def _handle_event(self, event: t.Any) -> None:
        if isinstance(event, h11.InformationalResponse | h11.Response):
            self._receive_head(event)
        elif isinstance(event, h11.Data):
            self._receive_body(event.data)
        elif isinstance(event, h11.EndOfMessage):
            self._finish_response()
        elif event is h11.PAUSED:
            self.fail("no HTTP answer: the target switched to another protocol")
        elif isinstance(event, h11.ConnectionClosed):
            self.fail("connection closed without a response")

    def _receive_head(self, head: h11.InformationalResponse | h11.Response) -> None:
        if len(head.headers) > MAX_HEADER_LINES:
            self.fail(
                f"no HTTP answer: {len(head.headers)} header lines, at most {MAX_HEADER_LINES} "
                "are accepted"
            )
            return
        if isinstance(head, h11.Response):
            if head.status_code not in FINAL_STATUSES:
                self.fail(f"no HTTP answer: its status is {head.status_code:03}")
                return
            self._response = head
            return
        self._informational_responses += 1
        if self._informational_responses > MAX_INFORMATIONAL_RESPONSES:
            self.fail(
                f"no HTTP answer: more than {MAX_INFORMATIONAL_RESPONSES} informational responses"
            )

    def _receive_body(self, data: bytes) -> None:
        self._body += data
        self._body_bytes += len(data)
        if len(self._body) > self._max_body_bytes:
            self.fail(f"response body exceeds {self._max_body_bytes} bytes")
            return
        self._body_buffers.add(self, len(data))

    def _release_body(self) -> None:
        self._body.clear()
        self._body_buffers.release(self)

    def _finish_response(self) -> None:
        response = self._response
        if response is None or self._waiter is None:
            self.fail("end of message without a response")
            return
        result = RawResponse(response.status_code, _decode(response.headers), bytes(self._body))
        if result.header(self._id_header) not in {None, self._request_id}:
            self._skip_stale_response()
            return
        trailing, _ = self._parser.trailing_data
        both_done = self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE
        if trailing or not both_done or self._has_unsent_data():
            self.reusable = False
        else:
            self._parser.start_next_cycle()
            self.keep_alive_s = _keep_alive_s(result.header("keep-alive"))
        self._waiter.set_result(result)
        if not self.reusable:
            self.close()

    def _skip_stale_response(self) -> None:
        """Ignore a late response to an earlier call, and continue with the data that follows it."""
        trailing, closed = self._parser.trailing_data
        if closed or self._parser.their_state is not h11.DONE or self._request is None:
            self.fail(f"response belongs to another call than {self._request_id}")
            return
        self._stale_responses += 1
        if self._stale_responses > MAX_STALE_RESPONSES:
            self.fail(
                f"response belongs to another call than {self._request_id}, after "
                f"{MAX_STALE_RESPONSES} others that were skipped"
            )
            return
        self._parser = h11.Connection(h11.CLIENT, MAX_RESPONSE_HEAD_BYTES)
        self._response = None
        self._release_body()
        # A new parser must be given the request, whose bytes were sent already.
        self._parser.send(h11.Request(method=self._request.method, target="/", headers=_HOST))
        self._parser.send(h11.EndOfMessage())
        if trailing:
            self._parser.receive_data(trailing)

    def _has_unsent_data(self) -> bool:
        return self._transport is None or self._transport.get_write_buffer_size() > 0


_HOST: t.Final = [("host", "target")]


def _encode(headers: t.Sequence[tuple[str, str]]) -> list[tuple[bytes, bytes]]:
    return [
        (name.encode("latin-1"), value.encode("utf-8", "surrogateescape"))
        for name, value in headers
    ]


def _decode(headers: t.Iterable[tuple[bytes, bytes]]) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name.decode("latin-1"), value.decode("utf-8", "surrogateescape"))
        for name, value in headers
    )


def _keep_alive_s(value: str | None) -> float | None:
    """Return the ``timeout`` parameter of a ``Keep-Alive`` header in seconds."""
    for part in (value or "").split(","):
        name, _, number = part.strip().partition("=")
        # isdigit() is true for characters that float() rejects, such as superscripts.
        if name.lower() == "timeout" and number.isdecimal():
            return float(number)
    return None
