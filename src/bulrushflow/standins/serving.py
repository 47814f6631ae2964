"""Serves a stand-in's HTTP application until SIGTERM or SIGINT."""

import asyncio
import signal
import typing as t

from aiohttp import web
from loguru import logger

Hook = t.Callable[[], t.Awaitable[None]]

SHUTDOWN_TIMEOUT_S = 10.0


def serve(
    app: web.Application,
    address: str,
    port: int,
    name: str,
    on_listening: t.Callable[[int], t.Awaitable[None]] | None = None,
    on_stopping: Hook | None = None,
    handler_cancellation: bool = False,
) -> None:
    """Serve until SIGTERM or SIGINT, then finish the requests in flight.

    :param on_listening: awaited with the port once connections are accepted.
    :param on_stopping: awaited after the signal, before the listener closes.
    :param handler_cancellation: cancel a request whose client disconnected.
    """
    asyncio.run(_serve(app, address, port, name, on_listening, on_stopping, handler_cancellation))


async def _serve(
    app: web.Application,
    address: str,
    port: int,
    name: str,
    on_listening: t.Callable[[int], t.Awaitable[None]] | None,
    on_stopping: Hook | None,
    handler_cancellation: bool,
) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    runner = web.AppRunner(
        app,
        access_log=None,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        handler_cancellation=handler_cancellation,
    )
    await runner.setup()
    site = web.TCPSite(runner, address, port)
    await site.start()
    bound_port = runner.addresses[0][1]
    logger.info("{} listens on {}:{}", name, address, bound_port)
    if on_listening:
        await on_listening(bound_port)
    await stopping.wait()
    if on_stopping:
        await on_stopping()
    await runner.cleanup()
    logger.info("{} stopped", name)
