"""Targets that left, remembered so that their delayed announcements are rejected."""

import collections
import typing as t

from bulrushflow.sidecar.model import DepartedTarget
from bulrushflow.sidecar.model import TargetEntry
from bulrushflow.timers import Clock

MAX_DEPARTED_TARGETS = 64
RETENTION_S = 120.0
"""Time for which a departed target is remembered. Announcements arrive seconds late, and a target
may run for many seconds after its leave was acknowledged."""


class DepartedTargets:
    """The targets that left this node, with the last start that their announcements may name.

    They are part of the node's entry in the store, so that a restarted node knows them.

    :param clock: its wall clock dates the departures.
    """

    __slots__ = ("_by_id", "_clock")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_id: collections.OrderedDict[str, DepartedTarget] = collections.OrderedDict()

    def add(self, target_id: str, incarnation: int) -> bool:
        """Remember a departure; return whether it was not known yet.

        :param incarnation: start of the target, or the latest start that it can have had.
        """
        if self.includes(target_id, incarnation):
            return False
        self._by_id.pop(target_id, None)
        self._by_id[target_id] = DepartedTarget(target_id, incarnation, self._clock.wall_ms())
        while len(self._by_id) > MAX_DEPARTED_TARGETS:
            self._by_id.popitem(last=False)
        return True

    def includes(self, target_id: str, incarnation: int) -> bool:
        """Return whether a target of this start, or a later one of its id, has left."""
        departed = self._by_id.get(target_id)
        if departed is None or departed.at_ms < self._oldest_ms():
            return False
        return incarnation <= departed.incarnation

    def includes_entry(self, entry: TargetEntry) -> bool:
        """Return whether the target of an entry has left."""
        return self.includes(entry.target_id, entry.incarnation)

    def restore(self, departed_targets: t.Iterable[DepartedTarget]) -> None:
        """Add the departures that the node's stored entry has."""
        for departed in departed_targets:
            if not self.includes(departed.target_id, departed.incarnation):
                self._by_id[departed.target_id] = departed

    def recent(self) -> tuple[DepartedTarget, ...]:
        """Return the departures to publish; those of before the retention time are dropped."""
        oldest_ms = self._oldest_ms()
        expired = [target_id for target_id, d in self._by_id.items() if d.at_ms < oldest_ms]
        for target_id in expired:
            del self._by_id[target_id]
        return tuple(self._by_id.values())

    def _oldest_ms(self) -> int:
        """Return the time from which on departures are remembered."""
        return self._clock.wall_ms() - int(RETENTION_S * 1000)
