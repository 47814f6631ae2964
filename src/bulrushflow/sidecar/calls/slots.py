"""A target's concurrency slots and rate limit, with a queue of the calls that wait for a slot."""

import asyncio
import math

from result import Err
from result import Ok
from result import Result

from bulrushflow.exceptions import InvariantError
from bulrushflow.overload import PLAIN_RULES
from bulrushflow.overload import CallQueue
from bulrushflow.overload import Placement
from bulrushflow.overload import QueueRules
from bulrushflow.overload import ServiceTimes
from bulrushflow.overload import SlotRequest
from bulrushflow.placement import ColdLimit
from bulrushflow.sidecar.calls.start_limits import StartLimits

MAX_QUEUED_PER_SLOT = 4
"""Bound on the queue's length, per slot."""
DEADLINE_MISSED = "the deadline can't be met any more"

Decision = asyncio.Future[str | None]
"""``None`` once a slot is granted, or the reason for a refusal."""


class SlotPool:
    """Grants slots, and refuses at once a call whose response would come too late.

    Under a rate limit a free slot is granted only when the limit admits another call.

    :param rules: how calls wait.
    :param cold_limit: limit while the target is cold; it is shared by the pools of one address.
    """

    __slots__ = ("_limit", "_limit_timer", "_queue", "_times", "active", "capacity")

    def __init__(
        self,
        capacity: int,
        rules: QueueRules = PLAIN_RULES,
        cold_limit: ColdLimit | None = None,
    ) -> None:
        self.capacity = capacity
        self.active = 0
        self._times = ServiceTimes()
        self._queue: CallQueue[Decision] = CallQueue(self._times, rules)
        self._limit = StartLimits(cold_limit)
        self._limit_timer: asyncio.TimerHandle | None = None

    @property
    def usable(self) -> int:
        """Number of slots that calls can be expected to keep in use under the rate limit."""
        per_s = self._limit.per_s(asyncio.get_running_loop().time())
        if per_s is None:
            return self.capacity
        return min(self.capacity, max(1, math.ceil(per_s * self._times.overall_mean_s)))

    @property
    def queued(self) -> int:
        """Number of calls that wait for a slot."""
        return len(self._queue)

    @property
    def queued_work_s(self) -> float:
        """Expected slot time of the calls that wait."""
        return self._queue.queued_work_s

    @property
    def load(self) -> int:
        """Number of slots in use plus calls that wait for one."""
        return self.active + self.queued

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
        if self.active and now >= self._queue.last_start(request):
            return DEADLINE_MISSED
        if self._starts_at_once(now):
            return None
        return self._place(request, now).err()

    async def acquire(self, request: SlotRequest) -> str | None:
        """Wait for a slot.

        :return: ``None`` once the slot is granted, else the reason for the refusal.
        """
        now = asyncio.get_running_loop().time()
        self._queue.record_arrival(request, now)
        last_start = self._queue.last_start(request)
        # Not checked on an idle target, which may be faster than its smoothed service time.
        if self.active and now >= last_start:
            return DEADLINE_MISSED
        if self._starts_at_once(now):
            self._start(request, now)
            return None
        match self._place(request, now):
            case Err(reason):
                return reason
            case Ok(placement):
                return await self._wait(request, placement, now, last_start)

    async def _wait(
        self, request: SlotRequest, placement: Placement, now: float, last_start: float
    ) -> str | None:
        decision: Decision = asyncio.get_running_loop().create_future()
        evicted = self._queue.push(request, placement, decision)
        if evicted is not None:
            evicted.waiter.set_result("the queue is full, and others go before")
        if not placement.late:
            self._refuse_unservable(now)
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

    def release(self, route: str, seconds: float | None) -> None:
        """Free a slot, and grant it to the next call.

        :param seconds: service time to record; ``None`` when the call got no response.
        :raises InvariantError: when no slot is in use.
        """
        if self.active <= 0:
            raise InvariantError(f"slot released twice: {self.active} of {self.capacity} in use")
        self.active -= 1
        if seconds is not None:
            self._times.record(route, seconds)
        self._grant()

    def release_unused(self) -> None:
        """Free a slot whose call was not sent, which doesn't count against the rate limit."""
        self._limit.refund(asyncio.get_running_loop().time())
        self.release("", None)

    def refuse_queued(self, reason: str) -> None:
        """Refuse every queued call."""
        for call in self._queue.clear():
            if not call.waiter.done():
                call.waiter.set_result(reason)

    def _refuse_unservable(self, now: float) -> None:
        """Refuse the late calls that have no time left behind a call that goes before them."""
        for call, reason in self._queue.remove_unservable(now, self.capacity):
            call.waiter.set_result(reason)

    def _starts_at_once(self, now: float) -> bool:
        return self.active < self.capacity and not self.queued and not self._limit.wait_s(now)

    def _place(self, request: SlotRequest, now: float) -> Result[Placement, str]:
        placed = self._queue.place(
            request, now, self.capacity, self.capacity * MAX_QUEUED_PER_SLOT, self._limit
        )
        if placed.is_ok() and placed.unwrap().late and self._limit.is_cold(now):
            # Other targets are mostly warm, and a queue for a cold one would grow to its bound.
            self._limit.refuse_cold()
            wait_s = placed.unwrap().wait_s
            return Err(f"the cold target takes the call in {wait_s:.2f} s, too late")
        return placed

    def _grant(self) -> None:
        now = asyncio.get_running_loop().time()
        while self.active < self.capacity:
            wait_s = self._limit.wait_s(now)
            if wait_s:
                self._grant_later(wait_s)
                return
            call = self._queue.pop(now)
            if call is None:
                return
            if now >= self._queue.last_start(call.request):
                call.waiter.set_result(DEADLINE_MISSED)
                continue
            self._start(call.request, now)
            call.waiter.set_result(None)

    def _start(self, request: SlotRequest, now: float) -> None:
        self.active += 1
        self._limit.consume(now)
        self._queue.record_start(request)

    def _grant_later(self, wait_s: float) -> None:
        """Grant slots once the rate limit admits a call, if one is queued."""
        if self._limit_timer is not None:
            self._limit_timer.cancel()
            self._limit_timer = None
        if self.queued:
            self._limit_timer = asyncio.get_running_loop().call_later(wait_s, self._grant)

    def _cancel(self, decision: Decision) -> None:
        # The slot may have been granted in the same event loop iteration that ended the wait.
        if decision.done() and not decision.cancelled() and decision.result() is None:
            self.release_unused()
        elif not decision.done():
            decision.cancel()
