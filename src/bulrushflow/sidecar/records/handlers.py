"""Handlers for the store's records: node entries and rollout statuses."""

import typing as t

from result import Err
from result import Ok
from result import Result

from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.model import DepartedTarget
from bulrushflow.sidecar.model import NodeEntry
from bulrushflow.sidecar.model import RolloutStatus
from bulrushflow.sidecar.records.codec import NODE_KEY_PREFIX
from bulrushflow.sidecar.records.codec import decode_departure
from bulrushflow.sidecar.records.codec import decode_node_entry
from bulrushflow.sidecar.records.codec import departures_prefix
from bulrushflow.sidecar.records.codec import node_key
from bulrushflow.sidecar.records.directory import Directory
from bulrushflow.sidecar.records.storage import KeyedRecord


class OwnRecords(t.Protocol):
    """Receives what the store has of this node."""

    def apply_entry(self, entry: NodeEntry | None) -> None:
        """Apply this node's entry; ``None`` if the store has none."""

    def apply_departure(self, key: str, departed: DepartedTarget | None) -> None:
        """Apply a departure at this node; ``None`` if it was deleted."""

    def retain_departures(self, keys: t.Collection[str]) -> None:
        """Note that the store has no other departures at this node."""


class NodeEntryHandler:
    """Applies node entries to the directory, and this node's own records to :class:`OwnRecords`.

    :param address: address of this node.
    :param on_other: called with each entry of another node.
    """

    def __init__(
        self,
        directory: Directory,
        address: str,
        own_records: OwnRecords,
        on_other: t.Callable[[NodeEntry], None],
        decisions: DecisionLog,
    ) -> None:
        self._directory = directory
        self._own_key = node_key(address)
        self._own_departures = departures_prefix(address)
        self._own_records = own_records
        self._on_other = on_other
        self._decisions = decisions

    def replace(self, records: t.Sequence[KeyedRecord]) -> None:
        """See :meth:`RecordHandler.replace`."""
        present = [record for record in records if record.value]
        # The own entry is applied by what is known of departures.
        departures = [record for record in present if record.key.startswith(self._own_departures)]
        for record in departures:
            self._apply_departure(record)
        self._own_records.retain_departures({record.key for record in departures})
        if all(record.key != self._own_key for record in present):
            self._own_records.apply_entry(None)
        self._directory.retain({record.key for record in present} | {self._own_key})
        for record in present:
            if record.key.startswith(NODE_KEY_PREFIX):
                self.apply(record)

    def apply(self, record: KeyedRecord) -> None:
        """See :meth:`RecordHandler.apply`."""
        if record.key.startswith(self._own_departures):
            self._apply_departure(record)
            return
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
                    self._own_records.apply_entry(None)
            case Ok(entry) if record.key != node_key(entry.address):
                reason = f"node entry: names address {entry.address}"
                self._decisions.event("record unreadable", key=record.key, reason=reason)
            case Ok(entry) if record.key == self._own_key:
                self._own_records.apply_entry(entry)
            case Ok(entry):
                self._update(record, entry)

    def _apply_departure(self, record: KeyedRecord) -> None:
        """Apply a departure at this node; an unreadable one counts as deleted."""
        departed: DepartedTarget | None = None
        if record.value:
            match decode_departure(record.value):
                case Err(reason):
                    self._decisions.event("record unreadable", key=record.key, reason=reason)
                case Ok(decoded):
                    departed = decoded
        self._own_records.apply_departure(record.key, departed)

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
            self._own_records.apply_entry(None)
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
