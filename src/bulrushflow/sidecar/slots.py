"""The exact slots of one target, with a queue that knows priorities, deadlines and lengths."""

import asyncio
import heapq
import itertools
from dataclasses import dataclass

from bulrushflow.exceptions import InvariantError

SMOOTHING = 0.1
"""Weight of the newest call in a smoothed service time."""
FIRST_SERVICE_S = 0.05
"""Taken for the service time of a route before its first answer."""
MAX_QUEUED_PER_SLOT = 4
DEADLINE_PART = 0.5
"""Part of the time left within which a call may be answered though its answer comes late."""
SHORT_PART = 0.5
"""Routes whose calls take less than this part of the longest go first: they delay others little,
and are mostly made by calls that hold a slot elsewhere."""
SHORT_RANK = -1
MAX_ROUTES = 256


@dataclass(frozen=True, slots=True)
class Wait:
    """What the queue has to know of a call; times are of the loop's clock."""

    route: str
    priority: int
    useful_until: float
    """When the answer loses worth."""
    deadline: float


class Slots:
    """Grants slots. A call that can't be answered while it is of use is refused at once."""

    __slots__ = ("_arrivals", "_queue", "_service_by_route", "active", "capacity")

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.active = 0
        self._arrivals = itertools.count()
        self._queue: list[tuple[int, int, Wait, asyncio.Future[str | None]]] = []
        self._service_by_route: dict[str, float] = {}

    @property
    def queued(self) -> int:
        """Calls that wait for a slot."""
        return sum(1 for item in self._queue if not item[3].done())

    @property
    def load(self) -> int:
        """Slots in use, and calls that wait for one."""
        return self.active + self.queued

    def service_s(self, route: str) -> float:
        """Return the smoothed service time of a route's calls."""
        return self._service_by_route.get(route, FIRST_SERVICE_S)

    async def acquire(self, wait: Wait) -> str | None:
        """Wait for a slot; return why none was had, or ``None`` with a slot."""
        if self.active < self.capacity and not self.queued:
            self.active += 1
            return None
        if self.queued >= self.capacity * MAX_QUEUED_PER_SLOT:
            return "the queue is full"
        loop = asyncio.get_running_loop()
        rank = self._rank(wait)
        expected_at = loop.time() + self._ahead_s(rank) + self.service_s(wait.route)
        if expected_at > self._latest(wait, loop.time()):
            return f"an answer is expected in {expected_at - loop.time():.2f} s, too late"
        granted: asyncio.Future[str | None] = loop.create_future()
        heapq.heappush(self._queue, (rank, next(self._arrivals), wait, granted))
        try:
            async with asyncio.timeout_at(wait.deadline):
                return await granted
        except TimeoutError:
            self._abandon(granted)
            return "the deadline passed in the queue"
        except asyncio.CancelledError:
            self._abandon(granted)
            raise

    def release(self, route: str, seconds: float | None) -> None:
        """Free a slot.

        :param seconds: how long an answered call held it; ``None`` tells nothing of the target.
        """
        if self.active <= 0:
            raise InvariantError("a slot was released twice")
        self.active -= 1
        if seconds is not None:
            self._observe(route, seconds)
        self._grant()

    def refuse_queued(self, reason: str) -> None:
        """Refuse every call that waits."""
        queue, self._queue = self._queue, []
        for _, _, _, granted in queue:
            if not granted.done():
                granted.set_result(reason)

    def _observe(self, route: str, seconds: float) -> None:
        if route not in self._service_by_route and len(self._service_by_route) >= MAX_ROUTES:
            return
        held = self._service_by_route.get(route, seconds)
        self._service_by_route[route] = held + (seconds - held) * SMOOTHING

    def _rank(self, wait: Wait) -> int:
        longest_s = max(self._service_by_route.values(), default=0.0)
        if self.service_s(wait.route) < longest_s * SHORT_PART:
            return SHORT_RANK
        return wait.priority

    def _ahead_s(self, rank: int) -> float:
        """Return the time until a slot is free for a new call of a rank."""
        held = [item[2].route for item in self._queue if item[0] <= rank and not item[3].done()]
        work_s = sum(self.service_s(route) for route in held)
        # The calls that run are half done on average.
        mean_s = sum(self._service_by_route.values()) / max(1, len(self._service_by_route))
        return work_s / max(1, self.capacity) + mean_s / 2 / max(1, self.capacity)

    def _latest(self, wait: Wait, now: float) -> float:
        return max(wait.useful_until, now + (wait.deadline - now) * DEADLINE_PART)

    def _grant(self) -> None:
        now = asyncio.get_running_loop().time()
        while self._queue and self.active < self.capacity:
            _, _, wait, granted = heapq.heappop(self._queue)
            if granted.done():
                continue
            if now + self.service_s(wait.route) / 2 >= wait.deadline:
                granted.set_result("the deadline can't be met any more")
                continue
            self.active += 1
            granted.set_result(None)

    def _abandon(self, granted: asyncio.Future[str | None]) -> None:
        # The slot may have been granted in the same turn of the loop that ended the wait.
        if granted.done() and not granted.cancelled() and granted.result() is None:
            self.release("", None)
        elif not granted.done():
            granted.cancel()
