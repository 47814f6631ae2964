"""Targets that run calls with the work and response size that the path names."""

import asyncio
import typing as t
import zlib

from aiohttp import web

from benchmarks.soak.events import Run
from bulrushflow.platform.headers import HEADER_NAMES

SLOTS = 12
PATTERN_BYTES = 64


def response_body(call_id: str, size: int) -> bytes:
    """Return a body of ``size`` bytes that no other call has."""
    pattern = call_id.ljust(PATTERN_BYTES, ".").encode()
    return (pattern * (size // PATTERN_BYTES + 1))[:size]


class Target:
    """One target: ``/ROUTE/WORK_MS/BYTES`` works for a time and responds with so many bytes."""

    def __init__(
        self, name: str, service: str, runs: list[Run], now: t.Callable[[], float]
    ) -> None:
        self.name = name
        self.service = service
        self._runs = runs
        self._now = now
        self._slots = asyncio.Semaphore(SLOTS)
        server = web.Server(self._handle, handler_cancellation=True, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=0)

    async def start(self, address: str, port: int) -> None:
        """Listen on an address."""
        await self._runner.setup()
        await web.TCPSite(self._runner, address, port).start()

    async def stop(self) -> None:
        """Close the listener and all connections."""
        await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        call_id = request.headers.get(HEADER_NAMES.request_id, "")
        parts = request.path.split("/")
        if len(parts) != 4:
            return web.Response(headers={HEADER_NAMES.target_id: self.name})
        await request.read()
        async with self._slots:
            body = response_body(call_id, int(parts[3]))
            run = Run(call_id, self.name, self._now(), zlib.crc32(body))
            self._runs.append(run)
            await asyncio.sleep(int(parts[2]) / 1000)
            run.ended_at = self._now()
        headers = {HEADER_NAMES.request_id: call_id, HEADER_NAMES.signature: "signed"}
        return web.Response(headers=headers, body=body)
