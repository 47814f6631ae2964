"""A bounded queue for a target's slots, fair between tenants and aware of deadlines."""

import collections
import typing as t

import msgspec

MAX_TENANTS = 64
"""Number of tenants with a queue of their own; all further tenants share one."""
SHARED_TENANT = ""

T = t.TypeVar("T")


class QueuedItem(msgspec.Struct, t.Generic[T], frozen=True):
    """An item with its tenant and deadline."""

    item: T
    tenant: str
    deadline: float


class FairQueue(t.Generic[T]):
    """Round robin over tenants, first in first out within each tenant.

    When the queue is full, the newest item of the longest tenant queue is evicted, so that one
    tenant can't crowd out the others.
    """

    __slots__ = ("_by_tenant", "_length", "_max_length")

    def __init__(self, max_length: int) -> None:
        self._max_length = max_length
        self._length = 0
        self._by_tenant: collections.OrderedDict[str, collections.deque[QueuedItem[T]]] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return self._length

    def estimated_wait_s(self, tenant: str, service_time_s: float, concurrency: int) -> float:
        """Estimate how long a new item of ``tenant`` waits for a slot.

        :param service_time_s: recent mean time for which an item occupies a slot.
        :param concurrency: number of slots that serve the queue.
        """
        own = len(self._by_tenant.get(self._key(tenant), ()))
        ahead = sum(min(len(queue), own + 1) for queue in self._by_tenant.values())
        return (ahead + 1) * service_time_s / max(1, concurrency)

    def push(self, item: T, tenant: str, deadline: float) -> T | None:
        """Add an item.

        :return: the evicted item, which is ``item`` itself if it was not queued, or ``None``.
        """
        key = self._key(tenant)
        evicted = None
        if self._length >= self._max_length:
            longest = self._longest()
            own = len(self._by_tenant.get(key, ()))
            # Without the margin of one, tenants whose queues differ by one item would evict each
            # other's items in turn.
            if longest is None or own + 1 >= len(longest):
                return item
            evicted = longest.pop().item
            self._length -= 1
        queue = self._by_tenant.setdefault(key, collections.deque())
        queue.append(QueuedItem(item, tenant, deadline))
        self._length += 1
        return evicted

    def pop(self, now: float, service_time_s: float) -> tuple[T | None, list[T]]:
        """Remove the next item that can still meet its deadline, and the expired ones before it.

        :param service_time_s: expected time from getting a slot to completion.
        :return: the item, or ``None`` when there is none, and the expired items.
        """
        expired: list[T] = []
        while self._by_tenant:
            tenant, queue = next(iter(self._by_tenant.items()))
            queued = queue.popleft()
            self._length -= 1
            if queue:
                self._by_tenant.move_to_end(tenant)
            else:
                del self._by_tenant[tenant]
            if now + service_time_s < queued.deadline:
                return queued.item, expired
            expired.append(queued.item)
        return None, expired

    def remove(self, item: T) -> bool:
        """Remove an item wherever it stands in the queue; ``False`` when it is not queued."""
        for tenant, queue in self._by_tenant.items():
            for i, queued in enumerate(queue):
                if queued.item is item:
                    del queue[i]
                    self._length -= 1
                    if not queue:
                        del self._by_tenant[tenant]
                    return True
        return False

    def clear(self) -> list[T]:
        """Remove and return all items."""
        items = [queued.item for queue in self._by_tenant.values() for queued in queue]
        self._by_tenant.clear()
        self._length = 0
        return items

    def _key(self, tenant: str) -> str:
        if tenant in self._by_tenant or len(self._by_tenant) < MAX_TENANTS:
            return tenant
        return SHARED_TENANT

    def _longest(self) -> collections.deque[QueuedItem[T]] | None:
        return max(self._by_tenant.values(), key=len, default=None)
