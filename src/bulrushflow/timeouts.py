"""Timeouts that a pause of this process doesn't end."""

import asyncio
import types

from bulrushflow.timers import HEARTBEAT_S
from bulrushflow.timers import PAUSE_THRESHOLD_S
from bulrushflow.timers import PauseDetector


class SilenceTimeout:
    """Raises ``TimeoutError`` in its block after a time without :meth:`restart`.

    Bytes that arrived while this process stood still count: a task that they wake runs before it
    is timed out. After a pause as :class:`PauseDetector` finds it the time begins once more, since
    the other end may have to send again what was lost in the meantime; once only, so that a
    process that pauses again and again does not wait without end.

    :param timeout_s: seconds until :meth:`restart` or the end of the block.
    """

    __slots__ = ("_check_handle", "_deadline", "_extended", "_pauses", "_timeout", "_timeout_s")

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._timeout = asyncio.timeout(None)
        self._pauses = PauseDetector(PAUSE_THRESHOLD_S)
        self._check_handle: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> "SilenceTimeout":
        await self._timeout.__aenter__()
        self.restart(self._timeout_s)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self._cancel_check()
        await self._timeout.__aexit__(kind, exc, traceback)

    def restart(self, timeout_s: float) -> None:
        """Time out ``timeout_s`` seconds from now instead."""
        self._cancel_check()
        # A timeout that is due in this iteration of the loop is withdrawn.
        self._timeout.reschedule(None)
        now = asyncio.get_running_loop().time()
        self._pauses.check(now)
        self._timeout_s = timeout_s
        self._extended = False
        self._deadline = now + timeout_s
        self._schedule_check(now)

    def _check(self) -> None:
        now = asyncio.get_running_loop().time()
        paused = self._pauses.check(now) is not None
        if paused and not self._extended:
            self._extended = True
            self._deadline = now + self._timeout_s
        if now < self._deadline:
            self._schedule_check(now)
            return
        # Takes effect behind the tasks that bytes of this iteration have woken.
        self._timeout.reschedule(now)

    def _schedule_check(self, now: float) -> None:
        check_at = min(self._deadline, now + HEARTBEAT_S)
        self._check_handle = asyncio.get_running_loop().call_at(check_at, self._check)

    def _cancel_check(self) -> None:
        if self._check_handle is not None:
            self._check_handle.cancel()
