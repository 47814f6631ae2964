"""What a message tells besides its own purpose, fitted to a datagram's size."""

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
from bulrushflow.wire import messages

MAX_DATAGRAM_BYTES = 1200
"""Fits the MTU of a usual path with room for tunnels."""
MOVES_BYTES = 400
_ENVELOPE_BYTES = 64
_REQUEST_BYTES = 200
"""Room for the numbers of the buckets that go with a batch of members."""


class UpdateSelection(enum.Enum):
    """Which news of members a datagram carries."""

    ALL = enum.auto()
    SUSPICIONS = enum.auto()
    """To a node that holds the same live members."""
    NOTHING = enum.auto()


def priority(member: Member) -> UpdatePriority:
    """Return how urgently a member's entry has to be passed on."""
    if member.status is Status.LEFT:
        return UpdatePriority.URGENT
    if member.target is not None and member.target.state >= TargetState.DRAINING:
        return UpdatePriority.URGENT
    if member.status is Status.ALIVE:
        return UpdatePriority.ALIVE
    return UpdatePriority.DEAD if member.status is Status.DEAD else UpdatePriority.SUSPECT


class MessageComposer:
    """Keeps the news of members and moves, and picks what fits each message."""

    def __init__(
        self,
        table: MemberTable,
        shared_rollouts: SharedRollouts,
        applied_offset: t.Callable[[], int],
    ) -> None:
        self._table = table
        self._shared_rollouts = shared_rollouts
        self._applied_offset = applied_offset
        self._members: UpdateQueue[str] = UpdateQueue()
        self._moves: UpdateQueue[int] = UpdateQueue()
        self._seen_by_offset: dict[int, tuple[SharedRollout, int]] = {}
        self._rotation: list[int] = []

    def enqueue(self, member: Member) -> None:
        """Pass a member's entry on with the next messages."""
        self._members.add(member.node_id, priority(member))

    def discard_suspect_and_dead(self) -> None:
        """Stop passing on that members are dead or suspected."""
        self._members.discard_from(UpdatePriority.SUSPECT)

    def record_equal_digest(self) -> None:
        """Note that another node's live members are the same as this one's.

        It knows then who lives and who leaves. Suspicions are not in the digest, and that a
        member is dead goes to all the same, since joiners may have fetched it alive.
        """
        limit = transmission_limit(len(self._table.live_members()))
        self._members.count_as_sent(limit, UpdatePriority.ALIVE)

    def encode_datagram(
        self,
        extra: t.Sequence[Member],
        selection: UpdateSelection = UpdateSelection.ALL,
        **body: t.Any,
    ) -> bytes:
        """Encode a datagram: ``extra`` members, then the news to tell that still fits."""
        budget = MAX_DATAGRAM_BYTES - len(messages.encode(messages.Datagram(**body)))
        budget -= _ENVELOPE_BYTES + len(self._table.own_id)
        budget -= sum(codec.member_size(m) for m in extra)
        if selection is UpdateSelection.NOTHING:
            return messages.encode(messages.Datagram(gossip=self._gossip(extra, ()), **body))
        moves, moves_bytes = self._take_moves() if budget >= MOVES_BYTES else ([], 0)
        limit = transmission_limit(len(self._table.live_members()))
        only = UpdatePriority.SUSPECT if selection is UpdateSelection.SUSPICIONS else None
        ids = self._members.next_batch(budget - moves_bytes, self._member_size, limit, only)
        members = [*extra, *(self._table.by_id[i] for i in ids)]
        return messages.encode(messages.Datagram(gossip=self._gossip(members, moves), **body))

    def frame_gossip(self, members: t.Iterable[Member], with_moves: bool) -> t.Any:
        """Return the gossip for a framed message: the members given, and all moves if asked."""
        return self._gossip(members, self._shared_rollouts.by_offset.values() if with_moves else ())

    def split_into_batches(self, members: t.Iterable[Member], count: int) -> list[list[Member]]:
        """Split members into at most ``count`` groups that each fit a datagram."""
        batches: list[list[Member]] = [[]]
        room = MAX_DATAGRAM_BYTES - 2 * _ENVELOPE_BYTES - _REQUEST_BYTES
        left = room
        for member in members:
            size = codec.member_size(member)
            if size > left:
                if len(batches) == count:
                    break
                batches.append([])
                left = room
            batches[-1].append(member)
            left -= size
        return batches

    def _gossip(self, members: t.Iterable[Member], moves: t.Iterable[SharedRollout]) -> t.Any:
        return messages.Gossip(
            sender=self._table.own_id,
            offset=self._applied_offset(),
            members=[codec.member_to_message(m) for m in members],
            moves=[codec.rollout_to_message(m) for m in moves],
            digest=self._table.digest(),
            incarnation=self._table.own.incarnation,
        )

    def _member_size(self, node_id: str) -> int:
        member = self._table.by_id.get(node_id)
        return codec.member_size(member) if member is not None else 0

    def _take_moves(self) -> tuple[list[SharedRollout], int]:
        """Return changed moves and one in rotation, and their bytes.

        A move that is too large for its share goes alone, or it would never be told.
        """
        self._observe_moves()
        if not self._seen_by_offset:
            return [], 0
        limit = transmission_limit(len(self._table.live_members()))
        offsets = self._moves.next_batch(
            MOVES_BYTES, lambda o: min(MOVES_BYTES, self._move_size(o)), limit
        )
        used = sum(self._move_size(o) for o in offsets)
        if not self._rotation:
            self._rotation = list(self._seen_by_offset)
        turn = self._rotation.pop()
        size = min(MOVES_BYTES, self._move_size(turn))
        if size and turn not in offsets and used + size <= MOVES_BYTES:
            offsets.append(turn)
            used += self._move_size(turn)
        return [self._seen_by_offset[o][0] for o in offsets], used

    def _observe_moves(self) -> None:
        # Parts change the shared moves directly, so changes are found by comparison.
        by_offset = self._shared_rollouts.by_offset
        for offset in [o for o in self._seen_by_offset if o not in by_offset]:
            del self._seen_by_offset[offset]
        for offset, state in by_offset.items():
            seen = self._seen_by_offset.get(offset)
            if seen is not None and seen[0] is state:
                continue
            size = len(messages.encode(codec.rollout_to_message(state)))
            self._seen_by_offset[offset] = (state, size)
            self._moves.add(offset, UpdatePriority.URGENT)

    def _move_size(self, offset: int) -> int:
        seen = self._seen_by_offset.get(offset)
        return seen[1] if seen is not None else 0
