"""Handlers for the store's records: node entries and rollout statuses."""

import typing as t

from result import Err
from result import Ok
from result import Result

from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.model import NodeEntry
from bulrushflow.sidecar.model import RolloutStatus
from bulrushflow.sidecar.records.codec import NODE_KEY_PREFIX
from bulrushflow.sidecar.records.codec import decode_node_entry
from bulrushflow.sidecar.records.codec import node_key
from bulrushflow.sidecar.records.directory import Directory
from bulrushflow.sidecar.records.storage import KeyedRecord


class NodeEntryHandler:
    """Applies node entries to the directory.

    :param on_other: called with each entry of another node.
    :param on_own: called with this node's own stored entry, or ``None`` if the store has none.
    """

    def __init__(
        self,
        directory: Directory,
        own_key: str,
        on_own: t.Callable[[NodeEntry | None], None],
        on_other: t.Callable[[NodeEntry], None],
        decisions: DecisionLog,
    ) -> None:
        self._directory = directory
        self._own_key = own_key
        self._on_own = on_own
        self._on_other = on_other
        self._decisions = decisions

    def replace(self, records: t.Sequence[KeyedRecord]) -> None:
        """See :meth:`RecordHandler.replace`."""
        present = [record for record in records if record.value]
        if all(record.key != self._own_key for record in present):
            self._on_own(None)
        self._directory.retain({record.key for record in present} | {self._own_key})
        for record in present:
            self.apply(record)

    def apply(self, record: KeyedRecord) -> None:
        """See :meth:`RecordHandler.apply`."""
        if not record.key.startswith(NODE_KEY_PREFIX):
            return
        if not record.value:
            self._remove(record)
            return
        match decode_node_entry(record.value):
            case Err(reason):
                self._decisions.event("record unreadable", key=record.key, reason=reason)
                if record.key == self._own_key:
                    # Another writer's: what the store lacks is written again.
                    self._on_own(None)
            case Ok(entry) if record.key != node_key(entry.address):
                reason = f"node entry: names address {entry.address}"
                self._decisions.event("record unreadable", key=record.key, reason=reason)
            case Ok(entry) if record.key == self._own_key:
                self._on_own(entry)
            case Ok(entry):
                self._update(record, entry)

    def _update(self, record: KeyedRecord, entry: NodeEntry) -> None:
        self._directory.update(record.key, entry)
        self._on_other(entry)
        target = entry.target
        self._decisions.event(
            "node entry",
            node=entry.node_id,
            target=target.target_id if target else None,
            state=target.state.value if target else "gone",
            offset=record.offset,
        )

    def _remove(self, record: KeyedRecord) -> None:
        if record.key == self._own_key:
            self._on_own(None)
            return
        self._directory.remove(record.key)


class RolloutStatusHandler:
    """Decodes rollout statuses and passes them on.

    A status without a record, or with an empty one, is kept: a version that was rolled back must
    get no calls again because its record is gone. Only a status of the same or a later order
    replaces it.

    :param decode: decodes a record, whose key format depends on the platform.
    :param on_status: called with each decoded status.
    :param on_reload: called with all statuses that the store has, after each of them was passed on.
    """

    def __init__(
        self,
        decode: t.Callable[[KeyedRecord], Result[RolloutStatus, str]],
        on_status: t.Callable[[RolloutStatus], None],
        on_reload: t.Callable[[t.Sequence[RolloutStatus]], None],
        decisions: DecisionLog,
    ) -> None:
        self._decode = decode
        self._on_status = on_status
        self._on_reload = on_reload
        self._decisions = decisions

    def replace(self, records: t.Sequence[KeyedRecord]) -> None:
        """See :meth:`RecordHandler.replace`."""
        statuses = [status for record in records if (status := self._read(record)) is not None]
        for status in statuses:
            self._on_status(status)
        self._on_reload(statuses)

    def apply(self, record: KeyedRecord) -> None:
        """See :meth:`RecordHandler.apply`."""
        status = self._read(record)
        if status is not None:
            self._on_status(status)

    def _read(self, record: KeyedRecord) -> RolloutStatus | None:
        """Return the status in a record, or ``None`` if it is empty or unreadable."""
        if not record.value:
            return None
        match self._decode(record):
            case Err(reason):
                self._decisions.event("record unreadable", key=record.key, reason=reason)
                return None
            case Ok(status):
                return status
