"""Tests of retry decisions, the retry budget and the backoff."""

import asyncio
import random
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from bulrushflow.routing import CallFailure
from bulrushflow.routing import Outcome
from bulrushflow.routing import RetryBudget
from bulrushflow.routing import may_retry
from bulrushflow.routing import retry_backoff_s
from bulrushflow.routing.retries import BUDGET_MAX_TOKENS
from bulrushflow.routing.retries import BUDGET_RATIO
from bulrushflow.routing.retries import MAX_BACKOFF_S
from tests.targets.servers import call


class RetryTests(unittest.TestCase):
    def test_only_safe_calls_are_retried(self) -> None:
        cases = [
            # outcome, idempotent, attempt, expected
            (Outcome.NOT_RUN, False, 0, True),
            (Outcome.NOT_RUN, True, 3, True),
            (Outcome.UNKNOWN, True, 0, True),
            (Outcome.UNKNOWN, True, 1, False),
            (Outcome.UNKNOWN, False, 0, False),
            (Outcome.REFUSED, True, 0, False),
            (Outcome.ANSWER_LOST, True, 0, False),
        ]
        for outcome, idempotent, attempt, expected in cases:
            with self.subTest(outcome=outcome, idempotent=idempotent, attempt=attempt):
                allowed = asyncio.run(self._may_retry(outcome, idempotent, attempt))
                self.assertEqual(allowed, expected)

    async def _may_retry(self, outcome: Outcome, idempotent: bool, attempt: int) -> bool:
        attempted = call(idempotent=idempotent, attempt=attempt)
        return may_retry(attempted, CallFailure(outcome, ""))

    @settings(max_examples=50)
    @given(st.lists(st.booleans(), max_size=400))
    def test_retries_are_bounded_by_first_attempts(self, events: list[bool]) -> None:
        budget = RetryBudget()
        replenished = consumed = 0
        for is_first_attempt in events:
            if is_first_attempt:
                budget.replenish()
                replenished += 1
            elif budget.try_consume():
                consumed += 1
            self.assertLessEqual(consumed, BUDGET_MAX_TOKENS + replenished * BUDGET_RATIO + 1e-6)

    def test_backoff_stays_within_its_cap(self) -> None:
        rng = random.Random(1)
        backoffs = [retry_backoff_s(rounds, rng) for rounds in range(100)]
        self.assertTrue(all(0 <= backoff <= MAX_BACKOFF_S for backoff in backoffs))
