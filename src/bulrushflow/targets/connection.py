"""Connections to a target that end when it sends what is no response to the pending call."""

import asyncio
import functools
import select
import typing as t

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader

MAX_INFORMATIONAL_RESPONSES = 16
"""Responses with a 1xx status before a final one, after which the final one is not awaited."""
MAX_FRAMING_BYTES = 512 << 10
"""Bytes of heads, chunk headers and trailers that are received for a call, beyond one for each byte
of the body. It exceeds one read of 256 KiB, of which a part may not be parsed yet."""


class ResponseLimitError(aiohttp.ClientPayloadError):
    """Raised when a response exceeds a limit, which the message names."""


class TargetConnection(ResponseHandler):
    """A client connection that is closed when data arrives while no response is awaited.

    aiohttp keeps such data and takes a response in it for the next call's.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._received_bytes = 0
        self._informational_responses = 0
        self._final_payload: StreamReader | None = None

    def is_connected(self) -> bool:
        """Return whether the connection is open and, if it is idle, can be used for a call."""
        if not super().is_connected():
            return False
        return not (self._is_answered() and self._has_unread_data())

    def set_response_params(self, **params: t.Any) -> None:
        """Await the response to a request that is about to be sent."""
        self._received_bytes = 0
        self._informational_responses = 0
        self._final_payload = None
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        # aiohttp calls this without data when it goes on to parse after a pause.
        if data and self._is_answered():
            self.abort()
            return
        self._received_bytes += len(data)
        super().data_received(data)
        self._check_framing()

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """Queue a parsed head; a second final one is dropped, and closes the connection."""
        message, payload = data
        if self._final_payload is not None:
            self.force_close()
            return
        if 100 <= message.code < 200 and message.code != 101:
            self._informational_responses += 1
            if self._informational_responses > MAX_INFORMATIONAL_RESPONSES:
                self._fail(f"more than {MAX_INFORMATIONAL_RESPONSES} informational responses")
                return
        else:
            self._final_payload = payload
        super().feed_data(data, size)

    def _is_answered(self) -> bool:
        """Return whether the response was received completely, so that no data is awaited."""
        return self._final_payload is not None and self._final_payload.is_eof()

    def _has_unread_data(self) -> bool:
        """Return whether the socket has data, or the target's close, that the loop hasn't read."""
        if self.transport is None:
            return False
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def _check_framing(self) -> None:
        if self._is_answered():
            return
        payload = self._final_payload
        body_bytes = 0 if payload is None else payload.total_bytes
        framing_bytes = self._received_bytes - body_bytes
        if framing_bytes > MAX_FRAMING_BYTES + body_bytes:
            self._fail(
                f"{framing_bytes} bytes of heads and chunk headers for {body_bytes} bytes of a body"
            )

    def _fail(self, reason: str) -> None:
        error = ResponseLimitError(reason)
        if self._final_payload is not None:
            self._final_payload.set_exception(error)
        if self.exception() is None:
            self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


class TargetConnector(aiohttp.TCPConnector):
    """A pool of connections of the class :class:`TargetConnection`."""

    def __init__(self, **params: t.Any) -> None:
        super().__init__(**params)
        # aiohttp has no public parameter for the class of its connections.
        self._factory = t.cast(
            "functools.partial[ResponseHandler]",
            functools.partial(TargetConnection, asyncio.get_running_loop()),
        )
