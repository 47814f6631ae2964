import typing as t
import unittest

from msgspec.structs import replace

from bulrushflow.placement import Evacuations
from bulrushflow.sidecar.model import NodeEntry
from bulrushflow.sidecar.model import TargetState
from bulrushflow.sidecar.records.directory import Directory
from tests.sidecar.samples import peer


class DirectoryTests(unittest.TestCase):
    def setUp(self) -> None:
        self.directory = Directory()
        self.entries = [peer(number).entry for number in (1, 2, 3)]
        for number, entry in enumerate(self.entries, 1):
            self.directory.update(f"node/{number}", entry)

    def ready(self, service: str = "statements") -> set[str]:
        return {known.entry.node_id for known in self.directory.ready_peers(service)}

    def changed(self, number: int, **changes: t.Any) -> NodeEntry:
        entry = self.entries[number - 1]
        assert entry.target is not None
        return replace(entry, target=replace(entry.target, **changes))

    def test_only_ready_targets_are_listed(self) -> None:
        self.assertEqual(self.ready(), {"n-1", "n-2", "n-3"})
        self.directory.update("node/2", self.changed(2, state=TargetState.DRAINING))
        self.directory.update("node/3", replace(self.entries[2], target=None))
        self.assertEqual(self.ready(), {"n-1"})
        self.directory.update("node/2", self.changed(2, state=TargetState.READY))
        self.assertEqual(self.ready(), {"n-1", "n-2"})

    def test_a_repeated_entry_is_listed_once_and_keeps_its_statistics(self) -> None:
        current = self.directory.peers_by_key["node/1"]
        self.directory.update("node/1", self.entries[0])
        self.assertEqual(len(self.directory.ready_peers("statements")), 3)
        self.assertIs(self.directory.peers_by_key["node/1"], current)

    def test_a_new_target_of_another_service_replaces_the_old_one(self) -> None:
        current = self.directory.peers_by_key["node/1"]
        self.directory.update("node/1", self.changed(1, service="plots", target_id="t-9"))
        self.assertEqual((self.ready(), self.ready("plots")), ({"n-2", "n-3"}, {"n-1"}))
        self.assertFalse(self.directory.is_current(current))

    def test_removed_nodes_are_no_longer_listed(self) -> None:
        self.directory.remove("node/1")
        self.directory.remove("node/9")
        self.directory.retain({"node/3"})
        self.assertEqual(self.ready(), {"n-3"})
        self.assertEqual(list(self.directory.peers_by_key), ["node/3"])

    # DRAIN: an entry that was lost and came back made a leaving target available again.
    def test_a_target_that_said_it_leaves_is_never_listed_again(self) -> None:
        self.assertTrue(self.directory.mark_leaving(self.directory.peers_by_key["node/1"]))
        self.assertEqual(self.ready(), {"n-2", "n-3"})
        self.directory.update("node/1", self.changed(1, sequence=9))
        self.directory.remove("node/1")
        self.directory.update("node/1", self.entries[0])
        self.assertEqual(self.ready(), {"n-2", "n-3"})
        self.assertFalse(self.directory.mark_leaving(self.directory.peers_by_key["node/1"]))
        self.directory.update("node/1", self.changed(1, incarnation=2))
        self.assertEqual(self.ready(), {"n-1", "n-2", "n-3"})

    def evacuate(self, *data_centres: str) -> None:
        self.directory.apply_evacuations(Evacuations(frozenset(data_centres)))

    # EVACUATION: an entry that changed during the order made its target available again.
    def test_a_target_in_an_evacuated_data_centre_is_not_listed_whatever_its_entry(self) -> None:
        self.directory.update("node/4", peer(4, data_centre="b").entry)
        self.evacuate("a")
        self.assertEqual(self.ready(), {"n-4"})
        self.directory.update("node/1", self.changed(1, sequence=9))
        self.directory.update("node/5", peer(5).entry)
        self.directory.remove("node/3")
        self.assertEqual(self.ready(), {"n-4"})
        self.assertFalse(self.directory.all_evacuated("statements"))
        self.evacuate()
        self.assertEqual(self.ready(), {"n-1", "n-2", "n-4", "n-5"})

    def test_overlapping_evacuations_may_leave_a_service_without_targets(self) -> None:
        self.directory.update("node/4", peer(4, data_centre="b").entry)
        self.evacuate("a", "b")
        self.assertTrue(self.directory.all_evacuated("statements"))
        self.assertFalse(self.directory.all_evacuated("unknown"))
        self.evacuate("a")
        self.assertEqual(self.ready(), {"n-4"})
        self.directory.remove("node/4")
        self.assertTrue(self.directory.all_evacuated("statements"))
        for number in (1, 2, 3):
            self.directory.remove(f"node/{number}")
        self.assertFalse(self.directory.all_evacuated("statements"))

    # COLD: nodes learn of the end of an evacuation before the entries say that targets are cold.
    def test_targets_that_return_are_expected_to_be_cold_until_their_entry_changes(self) -> None:
        self.directory.update("node/4", peer(4, data_centre="b").entry)
        self.directory.apply_evacuations(Evacuations(frozenset("a")), 5_000)
        self.directory.apply_evacuations(Evacuations(), 10_000)
        returned, other = (self.directory.peers_by_key[f"node/{i}"] for i in (1, 4))
        self.assertTrue(returned.is_cold(0.0, 12_000, 3.0))
        self.assertFalse(returned.is_cold(0.0, 13_000, 3.0))
        self.assertFalse(other.is_cold(0.0, 10_000, 3.0))
        self.directory.update("node/1", self.changed(1, sequence=2))
        self.assertFalse(returned.is_cold(0.0, 10_000, 3.0))
        self.directory.update("node/1", self.changed(1, warm_at_ms=20_000))
        self.assertTrue(returned.is_cold(0.0, 19_999, 3.0))

    # COLD: while the store was down, nodes went on to send a cold target its usual share.
    def test_what_a_response_says_holds_until_the_entry_changes(self) -> None:
        known = self.directory.peers_by_key["node/1"]
        known.record_cold(2_000, 50.0)
        self.assertTrue(known.is_cold(51.9, 0, 3.0))
        self.assertFalse(known.is_cold(52.0, 0, 3.0))
        self.directory.update("node/1", self.changed(1, warm_at_ms=20_000))
        self.assertTrue(known.is_cold(60.0, 19_000, 3.0))
        known.record_cold(0, 60.0)
        self.assertFalse(known.is_cold(60.0, 19_000, 3.0))
