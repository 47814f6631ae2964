"""Writes the statuses of rollouts to the store."""

import typing as t

from result import Err
from result import Result

from bulrushflow.sidecar.model import RolloutStatus
from bulrushflow.sidecar.replica import Replica
from bulrushflow.sidecar.storage import Store
from bulrushflow.sidecar.storage import StoreError
from bulrushflow.sidecar.storage import StoreErrorKind
from bulrushflow.sidecar.storage import StoreWrite

StatusEncoder = t.Callable[[RolloutStatus], StoreWrite]


class StatusLog:
    """Writes a status only if this node has read all earlier records of the topic.

    :param replica: reads the topic that statuses are written to.
    :param encode: encodes a status as a record of the store.
    """

    __slots__ = ("_encode", "_replica", "_store", "_topic")

    def __init__(self, store: Store, topic: str, replica: Replica, encode: StatusEncoder) -> None:
        self._store = store
        self._topic = topic
        self._replica = replica
        self._encode = encode

    @property
    def offset(self) -> int | None:
        """Offset up to which this node has read the topic."""
        return self._replica.offset

    async def write(self, status: RolloutStatus) -> Result[int, StoreError]:
        """Append a status; fails unless this node has loaded the topic and read all its records."""
        offset = self.offset
        if offset is None:
            # Without an expected end the store would append whatever other nodes have written.
            return Err(
                StoreError(StoreErrorKind.REFUSED, f"topic {self._topic} has to be loaded first")
            )
        return await self._store.append(self._topic, [self._encode(status)], offset)
