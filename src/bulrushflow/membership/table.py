"""The member table: merging of updates, indexes, and removal of dead and left members."""

import typing as t

from msgspec.structs import replace

from bulrushflow.membership.digests import BucketDigests
from bulrushflow.membership.members import Member
from bulrushflow.membership.members import Status
from bulrushflow.membership.tombstones import Tombstones

DEAD_RETENTION_S = 3600.0
"""Dead members are kept this long and probed again, since it may only have been a partition."""
LEFT_RETENTION_S = 60.0
MAX_DEAD = 4096
"""Dead and left members kept; beyond it the oldest are removed early."""
MIN_CONFLICT_REFUTE_INTERVAL_S = 5.0
"""Shortest time between two refutations of another process that uses this node's id."""
MAX_CONFLICT_IDS = 64
CONFLICT_WINDOW_S = 3600.0
"""Conflict counts restart after this time, since instances do change address now and then."""

Endpoint = tuple[str, int]
K = t.TypeVar("K", bound=t.Hashable)


class MemberTable:
    """All known members. Merging updates is commutative, associative and idempotent.

    Lists returned by look-ups are shared between callers and must not be modified.
    """

    __slots__ = (
        "_changed_at",
        "_conflicts_since",
        "_digests",
        "_lists_by_key",
        "_live_by_data_centre",
        "_others_by_status",
        "_ready_by_version",
        "_ready_lists_by_version",
        "_refute_after",
        "by_id",
        "conflicts_by_id",
        "own_id",
        "tombstones",
        "version",
    )

    def __init__(self, own: Member) -> None:
        self.own_id = own.node_id
        self.by_id: dict[str, Member] = {}
        self.tombstones = Tombstones()
        self.version = 0
        """Incremented with every change of the table."""
        self.conflicts_by_id: dict[str, int] = {}
        """How often an update changed the endpoint of a live member."""
        self._conflicts_since = 0.0
        self._digests = BucketDigests()
        self._changed_at: dict[str, float] = {}
        self._refute_after = float("-inf")
        self._live_by_data_centre: dict[str, dict[str, Member]] = {}
        self._others_by_status: dict[Status, dict[str, Member]] = {s: {} for s in Status}
        self._lists_by_key: dict[tuple[str, str], list[Member]] = {}
        self._ready_by_version: dict[tuple[str, str], dict[str, Member]] = {}
        self._ready_lists_by_version: dict[tuple[str, str], list[Member]] = {}
        self._put(own)

    @property
    def own(self) -> Member:
        """This node's own entry."""
        return self.by_id[self.own_id]

    def update_own(self, **changes: t.Any) -> Member:
        """Change this node's entry, raise its incarnation, and return it."""
        own = replace(self.own, incarnation=self.own.incarnation + 1, **changes)
        self._put(own)
        return own

    def merge(self, update: Member, now: float) -> bool:
        """Merge an update about a member; return whether it changed the table.

        An update that would replace this node's own entry, such as one that declares it dead, is
        refuted with a higher incarnation.
        """
        if update.node_id == self.own_id:
            return self._refute(update, now)
        current = self.by_id.get(update.node_id)
        if current is None:
            return self._add(update, now)
        if update.precedence <= current.precedence:
            return False
        if current.is_live and update.is_live and update.endpoint != current.endpoint:
            self._count_conflict(update.node_id)
        self._put(update)
        self._changed_at[update.node_id] = now
        return True

    def raise_status(self, node_id: str, status: Status, now: float) -> Member | None:
        """Raise a member's status at its current incarnation.

        :return: the new entry, ``None`` when nothing changed.
        """
        current = self.by_id.get(node_id)
        if current is None or current.status >= status:
            return None
        update = replace(current, status=status)
        return update if self.merge(update, now) else None

    def changed_at(self, node_id: str) -> float:
        """Return the ``now`` of the last change of a member's entry, in seconds; 0 if unknown."""
        return self._changed_at.get(node_id, 0.0)

    def restart_suspicion_timeouts(self, now: float) -> None:
        """Start the suspicion timeout of every suspected member anew."""
        for member in self.suspects():
            self._changed_at[member.node_id] = now

    def reap(self, now: float) -> None:
        """Replace members that have been dead or left for long by tombstones, the oldest first.

        Must be called every few seconds.
        """
        removable = [m for m in self.by_id.values() if not m.is_live and m.node_id != self.own_id]
        removable.sort(key=lambda m: self.changed_at(m.node_id))
        excess = len(removable) - MAX_DEAD
        for i, member in enumerate(removable):
            retention_s = LEFT_RETENTION_S if member.status is Status.LEFT else DEAD_RETENTION_S
            if i < excess or now - self.changed_at(member.node_id) >= retention_s:
                self.tombstones.add(member.node_id, member.incarnation, now)
                self.remove(member.node_id)
        self.tombstones.expire(now)
        if now - self._conflicts_since >= CONFLICT_WINDOW_S:
            self._conflicts_since = now
            self.conflicts_by_id.clear()

    def remove(self, node_id: str) -> None:
        """Remove a member without a tombstone."""
        old = self.by_id.pop(node_id, None)
        self._changed_at.pop(node_id, None)
        self._reindex(old, None)

    def live_members(self) -> list[Member]:
        """Return the live members: those alive or only suspected, this node included."""
        own = [self.own] if self.own.is_live else []
        return self._cached("alive", "", lambda: [*own, *self.live_peers()])

    def live_peers(self) -> list[Member]:
        """Return :meth:`live_members` without this node."""
        alive, suspects = self._others(Status.ALIVE), self._others(Status.SUSPECT)
        return self._cached("others", "", lambda: [*alive.values(), *suspects.values()])

    def in_data_centre(self, data_centre: str) -> list[Member]:
        """Return the :meth:`live_members` of one data centre."""
        members = self._live_by_data_centre.get(data_centre, {})
        return self._cached("data_centre", data_centre, lambda: list(members.values()))

    def suspects(self) -> list[Member]:
        """Return the suspected members."""
        return self._cached("suspects", "", lambda: list(self._others(Status.SUSPECT).values()))

    def dead(self) -> list[Member]:
        """Return the members that are recorded as dead."""
        return self._cached("dead", "", lambda: list(self._others(Status.DEAD).values()))

    def ready_targets(self, service: str, version: str) -> list[Member]:
        """Return the members whose targets accept new calls for a service version."""
        key = (service, version)
        cached = self._ready_lists_by_version.get(key)
        if cached is None:
            cached = list(self._ready_by_version.get(key, {}).values())
            self._ready_lists_by_version[key] = cached
        return cached

    def in_buckets(self, buckets: t.Iterable[int]) -> list[Member]:
        """Return the members in some buckets of the digests, without the dead ones.

        That a member is dead is second-hand, and after a partition each side records it of the
        other.
        """
        members: list[Member] = []
        for bucket in buckets:
            members.extend(self.by_id[i] for i in self._digests.ids(bucket))
        return [m for m in members if m.status is not Status.DEAD]

    def digest(self) -> int:
        """Return a 32-bit digest of the live members."""
        return self._digests.overall()

    def bucket_digests(self) -> bytes:
        """Return the digests of all buckets."""
        return self._digests.packed()

    def differing_buckets(self, packed: bytes) -> list[int]:
        """Return the buckets in which another table differs from this one."""
        return self._digests.differing(packed)

    def update_to_refute(self, node_id: str, incarnation: int, endpoint: Endpoint) -> Member | None:
        """Return the entry that a node at ``incarnation`` must refute to be considered alive.

        It may be sent to that node only, since a tombstone no longer has the whole entry.

        :return: ``None`` when there is nothing to refute.
        """
        current = self.by_id.get(node_id)
        if current is None:
            removed = self.tombstones.covering(node_id, incarnation)
            if removed is None:
                return None
            return Member(node_id, "", *endpoint, removed, Status.DEAD)
        if current.incarnation < incarnation:
            return None
        if current.incarnation == incarnation and current.status is Status.ALIVE:
            return None
        return current

    def _add(self, update: Member, now: float) -> bool:
        if self.tombstones.covering(update.node_id, update.incarnation) is not None:
            return False
        if not update.is_live:
            # There is no entry to remove, but the tombstone rejects older updates.
            self.tombstones.add(update.node_id, update.incarnation, now)
            return False
        self.tombstones.discard(update.node_id)
        self._put(update)
        self._changed_at[update.node_id] = now
        return True

    def _refute(self, update: Member, now: float) -> bool:
        own = self.own
        if own.status is Status.LEFT or update.precedence <= own.precedence:
            return False
        if update.endpoint != own.endpoint and update.is_live:
            self._count_conflict(update.node_id)
            if now < self._refute_after:
                return False
            self._refute_after = now + MIN_CONFLICT_REFUTE_INTERVAL_S
        self._put(replace(own, incarnation=update.incarnation + 1))
        return True

    def _count_conflict(self, node_id: str) -> None:
        if node_id in self.conflicts_by_id or len(self.conflicts_by_id) < MAX_CONFLICT_IDS:
            self.conflicts_by_id[node_id] = self.conflicts_by_id.get(node_id, 0) + 1

    def _others(self, status: Status) -> dict[str, Member]:
        return self._others_by_status[status]

    def _cached(self, kind: str, key: str, make: t.Callable[[], list[Member]]) -> list[Member]:
        cached = self._lists_by_key.get((kind, key))
        if cached is None:
            cached = make()
            self._lists_by_key[kind, key] = cached
        return cached

    def _put(self, update: Member) -> None:
        current = self.by_id.get(update.node_id)
        self.by_id[update.node_id] = update
        self._reindex(current, update)

    def _reindex(self, old: Member | None, new: Member | None) -> None:
        self.version += 1
        self._lists_by_key.clear()
        self._ready_lists_by_version.clear()
        self._digests.replace(old, new)
        if old is not None:
            self._unindex(old)
        if new is not None:
            self._index(new)

    def _index(self, member: Member) -> None:
        if member.node_id != self.own_id:
            self._others_by_status[member.status][member.node_id] = member
        if member.is_live:
            self._live_by_data_centre.setdefault(member.data_centre, {})[member.node_id] = member
        if member.ready_version is not None:
            ready = self._ready_by_version.setdefault(member.ready_version, {})
            ready[member.node_id] = member

    def _unindex(self, member: Member) -> None:
        self._others_by_status[member.status].pop(member.node_id, None)
        if member.is_live:
            _remove(self._live_by_data_centre, member.data_centre, member.node_id)
        if member.ready_version is not None:
            _remove(self._ready_by_version, member.ready_version, member.node_id)


def _remove(members_by_key: dict[K, dict[str, Member]], key: K, node_id: str) -> None:
    """Remove a member from a key's members, and the key when none is left."""
    members_by_id = members_by_key[key]
    del members_by_id[node_id]
    if not members_by_id:
        del members_by_key[key]
