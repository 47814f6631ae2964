"""The decision whether a failed attempt is tried again, within a budget."""

import random

from bulrushflow.routing.model import Call
from bulrushflow.routing.model import CallFailure
from bulrushflow.routing.model import Outcome

BUDGET_RATIO = 0.1
"""Retries per first attempt, which bounds the work that failures add."""
BUDGET_MAX_TOKENS = 20.0
MAX_ATTEMPTS = 4
BASE_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.1


class RetryBudget:
    """A token bucket filled by first attempts, so that retries stay a bounded share of calls."""

    __slots__ = ("_max_tokens", "_ratio", "_tokens")

    def __init__(self, ratio: float = BUDGET_RATIO, max_tokens: float = BUDGET_MAX_TOKENS) -> None:
        self._ratio = ratio
        self._max_tokens = max_tokens
        self._tokens = max_tokens

    def replenish(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._max_tokens, self._tokens + self._ratio)

    def try_consume(self) -> bool:
        """Take one retry from the budget; ``False`` when it is empty."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def may_retry(call: Call, failure: CallFailure) -> bool:
    """Tell whether the call may be sent again.

    A call that belongs to a retry is not run twice again further down, so that the retries of a
    chain of services add up and don't multiply.
    """
    if failure.outcome is Outcome.NOT_RUN:
        return True
    return failure.outcome is Outcome.UNKNOWN and call.idempotent and call.attempt == 0


def retry_backoff_s(rounds: int, rng: random.Random) -> float:
    """Return how long to wait after every target refused, with full jitter.

    :param rounds: how often every target has refused this call before.
    """
    return rng.uniform(0.0, min(MAX_BACKOFF_S, BASE_BACKOFF_S * 2**rounds))
