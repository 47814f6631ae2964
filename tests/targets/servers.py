"""HTTP servers on ephemeral ports, calls and announcements for tests."""

import asyncio
import contextlib
import typing as t

from aiohttp import web

from bulrushflow.routing import Call
from bulrushflow.targets import Announcement
from tests.waiting import until as until

Handler = t.Callable[[web.BaseRequest], t.Awaitable[web.StreamResponse]]
GUARD_S = 10.0


@contextlib.asynccontextmanager
async def http_server(handler: Handler) -> t.AsyncIterator[int]:
    """Serve ``handler``, which is cancelled when its client disconnects; yield the port."""
    server = web.Server(handler, handler_cancellation=True, access_log=None)
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    try:
        yield runner.addresses[0][1]
    finally:
        await runner.cleanup()


def announcement(port: int, slots: int = 2, version: str = "v1", state: str = "ready") -> t.Any:
    """Return a target's announcement."""
    return Announcement("payments", version, "127.0.0.1", port, state, slots, 120)  # type: ignore


def call(
    request_id: str = "1",
    tenant: str = "a",
    idempotent: bool = False,
    timeout_s: float = GUARD_S,
    attempt: int = 0,
) -> Call:
    """Return a call to version ``v1`` of ``payments``."""
    return Call(
        request_id=request_id,
        tenant=tenant,
        service="payments",
        version="v1",
        route="/payments",
        method="GET" if idempotent else "POST",
        path="/payments/7",
        headers=(),
        body=b"" if idempotent else b"body",
        deadline=asyncio.get_running_loop().time() + timeout_s,
        idempotent=idempotent,
        attempt=attempt,
    )
