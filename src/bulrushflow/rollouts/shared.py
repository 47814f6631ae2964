"""Shared state of rollouts: a join-semilattice, so order and duplicates don't matter."""

import msgspec


class SharedRollout(msgspec.Struct, frozen=True):
    """Progress of one rollout. The traffic share only grows, and a rollback is final."""

    offset: int
    share_permille: int = 0
    rolled_back: bool = False
    reason: str = ""
    decided_by: str = ""

    def join(self, other: "SharedRollout") -> "SharedRollout":
        """Return the least upper bound of both states."""
        rolled_back = self.rolled_back or other.rolled_back
        rollbacks = [m for m in (self, other) if m.rolled_back]
        first = min(rollbacks, key=lambda m: (m.reason, m.decided_by)) if rollbacks else self
        return SharedRollout(
            self.offset,
            max(self.share_permille, other.share_permille),
            rolled_back,
            first.reason if rollbacks else "",
            first.decided_by if rollbacks else "",
        )


class SharedRollouts:
    """This node's view of the shared state of all active rollouts."""

    __slots__ = ("_active", "_version", "by_offset")

    def __init__(self) -> None:
        self.by_offset: dict[int, SharedRollout] = {}
        self._active: frozenset[int] = frozenset()
        self._version = -1

    def merge(self, state: SharedRollout) -> bool:
        """Join a state into the view; return whether that changed it.

        A rollout that is final in this node's configuration is ignored; otherwise lagging peers
        would restore it.
        """
        if state.offset <= self._version and state.offset not in self._active:
            return False
        current = self.by_offset.get(state.offset)
        joined = state if current is None else current.join(state)
        if joined == current:
            return False
        self.by_offset[state.offset] = joined
        return True

    def share_permille(self, offset: int) -> int:
        """Return the new version's traffic share, 0 if unknown or rolled back."""
        current = self.by_offset.get(offset)
        if current is None or current.rolled_back:
            return 0
        return current.share_permille

    def is_rolled_back(self, offset: int) -> bool:
        """Return whether any node rolled the version back."""
        current = self.by_offset.get(offset)
        return current is not None and current.rolled_back

    def keep_active(self, offsets: frozenset[int], version: int) -> None:
        """Drop the rollouts that are final in configuration ``version``."""
        self._active = offsets
        self._version = version
        for offset in list(self.by_offset):
            if offset not in offsets:
                del self.by_offset[offset]
