"""Measures processor time and memory of membership operations in a table of a whole fleet."""

import itertools
import random
import time
import tracemalloc
import typing as t

from msgspec.structs import replace

from bulrushflow.membership import Member
from bulrushflow.membership import MemberTable
from bulrushflow.membership import ProbeOrder
from bulrushflow.membership import Status
from bulrushflow.membership import Target
from bulrushflow.membership import TargetState
from bulrushflow.membership import is_top_ranked
from bulrushflow.nodes.composing import MessageComposer
from bulrushflow.rollouts import SharedRollouts
from bulrushflow.wire import log_codec
from bulrushflow.wire import messages

DATA_CENTRES = 15
REPEATS = 300
ROUNDS = 5


def make_members(count: int, services: int) -> list[Member]:
    """Return live members, spread evenly over services and data centres."""
    return [
        Member(
            f"data-centre-{i % DATA_CENTRES}-{i:05}",
            f"data-centre-{i % DATA_CENTRES}",
            f"10.{i % DATA_CENTRES}.{i // 256}.{i % 256}",
            7946,
            1_800_000_000_000 + i,
            Status.ALIVE,
            Target(f"service-{i % services}", "2026-12-04.1", TargetState.READY, 20),
        )
        for i in range(count)
    ]


def make_table(members: list[Member]) -> MemberTable:
    """Return the first member's table with all members in it."""
    table = MemberTable(members[0])
    for member in members[1:]:
        table.merge(member, 0.0)
    return table


def make_updates(members: list[Member], count: int) -> list[Member]:
    """Return ``count`` updates that each change a table of the members, merged in this order."""
    return [
        replace(member, incarnation=member.incarnation + 1 + i // len(members))
        for i, member in enumerate(itertools.islice(itertools.cycle(members), count))
    ]


def measure(function: t.Callable[[int], object], repeats: int = REPEATS) -> float:
    """Return the microseconds per call: the minimum of :data:`ROUNDS` of ``repeats`` calls each."""
    rounds = []
    for _ in range(ROUNDS):
        started_at = time.perf_counter()
        for i in range(repeats):
            function(i)
        rounds.append((time.perf_counter() - started_at) / repeats * 1e6)
    return min(rounds)


def run(count: int, services: int, seed: int) -> dict[str, float]:
    """Measure each operation.

    Returns microseconds per call, the memory of the table in MB and sizes of messages in bytes, by
    the names of the report.
    """
    rng = random.Random(seed)
    members = make_members(count, services)
    tracemalloc.start()
    traced_members = make_members(count, services)
    table = make_table(traced_members)
    table.live_members()
    table.live_peers()
    memory_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    composer = MessageComposer(table, SharedRollouts(), lambda: 0)
    order = ProbeOrder(rng)
    updates = make_updates(members[1:], ROUNDS * REPEATS)
    merges = iter(updates)
    local_members = table.in_data_centre(members[0].data_centre)
    for member in members[1:200]:
        composer.enqueue(member)
    full_datagram = composer.encode_datagram((), ping=messages.Ping(sequence=1))
    empty_composer = MessageComposer(table, SharedRollouts(), lambda: 0)
    empty_datagram = empty_composer.encode_datagram((), ping=messages.Ping(sequence=1))
    results = {
        "merge of a claim that is news": measure(lambda i: table.merge(next(merges), 1.0)),
        "merge of a claim that is held": measure(lambda i: table.merge(updates[-1], 1.0)),
        "ready targets, table unchanged": measure(
            lambda i: table.ready_targets(f"service-{i % services}", "2026-12-04.1")
        ),
        "ready targets by a scan, as before": measure(
            lambda i: [m for m in table.by_id.values() if m.ready_version == ("service-1", "v")],
            20,
        ),
        "list of live members after a change": measure(lambda i: _update_and_list(table), 50),
        "digest of a changed table": measure(lambda i: _update_and_digest(table)),
        "differing buckets": measure(lambda i: table.differing_buckets(table.bucket_digests())),
        "rendezvous in one data centre, chosen": measure(
            lambda i: is_top_ranked(
                local_members, "x", local_members[0].node_id, len(local_members)
            ),
            50,
        ),
        "rendezvous in one data centre, usual": measure(
            lambda i: is_top_ranked(
                local_members, "x", local_members[i % len(local_members)].node_id, 2
            )
        ),
        "choice of the next probe": measure(lambda i: order.next(table)),
        "encode a datagram without news": measure(
            lambda i: empty_composer.encode_datagram((), ping=messages.Ping(sequence=1))
        ),
        "decode a datagram without news": measure(
            lambda i: messages.decode(messages.Datagram, empty_datagram)
        ),
        f"encode a datagram of {len(full_datagram)} bytes": measure(
            lambda i: _enqueue_and_encode(composer, members)
        ),
        f"decode a datagram of {len(full_datagram)} bytes": measure(
            lambda i: _decode_members(full_datagram)
        ),
        "memory of the table, MB": memory_mb,
        "bytes of a member in a message": sum(map(log_codec.member_size, members)) / count,
        "bytes of a datagram without news": len(empty_datagram),
    }
    return {name: round(value, 3) for name, value in results.items()}


def _update_and_list(table: MemberTable) -> None:
    table.update_own()
    table.live_peers()


def _update_and_digest(table: MemberTable) -> None:
    table.update_own()
    table.digest()


def _enqueue_and_encode(composer: MessageComposer, members: list[Member]) -> None:
    for member in members[1:10]:
        composer.enqueue(member)
    composer.encode_datagram((), ping=messages.Ping(sequence=1))


def _decode_members(data: bytes) -> None:
    datagram = messages.decode(messages.Datagram, data).unwrap()
    for message in datagram.gossip.members:
        log_codec.member_from_message(message)
