"""The outcomes of callers' calls, each recorded once at its end: metrics and decision log."""

import asyncio

from bulrushflow.metrics import Metrics
from bulrushflow.routing import Call
from bulrushflow.routing import CallFailure
from bulrushflow.routing import CallResult
from bulrushflow.routing import Response
from bulrushflow.routing import outcome_label
from bulrushflow.sidecar.decisions import DecisionLog


class CallOutcomes:
    """Records how calls ended. Times are event loop times in seconds."""

    __slots__ = ("_decisions", "_metrics", "last_failure_at")

    def __init__(self, metrics: Metrics, decisions: DecisionLog) -> None:
        self._metrics = metrics
        self._decisions = decisions
        self.last_failure_at = float("-inf")
        """Time at which a call from this instance to another service failed last."""

    def count(self, call: Call, result: CallResult, started_at: float) -> float:
        """Count a call's outcome; return the seconds that it took."""
        seconds = asyncio.get_running_loop().time() - started_at
        self._metrics.observe_call(call.route, call.service, outcome_label(result), seconds)
        if call.service != call.tenant and (result.is_err() or result.unwrap().is_failure):
            self.last_failure_at = started_at + seconds
        return seconds

    def record_cancelled(self, call: Call, started_at: float) -> None:
        """Count and log a call whose caller disconnected."""
        seconds = asyncio.get_running_loop().time() - started_at
        self._metrics.observe_call(call.route, call.service, "cancelled", seconds)
        self._decisions.failed(
            call, "cancelled", reason="the caller disconnected", seconds=round(seconds, 3)
        )

    def log_answered(self, call: Call, response: Response, version: int, seconds: float) -> None:
        """Log a response that was passed on.

        :param version: version of the configuration in force.
        """
        self._decisions.answered(
            call,
            response,
            asyncio.get_running_loop().time() > call.late_after,
            configuration=version,
            seconds=round(seconds, 3),
        )

    def log_failed(
        self,
        call: Call,
        failure: CallFailure,
        status: int,
        version: int,
        seconds: float,
        retry_after_s: float | None = None,
    ) -> None:
        """Log a call that failed.

        :param status: the status that its caller got.
        :param retry_after_s: the turn that its caller got, if it got one.
        """
        self._decisions.failed(
            call,
            failure.outcome.name.lower(),
            status=status,
            reason=failure.reason,
            configuration=version,
            seconds=round(seconds, 3),
            **({} if retry_after_s is None else {"retry_after_s": round(retry_after_s, 2)}),
        )
