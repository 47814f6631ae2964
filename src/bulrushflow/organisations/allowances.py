"""Allowances at one node: which requests of an organisation may pass without asking its home.

A node holds a share of the rate, and asks the home of the organisation for tokens when the share
is used up. The load is one decision for each request; under a flood most requests are refused here,
without a message. While the home doesn't answer, the node keeps its share, which the home reserves
for it, and may spend a token of its own now and then.
"""

import enum
import math
import typing as t

import msgspec
from msgspec.structs import replace

from bulrushflow.organisations.limits import POOL_FRACTION
from bulrushflow.organisations.limits import Demand
from bulrushflow.organisations.limits import Grant
from bulrushflow.organisations.limits import Holding
from bulrushflow.organisations.limits import Limit
from bulrushflow.organisations.limits import has_floor

DEMAND_MEMORY_S = 4.0
"""Time constant of the moving average of a node's demand."""
MIN_DEMAND_PER_S = 2.0
"""Demand below which a node holds no share, and asks for tokens instead. A share of a node with a
lower demand is unused most of the time, and missing in the pool."""
TOKEN_LIFETIME_S = 0.3
"""Time after which granted tokens expire. All of them may be spent in the next window, which costs
this part of the pool's rate."""
UNUSED_MEMORY_S = 0.3
"""Time for which the unused part of a share is returned to the pool. All nodes may return it in one
window, so more of it would exceed the tolerance."""
BATCH_S = 0.2
"""Time for whose demand beyond the share tokens are requested at once."""
MIN_ASK_INTERVAL_S = 0.15
"""Time after an answer without tokens within which the home isn't asked again."""
OFFLINE_S = 0.5
"""Time after an unanswered request within which no request waits for the home."""
FLOOR_PERIOD_S = 5.0
"""Wall clock period in which a node may spend one token without asking, if it is its turn."""
MAX_RETRY_AFTER_S = 5.0
MIN_RATE_PER_S = 1e-3


class Decision(enum.Enum):
    """What happens to a request."""

    PASS = "pass"
    REFUSE = "refuse"
    ASK = "ask"
    """The home has to be asked; the request is decided again after its answer."""


