"""Appends snapshots of the configuration to the log when the newest one is too old."""

import asyncio
import random
import typing as t

from loguru import logger
from result import Err
from result import Ok

from bulrushflow.configuration import ConfigurationStore
from bulrushflow.configuration import SnapshotPolicy
from bulrushflow.configuration import encode_record
from bulrushflow.configuration import is_snapshot_due
from bulrushflow.configuration import make_snapshot
from bulrushflow.recording.log import CONFIGURATION_STREAM
from bulrushflow.recording.log import Log
from bulrushflow.timers import Clock
from bulrushflow.timers import Timers

CHECK_PERIOD_S = 5.0
FIRST_WRITERS_WAIT_S = 30.0
"""Longest random wait of the few nodes that write first."""
OTHER_WRITERS_WAIT_S = 600.0
"""Longest random wait of the other nodes, which write only when the snapshot is late."""
LATE_FACTOR = 1.5
"""Multiple of the policy's bounds from which a snapshot is late."""


class SnapshotWriter:
    """Appends a snapshot after a random wait when the newest one is too old.

    Any node may do so, since a second equal snapshot has no effect.

    :param is_first_writer: returns whether this node is among the few that write first.
    """

    def __init__(
        self,
        log: Log,
        store: ConfigurationStore,
        policy: SnapshotPolicy,
        timers: Timers,
        clock: Clock,
        rng: random.Random,
        is_first_writer: t.Callable[[], bool],
    ) -> None:
        self._log = log
        self._store = store
        self._policy = policy
        self._late_policy = SnapshotPolicy(
            int(policy.every_records * LATE_FACTOR), int(policy.every_ms * LATE_FACTOR)
        )
        self._clock = clock
        self._rng = rng
        self._is_first_writer = is_first_writer
        timers.subscribe("snapshot", CHECK_PERIOD_S, self.check)

    async def check(self) -> None:
        """Append a snapshot if one is due, and is still due after the random wait."""
        if not self._is_due():
            return
        wait_s = FIRST_WRITERS_WAIT_S if self._is_first_writer() else OTHER_WRITERS_WAIT_S
        await asyncio.sleep(self._rng.uniform(0, wait_s))
        if self._is_due():
            await self.write()

    async def write(self) -> None:
        """Append a snapshot of the configuration in force."""
        snapshot = make_snapshot(self._store.current)
        match await self._log.append(CONFIGURATION_STREAM, encode_record(snapshot)):
            case Ok(offset):
                logger.info(
                    "snapshot of version {} appended at offset {}", snapshot.state_offset, offset
                )
            case Err(error):
                logger.warning(
                    "appending a snapshot of version {} failed: {}",
                    snapshot.state_offset,
                    error.message,
                )

    def _is_due(self) -> bool:
        policy = self._policy if self._is_first_writer() else self._late_policy
        return is_snapshot_due(self._store.current, policy, self._clock.wall_ms())
