"""Has a node read the store itself once its records are older than their bound allows.

Load: the node that this one has its records from is frozen, slow, or fed by another that is, and so
are those that would be next. Each of them shows that only after a while, and the waits add up.
"""

import asyncio
import random
import typing as t

from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.records.freshness import FreshnessBound
from bulrushflow.sidecar.records.store_reader import StoreReader

CHECK_PERIOD_S = 0.1
MIN_RETRY_PAUSE_S = 0.5
MAX_RETRY_PAUSE_S = 1.5
"""Bounds of the random pause until another read, since the store may be away for all nodes."""


class RecordRefresher:
    """Checks the age of one topic's records, whatever way they come on.

    :param may_read: returns whether this node may turn to the store now.
    :param source: returns the node that the records come from; ``None`` for the store.
    """

    __slots__ = (
        "_decisions",
        "_freshness",
        "_may_read",
        "_next_at",
        "_outdated_since",
        "_reader",
        "_rng",
        "_source",
    )

    def __init__(
        self,
        reader: StoreReader,
        freshness: FreshnessBound,
        may_read: t.Callable[[], bool],
        source: t.Callable[[], str | None],
        decisions: DecisionLog,
        rng: random.Random,
    ) -> None:
        self._reader = reader
        self._freshness = freshness
        self._may_read = may_read
        self._source = source
        self._decisions = decisions
        self._rng = rng
        self._next_at = float("-inf")
        self._outdated_since: float | None = None
        """Since when the records are too old; ``None`` while they aren't."""

    async def check(self) -> None:
        """Read the store, or restart a read without an answer, if the records are too old."""
        replica = self._reader.replica
        if not replica.loaded:
            # The node starts, and isn't ready before the relay has loaded the topic.
            return
        now = asyncio.get_running_loop().time()
        if replica.confirmed_s_ago <= self._freshness.refresh_age_s:
            self._note_current(now)
            return
        self._note_outdated(now)
        if self._reader.reading:
            self._reader.restart_overdue()
        elif self._may_read() and now >= self._next_at:
            self._next_at = now + self._rng.uniform(MIN_RETRY_PAUSE_S, MAX_RETRY_PAUSE_S)
            self._reader.refresh()

    def _note_outdated(self, now: float) -> None:
        if self._outdated_since is not None:
            return
        self._outdated_since = now
        replica = self._reader.replica
        self._decisions.event(
            "records outdated",
            topic=replica.topic,
            offset=replica.offset,
            age_s=round(replica.confirmed_s_ago, 3),
            source=self._source() or "store",
            reading=self._reader.reading,
        )

    def _note_current(self, now: float) -> None:
        if self._outdated_since is None:
            return
        seconds = now - self._outdated_since
        self._outdated_since = None
        replica = self._reader.replica
        self._decisions.event(
            "records current again",
            topic=replica.topic,
            offset=replica.offset,
            seconds=round(seconds, 3),
        )
