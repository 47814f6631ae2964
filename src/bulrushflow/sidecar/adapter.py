"""What the sidecar needs of a platform's adapter, and what it offers to it."""

import typing as t
from dataclasses import dataclass

from result import Result

from bulrushflow.sidecar.endpoints import AnnouncementPaths
from bulrushflow.sidecar.headers import HeaderNames
from bulrushflow.sidecar.model import RolloutOrder
from bulrushflow.sidecar.model import RolloutStatus
from bulrushflow.sidecar.model import Routing
from bulrushflow.sidecar.model import TargetEntry
from bulrushflow.sidecar.replica import RecordHandler
from bulrushflow.sidecar.settings import Endpoint
from bulrushflow.sidecar.storage import KeyedRecord
from bulrushflow.sidecar.storage import StoreWrite


@dataclass(frozen=True, slots=True)
class Topics:
    """Where the store keeps what."""

    orders: str
    """The operator's configuration and orders; read only."""
    statuses: str
    """What became of the operator's orders."""
    nodes: str
    """The nodes' own entries."""


class Adapter(t.Protocol):
    """What differs between platforms."""

    header_names: HeaderNames
    topics: Topics
    paths: AnnouncementPaths

    def decode_announcement(
        self, target_id: str, data: bytes
    ) -> Result[tuple[TargetEntry, Endpoint], str]:
        """Decode a target's word on itself."""

    def encode_status(self, status: RolloutStatus) -> StoreWrite:
        """Return the store's record of a move's status."""

    def decode_status(self, record: KeyedRecord) -> Result[RolloutStatus, str]:
        """Decode the store's record of a move's status."""

    def operator_record_handler(self, orders: "OrderSink") -> RecordHandler:
        """Return what decodes the operator's records."""


class OrderSink(t.Protocol):
    """What the operator's decoded records are handed to."""

    def apply_configuration(self, routing: Routing) -> None:
        """Put a configuration in force."""

    def order_rollout(self, order: RolloutOrder) -> None:
        """Take in an order."""

    def withdraw_rollout(self, service: str) -> None:
        """Take in that an order is gone."""

    def report_unreadable(self, key: str, reason: str) -> None:
        """Tell of a record that can't be read."""