class Allowance(msgspec.Struct):
    """One organisation's allowance at this node; times are seconds of a monotonic clock."""

    organisation: str
    limit: Limit
    updated_at: float
    per_s: float = 0.0
    """Share of the rate."""
    depth: float = 0.0
    tokens: float = 0.0
    granted: int = 0
    """Tokens from the pool."""
    granted_until: float = 0.0
    demand_per_s: float = 0.0
    wanted: int = 0
    """Requests that wait for an answer of the home."""
    spent: int = 0
    """Tokens of the floor that the home doesn't know of."""
    unused: float = 0.0
    """Tokens of the share that found no room in the bucket, to be returned to the pool."""
    floor_period: int = -1
    """Latest period in which a token of the floor was spent."""
    dry_until: float = 0.0
    """Time until which the home has no tokens for this node."""
    offline_until: float = 0.0
    promised_until: float = 0.0
    """Time from which on no caller was told to come back."""
    renew_at: float = 0.0
    fallback_per_s: float = 0.0
    """Rate that this node may use without a share while the home doesn't answer."""
    offline: bool = False
    """Whether the home didn't answer the latest report."""

    def arrive(self, now: float) -> Decision:
        """Decide on a request that arrives."""
        self._advance(now)
        self.demand_per_s += 1 / DEMAND_MEMORY_S
        return self.decide(now)

    def decide(self, now: float) -> Decision:
        """Decide on a request that arrived before, and use a token if there is one."""
        self._advance(now)
        if self.tokens >= 1:
            self.tokens -= 1
            # The home knows of the share, and not of what passes in place of one.
            self.spent += self._uses_fallback
            return Decision.PASS
        if self.granted and now < self.granted_until:
            self.granted -= 1
            return Decision.PASS
        return Decision.REFUSE if now < self.dry_until else Decision.ASK

    def spend_floor(self, node_key: str, node_count: int, wall_s: float) -> bool:
        """Spend a token without asking, for a request that the home gave no answer to.

        :param node_count: see :func:`~.limits.has_floor`.
        """
        period = int(wall_s // FLOOR_PERIOD_S)
        if period == self.floor_period:
            return False
        if not has_floor(self.organisation, node_key, node_count, period, self.limit):
            return False
        self.floor_period = period
        self.spent += 1
        return True

    def retry_after_s(self, now: float) -> float:
        """Return when a refused request has a chance, later for each further one."""
        rate = max(self.per_s, MIN_RATE_PER_S)
        next_token_s = min(max(0.0, 1 - self.tokens) / rate, max(0.0, self.dry_until - now))
        begin = max(now + next_token_s, self.promised_until)
        latest = now + MAX_RETRY_AFTER_S
        if begin >= latest:
            return MAX_RETRY_AFTER_S
        pace = max(self.per_s, self.demand_per_s * self._fair_fraction(), 1 / MAX_RETRY_AFTER_S)
        self.promised_until = begin + 1 / pace
        return max(MIN_ASK_INTERVAL_S, begin - now)

    def demand(self, now: float) -> Demand:
        """Return the report to the home, with a request for the tokens that are missing."""
        self._advance(now)
        missing_per_s = max(0.0, self.demand_per_s - self.per_s)
        batch = math.ceil(missing_per_s * BATCH_S) if self.wanted else 0
        return Demand(
            self.organisation,
            0.0 if self.demand_per_s < MIN_DEMAND_PER_S else self.demand_per_s,
            max(self.wanted, batch),
            self.per_s,
            self.depth,
            self.spent,
            self.unused,
        )

    def apply_grant(self, grant: Grant, reported: Demand, now: float) -> None:
        """Apply the home's answer to a report."""
        self._advance(now)
        self.per_s = grant.share_per_s
        self.depth = grant.share_depth
        self.tokens = 0.0 if self._uses_fallback else min(self.tokens, self.depth)
        self.spent -= reported.spent
        self.unused = max(0.0, self.unused - reported.unused)
        self.granted = grant.tokens
        self.granted_until = now + TOKEN_LIFETIME_S
        self.offline_until = 0.0
        self.offline = False
        self.fallback_per_s = grant.fallback_per_s
        if grant.tokens < reported.wanted:
            self.dry_until = now + max(MIN_ASK_INTERVAL_S, grant.retry_after_s)
        self.renew_at = now + grant.renew_after_s

    def mark_offline(self, now: float) -> None:
        """Note that the home didn't answer; the share stays, since the home reserves it."""
        self._advance(now)
        self.offline = True
        self.offline_until = now + OFFLINE_S
        self.renew_at = now + OFFLINE_S

    def change_limit(self, limit: Limit, now: float) -> None:
        """Apply another limit; a lower one reduces the share in proportion, at once."""
        self._advance(now)
        scale = min(1.0, limit.per_s / self.limit.per_s) if self.limit.per_s else 0.0
        self.per_s *= scale
        self.fallback_per_s *= scale
        self.depth *= min(1.0, limit.share_depth / self.limit.share_depth)
        self.tokens = min(self.tokens * scale, self.depth)
        self.granted = 0
        self.limit = limit
        self.renew_at = now

    def is_due(self, now: float) -> bool:
        """Return whether the node should report, other than for a request that waits."""
        if now < self.renew_at:
            return False
        self._advance(now)
        return bool(self.per_s or self.spent) or self.demand_per_s >= MIN_DEMAND_PER_S

    def _fair_fraction(self) -> float:
        """Return the fraction of the demand that the limit can carry, as far as the node sees."""
        return min(1.0, self.limit.per_s / max(self.demand_per_s, MIN_RATE_PER_S))

    def _advance(self, now: float) -> None:
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = max(now, self.updated_at)
        self.demand_per_s *= math.exp(-elapsed / DEMAND_MEMORY_S)
        if self._uses_fallback:
            self.tokens = min(1.0, self.tokens + self.fallback_per_s * elapsed)
            return
        tokens = self.tokens + self.per_s * elapsed
        self.tokens = min(self.depth, tokens)
        self.unused = min(self.unused + tokens - self.tokens, self.per_s * UNUSED_MEMORY_S)

    @property
    def _uses_fallback(self) -> bool:
        return self.offline and self.fallback_per_s > self.per_s


class Allowances:
    """The allowances of all organisations with a limit that are active at this node."""

    __slots__ = ("_limits", "by_organisation", "node_count")

    def __init__(self) -> None:
        self.node_count = 1
        """Number of nodes, this one included."""
        self._limits: t.Mapping[str, Limit] = {}
        self.by_organisation: dict[str, Allowance] = {}

    def configure(self, limits: t.Mapping[str, Limit], now: float) -> None:
        """Apply the limits of a configuration, by organisation; others have no limit."""
        self._limits = limits
        for name, allowance in list(self.by_organisation.items()):
            limit = limits.get(name)
            if limit is None:
                del self.by_organisation[name]
            elif limit != allowance.limit:
                allowance.change_limit(limit, now)

    def get(self, organisation: str, now: float) -> Allowance | None:
        """Return an organisation's allowance; ``None`` without a limit."""
        allowance = self.by_organisation.get(organisation)
        if allowance is None:
            allowance = self._new(organisation, now)
            if allowance is not None:
                self.by_organisation[organisation] = allowance
        return allowance

    def preview(self, organisation: str, now: float) -> Allowance | None:
        """Return a copy of an organisation's allowance, on which requests can be tried."""
        allowance = self.by_organisation.get(organisation)
        return replace(allowance) if allowance is not None else self._new(organisation, now)

    def _new(self, organisation: str, now: float) -> Allowance | None:
        limit = self._limits.get(organisation)
        if limit is None:
            return None
        allowance = Allowance(organisation, limit, now)
        # Whatever the shares are, the home leaves as much to a node that it can't reach.
        allowance.fallback_per_s = limit.per_s * POOL_FRACTION / self.node_count
        return allowance

    def due(self, now: float) -> list[Allowance]:
        """Return the allowances that should be reported, other than for requests that wait."""
        return [a for a in self.by_organisation.values() if a.is_due(now)]

    def holdings(self) -> list[Holding]:
        """Return the shares that this node holds."""
        return [
            Holding(a.organisation, a.per_s, a.depth)
            for a in self.by_organisation.values()
            if a.per_s or a.depth
        ]
