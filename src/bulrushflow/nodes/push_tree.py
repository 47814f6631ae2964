"""The trees along which new records are pushed inside a data centre."""

import typing as t

from bulrushflow.membership import Member
from bulrushflow.membership import rank_members

FANOUT = 4


def children(members: t.Iterable[Member], root_id: str, own_id: str) -> list[Member]:
    """Return the members that ``own_id`` forwards pushes to in the tree of ``root_id``.

    Each root has a tree of its own, so a failed node cuts off different members in each. Nodes
    whose member tables differ may skip some members, which then pull.

    :return: no members if ``own_id`` isn't in the tree.
    """
    others = [member for member in members if member.node_id != root_id]
    ranked = rank_members(others, f"push/{root_id}")
    if own_id == root_id:
        return ranked[:FANOUT]
    position = next((i for i, m in enumerate(ranked) if m.node_id == own_id), None)
    if position is None:
        return []
    start = FANOUT * (position + 1)
    return ranked[start : start + FANOUT]


def parent(members: t.Iterable[Member], root_id: str, own_id: str) -> Member | None:
    """Return the member that forwards to ``own_id`` in the tree of ``root_id``.

    :return: ``None`` if either of the two isn't a member, or ``own_id`` is the root.
    """
    by_id = {member.node_id: member for member in members}
    root = by_id.pop(root_id, None)
    ranked = rank_members(by_id.values(), f"push/{root_id}")
    position = next((i for i, m in enumerate(ranked) if m.node_id == own_id), None)
    if position is None or root is None:
        return None
    return root if position < FANOUT else ranked[position // FANOUT - 1]
