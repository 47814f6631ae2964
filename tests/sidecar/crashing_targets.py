"""A target that ends when it runs a marked request, and starts again at its address."""

import asyncio

from aiohttp import web

from bulrushflow.sidecar.settings import Endpoint
from tests.sidecar.servers import FakeTarget

CRASH_PATH = "/a/crash"
CRASH_DELAY_S = 0.02
"""Time for which a target runs a marked request before it ends."""


class CrashingTarget(FakeTarget):
    """Ends, with all its connections, when it runs a request for :data:`CRASH_PATH`."""

    def __init__(self) -> None:
        super().__init__()
        self.crashing_runs = 0
        """Requests that ended the target, or were running when it ended."""
        self.crashes = 0
        self.is_running = False
        self.crashes_on_marked_requests = True
        self._endpoint: Endpoint | None = None
        self._crash: asyncio.Task[None] | None = None

    async def start(self) -> Endpoint:
        """Start at the address of the first start."""
        self._server = web.Server(self._handle, handler_cancellation=True, access_log=None)
        self._runner = web.ServerRunner(self._server, shutdown_timeout=0)
        await self._runner.setup()
        port = self._endpoint.port if self._endpoint is not None else 0
        await web.TCPSite(self._runner, "127.0.0.1", port, reuse_address=True).start()
        self._endpoint = Endpoint(*self._runner.addresses[0][:2])
        self.is_running = True
        return self._endpoint

    def crash(self) -> None:
        """End soon, without a response to any request."""
        if self._crash is None or self._crash.done():
            self._crash = asyncio.create_task(self._end())

    async def _end(self) -> None:
        await asyncio.sleep(CRASH_DELAY_S)
        if self.is_running:
            self.crashes += 1
            self.is_running = False
            self.close_connections()
            await self.stop()

    def close_connections(self) -> None:
        """Reset all connections."""
        for connection in self._server.connections:
            if connection.transport is not None:
                connection.transport.abort()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        if not request.path.startswith(CRASH_PATH) or not self.crashes_on_marked_requests:
            return await super()._handle(request)
        self.crashing_runs += 1
        self.crash()
        await asyncio.Event().wait()
        raise AssertionError("the target ended")
