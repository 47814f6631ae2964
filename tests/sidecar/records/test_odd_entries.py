"""Records by another writer, with a content that no node writes."""

import json
import typing as t
import unittest

from bulrushflow.platform.configuration import ConfigurationDecoder
from bulrushflow.platform.documents import decode_announcement
from bulrushflow.platform.documents import decode_rollout_order
from bulrushflow.platform.documents import decode_status
from bulrushflow.sidecar.records.codec import decode_node_entry
from bulrushflow.sidecar.records.codec import decode_rollout_status
from bulrushflow.sidecar.records.codec import encode_node_entry
from bulrushflow.sidecar.records.storage import KeyedRecord
from tests.sidecar.fleet import FleetTestCase
from tests.sidecar.samples import peer
from tests.waiting import until

NESTED = b"[" * 200_000 + b"]" * 200_000
HUGE = 10**400
ENTRY = json.loads(encode_node_entry(peer(1).entry))


def changed(**fields: t.Any) -> bytes:
    return json.dumps(ENTRY | fields).encode()


def changed_target(**fields: t.Any) -> bytes:
    return changed(target=ENTRY["target"] | fields)


ODD_ENTRIES: dict[str, bytes] = {
    "nested in an unknown field": changed()[:-1] + b',"other":' + NESTED + b"}",
    "nested in a known field": b'{"node_id":' + NESTED + b"}",
    "nested": NESTED,
    "port out of range": changed(peer_port=70_000),
    "negative port": changed(peer_port=-1),
    "huge port": changed(peer_port=HUGE),
    "no slots": changed_target(slots=0),
    "huge slots": changed_target(slots=HUGE),
    "incarnation above 64 bits": changed_target(incarnation=2**63),
    "huge time": changed_target(warm_at_ms=HUGE),
    "no address": changed(address="a" * 300),
    "port in the address": changed(address="127.0.0.1:80"),
    "link of infinite speed": changed()[:-1] + b',"link_mbps":1e308}',
    "negative time of a crash": changed(
        crash_reports=[{"target_id": "t", "incarnation": 1, "fingerprint": "f", "at_ms": -1}]
    ),
    "time of a crash in the far future": changed(
        crash_reports=[{"target_id": "t", "incarnation": 1, "fingerprint": "f", "at_ms": HUGE}]
    ),
    "no text": b"\xff\xfe",
}
ANNOUNCEMENT = {
    "service": "s1",
    "address": "127.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "seq": 1,
    "born": 1,
}
ODD_ANNOUNCEMENTS: dict[str, bytes] = {
    "nested": json.dumps(ANNOUNCEMENT).encode()[:-1] + b',"other":' + NESTED + b"}",
    "endless duration": json.dumps(ANNOUNCEMENT | {"coldRemaining": "9" * 400 + "s"}).encode(),
    "huge slots": json.dumps(ANNOUNCEMENT | {"slots": HUGE}).encode(),
    "huge start": json.dumps(ANNOUNCEMENT | {"born": HUGE}).encode(),
    "huge sequence": json.dumps(ANNOUNCEMENT | {"seq": 2**63}).encode(),
}


class DecodingTests(unittest.TestCase):
    # Exceptions other than the expected ones ended the task that reads the records.
    def test_odd_documents_are_errors(self) -> None:
        for name, data in ODD_ENTRIES.items():
            with self.subTest(name):
                self.assertTrue(decode_node_entry(data).is_err())
        for name, data in ODD_ANNOUNCEMENTS.items():
            with self.subTest(name):
                self.assertTrue(decode_announcement("t-1", data).is_err())

    def test_deep_nesting_is_an_error_in_each_document(self) -> None:
        data = b'{"other":' + NESTED + b"}"
        self.assertTrue(decode_rollout_status(data).is_err())
        self.assertTrue(decode_status(data).is_err())
        self.assertTrue(ConfigurationDecoder().decode(data).is_err())
        self.assertTrue(decode_rollout_order(KeyedRecord("rollout/s", data, 1)).is_err())

    def test_an_order_without_end_is_an_error(self) -> None:
        order = {"service": "s", "targetVersion": "v2", "duration": "9" * 400 + "s"}
        record = KeyedRecord("rollout/s", json.dumps(order).encode(), 1)
        self.assertTrue(decode_rollout_order(record).is_err())


class OddEntryTests(FleetTestCase):
    # LOST: nodes stopped following the entries, or ended, after one that they could not read.
    async def test_nodes_go_on_reading_and_serving_after_odd_entries(self) -> None:
        await self.serve()
        for i, data in enumerate(ODD_ENTRIES.values()):
            self.store.put("keyed.nodes", f"node/127.0.9.{i}", data)
        await self.announce(0, sequence=2, slots=7)
        await until(lambda: self.slots_of_first_at_second() == 7)
        for number in range(self.node_count):
            for i in range(8):
                self.assertEqual((await self.call(number, f"c-{number}-{i}"))[0], 200)

    async def test_a_node_writes_its_entry_again_over_an_odd_one(self) -> None:
        await self.serve()
        key = "node/" + self.instances[0].settings.address
        self.store.put("keyed.nodes", key, ODD_ENTRIES["nested"])
        await until(lambda: decode_node_entry(self.store.newest("keyed.nodes")[key]).is_ok())

    def slots_of_first_at_second(self) -> int:
        peers = self.instances[1].sidecar.directory.ready_peers("s1")
        by_address = {peer.entry.address: peer.entry.target for peer in peers}
        first = by_address.get(self.instances[0].settings.address)
        return first.slots if first is not None else 0
