"""The account of decisions: one structured log line each, bounded under load."""

import asyncio
import typing as t

from loguru import logger

from bulrushflow.routing import Call
from bulrushflow.routing import Response

LINES_PER_S = 5.0
"""Lines of one kind a second; what is beyond is counted and told with the next line."""
BURST_LINES = 20.0
SUCCESS_SAMPLE_INTERVAL = 100
"""One answered call in so many is told; failures are told up to the bucket."""


class _TokenBucket:
    """A token bucket for one kind of line."""

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
    """Writes what touches a call or changes what this process believes."""

    __slots__ = ("_answered", "_buckets_by_event")

    def __init__(self) -> None:
        self._buckets_by_event: dict[str, _TokenBucket] = {}
        self._answered = 0

    def event(self, event: str, **inputs: t.Any) -> None:
        """Tell that this process believes something else now, and why."""
        self._write(event, inputs)

    def refused(self, call: Call, reason: str, **inputs: t.Any) -> None:
        """Tell that a call was refused before it was sent to the target."""
        self._call(
            "call refused", call, outcome="not run", reason=reason, attempt=call.attempt, **inputs
        )

    def attempt_failed(self, call: Call, outcome: str, **inputs: t.Any) -> None:
        """Tell that one attempt at a target failed; the call may go on."""
        self._call("attempt failed", call, outcome=outcome, attempt=call.attempt, **inputs)

    def failed(self, call: Call, outcome: str, **inputs: t.Any) -> None:
        """Tell that a call failed."""
        self._call("call failed", call, outcome=outcome, **inputs)

    def answered(self, call: Call, response: Response, late: bool, **inputs: t.Any) -> None:
        """Tell of an answered call; those in time and without an error are mostly left out."""
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
