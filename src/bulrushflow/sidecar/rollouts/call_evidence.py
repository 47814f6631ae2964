"""Turns the calls to this node's own target into evidence on its version."""

import asyncio
import typing as t

from bulrushflow.rollouts import ColdPeriod
from bulrushflow.routing import Call
from bulrushflow.routing import CallResult
from bulrushflow.sidecar.model import TargetEntry
from bulrushflow.sidecar.rollouts.tracker import Rollouts
from bulrushflow.timers import Clock

GATEWAY_TIMEOUT = 504
"""Status with which a target answers at a call's deadline."""


class CallEvidence:
    """Counts the calls that are sent to the own target, and what they result in.

    :param own_target: returns the entry of the own target.
    :param last_failure_at: returns when a call that the own target made failed last, in seconds of
        the loop's clock.
    """

    __slots__ = ("_clock", "_cold_period", "_last_failure_at", "_own_target", "_rollouts")

    def __init__(
        self,
        rollouts: Rollouts,
        own_target: t.Callable[[], TargetEntry | None],
        last_failure_at: t.Callable[[], float],
        clock: Clock,
    ) -> None:
        self._rollouts = rollouts
        self._own_target = own_target
        self._last_failure_at = last_failure_at
        self._clock = clock
        self._cold_period = ColdPeriod()

    def record_sent(self, call: Call) -> None:
        """Count a call that is about to be sent."""
        self._note_cold_period()
        self._rollouts.count_sent(call)

    def record_result(self, call: Call, result: CallResult | None, seconds: float) -> None:
        """Count a call's result; ``None`` if it was cancelled for being slow."""
        self._note_cold_period()
        warming = self._cold_period.includes(self._clock.wall_ms() - 1000 * seconds)
        now = asyncio.get_running_loop().time()
        if result is None:
            reached = now >= call.deadline
            self._rollouts.observe_call(call, reached, seconds, warming, False, unanswered=True)
            return
        failed = result.is_err() or result.unwrap().is_failure
        unanswered = result.is_err() or result.unwrap().status == GATEWAY_TIMEOUT
        # A target that waits for a call of its own, or is overloaded, fails without being faulty.
        attributable = not unanswered and self._last_failure_at() < now - seconds
        self._rollouts.observe_call(
            call, failed, seconds, warming, attributable, unanswered=unanswered
        )

    def _note_cold_period(self) -> None:
        entry = self._own_target()
        if entry is not None:
            self._cold_period.note(entry.process, entry.warm_at_ms)
