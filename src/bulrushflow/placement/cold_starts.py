"""Cold targets: until when a target is cold, how many calls it gets, and how often it is chosen.

The load is that of callers that press at many times ``per_s`` while one target, several at once or
a whole data centre of them are cold, after a start, an evacuation or at any other moment. A cold
target that gets well above ``per_s`` crashes, so the node beside it limits what it gets from all
nodes, and origin nodes choose it as often as it can take calls, lest the limit refuse them.
"""

import collections
import math

import msgspec

WINDOW_S = 1.1
"""Interval in which the calls to a cold target are bounded. The bound is on one second at the
target; calls that were sent in a little more may arrive within it."""
BURST_S = 0.2
"""Time for which calls may run ahead of an even spacing."""
ROUNDING_S = 1e-9
"""Shorter waits are errors of the arithmetic with the clock's times."""
SAME_PHASE_MS = 500
"""Difference of two expected ends up to which they are of the same cold phase. Announcements of a
phase differ by the time that they took to arrive."""
COLD_FILL = 0.8
"""Part of a cold target's rate that origin nodes plan with. Their calls arrive at random times, and
at the full rate a queue would build up until the limit refuses calls."""


class ColdStart(msgspec.Struct, frozen=True):
    """How a service's targets behave while they are cold."""

    per_s: float
    """Calls per second that a cold target can take."""
    start_s: float
    """Seconds for which a target is cold after its start."""
    max_calls: int
    """Calls that a cold target may get in any second, from all nodes together."""


def cold_start(per_s: float, start_s: float, over: float, slack: float) -> ColdStart | None:
    """Return the limits for a service, or ``None`` if its targets need none.

    :param over: factor on ``per_s`` in the bound on the calls in any second.
    :param slack: calls beyond it in the bound.
    """
    if per_s <= 0:
        return None
    return ColdStart(per_s, start_s, max(1, int(per_s * over + slack)))


def is_same_phase(expected_ms: int, other_ms: int, now_ms: int) -> bool:
    """Return whether two times at which a target is expected to be warm are of one cold phase."""
    if expected_ms <= now_ms and other_ms <= now_ms:
        return True
    return abs(expected_ms - other_ms) <= SAME_PHASE_MS


def cold_share(cold: ColdStart, cold_count: int, warm_per_s: float) -> float:
    """Return the fraction of calls that is to go to cold targets.

    In proportion to what the targets can take, a cold one gets at most its rate while the load is
    within the capacity of all.

    :param warm_per_s: calls per second that the warm targets can take.
    """
    cold_per_s = cold.per_s * COLD_FILL * cold_count
    return cold_per_s / (cold_per_s + warm_per_s)


class ColdPhase:
    """What is known of one target process's warmth; all times are in epoch milliseconds.

    Times depend on the service's ``start_s``, which is given to each query, since a configuration
    may change it or arrive after the target.
    """

    __slots__ = ("_awaiting_since_ms", "_started_at_ms", "_warm_at_ms")

    def __init__(self) -> None:
        self._warm_at_ms = 0
        self._started_at_ms: int | None = None
        """Start of the target that no announcement spoke of yet."""
        self._awaiting_since_ms: int | None = None
        """Time since which only an announcement ends the phase."""

    def announce(self, warm_at_ms: int) -> None:
        """Apply the newest announcement, which says when the target will be warm."""
        self._warm_at_ms = warm_at_ms
        self._started_at_ms = None
        self._awaiting_since_ms = None

    def start(self, at_ms: int) -> None:
        """Apply a start of the target; the next announcement may say less than ``start_s``."""
        self._started_at_ms = at_ms

    def await_announcement(self, now_ms: int) -> None:
        """Count the target as cold until an announcement says when it will be warm."""
        self._awaiting_since_ms = now_ms

    def announce_without_time(self) -> None:
        """Apply an announcement that doesn't say when the target will be warm."""
        if self._awaiting_since_ms is not None:
            self._started_at_ms = self._awaiting_since_ms
            self._awaiting_since_ms = None

    def ends_at_ms(self, start_s: float) -> float:
        """Return the end of the cold phase; infinite while it takes an announcement to end it."""
        if self._awaiting_since_ms is not None:
            return math.inf
        return self.expected_ms(start_s)

    def expected_ms(self, start_s: float) -> int:
        """Return the time at which the target is expected to be warm, to tell other nodes."""
        since_ms = [at for at in (self._started_at_ms, self._awaiting_since_ms) if at is not None]
        return max([self._warm_at_ms, *(at + int(start_s * 1000) for at in since_ms)])


class ColdLimit:
    """Limits the calls to one target while it is cold. All times are event loop times in seconds.

    In any :data:`WINDOW_S` at most ``max_calls`` start, those of the time before the target turned
    cold included; they are spaced evenly at ``per_s``, but for :data:`BURST_S`.
    """

    __slots__ = ("_due_at", "_settings", "_started_at", "refused", "sent", "until")

    def __init__(self) -> None:
        self._settings: ColdStart | None = None
        self.until = -math.inf
        """Time at which the limit ends."""
        self._due_at = -math.inf
        """Time at which the next call is due if calls are spaced evenly."""
        self._started_at: collections.deque[float] = collections.deque()
        """Times of the calls of the last :data:`WINDOW_S`."""
        self.sent = 0
        """Calls that started while the target was cold."""
        self.refused = 0
        """Calls that were refused because of the limit."""

    def configure(self, settings: ColdStart | None, until: float) -> None:
        """Set the limits and their end; without limits no call is counted."""
        self._settings = settings
        self.until = until
        if settings is None:
            self._started_at.clear()

    def per_s(self, now: float) -> float | None:
        """Return the calls per second that may start; ``None`` without a limit."""
        return self._settings.per_s if self._settings is not None and now < self.until else None

    def wait_s(self, now: float, calls_ahead: int = 0) -> float:
        """Return the seconds until a call may start behind others that wait."""
        settings = self._settings
        if settings is None or now >= self.until:
            return 0.0
        self._drop_old(now)
        due_at = max(self._due_at, now) - BURST_S + calls_ahead / settings.per_s
        # The call that has to leave the window before this one may start.
        leaving = len(self._started_at) + calls_ahead - settings.max_calls
        if self._started_at and leaving >= 0:
            last = min(leaving, len(self._started_at) - 1)
            due_at = max(due_at, self._started_at[last] + WINDOW_S)
        wait_s = min(due_at, self.until) - now
        return wait_s if wait_s > ROUNDING_S else 0.0

    def consume(self, now: float) -> None:
        """Count a call that starts."""
        settings = self._settings
        if settings is None:
            return
        self._drop_old(now)
        self._started_at.append(now)
        if now < self.until:
            self.sent += 1
            self._due_at = max(self._due_at, now) + 1 / settings.per_s

    def refund(self, now: float) -> None:
        """Take back a call that was not sent; it stays in the window, whose bound is strict."""
        if self._settings is not None and now < self.until:
            self.sent -= 1
            self._due_at -= 1 / self._settings.per_s

    def _drop_old(self, now: float) -> None:
        while self._started_at and self._started_at[0] <= now - WINDOW_S:
            self._started_at.popleft()
