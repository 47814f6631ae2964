"""Tests of the member table: merging, look-ups and removal."""

import itertools
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from msgspec.structs import replace

from bulrushflow.membership import Member
from bulrushflow.membership import MemberTable
from bulrushflow.membership import Status
from bulrushflow.membership import Target
from bulrushflow.membership import TargetState
from bulrushflow.membership.table import CONFLICT_WINDOW_S
from bulrushflow.membership.table import DEAD_RETENTION_S
from bulrushflow.membership.table import MAX_DEAD
from bulrushflow.membership.table import MIN_CONFLICT_REFUTE_INTERVAL_S
from bulrushflow.membership.tombstones import MAX_TOMBSTONES
from bulrushflow.membership.tombstones import TOMBSTONE_TTL_S
from bulrushflow.membership.tombstones import Tombstones

OWN = Member("own", "celje-a", "127.0.0.1", 1, 1)
PEER = Member("a", "celje-a", "127.0.0.1", 2, 5)

targets = st.none() | st.builds(
    Target,
    st.sampled_from(["statements", "payments"]),
    st.sampled_from(["v1", "v2"]),
    st.sampled_from(TargetState),
    st.integers(1, 2),
)
updates = st.builds(
    Member,
    st.sampled_from(["a", "b", "c"]),
    st.sampled_from(["celje-a", "velenje"]),
    st.just("127.0.0.1"),
    st.sampled_from([2, 3]),
    st.integers(1, 4),
    st.sampled_from(Status),
    targets,
)
own_updates = st.builds(
    Member,
    st.just("own"),
    st.just("celje-a"),
    st.just("127.0.0.1"),
    st.just(1),
    st.integers(1, 9),
    st.sampled_from(Status),
    targets,
)


def merged(sequence: list[Member]) -> MemberTable:
    table = MemberTable(OWN)
    for update in sequence:
        table.merge(update, 0.0)
    return table


def view(table: MemberTable) -> tuple[dict[str, Member], dict[str, int]]:
    """Return live entries, and the highest incarnation of every other known member."""
    live = {m.node_id: m for m in table.by_id.values() if m.is_live}
    gone = {m.node_id: m.incarnation for m in table.by_id.values() if not m.is_live}
    for node_id in ("a", "b", "c"):
        removed = table.tombstones.covering(node_id, 0)
        if removed is not None:
            gone[node_id] = removed
    return live, gone


class MergeTests(unittest.TestCase):
    @settings(max_examples=150)
    @given(st.lists(updates, max_size=5))
    def test_order_and_duplicates_do_not_matter(self, sequence: list[Member]) -> None:
        expected = view(merged(sequence))
        for order in itertools.islice(itertools.permutations(sequence), 24):
            self.assertEqual(view(merged(list(order))), expected)
        self.assertEqual(view(merged(sequence + sequence)), expected)

    @settings(max_examples=60)
    @given(st.lists(updates, max_size=6), st.lists(updates, max_size=6))
    def test_merge_returns_whether_it_changed_an_entry(
        self, first: list[Member], second: list[Member]
    ) -> None:
        table = merged(first)
        for update in second:
            before = dict(table.by_id)
            changed = table.merge(update, 0.0)
            self.assertEqual(changed, table.by_id != before)
            self.assertFalse(table.merge(update, 0.0))

    @settings(max_examples=60)
    @given(st.lists(own_updates, max_size=6))
    def test_the_own_entry_stays_alive_at_the_highest_incarnation(
        self, sequence: list[Member]
    ) -> None:
        table = MemberTable(OWN)
        for update in sequence:
            table.merge(update, 0.0)
            self.assertIs(table.own.status, Status.ALIVE)
            self.assertGreaterEqual(table.own.precedence, update.precedence)

    def test_a_restart_with_an_earlier_clock_refutes_its_old_entry(self) -> None:
        cases = {"alive": Status.ALIVE, "dead": Status.DEAD, "removed": Status.LEFT}
        for name, status in cases.items():
            with self.subTest(name):
                peers = MemberTable(OWN)
                peers.merge(replace(PEER, incarnation=900), 0.0)
                if status is not Status.ALIVE:
                    peers.raise_status("a", status, 0.0)
                if name == "removed":
                    peers.reap(DEAD_RETENTION_S)
                restarted = MemberTable(replace(PEER, incarnation=100, peer_port=9))
                own = restarted.own
                self.assertFalse(peers.merge(own, 1.0))
                to_refute = peers.update_to_refute("a", own.incarnation, own.endpoint)
                assert to_refute is not None
                self.assertTrue(restarted.merge(to_refute, 1.0))
                self.assertTrue(peers.merge(restarted.own, 1.0))
                self.assertEqual(peers.by_id["a"].peer_port, 9)
                self.assertIsNone(
                    peers.update_to_refute("a", restarted.own.incarnation, restarted.own.endpoint)
                )

    def test_conflicts_over_one_node_id_are_counted_and_refutations_rate_limited(self) -> None:
        table = MemberTable(OWN)
        for i in range(10):
            update = replace(OWN, peer_port=9, incarnation=table.own.incarnation + 5)
            table.merge(update, i * MIN_CONFLICT_REFUTE_INTERVAL_S / 5)
        self.assertEqual(table.conflicts_by_id["own"], 10)
        self.assertLessEqual(table.own.incarnation, 1 + 2 * 6)
        self.assertEqual(table.own.peer_port, 1)

    def test_endpoint_changes_of_a_live_member_are_counted(self) -> None:
        table = MemberTable(OWN)
        for i in range(4):
            table.merge(replace(PEER, incarnation=i + 1, peer_port=2 + i % 2), 0.0)
        self.assertEqual(table.conflicts_by_id, {"a": 3})
        table.reap(CONFLICT_WINDOW_S)
        self.assertEqual(table.conflicts_by_id, {})


