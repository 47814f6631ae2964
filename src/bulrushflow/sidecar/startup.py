"""What a node has to have read from the store before calls may begin at its target."""

import typing as t

from bulrushflow.sidecar.records.replica import Replica
from bulrushflow.timers import Clock

STARTUP_S = 2.0
"""Time after the start of the process in which it reads the records if it can. Later the store is
away, and to wait would only delay the refusal of a call."""
MAX_WAIT_S = 0.4
"""Time for which a call waits for that; others refuse it after as long in a queue."""


class StartupReads:
    """The records without which a call may not begin.

    Load: all processes restart at the same moment. A node that doesn't know yet that a data centre
    is evacuated, or that a version was rolled back, would give its target calls all the same.

    :param replicas_by_name: returns the replicas by what they hold.
    """

    __slots__ = ("_clock", "_replicas_by_name", "_started_at")

    def __init__(
        self, replicas_by_name: t.Callable[[], t.Mapping[str, Replica]], clock: Clock
    ) -> None:
        self._replicas_by_name = replicas_by_name
        self._clock = clock
        self._started_at = clock.monotonic()

    def suspension(self) -> str | None:
        """Return why no call may begin yet, or ``None``."""
        for name, replica in self._replicas_by_name().items():
            if not replica.loaded:
                return f"this node has not read the {name} yet"
        return None

    async def wait(self) -> None:
        """Wait until both topics were read, if the process has just started.

        Calls of the nodes that start first reach the others before that; refused at once, they used
        up their retries.
        """
        for replica in self._replicas_by_name().values():
            left_s = self._started_at + STARTUP_S - self._clock.monotonic()
            if replica.loaded or left_s <= 0:
                continue
            await replica.wait_loaded(min(left_s, MAX_WAIT_S))
