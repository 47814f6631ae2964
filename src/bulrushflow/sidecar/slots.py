"""The exact slots of one target, with a queue that knows priorities, deadlines and lengths.

Calls that can still be answered in time go before those that can't: under overload the late ones
have little left to lose, and in order of arrival they would make every other call late too.
"""

import asyncio
import collections
import heapq
import itertools
import typing as t
from dataclasses import dataclass
from dataclasses import field

from bulrushflow.exceptions import InvariantError

SMOOTHING = 0.1
"""Weight of the newest call in a smoothed service time."""
FIRST_SERVICE_S = 0.05
"""Taken for the service time of a route before its first answer."""
MAX_QUEUED_PER_SLOT = 4
DEADLINE_PART = 0.5
"""Part of the time left within which a call may be answered though its answer comes late."""
WORTHWHILE_PART = 0.5
"""Part of its usual service time that a call needs until its deadline to be worth a start."""
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


@dataclass(order=True, slots=True)
class _Waiting:
    """A call in the queue; the lower rank goes first, then the earlier arrival."""

    rank: int
    arrival: int
    wait: Wait = field(compare=False)
    granted: asyncio.Future[str | None] = field(compare=False)


class SlotPool:
    """Grants slots. A call that can't be answered while it is of use is refused at once."""

    __slots__ = ("_arrivals", "_late", "_queue", "_service_by_route", "active", "capacity")

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.active = 0
        self._arrivals = itertools.count()
        self._queue: list[_Waiting] = []
        self._late: collections.deque[_Waiting] = collections.deque()
        """Waiting calls whose answers lose worth, in the order in which that was found."""
        self._service_by_route: dict[str, float] = {}

    @property
    def queued(self) -> int:
        """Calls that wait for a slot."""
        waiting = itertools.chain(self._queue, self._late)
        return sum(1 for item in waiting if not item.granted.done())

    @property
    def load(self) -> int:
        """Slots in use, and calls that wait for one."""
        return self.active + self.queued

    def service_s(self, route: str) -> float:
        """Return the smoothed service time of a route's calls."""
        return self._service_by_route.get(route, FIRST_SERVICE_S)

    async def acquire(self, wait: Wait) -> str | None:
        """Wait for a slot; return why none was had, or ``None`` with a slot."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        service_s = self.service_s(wait.route)
        last_start = wait.deadline - service_s * WORTHWHILE_PART
        # An idle target may be faster than it was.
        if self.active and now >= last_start:
            return "the deadline can't be met any more"
        queued = self.queued
        if self.active < self.capacity and not queued:
            self.active += 1
            return None
        if queued >= self.capacity * MAX_QUEUED_PER_SLOT and not self._give_up_late():
            return "the queue is full"
        rank = self._rank(wait)
        granted: asyncio.Future[str | None] = loop.create_future()
        waiting = _Waiting(rank, next(self._arrivals), wait, granted)
        ahead_s = self._ahead_s(item for item in self._queue if item.rank <= rank)
        if rank == SHORT_RANK or self._is_in_time(wait, now + ahead_s):
            heapq.heappush(self._queue, waiting)
        else:
            ahead_s = self._ahead_s(itertools.chain(self._queue, self._late))
            latest = max(wait.useful_until, now + (wait.deadline - now) * DEADLINE_PART)
            if now + ahead_s + service_s > latest:
                return f"an answer is expected in {ahead_s + service_s:.2f} s, too late"
            self._late.append(waiting)
        try:
            # From then on an answer can't come in time, but the caller can still be told so.
            async with asyncio.timeout_at(last_start):
                return await granted
        except TimeoutError:
            self._abandon(granted)
            return "the deadline can't be met any more"
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
        queue = [*self._queue, *self._late]
        self._queue.clear()
        self._late.clear()
        for waiting in queue:
            if not waiting.granted.done():
                waiting.granted.set_result(reason)

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

    def _ahead_s(self, ahead: t.Iterable[_Waiting]) -> float:
        """Return the time until a slot is free for a call behind others."""
        work_s = sum(self.service_s(item.wait.route) for item in ahead if not item.granted.done())
        # The calls that run are half done on average.
        mean_s = sum(self._service_by_route.values()) / max(1, len(self._service_by_route))
        return (work_s + mean_s / 2) / max(1, self.capacity)

    def _is_in_time(self, wait: Wait, start: float) -> bool:
        """Tell whether a call that starts then is answered before its answer loses worth."""
        return start + self.service_s(wait.route) <= wait.useful_until

    def _grant(self) -> None:
        now = asyncio.get_running_loop().time()
        while self.active < self.capacity:
            waiting = self._next(now)
            if waiting is None:
                return
            wait = waiting.wait
            if now + self.service_s(wait.route) * WORTHWHILE_PART >= wait.deadline:
                waiting.granted.set_result("the deadline can't be met any more")
                continue
            self.active += 1
            waiting.granted.set_result(None)

    def _next(self, now: float) -> _Waiting | None:
        """Take the next call from the queue: one in time if there is any."""
        while self._queue:
            waiting = heapq.heappop(self._queue)
            if waiting.granted.done():
                continue
            if waiting.rank == SHORT_RANK or self._is_in_time(waiting.wait, now):
                return waiting
            self._late.append(waiting)
        while self._late:
            waiting = self._late.popleft()
            if not waiting.granted.done():
                return waiting
        return None

    def _give_up_late(self) -> bool:
        """Refuse the call that is late for the longest time, if there is one."""
        while self._late:
            granted = self._late.popleft().granted
            if not granted.done():
                granted.set_result("late, and the queue is full")
                return True
        return False

    def _abandon(self, granted: asyncio.Future[str | None]) -> None:
        # The slot may have been granted in the same turn of the loop that ended the wait.
        if granted.done() and not granted.cancelled() and granted.result() is None:
            self.release("", None)
        elif not granted.done():
            granted.cancel()