class ReapTests(unittest.TestCase):
    def test_late_updates_do_not_bring_back_a_removed_member(self) -> None:
        table = merged([PEER, replace(PEER, status=Status.DEAD)])
        table.reap(DEAD_RETENTION_S - 1)
        self.assertIn("a", table.by_id)
        table.reap(DEAD_RETENTION_S)
        self.assertNotIn("a", table.by_id)
        for status in Status:
            self.assertFalse(table.merge(replace(PEER, status=status), DEAD_RETENTION_S))
        self.assertTrue(table.merge(replace(PEER, incarnation=6), DEAD_RETENTION_S))

    def test_a_dead_member_that_is_unknown_is_not_added(self) -> None:
        table = merged([replace(PEER, status=Status.DEAD)])
        self.assertNotIn("a", table.by_id)
        self.assertFalse(table.merge(PEER, 0.0))

    def test_dead_members_are_bounded_in_number(self) -> None:
        table = MemberTable(OWN)
        for i in range(MAX_DEAD + 10):
            table.merge(replace(PEER, node_id=f"n{i}"), float(i))
            table.raise_status(f"n{i}", Status.DEAD, float(i) / 100)
        table.reap(50.0)
        self.assertEqual(len(table.dead()), MAX_DEAD)
        self.assertNotIn("n0", table.by_id)

    def test_tombstones_are_bounded_in_number_and_time(self) -> None:
        tombstones = Tombstones()
        for i in range(MAX_TOMBSTONES + 5):
            tombstones.add(f"n{i}", 1, float(i >= 10))
        self.assertEqual(len(tombstones), MAX_TOMBSTONES)
        tombstones.expire(TOMBSTONE_TTL_S)
        self.assertIsNone(tombstones.covering("n9", 1))
        self.assertEqual(tombstones.covering("n10", 1), 1)


def assert_same(found: list[Member], scanned: list[Member]) -> None:
    """Assert that both lists have the same members, each once, in any order."""
    assert sorted(found, key=lambda m: m.node_id) == sorted(scanned, key=lambda m: m.node_id)


class TableMachine(RuleBasedStateMachine):
    """Any sequence of changes keeps the indexes equal to a scan of the members."""

    def __init__(self) -> None:
        super().__init__()
        self.table = MemberTable(OWN)
        self.now = 0.0
        self.highest_gone: dict[str, int] = {}

    @rule(update=updates)
    def merge(self, update: Member) -> None:
        self.table.merge(update, self.now)
        gone = self.highest_gone
        if not update.is_live:
            gone[update.node_id] = max(gone.get(update.node_id, 0), update.incarnation)

    @rule(update=own_updates)
    def merge_own(self, update: Member) -> None:
        self.table.merge(update, self.now)

    @rule(announced=targets)
    def announce(self, announced: Target | None) -> None:
        self.table.update_own(target=announced)

    @rule(node_id=st.sampled_from(["a", "b", "c"]), status=st.sampled_from(Status))
    def mark(self, node_id: str, status: Status) -> None:
        self.table.raise_status(node_id, status, self.now)

    @rule(seconds=st.sampled_from([1.0, DEAD_RETENTION_S]))
    def reap(self, seconds: float) -> None:
        self.now += seconds
        self.highest_gone = {}
        self.table.reap(self.now)

    @invariant()
    def indexes_equal_a_scan(self) -> None:
        table = self.table
        members = list(table.by_id.values())
        live = [m for m in members if m.is_live]
        assert_same(table.live_members(), live)
        assert_same(table.live_peers(), [m for m in live if m.node_id != "own"])
        for data_centre in ("celje-a", "velenje"):
            near = [m for m in live if m.data_centre == data_centre]
            assert_same(table.in_data_centre(data_centre), near)
        for status, listed in ((Status.SUSPECT, table.suspects()), (Status.DEAD, table.dead())):
            assert_same(listed, [m for m in members if m.status is status])
        for service, version in itertools.product(("statements", "payments"), ("v1", "v2")):
            ready = table.ready_targets(service, version)
            assert_same(ready, [m for m in members if m.ready_version == (service, version)])
        assert len(table._ready_by_version) <= len(members)

    @invariant()
    def digests_equal_those_of_a_fresh_table(self) -> None:
        fresh = MemberTable(self.table.own)
        for member in self.table.by_id.values():
            fresh.merge(member, 0.0)
        assert fresh.digest() == self.table.digest()
        assert not fresh.differing_buckets(self.table.bucket_digests())

    @invariant()
    def incarnations_that_ended_do_not_come_back(self) -> None:
        for node_id, incarnation in self.highest_gone.items():
            current = self.table.by_id.get(node_id)
            assert current is None or not current.is_live or current.incarnation > incarnation


TableMachine.TestCase.settings = settings(max_examples=40, stateful_step_count=25)
TableMachineTests = TableMachine.TestCase
