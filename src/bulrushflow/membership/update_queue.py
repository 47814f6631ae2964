"""Queue of updates to disseminate: each is sent a bounded number of times, urgent ones first."""

import enum
import math
import typing as t

TRANSMISSION_FACTOR = 2
MIN_TRANSMISSIONS = 6

K = t.TypeVar("K", bound=t.Hashable)


class UpdatePriority(enum.IntEnum):
    """Order in which updates are sent when a datagram has no room for all."""

    URGENT = 0
    """A target that must get no new calls."""
    ALIVE = 1
    SUSPECT = 2
    """Takes the target out of routing, so it goes before ``DEAD``, which adds nothing to that."""
    DEAD = 3


def transmission_limit(members: int) -> int:
    """Return how often a node sends one update when there are ``members`` live nodes."""
    return max(MIN_TRANSMISSIONS, TRANSMISSION_FACTOR * math.ceil(math.log2(members + 1)))


class UpdateQueue(t.Generic[K]):
    """Updates by key; within a priority, those sent least often go first."""

    __slots__ = ("_keys_by_rank", "_rank_by_key")

    def __init__(self) -> None:
        self._rank_by_key: dict[K, tuple[int, int]] = {}
        self._keys_by_rank: dict[tuple[int, int], dict[K, None]] = {}

    def __len__(self) -> int:
        return len(self._rank_by_key)

    def add(self, key: K, priority: int) -> None:
        """Queue an update; if it is queued already, its transmissions are counted anew."""
        self.discard(key)
        self._put(key, (priority, 0))

    def discard(self, key: K) -> None:
        """Remove an update, if it is queued."""
        rank = self._rank_by_key.pop(key, None)
        if rank is None:
            return
        keys = self._keys_by_rank[rank]
        del keys[key]
        if not keys:
            del self._keys_by_rank[rank]

    def discard_from(self, priority_from: int) -> None:
        """Remove all updates whose priority comes at or after ``priority_from``."""
        for key, (priority, _) in list(self._rank_by_key.items()):
            if priority >= priority_from:
                self.discard(key)

    def count_as_sent(self, max_transmissions: int, priority_to: int) -> None:
        """Count one more transmission of every update up to a priority, without sending them.

        For a receiver that is known to have them already.
        """
        for rank in sorted(self._keys_by_rank, reverse=True):
            priority, count = rank
            if priority > priority_to:
                continue
            for key in list(self._keys_by_rank[rank]):
                self.discard(key)
                if count + 1 < max_transmissions:
                    self._put(key, (priority, count + 1))

    def next_batch(
        self,
        budget_bytes: int,
        size: t.Callable[[K], int],
        max_transmissions: int,
        only_priority: int | None = None,
    ) -> list[K]:
        """Return the updates for one datagram and count their transmission.

        :param size: encoded bytes of an update, 0 when its key is no longer known.
        :param max_transmissions: transmissions after which an update is dropped.
        :param only_priority: the one priority to select from, all when ``None``.
        """
        batch = []
        for key in self._select(budget_bytes, size, only_priority):
            priority, count = self._rank_by_key[key]
            self.discard(key)
            if not size(key):
                continue
            batch.append(key)
            if count + 1 < max_transmissions:
                self._put(key, (priority, count + 1))
        return batch

    def _select(
        self, budget_bytes: int, size: t.Callable[[K], int], only_priority: int | None
    ) -> list[K]:
        selected: list[K] = []
        for rank in sorted(self._keys_by_rank):
            if only_priority is not None and rank[0] != only_priority:
                continue
            for key in self._keys_by_rank[rank]:
                budget_bytes -= size(key)
                if budget_bytes < 0:
                    return selected
                selected.append(key)
        return selected

    def _put(self, key: K, rank: tuple[int, int]) -> None:
        self._rank_by_key[key] = rank
        self._keys_by_rank.setdefault(rank, {})[key] = None
