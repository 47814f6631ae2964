"""Tells a replica that makes progress from one that fails to read what other nodes have read."""

import typing as t

STALE_AFTER_S = 0.8
"""Time within which a replica has to reach an offset that another node has read up to. Readers
pause for up to 0.5 s between two reads while records keep arriving."""


class Position(t.NamedTuple):
    """A place in a topic's history; the later one is the greater one."""

    era: int
    offset: int


class LagMonitor:
    """Follows one awaited position at a time, the first that another node named.

    A replica that reaches it in time isn't stale, even if it never has all records because new
    ones keep arriving. Times are event loop times in seconds.
    """

    __slots__ = ("_awaited", "_stale_at", "lagging_since")

    def __init__(self) -> None:
        self._awaited: Position | None = None
        self._stale_at = 0.0
        self.lagging_since: float | None = None
        """Since when records are missing; ``None`` while none is known to be."""

    def await_position(self, position: Position, now: float) -> float | None:
        """Expect a position to be reached, unless an earlier one is expected already.

        :return: time from which on the replica is stale, or ``None`` with an earlier position.
        """
        if self.lagging_since is None:
            self.lagging_since = now
        if self._awaited is not None:
            return None
        self._awaited = position
        self._stale_at = now + STALE_AFTER_S
        return self._stale_at

    def reach(self, position: Position) -> bool:
        """Note how far the replica is; return whether the awaited position was reached."""
        if self._awaited is None or position < self._awaited:
            return False
        self._awaited = None
        return True

    def catch_up(self, now: float) -> float | None:
        """Note that no record is missing; return for how long some were, if any."""
        since = self.lagging_since
        self._awaited = None
        self.lagging_since = None
        return None if since is None else now - since

    def is_stale(self, now: float) -> bool:
        """Return whether the awaited position was not reached in time."""
        return self._awaited is not None and now >= self._stale_at
