"""Targets that left, remembered so that their delayed announcements are rejected."""

import collections
import typing as t

from bulrushflow.sidecar.model import DepartedTarget
from bulrushflow.sidecar.model import TargetEntry
from bulrushflow.sidecar.model import TargetState
from bulrushflow.timers import Clock

MAX_DEPARTED_TARGETS = 64
RETENTION_S = 120.0
"""Time for which a departed target is remembered. Announcements arrive seconds late, and a target
may run for many seconds after its leave was acknowledged."""


class DepartedTargets:
    """The targets that left this node or drain, with what their announcements may not say any more.

    Each has a record of its own in the store, so that a restarted node knows it.

    :param clock: its wall clock dates the departures.
    """

    __slots__ = ("_by_id", "_clock")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_id: collections.OrderedDict[str, DepartedTarget] = collections.OrderedDict()

    def add(self, target_id: str, incarnation: int) -> bool:
        """Remember a target that left for good; return whether that was not known yet.

        :param incarnation: start of the target, or the latest start that it can have had.
        """
        if self.includes(target_id, incarnation):
            return False
        self._put(DepartedTarget(target_id, incarnation, self._clock.wall_ms()))
        return True

    def add_drain(self, entry: TargetEntry) -> bool:
        """Remember that a target drains; return whether that was not known yet."""
        known = self._known(entry.target_id)
        if known is not None and known.incarnation >= entry.incarnation:
            return False
        at_ms = self._clock.wall_ms()
        self._put(DepartedTarget(entry.target_id, entry.incarnation, at_ms, entry.sequence))
        return True

    def remove_drain(self, entry: TargetEntry) -> None:
        """Forget that a target drained, since it announced afterwards that it is ready."""
        known = self._by_id.get(entry.target_id)
        if known is not None and known.drained_at is not None:
            del self._by_id[entry.target_id]

    def includes(self, target_id: str, incarnation: int) -> bool:
        """Return whether a target of this start, or a later one of its id, left for good."""
        departed = self._known(target_id)
        if departed is None:
            return False
        if departed.drained_at is not None:
            return incarnation < departed.incarnation
        return incarnation <= departed.incarnation

    def includes_entry(self, entry: TargetEntry) -> bool:
        """Return whether an entry's target left for good, or is ready there and drained since."""
        if self.includes(entry.target_id, entry.incarnation):
            return True
        departed = self._known(entry.target_id)
        if departed is None or departed.drained_at is None:
            return False
        drained = departed.incarnation, departed.drained_at
        return entry.state is TargetState.READY and entry.revision <= drained

    def restore(self, departed_targets: t.Iterable[DepartedTarget]) -> None:
        """Add the departures that the store has."""
        for departed in departed_targets:
            known = self._by_id.get(departed.target_id)
            if known is None or _rank(departed) > _rank(known):
                self._put(departed)

    def recent(self) -> tuple[DepartedTarget, ...]:
        """Return the departures to publish; those of before the retention time are dropped."""
        oldest_ms = self._oldest_ms()
        expired = [target_id for target_id, d in self._by_id.items() if d.at_ms < oldest_ms]
        for target_id in expired:
            del self._by_id[target_id]
        return tuple(self._by_id.values())

    def _known(self, target_id: str) -> DepartedTarget | None:
        departed = self._by_id.get(target_id)
        if departed is None or departed.at_ms < self._oldest_ms():
            return None
        return departed

    def _put(self, departed: DepartedTarget) -> None:
        self._by_id.pop(departed.target_id, None)
        self._by_id[departed.target_id] = departed
        while len(self._by_id) > MAX_DEPARTED_TARGETS:
            self._by_id.popitem(last=False)

    def _oldest_ms(self) -> int:
        """Return the time from which on departures are remembered."""
        return self._clock.wall_ms() - int(RETENTION_S * 1000)


def _rank(departed: DepartedTarget) -> tuple[int, bool, int]:
    """Return a sort key by which the one of two departures that rejects more is the greater."""
    return departed.incarnation, departed.drained_at is None, departed.drained_at or 0
