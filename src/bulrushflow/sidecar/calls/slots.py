"""A target's concurrency slots and rate limit, with a queue by priority and service time.

Calls that can still meet their latency objective are served before those that can't. Under overload
the late calls have little left to lose, and first-come-first-served would make every other call
late too.
"""

import asyncio
import collections
import heapq
import itertools
import math
import typing as t

import msgspec
from result import Err
from result import Ok
from result import Result

from bulrushflow.exceptions import InvariantError
from bulrushflow.placement import ColdLimit
from bulrushflow.sidecar.calls.start_limits import StartLimits

SERVICE_TIME_SMOOTHING = 0.1
"""Weight of the newest call in the exponential moving average of service times."""
DEFAULT_SERVICE_TIME_S = 0.05
"""Service time assumed for a route that has no response yet."""
MAX_QUEUED_PER_SLOT = 4
"""Bound on the queue's length, per slot."""
LATE_WAIT_FRACTION = 0.5
"""Fraction of the time until the deadline within which a response is still accepted although it
misses the latency objective."""
MIN_SERVICE_FRACTION = 0.5
"""Fraction of its usual service time that must remain until a call's deadline for it to start."""
SHORT_ROUTE_FRACTION = 0.5
"""Routes whose service time is below this fraction of the longest one go first: they delay others
little, and their callers mostly hold a slot of another target meanwhile."""
SHORT_ROUTE_RANK = -1
"""Rank of calls on short routes, before every priority."""
DEADLINE_MISSED = "the deadline can't be met any more"
MAX_TRACKED_ROUTES = 256
"""Routes with a service time of their own; further ones use the default."""


class SlotRequest(msgspec.Struct, frozen=True):
    """The attributes of a call by which it is queued; times are event loop times in seconds."""

    route: str
    priority: int
    late_after: float
    """Time after which a response counts as late."""
    deadline: float


class _QueuedRequest(msgspec.Struct, eq=False):
    """A call in the queue. The lowest rank goes first; ties go to the earliest arrival."""

    rank: int
    sequence: int
    request: SlotRequest
    decision: asyncio.Future[str | None]
    """``None`` once a slot is granted, or the reason for a refusal."""

    def __lt__(self, other: "_QueuedRequest") -> bool:
        return (self.rank, self.sequence) < (other.rank, other.sequence)


class _Placement(msgspec.Struct, frozen=True):
    """Where a call waits."""

    rank: int
    late: bool
    """Whether it waits behind all calls that can meet their latency objective."""
    evicts: bool
    """Whether the queue is full, and a late call leaves it."""


