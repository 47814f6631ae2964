"""The decision log: one structured log line for each decision, rate-limited under load."""

import asyncio
import typing as t

from loguru import logger

from bulrushflow.routing import Call
from bulrushflow.routing import Response

LINES_PER_S = 5.0
"""Rate limit for lines of one event. Lines above it are dropped, and the next line has their count
in ``left_out``."""
BURST_LINES = 20.0
SUCCESS_SAMPLE_INTERVAL = 100
"""One in so many successful calls is logged; failures are subject to the rate limit only."""


class _TokenBucket:
    """Rate limiter for the lines of one event; counts the lines suppressed since the last one."""

    __slots__ = ("suppressed", "tokens", "updated_at")

    def __init__(self, now: float) -> None:
        self.tokens = BURST_LINES
        self.updated_at = now
        self.suppressed = 0

    def try_consume(self, now: float) -> bool:
        self.tokens = min(BURST_LINES, self.tokens + (now - self.updated_at) * LINES_PER_S)
        self.updated_at = now
        if self.tokens < 1:
            self.suppressed += 1
            return False
        self.tokens -= 1
        return True


class DecisionLog:
    """Logs decisions on calls, and changes of the state that this process has recorded."""

    __slots__ = ("_answered", "_buckets_by_event")

    def __init__(self) -> None:
        self._buckets_by_event: dict[str, _TokenBucket] = {}
        self._answered = 0

    def event(self, event: str, **inputs: t.Any) -> None:
        """Log a state change or a failure that concerns no single call, with its inputs."""
        self._write(event, inputs)

    def refused(self, call: Call, reason: str, **inputs: t.Any) -> None:
        """Log that a call was rejected before it was sent to the target."""
        self._call(
            "call refused", call, outcome="not run", reason=reason, attempt=call.attempt, **inputs
        )

    def attempt_failed(self, call: Call, outcome: str, **inputs: t.Any) -> None:
        """Log a failed attempt; the call itself may still succeed by a retry."""
        self._call("attempt failed", call, outcome=outcome, attempt=call.attempt, **inputs)

    def failed(self, call: Call, outcome: str, **inputs: t.Any) -> None:
        """Log that a call failed."""
        self._call("call failed", call, outcome=outcome, **inputs)

    def answered(self, call: Call, response: Response, late: bool, **inputs: t.Any) -> None:
        """Log a response; successful ones in time are sampled."""
        if late:
            self._call("call answered late", call, status=response.status, **inputs)
            return
        if response.is_failure:
            self._call("target answered with an error", call, status=response.status, **inputs)
            return
        self._answered += 1
        if self._answered % SUCCESS_SAMPLE_INTERVAL == 0:
            self._call("call answered", call, status=response.status, **inputs)

    def _call(self, event: str, call: Call, **fields: t.Any) -> None:
        names = {"request": call.request_id, "route": call.route, "service": call.service}
        if call.organisation:
            names["organisation"] = call.organisation
        self._write(event, names | fields)

    def _write(self, event: str, fields: dict[str, t.Any]) -> None:
        now = asyncio.get_running_loop().time()
        bucket = self._buckets_by_event.get(event)
        if bucket is None:
            bucket = self._buckets_by_event[event] = _TokenBucket(now)
        if not bucket.try_consume(now):
            return
        if bucket.suppressed:
            fields["left_out"] = bucket.suppressed
            bucket.suppressed = 0
        logger.bind(**fields).info(event)
