"""An event loop clock that only the test moves."""

import asyncio
import contextlib
import typing as t
from unittest import mock


class StoppedClock:
    """The time of a loop in seconds; timers become due only when the test advances it."""

    def __init__(self, now: float) -> None:
        self.now = now

    def advance(self, seconds: float) -> None:
        """Move the loop's time forward."""
        self.now += seconds


@contextlib.contextmanager
def stopped_loop_clock() -> t.Iterator[StoppedClock]:
    """Stop the running loop's clock, so that work takes no time however busy the machine is.

    I/O goes on. A test that sleeps inside must advance the clock itself.
    """
    loop = asyncio.get_running_loop()
    clock = StoppedClock(loop.time())
    with mock.patch.object(loop, "time", lambda: clock.now):
        yield clock
