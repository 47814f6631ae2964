import json
import typing as t
import unittest

from hypothesis import given
from hypothesis import strategies as st

from bulrushflow.platform.documents import decode_announcement
from bulrushflow.platform.documents import decode_rollout_order
from bulrushflow.platform.documents import decode_status
from bulrushflow.platform.documents import encode_status
from bulrushflow.sidecar.model import RolloutPhase
from bulrushflow.sidecar.model import RolloutStatus
from bulrushflow.sidecar.model import TargetState
from bulrushflow.sidecar.records.storage import KeyedRecord

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


class DocumentTests(unittest.TestCase):
    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_are_decoded_or_rejected_without_an_exception(
        self, data: bytes
    ) -> None:
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

    def test_an_announcement_may_leave_out_when_the_target_is_warm(self) -> None:
        stated, _ = self.decode(coldRemaining="2s").unwrap()
        self.assertTrue(stated.warmth_stated)
        self.assertGreater(stated.warm_at_ms, 0)
        warm, _ = self.decode().unwrap()
        self.assertEqual((warm.warmth_stated, warm.warm_at_ms), (True, 0))
        document = {key: value for key, value in ANNOUNCEMENT.items() if key != "coldRemaining"}
        unstated, _ = decode_announcement("i-1", json.dumps(document).encode()).unwrap()
        self.assertEqual((unstated.warmth_stated, unstated.warm_at_ms), (False, 0))

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

    def test_a_status_keeps_the_versions_and_is_read_without_them(self) -> None:
        status = RolloutStatus(
            "s1", "v3", 5, 3, 100, RolloutPhase.RUNNING, 1, 2, from_version="v1", withdrawn=("v2",)
        )
        data = encode_status(status)
        self.assertEqual(decode_status(data).unwrap(), status)
        document = json.loads(data)
        for name in ("from_version", "withdrawn"):
            del document["move"][name]
        earlier = decode_status(json.dumps(document).encode()).unwrap()
        self.assertEqual((earlier.from_version, earlier.withdrawn), ("", ()))

    def test_a_status_without_the_projects_own_fields_is_rejected(self) -> None:
        self.assertTrue(decode_status(b'{"state":"running","targetVersion":"v2"}').is_err())
