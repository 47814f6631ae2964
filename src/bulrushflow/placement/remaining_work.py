"""Expected remaining work of the calls at one target.

Load: calls of heavy-tailed cost, where the number of calls says little about the time until a slot
is free. All times are in seconds of one monotonic clock.
"""

import itertools
import math

import msgspec

from bulrushflow.placement.costs import CostHistogram


class WorkReport(msgspec.Struct, frozen=True):
    """What an admitting node says of its target with each call's answer."""

    work_s: float
    """Expected remaining work of running and waiting calls, per slot."""
    free_slots: int
    wait_s: float
    """Expected time until a call that arrives now starts."""
    service_s: float
    """Mean service time of calls on the answered call's route at this target."""


MAX_EXACT_CALLS = 16
"""Running calls up to which each report adds up their remaining work anew."""
REUSE_S = 0.02
"""Time for which the sum is used again with more calls."""


class _Running(msgspec.Struct, frozen=True):
    histogram: CostHistogram
    started_at: float


class RunningWork:
    """The calls that run at one target."""

    __slots__ = ("_remaining_s", "_running", "_sequence", "_summed_at")

    def __init__(self) -> None:
        self._running: dict[int, _Running] = {}
        self._sequence = itertools.count()
        self._remaining_s = 0.0
        self._summed_at = -math.inf

    def begin(self, histogram: CostHistogram, now: float) -> int:
        """Count a call that starts; return the number by which it ends."""
        number = next(self._sequence)
        self._running[number] = _Running(histogram, now)
        return number

    def end(self, number: int) -> None:
        """Count a call's end."""
        del self._running[number]

    def report(
        self, slots: int, free_slots: int, queued_s: float, service_s: float, now: float
    ) -> WorkReport:
        """Return the report on the target.

        :param queued_s: expected work of the calls that wait.
        """
        remaining_s = self._sum_remaining_s(now)
        slots = max(1, slots)
        wait_s = 0.0
        if free_slots <= 0:
            wait_s = (queued_s + remaining_s / max(1, len(self._running))) / slots
        return WorkReport((queued_s + remaining_s) / slots, free_slots, wait_s, service_s)

    def _sum_remaining_s(self, now: float) -> float:
        if len(self._running) <= MAX_EXACT_CALLS or now - self._summed_at > REUSE_S:
            self._summed_at = now
            self._remaining_s = sum(
                item.histogram.remaining_s(now - item.started_at) for item in self._running.values()
            )
        return self._remaining_s
