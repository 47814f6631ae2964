"""The timer service: one place where parts subscribe to periodic work."""

import asyncio
import contextlib
import random
import time
import typing as t

from loguru import logger
from mode import Service

HEARTBEAT_S = 0.2
PAUSE_THRESHOLD_S = 0.5
"""A heartbeat later than this counts as a stall of the process."""

Callback = t.Callable[[], t.Awaitable[None]]
PauseCallback = t.Callable[[float], None]
Monotonic = t.Callable[[], float]


class Clock(t.Protocol):
    """Time as an argument, so that decisions can be tested without waiting."""

    def monotonic(self) -> float:
        """Seconds on a clock that never goes back."""

    def wall_ms(self) -> int:
        """Milliseconds since the epoch, as operators and the log state times."""


class SystemClock:
    """The operating system's clocks."""

    __slots__ = ()

    def monotonic(self) -> float:
        """See :meth:`Clock.monotonic`."""
        return time.monotonic()

    def wall_ms(self) -> int:
        """See :meth:`Clock.wall_ms`."""
        return time.time_ns() // 1_000_000


class Subscription:
    """A periodic callback; :meth:`cancel` ends it."""

    __slots__ = ("_task",)

    def __init__(self, task: asyncio.Task[None]) -> None:
        self._task = task

    def cancel(self) -> None:
        """End the callback; one that is running is cancelled."""
        self._task.cancel()


class Timers(Service):
    """Runs subscribed callbacks, each on its own period with random spread.

    The spread keeps nodes that start together from acting together. A heartbeat notices when
    the process stood still, such as after SIGSTOP or while its machine was frozen.

    :param monotonic: seconds on a clock that goes on while the process is paused.
    """

    def __init__(self, rng: random.Random, monotonic: Monotonic = time.monotonic) -> None:
        super().__init__()
        self._rng = rng
        self._monotonic = monotonic
        self._tasks: set[asyncio.Task[None]] = set()
        self._pause_callbacks: list[PauseCallback] = []
        self._last_beat_at: float | None = None
        self._pause_ended_at = float("-inf")

    def subscribe(
        self, name: str, period_s: float, callback: Callback, jitter: float = 0.1
    ) -> Subscription:
        """Call ``callback`` about every ``period_s`` seconds.

        :param jitter: part of the period by which each wait varies at random.
        """
        task = asyncio.get_running_loop().create_task(
            self._repeat(name, period_s, callback, jitter), name=f"timer:{name}"
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return Subscription(task)

    def now(self) -> float:
        """Seconds on the clock that stalls are measured with."""
        return self._monotonic()

    def subscribe_pause(self, callback: PauseCallback) -> None:
        """Call back with the seconds for which the process stood still, once it runs again."""
        self._pause_callbacks.append(callback)

    def check_pause(self) -> None:
        """Look for a stall now instead of with the next heartbeat.

        After a pause the loop runs every timer that is due, in no useful order, so a part that
        is about to judge by elapsed time calls this first.
        """
        now = self._monotonic()
        last_beat_at, self._last_beat_at = self._last_beat_at, now
        if last_beat_at is None or now - last_beat_at < PAUSE_THRESHOLD_S:
            return
        self._pause_ended_at = now
        logger.warning("the process stood still for {:.1f} s", now - last_beat_at)
        for callback in self._pause_callbacks:
            callback(now - last_beat_at)

    def paused_since(self, instant: float) -> bool:
        """Tell whether the process stood still after ``instant``, in seconds of the clock."""
        self.check_pause()
        return self._pause_ended_at >= instant

    async def on_start(self) -> None:
        self._last_beat_at = self._monotonic()
        self.subscribe("heartbeat", HEARTBEAT_S, self._beat, jitter=0.0)

    async def on_stop(self) -> None:
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        for task in tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task

    async def _beat(self) -> None:
        self.check_pause()

    async def _repeat(self, name: str, period_s: float, callback: Callback, jitter: float) -> None:
        while True:
            await asyncio.sleep(period_s * (1 + self._rng.uniform(-jitter, jitter)))
            try:
                await callback()
            except Exception:
                # One failing subscriber must not silence the others' timers.
                logger.exception("timer {} failed", name)
