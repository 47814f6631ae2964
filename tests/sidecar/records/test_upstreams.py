import unittest

from msgspec.structs import replace

from bulrushflow.sidecar.model import TargetState
from bulrushflow.sidecar.records.directory import Peer
from bulrushflow.sidecar.records.upstreams import FIRST_EXCLUSION_S
from bulrushflow.sidecar.records.upstreams import STARTING_EXCLUSION_S
from bulrushflow.sidecar.records.upstreams import Upstreams
from tests.sidecar.samples import peer


def relay(number: int, data_centre: str = "a", link_mbps: float = 10.0) -> Peer:
    entry = peer(number, data_centre=data_centre).entry
    return Peer(replace(entry, relays_records=True, link_mbps=link_mbps))


class UpstreamsTests(unittest.TestCase):
    def setUp(self) -> None:
        self.peers_by_key = {f"k-{number}": relay(number) for number in range(12)}
        self.peers_by_key |= {f"r-{number}": relay(100 + number, "b") for number in range(3)}

    def upstreams(self, own_key: str, data_centre: str = "a") -> Upstreams:
        return Upstreams(own_key, data_centre, self.peers_by_key)

    def leader(self) -> str:
        [leader] = [key for key in self.peers_by_key if self.upstreams(key).leads()]
        return leader

    def set_state(self, key: str, state: TargetState) -> None:
        entry = self.peers_by_key[key].entry
        assert entry.target is not None
        self.peers_by_key[key].entry = replace(entry, target=replace(entry.target, state=state))

    def test_all_nodes_of_a_data_centre_choose_the_same_one(self) -> None:
        leader = self.leader()
        for number in range(12):
            key = f"k-{number}"
            with self.subTest(key):
                expected = None if key == leader else leader
                self.assertEqual(self.upstreams(key).choose(0.0), expected)

    def test_a_failed_node_is_excluded_for_a_while_and_longer_each_time(self) -> None:
        leader = self.leader()
        own = next(key for key in self.peers_by_key if key.startswith("k-") and key != leader)
        upstreams = self.upstreams(own)
        upstreams.exclude(leader, 0.0)
        self.assertNotEqual(upstreams.choose(0.0), leader)
        self.assertEqual(upstreams.choose(FIRST_EXCLUSION_S), leader)
        upstreams.exclude(leader, FIRST_EXCLUSION_S)
        self.assertNotEqual(upstreams.choose(2 * FIRST_EXCLUSION_S), leader)
        self.assertEqual(upstreams.choose(3 * FIRST_EXCLUSION_S), leader)

    def test_a_starting_node_tries_a_failed_one_again_soon(self) -> None:
        # Nodes that start together would else read the store for seconds, each for itself.
        upstreams = self.upstreams("k-new")
        leader = self.leader()
        upstreams.exclude(leader, 0.0, STARTING_EXCLUSION_S)
        self.assertNotEqual(upstreams.choose(0.0), leader)
        self.assertEqual(upstreams.choose(STARTING_EXCLUSION_S), leader)
        upstreams.exclude(leader, STARTING_EXCLUSION_S)
        self.assertNotEqual(upstreams.choose(2 * STARTING_EXCLUSION_S), leader)
        self.assertEqual(upstreams.choose(STARTING_EXCLUSION_S + FIRST_EXCLUSION_S), leader)

    def test_another_data_centre_follows_after_the_own_one(self) -> None:
        upstreams = self.upstreams("k-new")
        chosen = []
        while (key := upstreams.choose(0.0)) is not None:
            chosen.append(key)
            upstreams.exclude(key, 0.0)
        self.assertEqual([key[0] for key in chosen], ["k", "k", "k", "r"])

    def test_nodes_that_stop_or_relay_nothing_are_not_chosen(self) -> None:
        leader = self.leader()
        self.set_state(leader, TargetState.DRAINING)
        self.assertNotEqual(self.leader(), leader)
        second = self.leader()
        older = replace(self.peers_by_key[second].entry, relays_records=False)
        self.peers_by_key[second].entry = older
        self.assertNotIn(self.leader(), {leader, second})

    def test_a_node_alone_in_its_data_centre_reads_the_store(self) -> None:
        self.assertIsNone(self.upstreams("c-1", "c").choose(0.0))

    def test_an_unreachable_node_is_passed_over(self) -> None:
        leader = self.leader()
        self.peers_by_key[leader].unreachable = True
        self.assertNotEqual(self.upstreams("k-new").choose(0.0), leader)

    # CONFIG: a node on a narrow link was first by chance, and fell behind in a series of changes.
    def test_the_node_with_the_fastest_link_relays(self) -> None:
        leaders = []
        for group in range(200):
            self.peers_by_key = {
                f"g-{group}-{number}": relay(number, link_mbps=100.0 if number == 0 else 1.0)
                for number in range(10)
            }
            leaders.append(self.leader())
        self.assertEqual(sum(key.endswith("-0") for key in leaders), 200)

    def test_a_reading_node_watches_other_data_centres_before_its_own(self) -> None:
        [remote] = self.upstreams("k-1").watched(1)
        self.assertTrue(self.upstreams(remote, "b").leads())
        watched = self.upstreams("k-1").watched(2)
        self.assertEqual([key[0] for key in watched], ["r", "k"])
        self.assertNotIn("k-1", watched)
