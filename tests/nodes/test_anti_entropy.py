"""Tests of anti-entropy between member tables."""

import random
import typing as t
import unittest

from bulrushflow.membership import Member
from bulrushflow.membership import MemberTable
from bulrushflow.membership import Status
from bulrushflow.nodes.anti_entropy import MAX_DATAGRAMS
from bulrushflow.nodes.anti_entropy import WHOLE_TABLE_MEMBERS
from bulrushflow.nodes.anti_entropy import AntiEntropy
from bulrushflow.nodes.composing import MessageComposer
from bulrushflow.rollouts import SharedRollouts
from bulrushflow.timers import Timers
from bulrushflow.wire.links import Endpoint

PEER = ("127.0.0.1", 9)


class TableReplica:
    """One member table with its anti-entropy, and the datagrams it sent."""

    def __init__(self, members: range) -> None:
        self.now = 0.0
        self.sent: list[tuple[str, list[Member], dict[str, t.Any]]] = []
        self.fetched: list[Endpoint] = []
        self.table = MemberTable(Member("own", "celje-a", "127.0.0.1", 1, 1))
        for i in members:
            self.table.merge(Member(f"n{i}", "celje-a", "127.0.0.1", 2, 1), 0.0)
        timers = Timers(random.Random(1), lambda: self.now)
        composer = MessageComposer(self.table, SharedRollouts(), lambda: 0)
        rng = random.Random(1)
        self.anti_entropy = AntiEntropy(
            self.table, composer, timers, 0.5, rng, self._send, self.fetched.append
        )

    def _send(
        self, kind: str, endpoint: Endpoint, extra: t.Sequence[Member] = (), **body: t.Any
    ) -> None:
        self.sent.append((kind, list(extra), body))

    def apply(self, sent: list[tuple[str, list[Member], dict[str, t.Any]]]) -> None:
        """Process the datagrams that the other replica sent."""
        for _, members, body in sent:
            for member in members:
                self.table.merge(member, 0.0)
            if "bucket_request" in body:
                self.anti_entropy.handle_bucket_request(PEER, body["bucket_request"])


class AntiEntropyTests(unittest.TestCase):
    def test_repeated_comparisons_make_tables_equal(self) -> None:
        first, second = TableReplica(range(120)), TableReplica(range(60, 180))
        for _ in range(60):
            first.sent, second.sent = [], []
            second.anti_entropy.handle_digests(PEER, first.table.bucket_digests())
            self.assertLessEqual(len(second.sent), MAX_DATAGRAMS)
            first.apply(second.sent)
            self.assertLessEqual(len(first.sent), MAX_DATAGRAMS)
            second.apply(first.sent)
            second.now += 1.0
        self.assertEqual(first.table.digest(), second.table.digest())
        self.assertEqual(len(first.table.by_id), 181)

    def test_comparisons_are_limited_in_rate(self) -> None:
        first, second = TableReplica(range(5)), TableReplica(range(6))
        for _ in range(5):
            first.anti_entropy.compare_digest(PEER, second.table.digest())
            second.anti_entropy.handle_digests(PEER, first.table.bucket_digests())
        self.assertEqual(len(first.sent), 1)
        self.assertEqual(len(second.sent), 1)

    def test_equal_tables_and_malformed_digests_cause_no_datagram(self) -> None:
        side = TableReplica(range(5))
        side.anti_entropy.compare_digest(PEER, side.table.digest())
        side.anti_entropy.compare_digest(PEER, None)
        side.anti_entropy.handle_digests(PEER, side.table.bucket_digests())
        side.anti_entropy.handle_digests(PEER, b"short")
        self.assertEqual(side.sent, [])

    def test_tables_with_many_differences_are_fetched_in_pages(self) -> None:
        first, second = TableReplica(range(0)), TableReplica(range(WHOLE_TABLE_MEMBERS + 100))
        second.anti_entropy.handle_digests(PEER, first.table.bucket_digests())
        first.apply(second.sent)
        self.assertEqual(first.fetched, [PEER])

    def test_members_that_left_are_exchanged_and_dead_ones_are_not(self) -> None:
        first, second = TableReplica(range(3)), TableReplica(range(3))
        second.table.raise_status("n1", Status.DEAD, 0.0)
        second.table.raise_status("n2", Status.LEFT, 0.0)
        second.anti_entropy.handle_digests(PEER, first.table.bucket_digests())
        first.apply(second.sent)
        self.assertIs(first.table.by_id["n1"].status, Status.ALIVE)
        self.assertIs(first.table.by_id["n2"].status, Status.LEFT)
