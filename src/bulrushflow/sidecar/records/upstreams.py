"""Choice of the node from which this node has the store's records.

All nodes of a data centre rank its nodes alike, by the bandwidth of their links and then by a hash,
so most of them choose the same one without an election. Where their views differ for a moment, more
nodes read the store than needed. A narrow link takes longer to read a configuration than pass
between two in a series, and hands it on to one node after another.
"""

import typing as t

import xxhash

from bulrushflow.sidecar.model import NodeEntry
from bulrushflow.sidecar.model import TargetState
from bulrushflow.sidecar.records.directory import Peer

LOCAL_CANDIDATES = 3
"""Nodes of the own data centre that are tried before one of another data centre."""
FIRST_EXCLUSION_S = 4.0
"""Time for which a node that failed as upstream isn't chosen again; doubles with each failure."""
MAX_EXCLUSION_S = 16.0
STARTING_EXCLUSION_S = 0.5
"""The first exclusion while the own node starts. Nodes mostly start together, so one that refuses
connections, or is still loading its topics, is likely to relay records soon."""
MAX_CACHED_HASHES = 8192


class _Exclusion(t.NamedTuple):
    until: float
    seconds: float


class Upstreams:
    """Ranks the nodes that relay records, and excludes those that failed for a while.

    :param peers_by_key: known nodes, which change over time.
    """

    __slots__ = (
        "_data_centre",
        "_exclusions_by_key",
        "_hashes_by_key",
        "_own_key",
        "_peers_by_key",
    )

    def __init__(self, own_key: str, data_centre: str, peers_by_key: t.Mapping[str, Peer]) -> None:
        self._own_key = own_key
        self._data_centre = data_centre
        self._peers_by_key = peers_by_key
        self._exclusions_by_key: dict[str, _Exclusion] = {}
        self._hashes_by_key: dict[str, int] = {}
        """Computed once, since all nodes are ranked with each choice."""

    def choose(self, now: float) -> str | None:
        """Return the key of the node to request records from; ``None`` to read the store.

        A node reads the store if it ranks before all others of its data centre that are available,
        or if none of the candidates is.
        """
        local, remote = self._candidates()
        for key in local[:LOCAL_CANDIDATES]:
            if key == self._own_key:
                return None
            if self._available(key, now):
                return key
        if local and remote and self._available(remote[0], now):
            return remote[0]
        return None

    def leads(self) -> bool:
        """Return whether this node ranks before all others of its data centre."""
        local, _ = self._candidates()
        return local[:1] == [self._own_key]

    def watched(self, count: int) -> list[str]:
        """Return the nodes whose offsets a node that reads the store compares with its own.

        The first of each other data centre, or further ones of the own if there is no other.
        """
        local, remote = self._candidates()
        first_by_data_centre: dict[str, str] = {}
        for key in remote:
            first_by_data_centre.setdefault(self._peers_by_key[key].entry.data_centre, key)
        names = sorted(first_by_data_centre)
        # Begins behind the own data centre, so that the nodes watch one another in a ring.
        names.sort(key=lambda name: name < self._data_centre)
        others = [first_by_data_centre[name] for name in names]
        return [*others, *(key for key in local if key != self._own_key)][:count]

    def exclude(self, key: str, now: float, first_s: float = FIRST_EXCLUSION_S) -> None:
        """Exclude a node that failed as upstream.

        :param first_s: length of the exclusion, in seconds, unless the node failed shortly before.
        """
        before = self._exclusions_by_key.get(key)
        seconds = first_s
        if before is not None and now - before.until < before.seconds:
            seconds = max(first_s, min(MAX_EXCLUSION_S, before.seconds * 2))
        self._exclusions_by_key[key] = _Exclusion(now + seconds, seconds)
        for other, exclusion in list(self._exclusions_by_key.items()):
            if now - exclusion.until > MAX_EXCLUSION_S:
                del self._exclusions_by_key[other]

    def _available(self, key: str, now: float) -> bool:
        exclusion = self._exclusions_by_key.get(key)
        if exclusion is not None and now < exclusion.until:
            return False
        return not self._peers_by_key[key].unreachable

    def _candidates(self) -> tuple[list[str], list[str]]:
        """Return the keys of the own data centre's nodes and of all others, highest rank first."""
        local: list[tuple[float, int, str]] = []
        remote: list[tuple[float, int, str]] = []
        for key, peer in self._peers_by_key.items():
            if not _relays(peer.entry):
                continue
            ranked = remote if peer.entry.data_centre != self._data_centre else local
            ranked.append((-peer.entry.link_mbps, self._hash(key), key))
        return [item[-1] for item in sorted(local)], [item[-1] for item in sorted(remote)]

    def _hash(self, key: str) -> int:
        """Return a node's place among those with the same bandwidth."""
        found = self._hashes_by_key.get(key)
        if found is None:
            if len(self._hashes_by_key) >= MAX_CACHED_HASHES:
                self._hashes_by_key.clear()
            found = self._hashes_by_key[key] = xxhash.xxh64_intdigest(key.encode())
        return found


def _relays(entry: NodeEntry) -> bool:
    """Return whether a node relays records; one whose target leaves is about to stop."""
    target = entry.target
    return entry.relays_records and target is not None and target.state is TargetState.READY
