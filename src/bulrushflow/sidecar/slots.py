"""The exact slots of one target, with a queue by priority that knows deadlines."""

import asyncio
import heapq
import itertools

from bulrushflow.exceptions import InvariantError

SERVICE_SMOOTHING = 0.1
"""Weight of the newest call in the smoothed service time."""
FIRST_SERVICE_S = 0.05
"""Taken for the service time before the first answer."""
MAX_QUEUED_PER_SLOT = 4
USEFUL_PART = 0.8
"""Part of the time left that a call may be expected to wait; the rest is for running it."""


class Slots:
    """Grants slots; calls that wait are ordered by priority, then by arrival."""

    __slots__ = ("_arrivals", "_queue", "active", "capacity", "service_s")

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.active = 0
        self.service_s = FIRST_SERVICE_S
        self._arrivals = itertools.count()
        self._queue: list[tuple[int, int, float, asyncio.Future[str | None]]] = []

    @property
    def queued(self) -> int:
        """Calls that wait for a slot."""
        return sum(1 for item in self._queue if not item[3].done())

    @property
    def load(self) -> int:
        """Slots in use, and calls that wait for one."""
        return self.active + self.queued

    async def acquire(self, priority: int, deadline: float) -> str | None:
        """Wait for a slot; return why none was had, or ``None`` with a slot."""
        if self.active < self.capacity and not self.queued:
            self.active += 1
            return None
        loop = asyncio.get_running_loop()
        ahead = sum(1 for item in self._queue if item[0] <= priority and not item[3].done())
        wait_s = (ahead + 1) * self.service_s / max(1, self.capacity)
        left_s = deadline - loop.time()
        if wait_s + self.service_s > left_s * USEFUL_PART:
            return f"{ahead} calls wait, too many for {left_s:.2f} s"
        if self.queued >= self.capacity * MAX_QUEUED_PER_SLOT:
            return "the queue is full"
        granted: asyncio.Future[str | None] = loop.create_future()
        heapq.heappush(self._queue, (priority, next(self._arrivals), deadline, granted))
        try:
            async with asyncio.timeout_at(deadline):
                return await granted
        except TimeoutError:
            self._abandon(granted)
            return "the deadline passed in the queue"
        except asyncio.CancelledError:
            self._abandon(granted)
            raise

    def release(self, seconds: float | None) -> None:
        """Free a slot.

        :param seconds: how long an answered call held it; ``None`` tells nothing of the target.
        """
        if self.active <= 0:
            raise InvariantError("a slot was released twice")
        self.active -= 1
        if seconds is not None:
            self.service_s += (seconds - self.service_s) * SERVICE_SMOOTHING
        self._grant()

    def refuse_queued(self, reason: str) -> None:
        """Refuse every call that waits."""
        queue, self._queue = self._queue, []
        for _, _, _, granted in queue:
            if not granted.done():
                granted.set_result(reason)

    def _grant(self) -> None:
        now = asyncio.get_running_loop().time()
        while self._queue and self.active < self.capacity:
            _, _, deadline, granted = heapq.heappop(self._queue)
            if granted.done():
                continue
            if now + self.service_s / 2 >= deadline:
                granted.set_result("the deadline can't be met any more")
                continue
            self.active += 1
            granted.set_result(None)

    def _abandon(self, granted: asyncio.Future[str | None]) -> None:
        # The slot may have been granted in the same turn of the loop that ended the wait.
        if granted.done() and not granted.cancelled() and granted.result() is None:
            self.release(None)
        elif not granted.done():
            granted.cancel()
