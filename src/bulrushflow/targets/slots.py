"""The slots of one target, with a bounded queue and an adaptive concurrency limit."""

import asyncio

from bulrushflow.exceptions import InvariantError
from bulrushflow.routing.limits import ConcurrencyLimit
from bulrushflow.routing.queues import FairQueue

MAX_QUEUED_PER_SLOT = 2
SERVICE_TIME_SMOOTHING = 0.1
"""Weight of the newest sample in the smoothed service time."""
MIN_LINGER_S = 0.01
MAX_LINGER_S = 1.0
LINGER_FACTOR = 2.0
"""Multiple of the smoothed service time after which an abandoned call's slot counts as free."""

RefusalReason = str


class SlotPool:
    """Grants slots, at most as many as the target has slots and connections.

    Closing the connection of an abandoned call does not free its slot: the target may not have
    noticed, or may be unable to stop. The slot stays occupied ("lingers") for ``LINGER_FACTOR``
    service times. By then a target that stops on cancellation has stopped, and most other calls
    have finished.
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
        """Number of slots of running calls and of abandoned calls that may still run."""
        return self.active + self.lingering

    @property
    def queued(self) -> int:
        """Number of calls that wait for a slot."""
        return len(self._queue)

    @property
    def capacity(self) -> int:
        """Number of slots that may be occupied at present."""
        return min(self._max_running, self.limit.value)

    def try_acquire(self) -> bool:
        """Acquire a slot without waiting; return ``False`` when the call has to queue."""
        if self._queue or self.occupied >= self.capacity:
            return False
        self.active += 1
        return True

    async def acquire(self, tenant: str, deadline: float) -> RefusalReason | None:
        """Queue for a slot.

        :return: ``None`` once a slot was granted, or the reason why none was.
        """
        loop = asyncio.get_running_loop()
        wait_s = self._queue.estimated_wait_s(tenant, self.service_time_s, self.capacity)
        if loop.time() + wait_s + self.service_time_s >= deadline:
            return (
                f"the queue is too long for the deadline: expected wait {wait_s:.3f} s, "
                f"service time {self.service_time_s:.3f} s"
            )
        grant: asyncio.Future[RefusalReason | None] = loop.create_future()
        evicted = self._queue.push(grant, tenant, deadline)
        if evicted is grant:
            return "the queue is full"
        if evicted is not None and not evicted.done():
            evicted.set_result("evicted from the full queue in favour of another tenant")
        try:
            async with asyncio.timeout_at(deadline):
                return await grant
        except TimeoutError:
            self._withdraw(grant)
            return "the deadline passed while the call was queued"
        except asyncio.CancelledError:
            self._withdraw(grant)
            raise

    def release(self) -> None:
        """Release the slot of a call that ended.

        :raises InvariantError: if no slot is active.
        """
        if self.active <= 0:
            raise InvariantError("a slot was released, but none is active")
        self.active -= 1
        self._grant_queued()

    def release_abandoned(self) -> None:
        """Release the slot of a call that the target may still run, after the linger time.

        :raises InvariantError: if no slot is active.
        """
        if self.active <= 0:
            raise InvariantError("a slot was released, but none is active")
        self.active -= 1
        self.lingering += 1
        linger_s = min(MAX_LINGER_S, max(MIN_LINGER_S, self.service_time_s * LINGER_FACTOR))
        asyncio.get_running_loop().call_later(linger_s, self._end_linger)

    def observe(self, seconds: float) -> None:
        """Record the service time of an answered call."""
        now = asyncio.get_running_loop().time()
        if self.service_time_s:
            self.service_time_s += (seconds - self.service_time_s) * SERVICE_TIME_SMOOTHING
        else:
            self.service_time_s = seconds
        self.limit.observe(now, seconds, self.occupied)

    def observe_dropped(self) -> None:
        """Record a call that the target shed, lost or did not answer in time."""
        self.limit.observe_dropped(asyncio.get_running_loop().time(), self.occupied)

    def refuse_queued(self, reason: RefusalReason) -> None:
        """Refuse all queued calls."""
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
        # The slot may have been granted in the iteration of the event loop that ended the wait.
        if grant.done() and not grant.cancelled() and grant.result() is None:
            self.release()
