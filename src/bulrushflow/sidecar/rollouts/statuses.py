"""Writes the statuses of rollouts to the store."""

import typing as t

from result import Err
from result import Ok
from result import Result

from bulrushflow.sidecar.model import RolloutStatus
from bulrushflow.sidecar.records.replica import Replica
from bulrushflow.sidecar.records.storage import Store
from bulrushflow.sidecar.records.storage import StoreError
from bulrushflow.sidecar.records.storage import StoreErrorKind
from bulrushflow.sidecar.records.storage import StorePage
from bulrushflow.sidecar.records.storage import StoreWrite

MAX_READS = 4
"""Bound on the reads of one write, each with an append after it at most. The platform charges for
calls, and the driver writes again at its next check."""

StatusEncoder = t.Callable[[RolloutStatus], StoreWrite]


class StatusLog:
    """Writes a status only if this node has read all earlier records of its service.

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

    async def write(
        self, status: RolloutStatus, is_due: t.Callable[[], bool]
    ) -> Result[int, StoreError]:
        """Append a status that was just decided, and return its offset.

        The topic is shared by all services, and an append depends on the topic's end. After a
        conflict the records that this node has not read are checked, and the append is repeated at
        the end behind them. It fails with :attr:`StoreErrorKind.CONFLICT` if one of them is of the
        status's service, or after :data:`MAX_READS` reads, and with
        :attr:`StoreErrorKind.REFUSED` if this node has not loaded the topic.

        :param is_due: returns whether the status is still to be written; asked after each conflict
            and each read.
        """
        # The status was decided on the records before this offset. The replica's own offset moves
        # on during the calls, possibly past a record of the service.
        offset = self.offset
        if offset is None:
            # Without an expected end the store would append whatever other nodes have written.
            return Err(
                StoreError(StoreErrorKind.REFUSED, f"topic {self._topic} has to be loaded first")
            )
        write = self._encode(status)
        result = await self._append(write, offset)
        for _ in range(MAX_READS):
            if not _is_conflict(result) or not is_due():
                return result
            match await self._read_others(write.key, offset):
                case Err(error):
                    return Err(error)
                case Ok(page):
                    pass
            if not page.records or not is_due():
                return result
            offset = page.next_offset
            if offset >= page.end:
                result = await self._append(write, offset)
        return result

    async def _append(self, write: StoreWrite, offset: int) -> Result[int, StoreError]:
        result = await self._store.append(self._topic, [write], offset)
        if result.is_ok():
            # A read that waits isn't always woken by an append, and not at all by a topic's first.
            self._replica.note_peer_offset(result.unwrap() + 1, self._replica.era)
        return result

    async def _read_others(self, key: str, offset: int) -> Result[StorePage, StoreError]:
        """Read the records from an offset on; fails with a conflict if one of them has the key."""
        match await self._store.read(self._topic, offset, 0.0):
            case Err(error):
                return Err(error)
            case Ok(page):
                pass
        for record in page.records:
            if record.key == key:
                return Err(
                    StoreError(
                        StoreErrorKind.CONFLICT,
                        f"another record of {key} was appended at offset {record.offset}",
                    )
                )
        return Ok(page)


def _is_conflict(result: Result[int, StoreError]) -> bool:
    return result.is_err() and result.unwrap_err().kind is StoreErrorKind.CONFLICT
