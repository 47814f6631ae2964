"""Tombstones of removed members, so that late updates cannot bring them back."""

TOMBSTONE_TTL_S = 2 * 3600.0
MAX_TOMBSTONES = 8192


class Tombstones:
    """The last incarnation of each removed member, bounded in number and age."""

    __slots__ = ("_by_id",)

    def __init__(self) -> None:
        self._by_id: dict[str, tuple[int, float]] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def add(self, node_id: str, incarnation: int, now: float) -> None:
        """Add a removed member; the oldest beyond :data:`MAX_TOMBSTONES` is dropped."""
        current = self._by_id.pop(node_id, None)
        if current is not None:
            incarnation = max(incarnation, current[0])
        self._by_id[node_id] = (incarnation, now)
        if len(self._by_id) > MAX_TOMBSTONES:
            del self._by_id[next(iter(self._by_id))]

    def covering(self, node_id: str, incarnation: int) -> int | None:
        """Return the incarnation of a tombstone that rejects an update at ``incarnation``."""
        current = self._by_id.get(node_id)
        return current[0] if current is not None and incarnation <= current[0] else None

    def discard(self, node_id: str) -> None:
        """Drop the tombstone of a member that rejoined."""
        self._by_id.pop(node_id, None)

    def expire(self, now: float) -> None:
        """Drop tombstones older than :data:`TOMBSTONE_TTL_S`."""
        while self._by_id:
            node_id, (_, added_at) = next(iter(self._by_id.items()))
            if now - added_at < TOMBSTONE_TTL_S:
                return
            del self._by_id[node_id]
