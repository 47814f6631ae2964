"""One HTTP connection to the target: a call at a time, its answer checked to the last byte."""

import asyncio
import typing as t
from dataclasses import dataclass

import h11

MAX_RESPONSE_HEAD_BYTES = 64 << 10


@dataclass(frozen=True, slots=True)
class RawResponse:
    """A whole answer; header names are in lower case."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the first value of a header, by its name in lower case."""
        return next((value for key, value in self.headers if key == name), None)


class ExchangeError(Exception):
    """The connection ended, or brought something that is no whole answer."""


class TargetConnection(asyncio.Protocol):
    """A connection that carries one exchange after the other.

    The HTTP client of aiohttp is not used here: it sends some requests again by itself when a kept
    connection fails, and takes a reset for the end of an answer without a length. h11 only parses.

    :param id_header: header, in lower case, that ties an answer to its request.
    """

    def __init__(self, id_header: str, max_body_bytes: int) -> None:
        self._id_header = id_header
        self._max_body_bytes = max_body_bytes
        self._transport: asyncio.Transport | None = None
        self._parser = h11.Connection(h11.CLIENT, MAX_RESPONSE_HEAD_BYTES)
        self._request: h11.Request | None = None
        self._request_id = ""
        self._response: h11.Response | None = None
        self._body = bytearray()
        self._waiter: asyncio.Future[RawResponse] | None = None
        self.reusable = True
        self.idle_since = 0.0
        self.keep_alive_s: float | None = None
        """Time after which the target closes an idle connection, if it told so."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = t.cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.reusable = False
        if self._waiter is None or self._waiter.done():
            return
        if exc is None:
            # An answer without a length ends with its connection, unless that was reset.
            self._feed(b"")
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(ExchangeError(f"connection lost: {exc}"))

    def data_received(self, data: bytes) -> None:
        if self._waiter is None or self._waiter.done():
            # Nothing was asked: an extra answer, or the rest of a broken one.
            self.close()
            return
        self._feed(data)

    def close(self) -> None:
        """Give the connection up at once."""
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    async def exchange(
        self,
        method: str,
        path: str,
        headers: t.Sequence[tuple[str, str]],
        body: bytes,
        call_id: str,
    ) -> RawResponse:
        """Send a request and return its answer.

        A cancelled exchange closes the connection, which tells the target.

        :raises ExchangeError: when no whole answer to this request came.
        """
        if self._transport is None or not self.reusable:
            raise ExchangeError("connection closed before use")
        self._request_id = call_id
        self._response = None
        self._body.clear()
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

    def _feed(self, data: bytes) -> None:
        try:
            self._parser.receive_data(data)
            while self._waiter is not None and not self._waiter.done():
                event = self._parser.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                self._handle_event(event)
        except h11.RemoteProtocolError as exc:
            self._fail(f"no HTTP answer: {exc}")

    def _handle_event(self, event: t.Any) -> None:
        if isinstance(event, h11.Response):
            self._response = event
        elif isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > self._max_body_bytes:
                self._fail("the answer is too large")
        elif isinstance(event, h11.EndOfMessage):
            self._finish_response()
        elif isinstance(event, h11.ConnectionClosed):
            self._fail("closed without an answer")

    def _finish_response(self) -> None:
        response = self._response
        if response is None or self._waiter is None:
            self._fail("an end without an answer")
            return
        answer = RawResponse(response.status_code, _decode(response.headers), bytes(self._body))
        if answer.header(self._id_header) not in {None, self._request_id}:
            self._skip_stale_response()
            return
        trailing, _ = self._parser.trailing_data
        keeps = self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE
        if trailing or not keeps or self._has_unsent_data():
            self.reusable = False
        else:
            self._parser.start_next_cycle()
            self.keep_alive_s = _keep_alive_s(answer.header("keep-alive"))
        self._waiter.set_result(answer)
        if not self.reusable:
            self.close()

    def _skip_stale_response(self) -> None:
        """Pass over a late answer to an earlier call, and go on with what follows it."""
        trailing, closed = self._parser.trailing_data
        if closed or self._parser.their_state is not h11.DONE or self._request is None:
            self._fail("the answer belongs to another call")
            return
        self._parser = h11.Connection(h11.CLIENT, MAX_RESPONSE_HEAD_BYTES)
        self._response = None
        self._body.clear()
        # The new parser has to know the request, whose bytes are on the wire already.
        self._parser.send(h11.Request(method=self._request.method, target="/", headers=_HOST))
        self._parser.send(h11.EndOfMessage())
        if trailing:
            self._parser.receive_data(trailing)

    def _has_unsent_data(self) -> bool:
        return self._transport is None or self._transport.get_write_buffer_size() > 0

    def _fail(self, reason: str) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(ExchangeError(reason))
        self.close()


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
    """Return the seconds in a ``Keep-Alive`` header."""
    for part in (value or "").split(","):
        name, _, number = part.strip().partition("=")
        if name.lower() == "timeout" and number.isdigit():
            return float(number)
    return None
