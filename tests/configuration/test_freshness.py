"""Tests of when a node knows that it has the highest version."""

import unittest

from bulrushflow.configuration import Freshness
from bulrushflow.configuration import Peer

OWN = Peer("own", "celje-a")
LOCAL = Peer("local", "celje-a")
LOCAL2 = Peer("local2", "celje-a")
REMOTE = Peer("remote", "velenje")


class FreshnessTests(unittest.TestCase):
    def test_a_check_ends_with_enough_reports_and_the_highest_version(self) -> None:
        local, remote, everyone = {LOCAL, LOCAL2}, {REMOTE}, {LOCAL, LOCAL2, REMOTE}
        cases: dict[str, tuple[int | None, dict[Peer, int], set[Peer], int, bool]] = {
            "no reports": (None, {}, everyone, 5, False),
            "log reached": (5, {}, everyone, 5, True),
            "log at its first record": (0, {}, everyone, -1, False),
            "empty log": (-1, {}, everyone, -1, True),
            "log not reached": (6, {}, everyone, 5, False),
            "log behind the applied version": (3, {}, everyone, 5, True),
            "log behind a peer": (3, {LOCAL: 7}, everyone, 5, False),
            "one peer": (None, {LOCAL: 5}, local, 5, False),
            "the only peer": (None, {LOCAL: 5}, {LOCAL}, 5, True),
            "two peers": (None, {LOCAL: 4, LOCAL2: 5}, local, 5, True),
            "two peers, one ahead": (None, {LOCAL: 4, LOCAL2: 6}, local, 5, False),
            "two peers of one data centre": (None, {LOCAL: 5, LOCAL2: 5}, everyone, 5, False),
            "two data centres": (None, {LOCAL: 5, REMOTE: 5}, everyone, 5, True),
            "the only peer is remote": (None, {REMOTE: 5}, remote, 5, True),
            "a peer that is dead now": (None, {LOCAL: 5, REMOTE: 5}, local, 5, False),
        }
        for name, (log, peers, others, applied, fresh) in cases.items():
            with self.subTest(name):
                freshness = Freshness(0.0)
                if log is not None:
                    freshness.record_log_offset(0, log)
                for peer, offset in peers.items():
                    freshness.record_fresh_peer(0, peer, offset)
                self.assertIs(freshness.evaluate(applied, OWN, others, 0.0), fresh)

    def test_a_pause_begins_a_check_that_earlier_requests_do_not_end(self) -> None:
        freshness = Freshness(0.0)
        freshness.record_log_offset(0, 5)
        self.assertTrue(freshness.evaluate(5, OWN, {LOCAL}, 0.0))
        self.assertFalse(freshness.detect_pause(1.9))
        self.assertTrue(freshness.detect_pause(4.0))
        self.assertFalse(freshness.is_fresh)
        freshness.record_log_offset(0, 5)
        freshness.record_fresh_peer(0, LOCAL, 5)
        self.assertFalse(freshness.evaluate(5, OWN, {LOCAL}, 4.0))
        freshness.record_log_offset(freshness.generation, 6)
        self.assertFalse(freshness.evaluate(5, OWN, {LOCAL}, 4.0))
        self.assertTrue(freshness.evaluate(6, OWN, {LOCAL}, 4.0))

    def test_one_peer_that_reads_the_log_suffices_after_a_time(self) -> None:
        freshness = Freshness(0.0)
        freshness.record_fresh_peer(0, LOCAL, 5, reads_log=True)
        for now, applied, fresh in ((0.0, 5, False), (3.0, 4, False), (3.0, 5, True)):
            with self.subTest(now=now, applied=applied):
                self.assertIs(freshness.evaluate(applied, OWN, {LOCAL, LOCAL2, REMOTE}, now), fresh)

    def test_many_peers_that_are_in_a_check_suffice_after_a_time(self) -> None:
        others = {Peer(f"n{i}", "celje-a") for i in range(9)}
        peers = sorted(others, key=lambda peer: peer.node_id)
        cases = {
            "too early": (4.0, 5, 5, True, False),
            "too few": (6.0, 4, 5, True, False),
            "none was ever fresh": (6.0, 9, 5, False, False),
            "one is ahead": (6.0, 5, 4, True, False),
            "enough": (6.0, 5, 5, True, True),
        }
        for name, (now, count, applied, was_fresh, fresh) in cases.items():
            with self.subTest(name):
                freshness = Freshness(0.0)
                for i, peer in enumerate(peers[:count]):
                    freshness.record_checking_peer(0, peer, 5, was_fresh and i == 0)
                self.assertIs(freshness.evaluate(applied, OWN, others, now), fresh)

    def test_an_advertised_version_delays_freshness_only_for_a_time(self) -> None:
        freshness = Freshness(0.0)
        freshness.record_log_offset(0, 5)
        freshness.record_advertised_offset(9, 0.0)
        self.assertFalse(freshness.evaluate(5, OWN, set(), 9.0))
        self.assertTrue(freshness.evaluate(5, OWN, set(), 11.0))
