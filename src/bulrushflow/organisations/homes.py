"""Allowances at the home of an organisation, which divides the limit between the nodes.

A node's share stays reserved until the node says that it no longer holds it: a node that can't be
reached goes on using it. Therefore the sum of the shares and of the pool's rate never exceeds the
limit, whichever nodes are cut off, frozen or restarted.
"""

import typing as t

import msgspec

from bulrushflow.organisations.limits import MIN_DEPTH
from bulrushflow.organisations.limits import Demand
from bulrushflow.organisations.limits import Grant
from bulrushflow.organisations.limits import Holding
from bulrushflow.organisations.limits import Limit

HEADROOM = 1.2
"""Share that a node gets while the limit suffices for all, as a multiple of its demand."""
LEASE_S = 5.0
"""Time after a report from which on the node is asked what it holds."""
RENEW_S = 2.0
"""Interval at which nodes report while the limit suffices for the demand of all."""
CONTENDED_RENEW_S = 0.5
"""The same while it doesn't, so that shares follow the demand."""
MAX_DEBT_S = 1.0
"""Time for whose rate the pool's tokens may be negative, after nodes spent tokens of their own."""
START_FRACTION = 0.1
"""Fraction of the tolerance that a home grants at once when it has just started."""
MAX_RETRY_AFTER_S = 5.0


OWN_KEY = ""
"""Stands for this node among the nodes that report."""


class _Share(msgspec.Struct):
    per_s: float
    depth: float
    demand_per_s: float
    reported_at: float


class _Pool(msgspec.Struct):
    """The division of one organisation's limit."""

    limit: Limit
    updated_at: float
    tokens: float
    shares_by_node: dict[str, _Share] = msgspec.field(default_factory=dict)

    def shared_per_s(self) -> float:
        return sum(share.per_s for share in self.shares_by_node.values())

    def demand_per_s(self) -> float:
        return sum(share.demand_per_s for share in self.shares_by_node.values())

    def shared_depth(self) -> float:
        return sum(share.depth for share in self.shares_by_node.values())


