"""Exact slots of one target, with a bounded queue in front and an adaptive limit beneath."""

import asyncio

from bulrushflow.exceptions import InvariantError
from bulrushflow.routing.limits import ConcurrencyLimit
from bulrushflow.routing.queues import FairQueue

MAX_QUEUED_PER_SLOT = 2
SERVICE_TIME_SMOOTHING = 0.1
"""Weight of the newest call in the smoothed service time."""
MIN_LINGER_S = 0.01
MAX_LINGER_S = 1.0
LINGER_FACTOR = 2.0
"""Smoothed service times after which an abandoned call's slot counts as free."""

RefusalReason = str


class SlotPool:
    """Grants slots, at most as many as the target has slots and connections.

    An abandoned call's slot is not free when its connection is closed: the target may not have
    noticed, or may not be able to stop. The slot lingers for ``LINGER_FACTOR`` service times, by
    when a target that stops on cancellation has stopped, and most others have finished.
    """

    def __init__(self, slots: int, connections: int) -> None:
        self.active = 0
        self.lingering = 0
        self.service_time_s = 0.0
        self._max_running = min(slots, connections)
        self.limit = ConcurrencyLimit(self._max_running)
        self._queue: FairQueue[asyncio.Future[RefusalReason | None]] = FairQueue(
            slots * MAX_QUEUED_PER_SLOT
        )

    @property
    def occupied(self) -> int:
        """Slots that are not free: calls that run, and calls that may still run."""
        return self.active + self.lingering

    @property
    def queued(self) -> int:
        """Calls that wait for a slot."""
        return len(self._queue)

    @property
    def capacity(self) -> int:
        """Slots that may be occupied at once now."""
        return min(self._max_running, self.limit.value)

    def try_acquire(self) -> bool:
        """Take a slot at once; ``False`` when the call has to queue."""
        if self._queue or self.occupied >= self.capacity:
            return False
        self.active += 1
        return True

    async def acquire(self, tenant: str, deadline: float) -> RefusalReason | None:
        """Wait for a slot in the queue; return why none was had, or ``None`` with a slot."""
        loop = asyncio.get_running_loop()
        wait_s = self._queue.estimated_wait_s(tenant, self.service_time_s, self.capacity)
        if loop.time() + wait_s + self.service_time_s >= deadline:
            return "the queue is too long for the deadline"
        grant: asyncio.Future[RefusalReason | None] = loop.create_future()
        evicted = self._queue.push(grant, tenant, deadline)
        if evicted is grant:
            return "the queue is full"
        if evicted is not None and not evicted.done():
            evicted.set_result("gave way in the queue to another tenant")
        try:
            async with asyncio.timeout_at(deadline):
                return await grant
        except TimeoutError:
            self._withdraw(grant)
            return "the deadline passed in the queue"
        except asyncio.CancelledError:
            self._withdraw(grant)
            raise

    def release(self) -> None:
        """Free the slot of a call that ended."""
        if self.active <= 0:
            raise InvariantError("a slot was released twice")
        self.active -= 1
        self._grant_queued()

    def release_abandoned(self) -> None:
        """Free the slot of a call that the target may still run, some time later."""
        if self.active <= 0:
            raise InvariantError("a slot was released twice")
        self.active -= 1
        self.lingering += 1
        linger_s = min(MAX_LINGER_S, max(MIN_LINGER_S, self.service_time_s * LINGER_FACTOR))
        asyncio.get_running_loop().call_later(linger_s, self._end_linger)

    def observe(self, seconds: float) -> None:
        """Take in the service time of an answered call."""
        now = asyncio.get_running_loop().time()
        if self.service_time_s:
            self.service_time_s += (seconds - self.service_time_s) * SERVICE_TIME_SMOOTHING
        else:
            self.service_time_s = seconds
        self.limit.observe(now, seconds, self.occupied)

    def observe_dropped(self) -> None:
        """Take in a call that the target shed, lost or did not answer in time."""
        self.limit.observe_dropped(asyncio.get_running_loop().time(), self.occupied)

    def refuse_queued(self, reason: RefusalReason) -> None:
        """Refuse every call that waits."""
        for grant in self._queue.clear():
            if not grant.done():
                grant.set_result(reason)

    def _end_linger(self) -> None:
        self.lingering -= 1
        self._grant_queued()

    def _grant_queued(self) -> None:
        while self._queue and self.occupied < self.capacity:
            now = asyncio.get_running_loop().time()
            grant, expired = self._queue.pop(now, self.service_time_s)
            for missed in expired:
                if not missed.done():
                    missed.set_result("the deadline can't be met any more")
            if grant is not None and not grant.done():
                self.active += 1
                grant.set_result(None)

    def _withdraw(self, grant: asyncio.Future[RefusalReason | None]) -> None:
        if self._queue.remove(grant):
            return
        # The slot may have been granted in the same turn of the loop that ended the wait.
        if grant.done() and not grant.cancelled() and grant.result() is None:
            self.release()
