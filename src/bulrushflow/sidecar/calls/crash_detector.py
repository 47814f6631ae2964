"""Detects that a target ended while it ran calls, as opposed to a lost connection."""

import asyncio
import collections
import typing as t

from bulrushflow.routing import Call
from bulrushflow.sidecar.calls.target_client import TargetClient

CHECK_DELAY_S = 0.02
"""Time for all connections to a target that ended, and its listening socket, to close."""
SAME_CRASH_S = 0.25
"""Calls lost within this time before a crash is found were running when the target ended."""
RESTART_S = 1.0
"""The same where another process announces itself, which takes longer."""

MAX_LOST = 256
"""Lost calls that are remembered; a target has far fewer slots."""

CrashCallback = t.Callable[[list[Call]], None]


class CrashDetector:
    """Checks whether a target still runs when a connection that carried a call was lost.

    It has ended if it takes no connections, or if another process takes its place.

    :param client: client of the target.
    :param on_crash: called with the calls that were lost.
    """

    def __init__(self, client: TargetClient, on_crash: CrashCallback) -> None:
        self._client = client
        self._on_crash = on_crash
        self._lost: collections.deque[tuple[float, Call]] = collections.deque(maxlen=MAX_LOST)
        self._check: asyncio.Task[None] | None = None

    def record_lost(self, call: Call) -> None:
        """Record that the connection of a call was lost before its response."""
        loop = asyncio.get_running_loop()
        self._lost.append((loop.time(), call))
        if self._check is None or self._check.done():
            self._check = loop.create_task(self._check_target())

    def target_replaced(self) -> None:
        """Report a crash if calls were lost shortly before another process took over."""
        self._report(RESTART_S)

    def close(self) -> None:
        """Stop checking."""
        if self._check is not None:
            self._check.cancel()

    async def _check_target(self) -> None:
        await asyncio.sleep(CHECK_DELAY_S)
        if not await self._client.check_reachable():
            self._report(SAME_CRASH_S)

    def _report(self, window_s: float) -> None:
        """Report the calls lost within a time before now; each is reported once at most."""
        since = asyncio.get_running_loop().time() - window_s
        calls = [call for lost_at, call in self._lost if lost_at >= since]
        self._lost.clear()
        if calls:
            self._on_crash(calls)
