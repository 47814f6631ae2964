"""The moves' statuses in the store, written step by step."""

import typing as t

from result import Result

from bulrushflow.sidecar.model import RolloutStatus
from bulrushflow.sidecar.replica import Replica
from bulrushflow.sidecar.storage import Store
from bulrushflow.sidecar.storage import StoreError
from bulrushflow.sidecar.storage import StoreWrite

StatusEncoder = t.Callable[[RolloutStatus], StoreWrite]


class StatusLog:
    """Writes a status only where this node has read all that was written before.

    :param replica: follows the topic that statuses are written to.
    :param encode: encodes a status as the store's record.
    """

    __slots__ = ("_encode", "_replica", "_store", "_topic")

    def __init__(self, store: Store, topic: str, replica: Replica, encode: StatusEncoder) -> None:
        self._store = store
        self._topic = topic
        self._replica = replica
        self._encode = encode

    @property
    def offset(self) -> int | None:
        """How far this node has read."""
        return self._replica.offset

    async def write(self, status: RolloutStatus) -> Result[int, StoreError]:
        """Append a status, unless something was written that this node has not read."""
        return await self._store.append(self._topic, [self._encode(status)], self.offset)
