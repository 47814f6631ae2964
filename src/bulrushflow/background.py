"""A base class for services with a background task."""

import asyncio
import contextlib

from mode import Service


class BackgroundService(Service):
    """Runs :meth:`run` in a task between its start and its stop."""

    def __init__(self) -> None:
        super().__init__()
        self._task: asyncio.Task[None] | None = None

    async def on_start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self.run())

    async def on_stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    async def run(self) -> None:
        """Do the service's work until cancelled."""
        raise NotImplementedError
