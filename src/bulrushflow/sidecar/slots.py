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

SERVICE_TIME_SMOOTHING = 0.1
"""Weight of the newest call in a smoothed service time."""
DEFAULT_SERVICE_TIME_S = 0.05
"""Taken for the service time of a route before its first answer."""
MAX_QUEUED_PER_SLOT = 4
LATE_WAIT_FRACTION = 0.5
"""Part of the time left within which a call may be answered though its answer comes late."""
MIN_SERVICE_FRACTION = 0.5
"""Part of its usual service time that a call needs until its deadline to be worth a start."""
SHORT_ROUTE_FRACTION = 0.5
"""Routes whose calls take less than this part of the longest go first: they delay others little,
and are mostly made by calls that hold a slot elsewhere."""
SHORT_ROUTE_RANK = -1
MAX_TRACKED_ROUTES = 256


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """What the queue has to know of a call; times are of the loop's clock."""

    route: str
    priority: int
    late_after: float
    """When the answer loses worth."""
    deadline: float


@dataclass(order=True, slots=True)
class _QueuedRequest:
    """A call in the queue; the lower rank goes first, then the earlier arrival."""

    rank: int
    sequence: int
    request: SlotRequest = field(compare=False)
    decision: asyncio.Future[str | None] = field(compare=False)


class SlotPool:
    """Grants slots. A call that can't be answered while it is of use is refused at once."""

    __slots__ = (
        "_late_queue",
        "_queue",
        "_sequence",
        "_service_time_by_route",
        "active",
        "capacity",
    )

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.active = 0
        self._sequence = itertools.count()
        self._queue: list[_QueuedRequest] = []
        self._late_queue: collections.deque[_QueuedRequest] = collections.deque()
        """Waiting calls whose answers lose worth, in the order in which that was found."""
        self._service_time_by_route: dict[str, float] = {}

    @property
    def queued(self) -> int:
        """Calls that wait for a slot."""
        queued = itertools.chain(self._queue, self._late_queue)
        return sum(1 for item in queued if not item.decision.done())

    @property
    def load(self) -> int:
        """Slots in use, and calls that wait for one."""
        return self.active + self.queued

    def service_time_s(self, route: str) -> float:
        """Return the smoothed service time of a route's calls."""
        return self._service_time_by_route.get(route, DEFAULT_SERVICE_TIME_S)

    async def acquire(self, request: SlotRequest) -> str | None:
        """Wait for a slot; return why none was had, or ``None`` with a slot."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        service_time_s = self.service_time_s(request.route)
        last_start = request.deadline - service_time_s * MIN_SERVICE_FRACTION
        # An idle target may be faster than it was.
        if self.active and now >= last_start:
            return "the deadline can't be met any more"
        queued = self.queued
        if self.active < self.capacity and not queued:
            self.active += 1
            return None
        if queued >= self.capacity * MAX_QUEUED_PER_SLOT and not self._evict_late():
            return "the queue is full"
        rank = self._rank(request)
        decision: asyncio.Future[str | None] = loop.create_future()
        queued_request = _QueuedRequest(rank, next(self._sequence), request, decision)
        expected_wait_s = self._expected_wait_s(item for item in self._queue if item.rank <= rank)
        if rank == SHORT_ROUTE_RANK or self._meets_objective(request, now + expected_wait_s):
            heapq.heappush(self._queue, queued_request)
        else:
            expected_wait_s = self._expected_wait_s(itertools.chain(self._queue, self._late_queue))
            latest = max(request.late_after, now + (request.deadline - now) * LATE_WAIT_FRACTION)
            if now + expected_wait_s + service_time_s > latest:
                return (
                    f"an answer is expected in {expected_wait_s + service_time_s:.2f} s, too late"
                )
            self._late_queue.append(queued_request)
        try:
            # From then on an answer can't come in time, but the caller can still be told so.
            async with asyncio.timeout_at(last_start):
                return await decision
        except TimeoutError:
            self._cancel(decision)
            return "the deadline can't be met any more"
        except asyncio.CancelledError:
            self._cancel(decision)
            raise

    def release(self, route: str, seconds: float | None) -> None:
        """Free a slot.

        :param seconds: how long an answered call held it; ``None`` tells nothing of the target.
        """
        if self.active <= 0:
            raise InvariantError("a slot was released twice")
        self.active -= 1
        if seconds is not None:
            self._record_service_time(route, seconds)
        self._grant()

    def refuse_queued(self, reason: str) -> None:
        """Refuse every call that waits."""
        queue = [*self._queue, *self._late_queue]
        self._queue.clear()
        self._late_queue.clear()
        for queued_request in queue:
            if not queued_request.decision.done():
                queued_request.decision.set_result(reason)

    def _record_service_time(self, route: str, seconds: float) -> None:
        if (
            route not in self._service_time_by_route
            and len(self._service_time_by_route) >= MAX_TRACKED_ROUTES
        ):
            return
        current = self._service_time_by_route.get(route, seconds)
        self._service_time_by_route[route] = current + (seconds - current) * SERVICE_TIME_SMOOTHING

    def _rank(self, request: SlotRequest) -> int:
        longest_s = max(self._service_time_by_route.values(), default=0.0)
        if self.service_time_s(request.route) < longest_s * SHORT_ROUTE_FRACTION:
            return SHORT_ROUTE_RANK
        return request.priority

    def _expected_wait_s(self, ahead: t.Iterable[_QueuedRequest]) -> float:
        """Return the time until a slot is free for a call behind others."""
        work_s = sum(
            self.service_time_s(item.request.route) for item in ahead if not item.decision.done()
        )
        # The calls that run are half done on average.
        mean_s = sum(self._service_time_by_route.values()) / max(
            1, len(self._service_time_by_route)
        )
        return (work_s + mean_s / 2) / max(1, self.capacity)

    def _meets_objective(self, request: SlotRequest, start: float) -> bool:
        """Tell whether a call that starts then is answered before its answer loses worth."""
        return start + self.service_time_s(request.route) <= request.late_after

    def _grant(self) -> None:
        now = asyncio.get_running_loop().time()
        while self.active < self.capacity:
            queued_request = self._pop_next(now)
            if queued_request is None:
                return
            request = queued_request.request
            if now + self.service_time_s(request.route) * MIN_SERVICE_FRACTION >= request.deadline:
                queued_request.decision.set_result("the deadline can't be met any more")
                continue
            self.active += 1
            queued_request.decision.set_result(None)

    def _pop_next(self, now: float) -> _QueuedRequest | None:
        """Take the next call from the queue: one in time if there is any."""
        while self._queue:
            queued_request = heapq.heappop(self._queue)
            if queued_request.decision.done():
                continue
            if queued_request.rank == SHORT_ROUTE_RANK or self._meets_objective(
                queued_request.request, now
            ):
                return queued_request
            self._late_queue.append(queued_request)
        while self._late_queue:
            queued_request = self._late_queue.popleft()
            if not queued_request.decision.done():
                return queued_request
        return None

    def _evict_late(self) -> bool:
        """Refuse the call that is late for the longest time, if there is one."""
        while self._late_queue:
            decision = self._late_queue.popleft().decision
            if not decision.done():
                decision.set_result("late, and the queue is full")
                return True
        return False

    def _cancel(self, decision: asyncio.Future[str | None]) -> None:
        # The slot may have been granted in the same turn of the loop that ended the request.
        if decision.done() and not decision.cancelled() and decision.result() is None:
            self.release("", None)
        elif not decision.done():
            decision.cancel()
