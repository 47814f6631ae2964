"""Clocks, periodic callbacks, and detection of pauses of the process."""

import asyncio
import contextlib
import random
import time
import typing as t

from loguru import logger
from mode import Service

HEARTBEAT_S = 0.2
PAUSE_THRESHOLD_S = 0.5
"""Seconds between two heartbeats from which on the process counts as paused."""
GRID_S = 0.1
"""Timers end at multiples of it, so that several share one wake-up of the process."""
MIN_ALIGNED_WAIT_S = 1.5 * GRID_S
"""Shorter waits are kept, since the grid would change them by too much."""

Callback = t.Callable[[], t.Awaitable[None]]
PauseCallback = t.Callable[[float], None]
Monotonic = t.Callable[[], float]


class Clock(t.Protocol):
    """A source of time that tests can replace."""

    def monotonic(self) -> float:
        """Return the seconds of a clock that never goes back."""

    def wall_ms(self) -> int:
        """Return milliseconds since the epoch, the unit of times in the log and for operators."""


class SystemClock:
    """The operating system's clocks."""

    __slots__ = ()

    def monotonic(self) -> float:
        """See :meth:`Clock.monotonic`."""
        return time.monotonic()

    def wall_ms(self) -> int:
        """See :meth:`Clock.wall_ms`."""
        return time.time_ns() // 1_000_000


class PauseDetector:
    """Detects pauses of the process, such as by SIGSTOP, by the time between two checks.

    :param threshold_s: time between two checks from which on the process counts as paused.
    """

    __slots__ = ("_checked_at", "_threshold_s")

    def __init__(self, threshold_s: float) -> None:
        self._threshold_s = threshold_s
        self._checked_at: float | None = None

    def check(self, now: float) -> float | None:
        """Return the seconds since the last check if the process was paused, else ``None``.

        :param now: seconds of a clock that runs on while the process is paused.
        """
        checked_at, self._checked_at = self._checked_at, now
        if checked_at is None or now - checked_at < self._threshold_s:
            return None
        return now - checked_at


class Subscription:
    """A subscription to a periodic callback."""

    __slots__ = ("_task",)

    def __init__(self, task: asyncio.Task[None]) -> None:
        self._task = task

    def cancel(self) -> None:
        """End the subscription; a callback that is running is cancelled."""
        self._task.cancel()


class Timers(Service):
    """Runs subscribed callbacks, each at its own period with random jitter.

    The jitter keeps nodes that start together from acting in step. A heartbeat detects pauses
    of the process, such as by SIGSTOP or by its machine being frozen.

    :param monotonic: returns the seconds of a clock that runs on while the process is paused.
    """

    def __init__(self, rng: random.Random, monotonic: Monotonic = time.monotonic) -> None:
        super().__init__()
        self._rng = rng
        self._monotonic = monotonic
        self._grid_offset_s = rng.uniform(0, GRID_S)
        """Differs between nodes that start together."""
        self._tasks: set[asyncio.Task[None]] = set()
        self._pause_callbacks: list[PauseCallback] = []
        self._pause_detector = PauseDetector(PAUSE_THRESHOLD_S)
        self._pause_ended_at = float("-inf")

    def subscribe(
        self, name: str, period_s: float, callback: Callback, jitter: float = 0.1
    ) -> Subscription:
        """Call ``callback`` about every ``period_s`` seconds.

        :param jitter: largest random deviation of a wait, as a fraction of the period.
        """
        task = asyncio.get_running_loop().create_task(
            self._repeat(name, period_s, callback, jitter), name=f"timer:{name}"
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return Subscription(task)

    def now(self) -> float:
        """Return the seconds of the clock that pauses are measured with."""
        return self._monotonic()

    def subscribe_pause(self, callback: PauseCallback) -> None:
        """Call ``callback`` after each pause of the process, with the length in seconds."""
        self._pause_callbacks.append(callback)

    def check_pause(self) -> None:
        """Check for a pause now instead of at the next heartbeat.

        After a pause the event loop runs all timers that are due, in no particular order, so
        code that is about to decide by elapsed time calls this first.
        """
        now = self._monotonic()
        paused_s = self._pause_detector.check(now)
        if paused_s is None:
            return
        self._pause_ended_at = now
        logger.warning("the process stood still for {:.1f} s", paused_s)
        for callback in self._pause_callbacks:
            callback(paused_s)

    def paused_since(self, instant: float) -> bool:
        """Return whether a pause ended at or after ``instant``, in seconds of :meth:`now`."""
        self.check_pause()
        return self._pause_ended_at >= instant

    async def on_start(self) -> None:
        self._pause_detector.check(self._monotonic())
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

    def _wait_s(self, period_s: float) -> float:
        """Return the wait that ends at the multiple of the grid next to the period's end."""
        if period_s < MIN_ALIGNED_WAIT_S:
            return period_s
        since_grid_s = asyncio.get_running_loop().time() - self._grid_offset_s
        end_s = round((since_grid_s + period_s) / GRID_S) * GRID_S
        return end_s - since_grid_s

    async def _repeat(self, name: str, period_s: float, callback: Callback, jitter: float) -> None:
        while True:
            await asyncio.sleep(self._wait_s(period_s * (1 + self._rng.uniform(-jitter, jitter))))
            try:
                await callback()
            except Exception:
                # A failing callback must stop neither its own timer nor the others'.
                logger.exception("the callback of timer {} failed", name)
