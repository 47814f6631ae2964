"""When refused callers should come back.

Load: callers that were refused together return together, and fill the queues again. All times are
in seconds of one monotonic clock.
"""

import math
import random

import msgspec

MIN_WAIT_S = 0.05
MAX_WAIT_FRACTION = 1 / 3
"""Fraction of the time they have left up to which callers honour a ``Retry-After``."""
SPREAD_FRACTION = 0.75
"""Fraction of the longest wait over which callers are spread that can't be given a turn within
it."""
TURNS_PER_ANSWER = 2.0
"""Turns given out for each answered call: some callers don't come back, and a turn after the
latency objective helps nobody."""
RATE_HALF_LIFE_S = 1.0
MIN_RATE_PER_S = 2.0
"""Answers per second assumed of a service that answers fewer."""
MAX_SERVICES = 256


class _Turns(msgspec.Struct):
    """Answers of one service, and the turn that was given out last."""

    weight: float = 0.0
    """Number of answers, each weighted by its age."""
    updated_at: float = 0.0
    last_turn: float = -math.inf

    def decay(self, now: float) -> None:
        self.weight *= 0.5 ** (max(0.0, now - self.updated_at) / RATE_HALF_LIFE_S)
        self.updated_at = now


class RetryPlanner:
    """Gives refused callers of each service successive turns, at the rate of its answers.

    :param rng: spreads the callers that get no turn in time.
    """

    __slots__ = ("_rng", "_turns_by_service")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._turns_by_service: dict[str, _Turns] = {}

    def record_answer(self, service: str, now: float) -> None:
        """Count a call that a target of the service answered."""
        turns = self._turns(service)
        turns.decay(now)
        turns.weight += 1

    def wait_s(
        self, service: str, backlog_s: float, useful_s: float, left_s: float, now: float
    ) -> float:
        """Return the seconds after which a refused caller should come back.

        :param backlog_s: expected time until the service's targets start a call that arrives now.
        :param useful_s: time within which a call that comes back can still be answered in time.
        :param left_s: time that the caller has left for its call.
        """
        turns = self._turns(service)
        turns.decay(now)
        per_s = max(MIN_RATE_PER_S, turns.weight * math.log(2) / RATE_HALF_LIFE_S)
        earliest = now + max(MIN_WAIT_S, backlog_s)
        turn = max(earliest, turns.last_turn + 1 / (per_s * TURNS_PER_ANSWER))
        longest_s = left_s * MAX_WAIT_FRACTION
        if backlog_s < useful_s < longest_s:
            # Later the response is worth little, however sure the slot is.
            longest_s = useful_s
        if turn <= now + longest_s:
            turns.last_turn = turn
            return turn - now
        wait_s = self._rng.uniform(longest_s * (1 - SPREAD_FRACTION), longest_s)
        return max(MIN_WAIT_S, wait_s)

    def wait_range_s(self, left_s: float) -> tuple[float, float]:
        """Return the shortest and the longest wait of a refused caller, without giving a turn.

        :param left_s: time that the caller has left for its call.
        """
        return MIN_WAIT_S, max(MIN_WAIT_S, left_s * MAX_WAIT_FRACTION)

    def _turns(self, service: str) -> _Turns:
        turns = self._turns_by_service.get(service)
        if turns is None:
            turns = _Turns()
            if len(self._turns_by_service) < MAX_SERVICES:
                self._turns_by_service[service] = turns
        return turns