class AllowanceHome:
    """The limits that this node divides, as the home of their organisations.

    Nodes that may hold shares that this node doesn't know of are *unheard*: all others at first.
    For each of them an equal part of the rate is reserved.
    """

    __slots__ = (
        "_node_count",
        "_own",
        "_pools_by_organisation",
        "_since",
        "unheard",
        "unreachable",
    )

    def __init__(self) -> None:
        self._since = 0.0
        """Time at which this node became the home of an organisation last."""
        self._pools_by_organisation: dict[str, _Pool] = {}
        self._node_count = 1
        self.unheard: set[str] = set()
        """Keys of the nodes that have to be asked what they hold."""
        self._own: frozenset[str] = frozenset()
        """Organisations that this node is the home of."""
        self.unreachable: frozenset[str] = frozenset()
        """Keys of the nodes that this node can't connect to; they use their fallback."""

    def change_nodes(
        self,
        node_keys: t.Collection[str],
        unreachable: t.Collection[str],
        own_organisations: t.Collection[str],
        now: float,
    ) -> None:
        """Apply a change of the nodes, or of those that this node can connect to.

        :param node_keys: keys of all other nodes.
        :param own_organisations: organisations that this node is the home of from now on.
        """
        self._node_count = len(node_keys) + 1
        self.unreachable = frozenset(unreachable)
        self.unheard &= set(node_keys)
        if set(own_organisations) - self._own:
            # Nodes may hold shares of a former home.
            self.unheard = set(node_keys)
            self._since = now
        self._own = frozenset(own_organisations)
        for name in self._pools_by_organisation.keys() - self._own:
            del self._pools_by_organisation[name]
        for pool in self._pools_by_organisation.values():
            self._advance(pool, now)
            for key in pool.shares_by_node.keys() - set(node_keys) - {OWN_KEY}:
                del pool.shares_by_node[key]

    def note_pause(self, now: float) -> None:
        """Drop the pool's tokens after a pause of this node: nodes kept spending meanwhile."""
        for pool in self._pools_by_organisation.values():
            pool.tokens = min(0.0, pool.tokens)
            pool.updated_at = now

    def report(self, node_key: str, demand: Demand, limit: Limit, now: float) -> Grant:
        """Divide an organisation's limit anew for a node that reports, and grant it tokens.

        :param limit: the organisation's limit in this node's configuration.
        """
        pool = self._pool(demand.organisation, limit, now)
        pool.tokens = max(-limit.per_s * MAX_DEBT_S, pool.tokens + demand.unused - demand.spent)
        pool.tokens = min(limit.pool_depth, pool.tokens)
        share = pool.shares_by_node.setdefault(node_key, _Share(0.0, 0.0, 0.0, now))
        share.demand_per_s = demand.per_s
        share.reported_at = now
        per_s, depth = self._divide(pool, node_key)
        # The node may hold more until the grant arrives, which its next report will show.
        share.per_s = max(per_s, demand.held_per_s)
        share.depth = max(depth, demand.held_depth)
        tokens = max(0, min(demand.wanted, int(pool.tokens)))
        pool.tokens -= tokens
        if not (share.per_s or share.demand_per_s):
            del pool.shares_by_node[node_key]
        contended = pool.demand_per_s() * HEADROOM > limit.assignable_per_s
        return Grant(
            demand.organisation,
            per_s,
            depth,
            tokens,
            self._retry_after_s(pool, demand.wanted - tokens),
            CONTENDED_RENEW_S if contended else RENEW_S,
            0.0 if share.per_s else self._fallback_per_s(pool),
        )

    def record_holdings(self, node_key: str, holdings: t.Iterable[Holding], now: float) -> None:
        """Apply a node's answer to the question what it holds; other shares of it are free."""
        self.unheard.discard(node_key)
        by_organisation = {holding.organisation: holding for holding in holdings}
        for name, pool in self._pools_by_organisation.items():
            share = pool.shares_by_node.get(node_key)
            if share is None:
                continue
            holding = by_organisation.get(name)
            if holding is None:
                self._advance(pool, now)
                del pool.shares_by_node[node_key]
            else:
                share.per_s = max(0.0, holding.per_s)
                share.depth = max(0.0, holding.depth)
                # A node that doesn't report has no more demand than it has a share for.
                share.demand_per_s = min(share.demand_per_s, share.per_s)
                share.reported_at = now

    def add_holdings(
        self,
        node_key: str,
        holdings: t.Iterable[Holding],
        limits: t.Mapping[str, Limit],
        now: float,
    ) -> None:
        """Apply the holdings of a node, those of organisations included that are new here.

        :param limits: limits of the organisations that this node is the home of.
        """
        holdings = [holding for holding in holdings if holding.organisation in limits]
        for holding in holdings:
            pool = self._pool(holding.organisation, limits[holding.organisation], now)
            pool.shares_by_node.setdefault(node_key, _Share(0.0, 0.0, 0.0, now))
        self.record_holdings(node_key, holdings, now)

    def silent_nodes(self, now: float) -> set[str]:
        """Return the nodes that have to be asked what they hold, and can be."""
        silent = {
            key
            for pool in self._pools_by_organisation.values()
            for key, share in pool.shares_by_node.items()
            if now - share.reported_at > LEASE_S
        }
        return (self.unheard | silent) - self.unreachable - {OWN_KEY}

    def _pool(self, organisation: str, limit: Limit, now: float) -> _Pool:
        pool = self._pools_by_organisation.get(organisation)
        if pool is None:
            pool = _Pool(limit, now, self._first_tokens(limit, now))
            self._pools_by_organisation[organisation] = pool
        self._advance(pool, now)
        pool.limit = limit
        pool.tokens = min(pool.tokens, limit.pool_depth)
        return pool

    def _first_tokens(self, limit: Limit, now: float) -> float:
        """Return the tokens of a new pool: few unless nobody can have spent any in the last window.

        A home that was restarted doesn't know how much its predecessor granted.
        """
        if self.unheard or now - self._since <= limit.bounds.window_s:
            return limit.tolerance * START_FRACTION
        return limit.pool_depth

    def _reserved_per_s(self, pool: _Pool, but: str = OWN_KEY) -> float:
        """Return the rate reserved for nodes without a known share that may use their fallback.

        :param but: key of a node that reports, and so uses none.
        """
        if not self.unheard and not self.unreachable:
            return 0.0
        holders = {key for key, share in pool.shares_by_node.items() if share.per_s}
        cut_off = self.unheard.union(self.unreachable) - holders - {but}
        return len(cut_off) * self._fallback_per_s(pool)

    def _fallback_per_s(self, pool: _Pool) -> float:
        """Return an equal part of what the shares leave, for each node without one.

        It is at most an equal part of the rate: shares may grow before the node reports again.
        """
        holders = sum(1 for share in pool.shares_by_node.values() if share.per_s)
        left_per_s = max(0.0, pool.limit.per_s - pool.shared_per_s())
        nodes = max(1, self._node_count - holders)
        return min(left_per_s / nodes, pool.limit.per_s / self._node_count)

    def _pool_per_s(self, pool: _Pool) -> float:
        return max(0.0, pool.limit.per_s - pool.shared_per_s() - self._reserved_per_s(pool))

    def _advance(self, pool: _Pool, now: float) -> None:
        elapsed = max(0.0, now - pool.updated_at)
        pool.updated_at = max(now, pool.updated_at)
        tokens = pool.tokens + self._pool_per_s(pool) * elapsed
        pool.tokens = min(pool.limit.pool_depth, tokens)

    def _divide(self, pool: _Pool, node_key: str) -> tuple[float, float]:
        """Return the share that a node gets now, and its depth; 0 if it needs or gets none."""
        limit = pool.limit
        share = pool.shares_by_node[node_key]
        total = pool.demand_per_s()
        target = share.demand_per_s * HEADROOM
        if total * HEADROOM > limit.assignable_per_s:
            target = limit.assignable_per_s * share.demand_per_s / total
        others_per_s = pool.shared_per_s() - share.per_s + self._reserved_per_s(pool, node_key)
        per_s = min(target, limit.assignable_per_s - others_per_s)
        if per_s <= 0:
            return 0.0, 0.0
        fraction = per_s / limit.assignable_per_s
        free_depth = limit.share_depth - (pool.shared_depth() - share.depth)
        depth = min(free_depth, max(MIN_DEPTH, fraction * limit.share_depth))
        return (per_s, depth) if depth >= MIN_DEPTH else (0.0, 0.0)

    def _retry_after_s(self, pool: _Pool, missing: int) -> float:
        if missing <= 0:
            return 0.0
        rate = self._pool_per_s(pool)
        if rate <= 0:
            return MAX_RETRY_AFTER_S
        return min(MAX_RETRY_AFTER_S, (1 - pool.tokens) / rate)
