"""Tests of when a node knows that it holds the highest version."""

import unittest

from bulrushflow.configuration import Freshness
from bulrushflow.configuration import Peer

OWN = Peer("own", "celje-a")
NEAR = Peer("near", "celje-a")
NEAR2 = Peer("near2", "celje-a")
FAR = Peer("far", "velenje")


class FreshnessTests(unittest.TestCase):
    def test_enough_must_be_heard_and_reached(self) -> None:
        near, far, everyone = {NEAR, NEAR2}, {FAR}, {NEAR, NEAR2, FAR}
        cases: dict[str, tuple[int | None, dict[Peer, int], set[Peer], int, bool]] = {
            "nothing heard": (None, {}, everyone, 5, False),
            "log reached": (5, {}, everyone, 5, True),
            "log at its first record": (0, {}, everyone, -1, False),
            "empty log": (-1, {}, everyone, -1, True),
            "log not reached": (6, {}, everyone, 5, False),
            "log behind what is held": (3, {}, everyone, 5, True),
            "log behind a peer": (3, {NEAR: 7}, everyone, 5, False),
            "one peer": (None, {NEAR: 5}, near, 5, False),
            "the only peer": (None, {NEAR: 5}, {NEAR}, 5, True),
            "two peers": (None, {NEAR: 4, NEAR2: 5}, near, 5, True),
            "two peers, one ahead": (None, {NEAR: 4, NEAR2: 6}, near, 5, False),
            "two peers of one data centre": (None, {NEAR: 5, NEAR2: 5}, everyone, 5, False),
            "two data centres": (None, {NEAR: 5, FAR: 5}, everyone, 5, True),
            "the only peer is far": (None, {FAR: 5}, far, 5, True),
            "a peer that is dead now": (None, {NEAR: 5, FAR: 5}, near, 5, False),
        }
        for name, (log, peers, others, held, fresh) in cases.items():
            with self.subTest(name):
                freshness = Freshness(0.0)
                if log is not None:
                    freshness.record_log_offset(0, log)
                for peer, offset in peers.items():
                    freshness.record_fresh_peer(0, peer, offset)
                self.assertIs(freshness.evaluate(held, OWN, others, 0.0), fresh)

    def test_a_pause_begins_a_check_that_older_answers_do_not_end(self) -> None:
        freshness = Freshness(0.0)
        freshness.record_log_offset(0, 5)
        self.assertTrue(freshness.evaluate(5, OWN, {NEAR}, 0.0))
        self.assertFalse(freshness.detect_pause(1.9))
        self.assertTrue(freshness.detect_pause(4.0))
        self.assertFalse(freshness.is_fresh)
        freshness.record_log_offset(0, 5)
        freshness.record_fresh_peer(0, NEAR, 5)
        self.assertFalse(freshness.evaluate(5, OWN, {NEAR}, 4.0))
        freshness.record_log_offset(freshness.generation, 6)
        self.assertFalse(freshness.evaluate(5, OWN, {NEAR}, 4.0))
        self.assertTrue(freshness.evaluate(6, OWN, {NEAR}, 4.0))

    def test_one_reader_of_the_log_is_enough_after_a_while(self) -> None:
        freshness = Freshness(0.0)
        freshness.record_fresh_peer(0, NEAR, 5, reads_log=True)
        for now, held, fresh in ((0.0, 5, False), (3.0, 4, False), (3.0, 5, True)):
            with self.subTest(now=now, held=held):
                self.assertIs(freshness.evaluate(held, OWN, {NEAR, NEAR2, FAR}, now), fresh)

    def test_nodes_that_were_all_paused_trust_many_of_each_other(self) -> None:
        others = {Peer(f"n{i}", "celje-a") for i in range(9)}
        heard = sorted(others, key=lambda peer: peer.node_id)
        cases = {
            "too early": (4.0, 5, 5, True, False),
            "too few": (6.0, 4, 5, True, False),
            "none has ever known": (6.0, 9, 5, False, False),
            "one holds more": (6.0, 5, 4, True, False),
            "enough": (6.0, 5, 5, True, True),
        }
        for name, (now, count, held, was_fresh, fresh) in cases.items():
            with self.subTest(name):
                freshness = Freshness(0.0)
                for i, peer in enumerate(heard[:count]):
                    freshness.record_checking_peer(0, peer, 5, was_fresh and i == 0)
                self.assertIs(freshness.evaluate(held, OWN, others, now), fresh)

    def test_a_version_on_hearsay_holds_up_only_for_a_while(self) -> None:
        freshness = Freshness(0.0)
        freshness.record_log_offset(0, 5)
        freshness.record_advertised_offset(9, 0.0)
        self.assertFalse(freshness.evaluate(5, OWN, set(), 9.0))
        self.assertTrue(freshness.evaluate(5, OWN, set(), 11.0))
