"""Writes the statuses of rollouts to the store."""

import typing as t

from result import Result

from bulrushflow.sidecar.model import RolloutStatus
from bulrushflow.sidecar.replica import Replica
from bulrushflow.sidecar.storage import Store
from bulrushflow.sidecar.storage import StoreError
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
        """Append a status; fails if the topic has records that this node has not read."""
        return await self._store.append(self._topic, [self._encode(status)], self.offset)
