"""The HTTP servers of a process: the addresses they are bound to, and their shutdown."""

from aiohttp import web

from bulrushflow.sidecar.settings import Endpoint

CONNECTION_CLOSE_TIMEOUT_S = 0.1
"""Time that a listener's connections have to send pending data."""
BACKLOG = 1024
"""Connections that may wait to be accepted."""


class Listeners:
    """Starts HTTP servers, and closes them in the reverse order."""

    __slots__ = ("_runners", "bound_by_setting")

    def __init__(self) -> None:
        self._runners: list[web.AppRunner | web.ServerRunner] = []
        self.bound_by_setting: dict[str, Endpoint] = {}
        """Endpoints of the servers that were started; a port of 0 in the settings lets the system
        choose one."""

    async def serve(self, setting: str, served: web.Application | web.Server, at: Endpoint) -> None:
        """Start a server.

        :param setting: name of the setting with its endpoint.
        :raises OSError: if the endpoint can't be bound.
        """
        runner: web.AppRunner | web.ServerRunner
        if isinstance(served, web.Application):
            runner = web.AppRunner(
                served, access_log=None, shutdown_timeout=CONNECTION_CLOSE_TIMEOUT_S
            )
        else:
            runner = web.ServerRunner(served, shutdown_timeout=CONNECTION_CLOSE_TIMEOUT_S)
        await runner.setup()
        self._runners.append(runner)
        await web.TCPSite(runner, at.address, at.port, backlog=BACKLOG).start()
        self.bound_by_setting[setting] = Endpoint(*runner.addresses[0][:2])

    async def close(self) -> None:
        """Close all servers with their connections."""
        for runner in reversed(self._runners):
            await runner.cleanup()