class SlotPool:
    """Grants slots, and refuses at once a call whose response would come too late.

    Under a rate limit a free slot is granted only when the limit admits another call.

    :param cold_limit: limit while the target is cold; it is shared by the pools of one address.
    """

    __slots__ = (
        "_late_queue",
        "_limit",
        "_limit_timer",
        "_queue",
        "_sequence",
        "_service_time_by_route",
        "active",
        "capacity",
    )

    def __init__(self, capacity: int, cold_limit: ColdLimit | None = None) -> None:
        self.capacity = capacity
        self.active = 0
        self._sequence = itertools.count()
        self._queue: list[_QueuedRequest] = []
        self._late_queue: collections.deque[_QueuedRequest] = collections.deque()
        """Queued calls that miss their latency objective, in the order in which that was found."""
        self._service_time_by_route: dict[str, float] = {}
        self._limit = StartLimits(cold_limit)
        self._limit_timer: asyncio.TimerHandle | None = None

    @property
    def usable(self) -> int:
        """Number of slots that calls can be expected to keep in use under the rate limit."""
        per_s = self._limit.per_s(asyncio.get_running_loop().time())
        if per_s is None:
            return self.capacity
        return min(self.capacity, max(1, math.ceil(per_s * self._mean_time_s())))

    @property
    def queued(self) -> int:
        """Number of calls that wait for a slot."""
        queued = itertools.chain(self._queue, self._late_queue)
        return sum(1 for item in queued if not item.decision.done())

    @property
    def load(self) -> int:
        """Number of slots in use plus calls that wait for one."""
        return self.active + self.queued

    def service_time_s(self, route: str) -> float:
        """Return the smoothed service time of a route's calls in seconds."""
        return self._service_time_by_route.get(route, DEFAULT_SERVICE_TIME_S)

    def limit_rate(self, per_s: float | None) -> None:
        """Set the calls per second that may start; ``None`` lifts the limit."""
        self._limit.change_named(per_s, asyncio.get_running_loop().time())
        self._grant()

    def apply_cold_limit(self, turned_cold: bool) -> None:
        """Apply a changed limit of the cold target.

        :param turned_cold: whether a cold phase begins. The calls that wait were admitted to a
            warm target, and other targets take them sooner.
        """
        if turned_cold:
            self._limit.refuse_cold(self.queued)
            self.refuse_queued("the target turned cold")
        self._grant()

    def refusal(self, request: SlotRequest) -> str | None:
        """Return why a call would be refused now, or ``None`` if it would start or wait."""
        now = asyncio.get_running_loop().time()
        last_start = self._last_start(request)
        if self.active and now >= last_start:
            return DEADLINE_MISSED
        if self._starts_at_once(now):
            return None
        return self._place(request, now, last_start).err()

    async def acquire(self, request: SlotRequest) -> str | None:
        """Wait for a slot.

        :return: ``None`` once the slot is granted, else the reason for the refusal.
        """
        now = asyncio.get_running_loop().time()
        last_start = self._last_start(request)
        # Not checked on an idle target, which may be faster than its smoothed service time.
        if self.active and now >= last_start:
            return DEADLINE_MISSED
        if self._starts_at_once(now):
            self._start(now)
            return None
        match self._place(request, now, last_start):
            case Err(reason):
                return reason
            case Ok(placement):
                pass
        decision = self._enqueue(request, placement)
        if self.active < self.capacity:
            self._grant()
        try:
            # After the last useful start the deadline can't be met; refusing now still reaches the
            # caller in time.
            async with asyncio.timeout_at(last_start):
                return await decision
        except TimeoutError:
            self._cancel(decision)
            return DEADLINE_MISSED
        except asyncio.CancelledError:
            self._cancel(decision)
            raise

    def _last_start(self, request: SlotRequest) -> float:
        """Return the event loop time after which a call is of no use any more."""
        return request.deadline - self.service_time_s(request.route) * MIN_SERVICE_FRACTION

    def _starts_at_once(self, now: float) -> bool:
        return self.active < self.capacity and not self.queued and not self._limit.wait_s(now)

    def _place(
        self, request: SlotRequest, now: float, last_start: float
    ) -> Result[_Placement, str]:
        """Return where a call would wait, or why its response would come too late."""
        rank = self._rank(request)
        ahead = [item for item in self._queue if item.rank <= rank and not item.decision.done()]
        limit_wait_s = self._limit.wait_s(now, len(ahead))
        # Checked first, so that no late call is evicted for one that can't be served.
        if limit_wait_s and now + limit_wait_s > last_start:
            return Err(f"the target's limit admits the call in {limit_wait_s:.2f} s, too late")
        late = [item for item in self._late_queue if not item.decision.done()]
        full = self.queued >= self.capacity * MAX_QUEUED_PER_SLOT
        if full and not late:
            return Err("the queue is full")
        expected_wait_s = self._expected_wait_s(ahead, now)
        if rank == SHORT_ROUTE_RANK or self._meets_objective(request, now + expected_wait_s):
            return Ok(_Placement(rank, late=False, evicts=full))
        if self._limit.is_cold(now):
            # Other targets are mostly warm, and a queue for a cold one would grow to its bound.
            self._limit.refuse_cold()
            return Err(f"the cold target takes the call in {expected_wait_s:.2f} s, too late")
        service_time_s = self.service_time_s(request.route)
        remaining = late[1:] if full else late
        expected_wait_s = self._expected_wait_s(itertools.chain(self._queue, remaining), now)
        latest = max(request.late_after, now + (request.deadline - now) * LATE_WAIT_FRACTION)
        if now + expected_wait_s + service_time_s > latest:
            return Err(
                f"an answer is expected in {expected_wait_s + service_time_s:.2f} s, too late"
            )
        return Ok(_Placement(rank, late=True, evicts=full))

    def _enqueue(self, request: SlotRequest, placement: _Placement) -> asyncio.Future[str | None]:
        """Queue a call and return its decision."""
        if placement.evicts:
            self._evict_late()
        decision: asyncio.Future[str | None] = asyncio.get_running_loop().create_future()
        queued_request = _QueuedRequest(placement.rank, next(self._sequence), request, decision)
        if placement.late:
            self._late_queue.append(queued_request)
        else:
            heapq.heappush(self._queue, queued_request)
        return decision

    def release(self, route: str, seconds: float | None) -> None:
        """Free a slot, and grant it to the next call.

        :param seconds: service time to record; ``None`` when the call got no response.
        :raises InvariantError: when no slot is in use.
        """
        if self.active <= 0:
            raise InvariantError(f"slot released twice: {self.active} of {self.capacity} in use")
        self.active -= 1
        if seconds is not None:
            self._record_service_time(route, seconds)
        self._grant()

    def release_unused(self) -> None:
        """Free a slot whose call was not sent, which doesn't count against the rate limit."""
        self._limit.refund(asyncio.get_running_loop().time())
        self.release("", None)

    def refuse_queued(self, reason: str) -> None:
        """Refuse every queued call."""
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

    def _expected_wait_s(self, ahead: t.Iterable[_QueuedRequest], now: float) -> float:
        """Return the expected seconds until a call behind ``ahead`` gets a slot."""
        waiting = [item.request.route for item in ahead if not item.decision.done()]
        work_s = sum(self.service_time_s(route) for route in waiting)
        # Running calls have half of their service time left on average.
        slot_wait_s = (work_s + self._mean_time_s() / 2) / max(1, self.capacity)
        return max(slot_wait_s, self._limit.wait_s(now, len(waiting)))

    def _mean_time_s(self) -> float:
        """Return the mean of the routes' service times; 0 before the first response."""
        times = self._service_time_by_route.values()
        return sum(times) / max(1, len(times))

    def _meets_objective(self, request: SlotRequest, start: float) -> bool:
        """Return whether a call that starts at ``start`` meets its latency objective."""
        return start + self.service_time_s(request.route) <= request.late_after

    def _grant(self) -> None:
        now = asyncio.get_running_loop().time()
        while self.active < self.capacity:
            wait_s = self._limit.wait_s(now)
            if wait_s:
                self._grant_later(wait_s)
                return
            queued_request = self._pop_next(now)
            if queued_request is None:
                return
            request = queued_request.request
            if now + self.service_time_s(request.route) * MIN_SERVICE_FRACTION >= request.deadline:
                queued_request.decision.set_result(DEADLINE_MISSED)
                continue
            self._start(now)
            queued_request.decision.set_result(None)

    def _start(self, now: float) -> None:
        self.active += 1
        self._limit.consume(now)

    def _grant_later(self, wait_s: float) -> None:
        """Grant slots once the rate limit admits a call, if one is queued."""
        if self._limit_timer is not None:
            self._limit_timer.cancel()
            self._limit_timer = None
        if self._queue or self._late_queue:
            self._limit_timer = asyncio.get_running_loop().call_later(wait_s, self._grant)

    def _pop_next(self, now: float) -> _QueuedRequest | None:
        """Remove and return the next call; late calls follow after all calls in time."""
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

    def _evict_late(self) -> None:
        """Refuse the queued call that became late first."""
        while self._late_queue:
            decision = self._late_queue.popleft().decision
            if not decision.done():
                decision.set_result("late, and the queue is full")
                return

    def _cancel(self, decision: asyncio.Future[str | None]) -> None:
        # The slot may have been granted in the same event loop iteration that ended the wait.
        if decision.done() and not decision.cancelled() and decision.result() is None:
            self.release_unused()
        elif not decision.done():
            decision.cancel()
