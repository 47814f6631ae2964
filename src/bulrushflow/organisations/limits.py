"""What nodes tell each other about allowances, and the parts into which a limit is divided.

In any window W all nodes together may let through ``(rate x W + burst) x (1 + over) + slack``. The
rate is divided into shares and a pool, whose sum is the rate at any time. The burst and a part of
the tolerance, which is what the rule allows beyond the limit, are divided into the depths of the
buckets. The rest of the tolerance covers what happens at different times: calls that wait between
their admission here and their arrival at a target, and tokens that were granted before a window.
"""

import typing as t

import msgspec
import xxhash

from bulrushflow.organisations.keys import Organisations

POOL_FRACTION = 0.2
"""Fraction of the rate that stays in the pool, for nodes without a share or beyond theirs."""
POOL_BURST_FRACTION = 0.5
"""Fraction of the burst that the pool holds; the shares have the rest as their depth."""
POOL_DEPTH_FRACTION = 0.2
"""Fraction of the tolerance that the pool holds beyond its part of the burst."""
SHARE_DEPTH_FRACTION = 0.3
"""Fraction of the tolerance by which the depths of all shares may exceed their part of the burst.
"""
FLOOR_FRACTION = 0.2
"""Fraction of the tolerance that nodes may spend without asking in one floor period, as a sum. The
nodes that may change with each period, and two periods may meet in one window."""
MIN_DEPTH = 1.0
"""Depth below which a bucket never has a whole token."""


class AllowanceBounds(msgspec.Struct, frozen=True):
    """How far the requests of all nodes together may exceed an organisation's limit."""

    window_s: float = 5.0
    over: float = 0.1
    """Fraction of the limit in a window."""
    slack: float = 20.0
    """Requests in a window beyond that."""


class Limit(msgspec.Struct, frozen=True):
    """The limit of one organisation over all nodes."""

    per_s: float
    burst: float
    bounds: AllowanceBounds = AllowanceBounds()

    @property
    def tolerance(self) -> float:
        """Requests that all nodes together may let through beyond the limit in one window."""
        bounds = self.bounds
        return bounds.over * (self.per_s * bounds.window_s + self.burst) + bounds.slack

    @property
    def assignable_per_s(self) -> float:
        """Bound on the sum of all shares."""
        return self.per_s * (1 - POOL_FRACTION)

    @property
    def pool_depth(self) -> float:
        """Tokens that the pool holds at most."""
        return self.burst * POOL_BURST_FRACTION + self.tolerance * POOL_DEPTH_FRACTION

    @property
    def share_depth(self) -> float:
        """Bound on the sum of the depths of all shares."""
        return self.burst * (1 - POOL_BURST_FRACTION) + self.tolerance * SHARE_DEPTH_FRACTION


def limits_by_organisation(
    organisations: Organisations | None, bounds: AllowanceBounds
) -> dict[str, Limit]:
    """Return the limits of the organisations that have one."""
    if organisations is None:
        return {}
    return {
        name: Limit(organisation.rate_per_s, organisation.burst, bounds)
        for name, organisation in organisations.by_name.items()
        if organisation.rate_per_s
    }


class Demand(msgspec.Struct, frozen=True):
    """A node's report to the home of an organisation, with a request for tokens."""

    organisation: str
    per_s: float
    """Requests per second that arrive at the node."""
    wanted: int
    """Tokens that the node would use now."""
    held_per_s: float
    """The share that the node holds."""
    held_depth: float
    spent: int = 0
    """Tokens of the floor that were spent since the last report that the home received."""
    unused: float = 0.0
    """Tokens of the share that found no room in the node's bucket lately."""


class Grant(msgspec.Struct, frozen=True):
    """The home's response to a report."""

    organisation: str
    share_per_s: float
    share_depth: float
    tokens: int
    """Tokens to be used within :data:`~.allowances.TOKEN_LIFETIME_S`."""
    retry_after_s: float
    """Time after which the pool has a token for another request of the node."""
    renew_after_s: float
    """Time after which the node should report again."""
    fallback_per_s: float
    """Requests per second that a node without a share may let pass while the home doesn't answer.
    The home leaves as much to each node that it can't reach."""


class Holding(msgspec.Struct, frozen=True):
    """A share as the node that holds it reports it."""

    organisation: str
    per_s: float
    depth: float


class HomeChoice:
    """Chooses the home of each organisation: the node that divides its limit.

    All nodes rank the nodes alike, by rendezvous hashing over their entries. The home is the first
    one in this order that the choosing node can connect to. A node serves as home only while it is
    that in its own view. Where views differ, each home leaves a part of the limit to the nodes that
    it can't connect to, so two homes on the two sides of a partition divide it between them.
    """

    __slots__ = ("_keys", "_ranked_by_organisation", "_unreachable")

    def __init__(self) -> None:
        self._keys: frozenset[str] = frozenset()
        self._unreachable: frozenset[str] = frozenset()
        self._ranked_by_organisation: dict[str, list[str]] = {}

    @property
    def reached_count(self) -> int:
        """Number of nodes that can be connected to."""
        return len(self._keys - self._unreachable)

    def change(self, node_keys: t.Collection[str], unreachable: t.Collection[str]) -> bool:
        """Apply the known nodes, and those that can't be connected to; return whether any changed.

        :param node_keys: keys of all nodes that take part, this one included.
        """
        keys, cut_off = frozenset(node_keys), frozenset(unreachable)
        if (keys, cut_off) == (self._keys, self._unreachable):
            return False
        if keys != self._keys:
            self._ranked_by_organisation.clear()
        self._keys, self._unreachable = keys, cut_off
        return True

    def home_of(self, organisation: str) -> str | None:
        """Return the key of an organisation's home; ``None`` if no node is known."""
        ranked = self._ranked_by_organisation.get(organisation)
        if ranked is None:
            ranked = sorted(self._keys, key=lambda key: (_hash(organisation, key), key))
            ranked.reverse()
            self._ranked_by_organisation[organisation] = ranked
        return next((key for key in ranked if key not in self._unreachable), None)


def has_floor(organisation: str, node_key: str, node_count: int, period: int, limit: Limit) -> bool:
    """Return whether a node may spend a token of its own in a floor period.

    Each node may now and then; in one period as many of them as the tolerance allows, on average.

    :param node_count: nodes that may be without the home at the same time, this one included.
    """
    fraction = _hash(f"{organisation}/{period}", node_key) / float(1 << 64)
    return fraction * node_count < limit.tolerance * FLOOR_FRACTION


def _hash(name: str, key: str) -> int:
    return xxhash.xxh64_intdigest(f"{name}/{key}".encode("utf-8", "surrogateescape"))
