"""The calls that were sent to the target beside this node and have not ended."""

import asyncio
import typing as t

from bulrushflow.routing import Call
from bulrushflow.routing import CallResult

SLOW_FRACTION = 0.5
"""Fraction of the time until a call's latency objective from which a cancelled call counts."""

ResultObserver = t.Callable[[Call, CallResult | None, float], None]


class RunningCalls:
    """Lets calls end by themselves or cancels them, and counts those that were slow.

    :param observer: called with each call that was cancelled after much of the time that its
        latency objective leaves, without a result, and the seconds that it took.
    """

    def __init__(self, observer: ResultObserver) -> None:
        self._observer = observer
        self._running: set[asyncio.Task[CallResult]] = set()

    def __len__(self) -> int:
        return len(self._running)

    async def run(self, call: Call, exchange: t.Coroutine[t.Any, t.Any, CallResult]) -> CallResult:
        """Run a call's exchange with the target; a caller that leaves may not end it."""
        task = asyncio.get_running_loop().create_task(exchange)
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            # A call that isn't idempotent is left to finish, since it may be running already.
            # Cancelling an idempotent one closes its connection, which cancels it at the target.
            if call.idempotent:
                task.cancel()
            raise

    def observe_cancelled(self, call: Call, started_at: float) -> None:
        """Count a call that was cancelled for being slow.

        The calls to a slow target are mostly cancelled, when another target answers first or at
        their deadline; without them its other calls would look like those of a fast one. A second
        attempt is cancelled whenever the first one ends, which says nothing of its target.

        :param started_at: event loop time at which it was sent.
        """
        if call.attempt:
            return
        seconds = asyncio.get_running_loop().time() - started_at
        useful_s = call.late_after - started_at
        if useful_s > 0 and seconds >= SLOW_FRACTION * useful_s:
            self._observer(call, None, seconds)
