"""Rendezvous hashing: all nodes select the same few members for a key without coordination."""

import typing as t

import xxhash

from bulrushflow.membership.members import Member


def rank_members(members: t.Iterable[Member], key: str) -> list[Member]:
    """Return the members by their rendezvous score for ``key``, the highest first."""
    return sorted(members, key=lambda m: _score(key, m.node_id), reverse=True)


def is_top_ranked(members: t.Iterable[Member], key: str, node_id: str, count: int) -> bool:
    """Return whether ``node_id`` is among the first ``count`` members for ``key``.

    Stops at the ``count``-th member that ranks higher, so most nodes hash only a few ids.
    """
    own = _score(key, node_id)
    present = False
    higher = 0
    for member in members:
        if member.node_id == node_id:
            present = True
            continue
        if _score(key, member.node_id) > own:
            higher += 1
            if higher >= count:
                return False
    return present and count > 0


def _score(key: str, node_id: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{key}/{node_id}".encode()), node_id
