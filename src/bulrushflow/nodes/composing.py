"""Piggybacks membership and rollout updates on messages, within a datagram's size."""

import enum
import typing as t

from bulrushflow.membership import Member
from bulrushflow.membership import MemberTable
from bulrushflow.membership import Status
from bulrushflow.membership import TargetState
from bulrushflow.membership import UpdatePriority
from bulrushflow.membership import UpdateQueue
from bulrushflow.membership import transmission_limit
from bulrushflow.rollouts import SharedRollout
from bulrushflow.rollouts import SharedRollouts
from bulrushflow.wire import codec
from bulrushflow.wire import log_codec
from bulrushflow.wire import messages

MAX_DATAGRAM_BYTES = 1200
"""Fits the usual path MTU, with room for the headers of tunnels."""
ROLLOUT_BYTES = 400
_ENVELOPE_BYTES = 64
_BUCKET_REQUEST_BYTES = 200
"""Room for the bucket request sent along with a batch of members."""


class UpdateSelection(enum.Enum):
    """Which queued membership updates a datagram carries."""

    ALL = enum.auto()
    SUSPICIONS = enum.auto()
    """Suspected members only, for a node whose live members are the same."""
    NOTHING = enum.auto()


def update_priority(member: Member) -> UpdatePriority:
    """Return the priority with which a member's entry is disseminated."""
    if member.status is Status.LEFT:
        return UpdatePriority.URGENT
    if member.target is not None and member.target.state >= TargetState.DRAINING:
        return UpdatePriority.URGENT
    if member.status is Status.ALIVE:
        return UpdatePriority.ALIVE
    return UpdatePriority.DEAD if member.status is Status.DEAD else UpdatePriority.SUSPECT


class MessageComposer:
    """Queues updates of members and rollouts, and adds those that fit to each message."""

    def __init__(
        self,
        table: MemberTable,
        shared_rollouts: SharedRollouts,
        applied_offset: t.Callable[[], int],
    ) -> None:
        self._table = table
        self._shared_rollouts = shared_rollouts
        self._applied_offset = applied_offset
        self._member_updates: UpdateQueue[str] = UpdateQueue()
        self._rollout_updates: UpdateQueue[int] = UpdateQueue()
        self._seen_by_offset: dict[int, tuple[SharedRollout, int]] = {}
        self._rotation: list[int] = []

    def enqueue(self, member: Member) -> None:
        """Send a member's entry along with the next messages."""
        self._member_updates.add(member.node_id, update_priority(member))

    def discard_suspect_and_dead(self) -> None:
        """Drop the queued updates that report members suspected or dead."""
        self._member_updates.discard_from(UpdatePriority.SUSPECT)

    def record_equal_digest(self) -> None:
        """Count the queued updates of alive and leaving members as sent to one more node.

        To be called when another node's digest equals this one's. Suspicions are not part of the
        digest. Reports of dead members are sent regardless, since a node that joined meanwhile may
        have fetched the member as alive.
        """
        limit = transmission_limit(len(self._table.live_members()))
        self._member_updates.count_as_sent(limit, UpdatePriority.ALIVE)

    def encode_datagram(
        self,
        extra: t.Sequence[Member],
        selection: UpdateSelection = UpdateSelection.ALL,
        **body: t.Any,
    ) -> bytes:
        """Encode a datagram with ``extra`` members and the selected updates that still fit."""
        budget = MAX_DATAGRAM_BYTES - len(messages.encode(messages.Datagram(**body)))
        budget -= _ENVELOPE_BYTES + len(self._table.own_id)
        budget -= sum(log_codec.member_size(m) for m in extra)
        if selection is UpdateSelection.NOTHING:
            return messages.encode(messages.Datagram(gossip=self._make_gossip(extra, ()), **body))
        rollouts, rollout_bytes = self._next_rollouts() if budget >= ROLLOUT_BYTES else ([], 0)
        limit = transmission_limit(len(self._table.live_members()))
        only_priority = UpdatePriority.SUSPECT if selection is UpdateSelection.SUSPICIONS else None
        ids = self._member_updates.next_batch(
            budget - rollout_bytes, self._member_size, limit, only_priority
        )
        members = [*extra, *(self._table.by_id[i] for i in ids)]
        return messages.encode(
            messages.Datagram(gossip=self._make_gossip(members, rollouts), **body)
        )

    def frame_gossip(self, members: t.Iterable[Member], with_rollouts: bool) -> t.Any:
        """Return the gossip of a framed message: the given members, and optionally all rollouts."""
        return self._make_gossip(
            members, self._shared_rollouts.by_offset.values() if with_rollouts else ()
        )

    def split_into_batches(self, members: t.Iterable[Member], count: int) -> list[list[Member]]:
        """Split members into at most ``count`` groups that each fit a datagram."""
        batches: list[list[Member]] = [[]]
        room = MAX_DATAGRAM_BYTES - 2 * _ENVELOPE_BYTES - _BUCKET_REQUEST_BYTES
        remaining = room
        for member in members:
            size = log_codec.member_size(member)
            if size > remaining:
                if len(batches) == count:
                    break
                batches.append([])
                remaining = room
            batches[-1].append(member)
            remaining -= size
        return batches

    def _make_gossip(
        self, members: t.Iterable[Member], rollouts: t.Iterable[SharedRollout]
    ) -> t.Any:
        return messages.Gossip(
            sender=self._table.own_id,
            offset=self._applied_offset(),
            members=[log_codec.member_to_message(m) for m in members],
            moves=[codec.rollout_to_message(r) for r in rollouts],
            digest=self._table.digest(),
            incarnation=self._table.own.incarnation,
        )

    def _member_size(self, node_id: str) -> int:
        member = self._table.by_id.get(node_id)
        return log_codec.member_size(member) if member is not None else 0

    def _next_rollouts(self) -> tuple[list[SharedRollout], int]:
        """Return changed rollouts and one in rotation, and their bytes.

        A rollout larger than :data:`ROLLOUT_BYTES` is sent as the only one, or it would never be
        sent at all.
        """
        self._enqueue_changed_rollouts()
        if not self._seen_by_offset:
            return [], 0
        limit = transmission_limit(len(self._table.live_members()))
        offsets = self._rollout_updates.next_batch(
            ROLLOUT_BYTES, lambda o: min(ROLLOUT_BYTES, self._rollout_size(o)), limit
        )
        used = sum(self._rollout_size(o) for o in offsets)
        if not self._rotation:
            self._rotation = list(self._seen_by_offset)
        rotated = self._rotation.pop()
        size = min(ROLLOUT_BYTES, self._rollout_size(rotated))
        if size and rotated not in offsets and used + size <= ROLLOUT_BYTES:
            offsets.append(rotated)
            used += self._rollout_size(rotated)
        return [self._seen_by_offset[o][0] for o in offsets], used

    def _enqueue_changed_rollouts(self) -> None:
        # Other parts of the node change the shared rollouts directly, so compare them.
        by_offset = self._shared_rollouts.by_offset
        for offset in [o for o in self._seen_by_offset if o not in by_offset]:
            del self._seen_by_offset[offset]
        for offset, state in by_offset.items():
            seen = self._seen_by_offset.get(offset)
            if seen is not None and seen[0] is state:
                continue
            size = len(messages.encode(codec.rollout_to_message(state)))
            self._seen_by_offset[offset] = (state, size)
            self._rollout_updates.add(offset, UpdatePriority.URGENT)

    def _rollout_size(self, offset: int) -> int:
        seen = self._seen_by_offset.get(offset)
        return seen[1] if seen is not None else 0
