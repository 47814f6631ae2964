"""Shares of a target's slots, by organisation and by urgency.

Load: one organisation sends many times its usual number of calls for some seconds, and calls of an
urgent kind alone can occupy all slots. All times are in seconds of one monotonic clock.
"""

import msgspec

RECENT_HALF_LIFE_S = 2.0
"""Half-life of the recent demand: a surge is told from a few calls that come together, and is over
within seconds of its end."""
USUAL_HALF_LIFE_S = 60.0
"""Half-life of the usual demand, by which an organisation's recent demand is judged."""
MAX_GROWTH = 1.5
"""Growth of an organisation's demand, relative to the others', that isn't held against it."""
CALL_SLACK = 2.0
"""Recent calls beyond that growth that aren't held against it: one target receives few calls of a
small organisation."""
MAX_ORGANISATIONS = 256
"""Organisations that are counted separately; further ones are counted together."""
MAX_RANKS = 16
"""Ranks with credit of their own; further ones get none."""
SHARED_ORGANISATION = "*"
ROUNDING_S = 1e-9
"""Smaller differences are errors of the arithmetic."""


class _Demand(msgspec.Struct):
    """Numbers of calls, each weighted by its age."""

    at: float
    recent: float = 0.0
    usual: float = 0.0

    def decay(self, now: float) -> None:
        age_s = max(0.0, now - self.at)
        self.recent *= 0.5 ** (age_s / RECENT_HALF_LIFE_S)
        self.usual *= 0.5 ** (age_s / USUAL_HALF_LIFE_S)
        self.at = now

    def add(self, now: float) -> None:
        self.decay(now)
        self.recent += 1
        self.usual += 1


class DemandShares:
    """Compares the growth of each organisation's demand with that of all others.

    A swing of the whole demand is held against none, nor is an organisation's size.
    """

    __slots__ = ("_by_organisation", "_total")

    def __init__(self) -> None:
        self._by_organisation: dict[str, _Demand] = {}
        self._total = _Demand(0.0)

    def record(self, organisation: str, now: float) -> None:
        """Count a call of an organisation; calls without one aren't counted."""
        if not organisation:
            return
        self._total.add(now)
        self._by_organisation.setdefault(self._key(organisation), _Demand(now)).add(now)

    def is_exceeded(self, organisation: str, now: float) -> bool:
        """Return whether an organisation sends far more than it usually does."""
        demand = self._by_organisation.get(self._key(organisation)) if organisation else None
        if demand is None:
            return False
        demand.decay(now)
        self._total.decay(now)
        others_usual = self._total.usual - demand.usual
        if others_usual <= CALL_SLACK:
            return False
        others_growth = (self._total.recent - demand.recent) / others_usual
        return demand.recent > demand.usual * others_growth * MAX_GROWTH + CALL_SLACK

    def _key(self, organisation: str) -> str:
        if organisation in self._by_organisation or len(self._by_organisation) < MAX_ORGANISATIONS:
            return organisation
        return SHARED_ORGANISATION


class _Credit(msgspec.Struct):
    """Credit of one rank in seconds, and the cost of its latest call, which bounds it."""

    cost_s: float
    seconds: float = 0.0


class UrgencyShares:
    """Credit by which calls of a less urgent rank may go before more urgent ones, in seconds.

    Each second of slot time that a more urgent rank gets adds ``share`` seconds to the credit of
    every less urgent one, up to the cost of one call; a call that starts uses it up.

    :param share: slot time that is kept for each less urgent rank; 0 for strict priority.
    """

    __slots__ = ("_credit_by_rank", "_share")

    def __init__(self, share: float) -> None:
        self._share = share
        self._credit_by_rank: dict[int, _Credit] = {}

    def record_start(self, rank: int, cost_s: float) -> None:
        """Count a call that starts and is expected to occupy a slot for ``cost_s``."""
        if not self._share:
            return
        own = self._credit_by_rank.get(rank)
        if own is None and len(self._credit_by_rank) < MAX_RANKS:
            own = self._credit_by_rank[rank] = _Credit(cost_s)
        if own is not None:
            own.cost_s = cost_s
            own.seconds = max(0.0, own.seconds - cost_s)
        for other, credit in self._credit_by_rank.items():
            if other > rank:
                credit.seconds = min(credit.seconds + cost_s * self._share, credit.cost_s)

    def has_credit(self, rank: int) -> bool:
        """Return whether a call of ``rank`` may go before more urgent ones."""
        credit = self._credit_by_rank.get(rank)
        return credit is not None and credit.seconds >= credit.cost_s - ROUNDING_S
