"""Retries of failed attempts: which are safe, the retry budget, and the backoff."""

import random

from bulrushflow.routing.model import Call
from bulrushflow.routing.model import CallFailure
from bulrushflow.routing.model import Outcome

BUDGET_RATIO = 0.1
"""Retries allowed per first attempt; bounds the load that retries add during failures."""
BUDGET_MAX_TOKENS = 20.0
MAX_ATTEMPTS = 4
BASE_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.1


class RetryBudget:
    """A token bucket that first attempts replenish and retries consume.

    It limits retries to a fraction of the first attempts, apart from a burst of ``max_tokens``.
    """

    __slots__ = ("_max_tokens", "_ratio", "_tokens")

    def __init__(self, ratio: float = BUDGET_RATIO, max_tokens: float = BUDGET_MAX_TOKENS) -> None:
        self._ratio = ratio
        self._max_tokens = max_tokens
        self._tokens = max_tokens

    def replenish(self) -> None:
        """Add the tokens for one first attempt."""
        self._tokens = min(self._max_tokens, self._tokens + self._ratio)

    def try_consume(self) -> bool:
        """Consume the token for one retry; return ``False`` when there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def may_retry(call: Call, failure: CallFailure) -> bool:
    """Return whether it is safe to send the call again.

    A call that may have run is retried only when it is idempotent and is not itself part of a
    retry upstream. Otherwise the retries of a chain of services would multiply, not add up.
    """
    if failure.outcome is Outcome.NOT_RUN:
        return True
    return failure.outcome is Outcome.UNKNOWN and call.idempotent and call.attempt == 0


def retry_backoff_s(rounds: int, rng: random.Random) -> float:
    """Return the delay before the targets are tried again: exponential, with full jitter.

    :param rounds: number of earlier delays of this call, one after each round in which every
        target refused it.
    """
    return rng.uniform(0.0, min(MAX_BACKOFF_S, BASE_BACKOFF_S * 2**rounds))
