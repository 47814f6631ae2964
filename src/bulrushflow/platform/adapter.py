"""Implementation of the sidecar's adapter: header names, paths, topics and codecs."""

import typing as t

from result import Err
from result import Ok
from result import Result

from bulrushflow.platform import documents
from bulrushflow.platform.configuration import CONFIGURATION_KEY
from bulrushflow.platform.configuration import ConfigurationDecoder
from bulrushflow.platform.headers import HEADER_NAMES
from bulrushflow.platform.settings import parse_endpoint
from bulrushflow.sidecar.adapter import OrderSink
from bulrushflow.sidecar.adapter import Topics
from bulrushflow.sidecar.endpoints import AnnouncementPaths
from bulrushflow.sidecar.model import RolloutStatus
from bulrushflow.sidecar.model import TargetEntry
from bulrushflow.sidecar.records.storage import KeyedRecord
from bulrushflow.sidecar.records.storage import StoreWrite
from bulrushflow.sidecar.settings import Endpoint


class OperatorRecordHandler:
    """Decodes the operator's records and passes them on.

    A record that can't be decoded is reported, and the configuration or order in force stays.
    A configuration without a record stays in force too, since a node never goes back from one. An
    order without a record is withdrawn: the store retains the newest record of each key, so the
    operator has deleted it.
    """

    def __init__(self, orders: OrderSink) -> None:
        self._orders = orders
        self._configurations = ConfigurationDecoder()
        self._ordered_services: set[str] = set()
        """Services whose order was passed on and not withdrawn since."""
        self._evacuated_data_centres: set[str] = set()
        """Data centres whose order was passed on and not withdrawn since."""

    def replace(self, records: t.Sequence[KeyedRecord]) -> None:
        """See :meth:`RecordHandler.replace`."""
        keys = {record.key for record in records}
        for service in sorted(self._ordered_services):
            if documents.ROLLOUT_KEY_PREFIX + service not in keys:
                self._withdraw_rollout(service)
        for data_centre in sorted(self._evacuated_data_centres):
            if documents.EVACUATION_KEY_PREFIX + data_centre not in keys:
                self._withdraw_evacuation(data_centre)
        for record in records:
            self.apply(record)

    def apply(self, record: KeyedRecord) -> None:
        """See :meth:`RecordHandler.apply`."""
        if record.key == CONFIGURATION_KEY:
            self._apply_configuration(record)
        elif record.key.startswith(documents.ROLLOUT_KEY_PREFIX):
            self._apply_rollout_order(record)
        elif record.key.startswith(documents.EVACUATION_KEY_PREFIX):
            self._apply_evacuation_order(record)

    def _apply_configuration(self, record: KeyedRecord) -> None:
        match self._configurations.decode(record.value):
            case Ok(routing):
                self._orders.apply_configuration(routing)
            case Err(reason):
                self._orders.report_unreadable(record.key, reason)
                self._orders.reject_configuration(reason)

    def _apply_rollout_order(self, record: KeyedRecord) -> None:
        if not record.value:
            self._withdraw_rollout(record.key.removeprefix(documents.ROLLOUT_KEY_PREFIX))
            return
        match documents.decode_rollout_order(record):
            case Ok(order):
                self._ordered_services.add(order.service)
                self._orders.order_rollout(order)
            case Err(reason):
                self._orders.report_unreadable(record.key, reason)

    def _withdraw_rollout(self, service: str) -> None:
        self._ordered_services.discard(service)
        self._orders.withdraw_rollout(service)

    def _apply_evacuation_order(self, record: KeyedRecord) -> None:
        """Apply an order by the presence of its record, whatever value it has but an empty one."""
        data_centre = record.key.removeprefix(documents.EVACUATION_KEY_PREFIX)
        if not data_centre:
            self._orders.report_unreadable(record.key, "names no data centre")
        elif record.value:
            self._evacuated_data_centres.add(data_centre)
            self._orders.order_evacuation(data_centre)
        else:
            self._withdraw_evacuation(data_centre)

    def _withdraw_evacuation(self, data_centre: str) -> None:
        self._evacuated_data_centres.discard(data_centre)
        self._orders.withdraw_evacuation(data_centre)


class PlatformAdapter:
    """Implements :class:`Adapter` for this platform."""

    header_names = HEADER_NAMES
    topics = Topics(orders="keyed.op", statuses="keyed.status", nodes="keyed.nodes")
    paths = AnnouncementPaths("/-/instances/{target_id}", "/-/ready")

    def decode_announcement(
        self, target_id: str, data: bytes
    ) -> Result[tuple[TargetEntry, Endpoint], str]:
        """See :meth:`Adapter.decode_announcement`."""
        match documents.decode_announcement(target_id, data):
            case Err(reason):
                return Err(reason)
            case Ok((entry, address)):
                pass
        try:
            return Ok((entry, parse_endpoint(address)))
        except ValueError as exc:
            return Err(f"announcement: {exc}")

    def encode_status(self, status: RolloutStatus) -> StoreWrite:
        """See :meth:`Adapter.encode_status`."""
        return StoreWrite(
            documents.ROLLOUT_KEY_PREFIX + status.service, documents.encode_status(status)
        )

    def decode_status(self, record: KeyedRecord) -> Result[RolloutStatus, str]:
        """See :meth:`Adapter.decode_status`."""
        if not record.key.startswith(documents.ROLLOUT_KEY_PREFIX):
            return Err(f"key doesn't begin with {documents.ROLLOUT_KEY_PREFIX}")
        return documents.decode_status(record.value)

    def operator_record_handler(self, orders: OrderSink) -> OperatorRecordHandler:
        """See :meth:`Adapter.operator_record_handler`."""
        return OperatorRecordHandler(orders)
