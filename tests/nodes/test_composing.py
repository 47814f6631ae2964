"""Tests of the updates piggybacked on datagrams."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from msgspec.structs import replace

from bulrushflow.membership import Member
from bulrushflow.membership import MemberTable
from bulrushflow.membership import Status
from bulrushflow.membership import Target
from bulrushflow.membership import TargetState
from bulrushflow.membership import transmission_limit
from bulrushflow.nodes.composing import MAX_DATAGRAM_BYTES
from bulrushflow.nodes.composing import MessageComposer
from bulrushflow.nodes.composing import UpdateSelection
from bulrushflow.rollouts import SharedRollout
from bulrushflow.rollouts import SharedRollouts
from bulrushflow.wire import log_codec
from bulrushflow.wire import messages

OWN = Member("own", "celje-a", "127.0.0.1", 1, 1)
names = st.text("abcdefgh-0123", min_size=1, max_size=64)
members = st.builds(
    Member,
    names,
    names,
    st.just("2001:db8:1111:2222:3333:4444:5555:6666"),
    st.integers(1, 65535),
    st.integers(1, 1 << 50),
    st.sampled_from([Status.ALIVE, Status.SUSPECT]),
    st.none() | st.builds(Target, names, names, st.sampled_from(TargetState), st.integers(0, 99)),
)
rollouts = st.builds(
    SharedRollout, st.integers(0, 99), st.integers(0, 1000), st.just(True), names, names
)


def make_composer(own_id: str = "own") -> tuple[MessageComposer, MemberTable, SharedRollouts]:
    table, shared = MemberTable(replace(OWN, node_id=own_id)), SharedRollouts()
    return MessageComposer(table, shared, lambda: 5), table, shared


class DatagramTests(unittest.TestCase):
    @settings(max_examples=60)
    @given(members)
    def test_computed_member_size_equals_encoded_size(self, member: Member) -> None:
        encoded = messages.encode(log_codec.member_to_message(member))
        self.assertEqual(log_codec.member_size(member), len(encoded) - messages.CHECKSUM_BYTES)

    @settings(max_examples=60)
    @given(names, st.lists(members, max_size=30), st.lists(rollouts, max_size=20), st.booleans())
    def test_datagrams_stay_within_the_size_limit(
        self, own_id: str, updates: list[Member], shared: list[SharedRollout], with_digests: bool
    ) -> None:
        composer, table, shared_rollouts = make_composer(own_id)
        for member in updates:
            table.merge(member, 0.0)
            composer.enqueue(member)
        for rollout in shared:
            shared_rollouts.merge(rollout)
        body = {"ping": messages.Ping(sequence=1 << 40)}
        if with_digests:
            digests = messages.BucketDigests(digests=table.bucket_digests())
            body = {"bucket_digests": digests}
        for _ in range(5):
            data = composer.encode_datagram((), **body)
            self.assertLessEqual(len(data), MAX_DATAGRAM_BYTES)
            decoded = messages.decode(messages.Datagram, data).unwrap()
            self.assertEqual(decoded.gossip.digest, table.digest())

    @settings(max_examples=30)
    @given(st.lists(members, max_size=60), st.integers(1, 6))
    def test_batches_fit_a_datagram_and_keep_the_order(
        self, updates: list[Member], count: int
    ) -> None:
        composer, _, _ = make_composer()
        batches = composer.split_into_batches(updates, count)
        self.assertLessEqual(len(batches), count)
        flat = [m for batch in batches for m in batch]
        self.assertEqual(flat, updates[: len(flat)])
        request = messages.BucketRequest(buckets=list(range(40)), whole_table=False)
        for batch in batches:
            data = composer.encode_datagram(batch, bucket_request=request)
            self.assertLessEqual(len(data), MAX_DATAGRAM_BYTES)

    def test_a_draining_target_is_sent_before_other_queued_updates(self) -> None:
        composer, table, _ = make_composer()
        for i in range(500):
            member = replace(OWN, node_id=f"n{i}")
            table.merge(member, 0.0)
            composer.enqueue(member)
        target = Target("statements", "v1", TargetState.DRAINING, 4)
        leaving = replace(OWN, node_id="n7", incarnation=2, target=target)
        table.merge(leaving, 0.0)
        composer.enqueue(leaving)
        data = composer.encode_datagram((), ping=messages.Ping(sequence=0))
        decoded = messages.decode(messages.Datagram, data).unwrap()
        self.assertEqual(decoded.gossip.members[0].node_id, "n7")

    def test_a_node_with_an_equal_digest_is_sent_suspicions_only(self) -> None:
        composer, table, _ = make_composer()
        for i in range(20):
            member = replace(OWN, node_id=f"n{i}", status=Status(i % 2))
            table.merge(member, 0.0)
            composer.enqueue(member)
        data = composer.encode_datagram(
            (), UpdateSelection.SUSPICIONS, ping=messages.Ping(sequence=0)
        )
        updates = messages.decode(messages.Datagram, data).unwrap().gossip.members
        self.assertEqual({m.status for m in updates}, {Status.SUSPECT})
        for _ in range(transmission_limit(20)):
            composer.record_equal_digest()
        data = composer.encode_datagram((), ping=messages.Ping(sequence=0))
        updates = messages.decode(messages.Datagram, data).unwrap().gossip.members
        self.assertEqual({m.status for m in updates}, {Status.SUSPECT})

    def test_a_rollout_with_a_long_reason_is_still_sent(self) -> None:
        composer, _, shared = make_composer()
        shared.merge(SharedRollout(1, 10, True, "x" * 900, "own"))
        decoded = messages.decode(
            messages.Datagram, composer.encode_datagram((), ping=messages.Ping(sequence=0))
        ).unwrap()
        self.assertEqual(decoded.gossip.moves[0].move, 1)
