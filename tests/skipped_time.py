"""A loop's clock that tests move on, and a server whose responses arrive in pieces."""

import asyncio
import typing as t
import unittest
from unittest import mock

from aiohttp import web

SETTLING_ROUNDS = 10


class SkippedTime:
    """Moves the running loop's clock on, as a slow transfer or a pause of the process does."""

    def __init__(self, test: unittest.IsolatedAsyncioTestCase) -> None:
        loop = asyncio.get_running_loop()
        time = loop.time
        self.skipped_s = 0.0
        patch = mock.patch.object(loop, "time", lambda: time() + self.skipped_s)
        patch.start()
        # In debug mode the loop would log each skip as a slow callback.
        loop.slow_callback_duration = float("inf")
        test.addCleanup(patch.stop)

    async def skip(self, seconds: float) -> None:
        """Move the clock on, and let the loop handle what became due."""
        self.skipped_s += seconds
        await settle()


async def settle() -> None:
    """Let the loop handle what has arrived."""
    for _ in range(SETTLING_ROUNDS):
        await asyncio.sleep(0)


class PieceServer:
    """Responds to each request with a body in pieces.

    :param after_piece: awaited after each piece with its number, from 0 on.
    :param before: awaited before the response begins.
    """

    def __init__(
        self,
        body: bytes,
        after_piece: t.Callable[[int], t.Awaitable[None]],
        before: t.Callable[[], t.Awaitable[None]] = settle,
    ) -> None:
        self._before = before
        self.piece_bytes = 10
        self.requests = 0
        self._body = body
        self._after_piece = after_piece

    async def start(self, test: unittest.IsolatedAsyncioTestCase) -> str:
        """Start the server, stop it after the test, and return its URL."""
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._respond)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0)
        await runner.setup()
        test.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        return f"http://127.0.0.1:{runner.addresses[0][1]}"

    async def _respond(self, request: web.Request) -> web.StreamResponse:
        self.requests += 1
        await self._before()
        response = web.StreamResponse()
        response.content_length = len(self._body)
        await response.prepare(request)
        for start in range(0, len(self._body), self.piece_bytes):
            try:
                await response.write(self._body[start : start + self.piece_bytes])
            except ConnectionResetError:
                # The client gave the response up.
                break
            await settle()
            await self._after_piece(start // self.piece_bytes)
        return response
