"""Interfaces between the sidecar and a platform's adapter."""

import typing as t

import msgspec
from result import Result

from bulrushflow.sidecar.calls.headers import HeaderNames
from bulrushflow.sidecar.endpoints import AnnouncementPaths
from bulrushflow.sidecar.model import RolloutOrder
from bulrushflow.sidecar.model import RolloutStatus
from bulrushflow.sidecar.model import Routing
from bulrushflow.sidecar.model import TargetEntry
from bulrushflow.sidecar.records.replica import RecordHandler
from bulrushflow.sidecar.records.storage import KeyedRecord
from bulrushflow.sidecar.records.storage import StoreWrite
from bulrushflow.sidecar.settings import Endpoint


class Topics(msgspec.Struct, frozen=True):
    """Names of the store's topics."""

    orders: str
    """The operator's configuration, and orders of rollouts and evacuations; read only."""
    statuses: str
    """Statuses of the ordered rollouts."""
    nodes: str
    """One entry for each node, written by the node itself."""


class Adapter(t.Protocol):
    """The names and encodings that differ between platforms."""

    header_names: HeaderNames
    topics: Topics
    paths: AnnouncementPaths

    def decode_announcement(
        self, target_id: str, data: bytes
    ) -> Result[tuple[TargetEntry, Endpoint], str]:
        """Decode a target's announcement into its entry and its endpoint."""

    def encode_status(self, status: RolloutStatus) -> StoreWrite:
        """Encode a rollout's status as a record to append."""

    def decode_status(self, record: KeyedRecord) -> Result[RolloutStatus, str]:
        """Decode a record of a rollout's status."""

    def operator_record_handler(self, orders: "OrderSink") -> RecordHandler:
        """Return a handler that decodes the operator's records and passes them to ``orders``."""


class OrderSink(t.Protocol):
    """Receives the operator's decoded records."""

    def apply_configuration(self, routing: Routing) -> None:
        """Apply a configuration."""

    def reject_configuration(self, reason: str) -> None:
        """Report the newest configuration as invalid; the one in force stays."""

    def order_rollout(self, order: RolloutOrder) -> None:
        """Apply the order of a rollout."""

    def withdraw_rollout(self, service: str) -> None:
        """Remove a service's rollout, whose order was deleted."""

    def order_evacuation(self, data_centre: str) -> None:
        """Send no more calls to targets in a data centre; it may be ordered already."""

    def withdraw_evacuation(self, data_centre: str) -> None:
        """Withdraw the order to evacuate a data centre, whose record was deleted."""

    def report_unreadable(self, key: str, reason: str) -> None:
        """Report a record that can't be decoded, with the reason."""
