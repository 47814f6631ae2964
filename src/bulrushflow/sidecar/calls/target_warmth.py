"""Whether the target beside this node is cold, and the limit on its calls while it is."""

import asyncio
import math
import typing as t

from msgspec.structs import replace

from bulrushflow.placement import ColdLimit
from bulrushflow.placement import ColdPhase
from bulrushflow.placement import ColdStart
from bulrushflow.placement import is_same_phase
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.model import TargetEntry
from bulrushflow.timers import Clock

AWAITED_MS = 500
"""Time that is reported while the announcement that ends a cold phase is overdue."""
MAX_COLD_MS = 2**31 - 1
"""Greatest number that the message has space for."""
ColdStartLookup = t.Callable[[str], ColdStart | None]
"""Returns the limits for the cold targets of a service; ``None`` if it has none."""


class TargetWarmth:
    """Follows the cold phases of the target beside this node.

    Of a service without limits for cold targets, nothing but the announcements' times is kept.
    """

    def __init__(self, cold_start: ColdStartLookup, decisions: DecisionLog, clock: Clock) -> None:
        self.limit = ColdLimit()
        """Limit on the target's calls; it outlives the target's process, at whose address calls may
        have reached the next one already."""
        self._cold_start = cold_start
        self._decisions = decisions
        self._clock = clock
        self._phase = ColdPhase()
        self.turned_cold = False
        """Whether a cold phase began at the latest event."""
        self._published_ms = 0
        """The end of the cold phase that other nodes know."""

    def await_announcement(self, entry: TargetEntry, cause: str) -> TargetEntry:
        """Count the target as cold until an announcement says when it will be warm.

        :return: the entry with the expected end of the cold phase.
        """
        self._phase.await_announcement(self._clock.wall_ms())
        return self._update(entry, cause)

    def announce(
        self, entry: TargetEntry, replaced: bool, was_unreachable: bool, restored: bool = False
    ) -> TargetEntry:
        """Apply an announcement; return the entry with the expected end of the cold phase.

        :param replaced: whether it is the first one of a process.
        :param was_unreachable: whether the target took no connections before. A process that ended
            may be the cause, of which this announcement is a late one; the next one decides.
        :param restored: whether the announcement is of before this node's start, and may be
            outdated.
        """
        now_ms = self._clock.wall_ms()
        if replaced:
            self._phase = ColdPhase()
        if restored:
            return self.await_announcement(entry, "start of the node")
        if was_unreachable and not replaced:
            self._phase.announce(entry.warm_at_ms)
            self._phase.start(now_ms)
            return self._update(entry, "the target took no connections")
        if entry.warmth_stated:
            self._phase.announce(entry.warm_at_ms)
        elif replaced:
            self._phase.start(min(now_ms, entry.incarnation))
        else:
            self._phase.announce_without_time()
        return self._update(entry, "start of the target" if replaced else "announcement")

    def refresh(self, entry: TargetEntry) -> TargetEntry:
        """Apply limits that may have changed."""
        return self._update(entry, "configuration")

    def cold_ms(self, entry: TargetEntry) -> int | None:
        """Return for how many milliseconds the target is expected to be cold.

        :return: ``None`` if its service has no limit for cold targets.
        """
        if self._cold_start(entry.service) is None:
            return None
        remaining_ms = max(0, entry.warm_at_ms - self._clock.wall_ms())
        if math.isinf(self.limit.until):
            remaining_ms = max(remaining_ms, AWAITED_MS if self.limit.until > 0 else 0)
        return min(remaining_ms, MAX_COLD_MS)

    def is_news(self, entry: TargetEntry) -> bool:
        """Return whether other nodes have to learn of another cold phase, or of its earlier end."""
        if self._cold_start(entry.service) is None:
            return False
        return not is_same_phase(self._published_ms, entry.warm_at_ms, self._clock.wall_ms())

    def note_published(self, entry: TargetEntry) -> None:
        """Note that an entry was passed on to be published."""
        self._published_ms = entry.warm_at_ms

    def _update(self, entry: TargetEntry, cause: str) -> TargetEntry:
        """Set the limit by the phase, and return the entry with the phase's expected end."""
        settings = self._cold_start(entry.service)
        now = asyncio.get_running_loop().time()
        was_cold = self.limit.per_s(now) is not None
        self.turned_cold = False
        if settings is None:
            self.limit.configure(None, -math.inf)
            return entry
        cold_s = (self._phase.ends_at_ms(settings.start_s) - self._clock.wall_ms()) / 1000
        self.limit.configure(settings, now + cold_s)
        expected_ms = self._phase.expected_ms(settings.start_s)
        self.turned_cold = cold_s > 0 and not was_cold
        if self.turned_cold:
            self._decisions.event(
                "target cold",
                target=entry.target_id,
                service=entry.service,
                cause=cause,
                until_announced=math.isinf(cold_s),
                expected_s=round((expected_ms - self._clock.wall_ms()) / 1000, 3),
                limit_per_s=settings.per_s,
            )
        elif was_cold and cold_s <= 0:
            self._decisions.event(
                "target warm", target=entry.target_id, service=entry.service, cause=cause
            )
        return replace(entry, warm_at_ms=expected_ms)
