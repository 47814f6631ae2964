import json
import unittest

from bulrushflow.platform.adapter import OperatorRecordHandler
from bulrushflow.sidecar.model import RolloutOrder
from bulrushflow.sidecar.model import Routing
from bulrushflow.sidecar.records.storage import KeyedRecord


class RecordingSink:
    """Keeps what a handler passes on, as a node does."""

    def __init__(self) -> None:
        self.configurations: list[int] = []
        self.version_by_service: dict[str, str] = {}
        self.unreadable: list[str] = []
        self.rejected: list[str] = []
        self.evacuated: set[str] = set()

    def apply_configuration(self, routing: Routing) -> None:
        self.configurations.append(routing.version)

    def order_rollout(self, order: RolloutOrder) -> None:
        self.version_by_service[order.service] = order.to_version

    def withdraw_rollout(self, service: str) -> None:
        self.version_by_service.pop(service, None)

    def order_evacuation(self, data_centre: str) -> None:
        self.evacuated.add(data_centre)

    def withdraw_evacuation(self, data_centre: str) -> None:
        self.evacuated.discard(data_centre)

    def reject_configuration(self, reason: str) -> None:
        self.rejected.append(reason)

    def report_unreadable(self, key: str, reason: str) -> None:
        self.unreadable.append(key)


def configuration(version: int, offset: int) -> KeyedRecord:
    document = {"version": version, "listeners": [], "clusters": []}
    return KeyedRecord("config", json.dumps(document).encode(), offset)


def order(service: str, version: str, offset: int) -> KeyedRecord:
    document = {"service": service, "targetVersion": version, "duration": "15s"}
    return KeyedRecord(f"rollout/{service}", json.dumps(document).encode(), offset)


def evacuation(data_centre: str, value: bytes = b"{}", offset: int = 9) -> KeyedRecord:
    return KeyedRecord(f"evacuate/{data_centre}", value, offset)


class OperatorRecordHandlerTests(unittest.TestCase):
    def setUp(self) -> None:
        self.sink = RecordingSink()
        self.handler = OperatorRecordHandler(self.sink)
        self.handler.replace([configuration(4, 0), order("s1", "v2", 1)])
        self.handler.apply(order("s2", "v7", 2))

    def test_an_order_that_is_missing_on_a_reload_is_withdrawn(self) -> None:
        self.handler.replace([configuration(4, 0), order("s2", "v7", 2)])
        self.assertEqual(self.sink.version_by_service, {"s2": "v7"})
        self.handler.replace([configuration(4, 0)])
        self.assertEqual(self.sink.version_by_service, {})

    def test_an_order_given_again_after_its_withdrawal_is_passed_on(self) -> None:
        self.handler.replace([configuration(4, 0)])
        self.handler.replace([configuration(4, 0), order("s1", "v3", 5)])
        self.assertEqual(self.sink.version_by_service, {"s1": "v3"})

    def test_an_order_that_cannot_be_read_on_a_reload_stays(self) -> None:
        self.handler.replace([KeyedRecord("rollout/s1", b"cut short", 3), order("s2", "v7", 2)])
        self.assertEqual(self.sink.version_by_service, {"s1": "v2", "s2": "v7"})
        self.assertEqual(self.sink.unreadable, ["rollout/s1"])
        self.assertEqual(self.sink.rejected, [])

    def test_an_order_with_an_empty_record_is_withdrawn(self) -> None:
        self.handler.apply(KeyedRecord("rollout/s1", b"", 3))
        self.assertEqual(self.sink.version_by_service, {"s2": "v7"})

    def test_a_configuration_that_is_missing_on_a_reload_is_not_replaced(self) -> None:
        self.handler.replace([order("s1", "v2", 1), order("s2", "v7", 2)])
        self.assertEqual(self.sink.configurations, [4])

    def test_evacuations_overlap_and_are_withdrawn_by_an_empty_value(self) -> None:
        self.handler.apply(evacuation("a"))
        self.handler.apply(evacuation("b"))
        self.assertEqual(self.sink.evacuated, {"a", "b"})
        self.handler.apply(evacuation("a", b""))
        self.assertEqual(self.sink.evacuated, {"b"})

    # A store that was restored from an older copy has no record that says the order is gone.
    def test_a_whole_load_decides_which_evacuations_are_in_force(self) -> None:
        self.handler.apply(evacuation("a"))
        self.handler.replace([configuration(4, 0), evacuation("b"), evacuation("c", b"")])
        self.assertEqual(self.sink.evacuated, {"b"})
        self.handler.replace([configuration(4, 0)])
        self.assertEqual(self.sink.evacuated, set())

    def test_an_evacuation_is_in_force_whatever_its_value(self) -> None:
        for value in (b'{"reason": "power"}', b"null", b"cut sho"):
            self.handler.apply(evacuation("a", b""))
            self.handler.apply(evacuation("a", value))
            self.assertEqual(self.sink.evacuated, {"a"})

    def test_an_evacuation_that_names_no_data_centre_is_reported(self) -> None:
        self.handler.apply(evacuation(""))
        self.assertEqual((self.sink.evacuated, self.sink.unreadable), (set(), ["evacuate/"]))
