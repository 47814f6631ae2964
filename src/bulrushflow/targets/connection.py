"""Connections to a target that end when it sends what is no response to the pending call."""

import asyncio
import functools
import typing as t

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader


class TargetConnection(ResponseHandler):
    """A client connection that is closed when data arrives while no response is awaited.

    aiohttp keeps such data and takes a response in it for the next call's.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._final_payload: StreamReader | None = None

    def set_response_params(self, **params: t.Any) -> None:
        """Await the response to a request that is about to be sent."""
        self._final_payload = None
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        # aiohttp calls this without data when it goes on to parse after a pause.
        if data and self._final_payload is not None and self._final_payload.is_eof():
            self.abort()
            return
        super().data_received(data)

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """Queue a parsed head; a second final one is dropped, and closes the connection."""
        message, payload = data
        if self._final_payload is not None:
            self.force_close()
            return
        if message.code >= 200 or message.code == 101:
            self._final_payload = payload
        super().feed_data(data, size)


class TargetConnector(aiohttp.TCPConnector):
    """A pool of connections of the class :class:`TargetConnection`."""

    def __init__(self, **params: t.Any) -> None:
        super().__init__(**params)
        # aiohttp has no public parameter for the class of its connections.
        self._factory = t.cast(
            "functools.partial[ResponseHandler]",
            functools.partial(TargetConnection, asyncio.get_running_loop()),
        )
