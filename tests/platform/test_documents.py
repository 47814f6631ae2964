import json
import typing as t
import unittest

from hypothesis import given
from hypothesis import strategies as st

from bulrushflow.platform.documents import decode_announcement
from bulrushflow.platform.documents import decode_configuration
from bulrushflow.platform.documents import decode_rollout_order
from bulrushflow.platform.documents import decode_status
from bulrushflow.platform.documents import encode_status
from bulrushflow.sidecar.model import RolloutPhase
from bulrushflow.sidecar.model import RolloutStatus
from bulrushflow.sidecar.model import TargetState
from bulrushflow.sidecar.storage import KeyedRecord


def rule(**changes: t.Any) -> dict[str, t.Any]:
    return {
        "name": "r",
        "kind": "safe",
        "targetLatency": "600ms",
        "priority": 2,
        "match": {"pathPrefix": "/a/"},
        "action": {"service": "s1", "timeout": "1200ms", "maxAttempts": 2},
    } | changes


def document(*rules: dict[str, t.Any], **changes: t.Any) -> bytes:
    default = {
        "version": 7,
        "listeners": [{"host": "h.example", "ruleSet": list(rules)}],
        "clusters": [{"name": "s1"}, {"name": "s2", "maxConnections": 9}],
    }
    return json.dumps(default | changes).encode()


ANNOUNCEMENT = {
    "service": "s1",
    "address": "10.1.0.8:8301",
    "zone": "a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "coldRemaining": "0ms",
    "seq": 3,
    "born": 1_700_000_000_000,
}


class ConfigurationDocumentTests(unittest.TestCase):
    def test_routes_match_by_host_and_longest_prefix(self) -> None:
        longer = rule(name="longer", match={"pathPrefix": "/a/b/"})
        routing = decode_configuration(document(rule(), longer)).unwrap()
        for path, name in (("/a/x?b=/a/b/c", "r"), ("/a/b/c", "longer"), ("/a/b", "r")):
            found = routing.match("h.example", path)
            assert found is not None
            self.assertEqual(found.name, name)
        for host, path in (("h.example", "/b/"), ("other", "/a/x"), ("h.example", "*")):
            self.assertIsNone(routing.match(host, path))

    def test_idempotency_follows_from_the_kind_of_route(self) -> None:
        kinds = (("safe", True), ("unsafe", False), ("keyed", False), ("upload", False))
        for kind, idempotent in kinds:
            with self.subTest(kind):
                routing = decode_configuration(document(rule(kind=kind))).unwrap()
                route = routing.match("h.example", "/a/x")
                assert route is not None
                self.assertEqual(route.idempotent, idempotent)

    def test_a_traffic_split_keeps_its_weights(self) -> None:
        action = {
            "trafficSplit": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}],
            "timeout": "1s",
            "maxAttempts": 2,
        }
        routing = decode_configuration(document(rule(action=action))).unwrap()
        route = routing.match("h.example", "/a/x")
        assert route is not None
        self.assertEqual([(p.service, p.weight) for p in route.services], [("s1", 90), ("s2", 10)])

    def test_an_invalid_document_is_rejected_as_a_whole(self) -> None:
        invalid = {
            "unknown service": document(rule(action=rule()["action"] | {"service": "nobody"})),
            "unknown kind": document(rule(kind="odd")),
            "no attempts": document(rule(action=rule()["action"] | {"maxAttempts": 0})),
            "prefix": document(rule(match={"pathPrefix": "/a"})),
            "no time": document(rule(targetLatency="soon")),
            "version": document(rule(), version="7"),
            "cut short": document(rule())[:-20],
            "empty": b"",
        }
        for name, data in invalid.items():
            with self.subTest(name):
                self.assertTrue(decode_configuration(data).is_err())

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_are_decoded_or_rejected_without_an_exception(
        self, data: bytes
    ) -> None:
        decode_configuration(data)
        decode_rollout_order(KeyedRecord("rollout/s1", data, 1))
        decode_announcement("i", data)
        decode_status(data)


class AnnouncementTests(unittest.TestCase):
    def decode(self, **changes: t.Any) -> t.Any:
        return decode_announcement("i-1", json.dumps(ANNOUNCEMENT | changes).encode())

    def test_an_announcement_is_decoded(self) -> None:
        entry, address = self.decode(state="draining").unwrap()
        self.assertEqual(address, "10.1.0.8:8301")
        self.assertEqual(
            (entry.revision, entry.state), ((1_700_000_000_000, 3), TargetState.DRAINING)
        )

    def test_an_invalid_announcement_is_rejected(self) -> None:
        for changes in (
            {"state": "sleepy"},
            {"slots": 0},
            {"slots": "4"},
            {"seq": None},
            {"service": ""},
            {"coldRemaining": "a while"},
        ):
            with self.subTest(changes=changes):
                self.assertTrue(self.decode(**changes).is_err())
        for field in ANNOUNCEMENT.keys() - {"coldRemaining"}:
            with self.subTest(missing=field):
                remaining = {k: v for k, v in ANNOUNCEMENT.items() if k != field}
                self.assertTrue(decode_announcement("i", json.dumps(remaining).encode()).is_err())


class RolloutDocumentTests(unittest.TestCase):
    def test_an_order_is_decoded(self) -> None:
        data = b'{"service":"s1","targetVersion":"v2","duration":"12s"}'
        order = decode_rollout_order(KeyedRecord("rollout/s1", data, 5, era=2)).unwrap()
        self.assertEqual((order.to_version, order.duration_s, order.order_id), ("v2", 12.0, 5))
        self.assertEqual(order.era, 2)
        self.assertTrue(decode_rollout_order(KeyedRecord("rollout/other", data, 5)).is_err())

    def test_a_status_round_trips_and_has_the_operators_state_names(self) -> None:
        states = {
            RolloutPhase.RUNNING: "running",
            RolloutPhase.COMPLETED: "completed",
            RolloutPhase.ROLLED_BACK: "rolled_back",
        }
        for phase, state in states.items():
            status = RolloutStatus("s1", "v2", 5, 3, 100, phase, 1, 2, "why", "n-1")
            data = encode_status(status)
            self.assertEqual(json.loads(data)["state"], state)
            self.assertEqual(json.loads(data)["targetVersion"], "v2")
            self.assertEqual(decode_status(data).unwrap(), status)

    def test_a_status_without_the_projects_own_fields_is_rejected(self) -> None:
        self.assertTrue(decode_status(b'{"state":"running","targetVersion":"v2"}').is_err())
