"""Statuses, reasons and Retry-After values of the responses to refused calls."""

from bulrushflow.routing import CallFailure
from bulrushflow.routing import Outcome

RANDOM_RETRY_AFTER_S = (0.05, 0.3)
"""Range of the randomized ``Retry-After`` values, which spread the retries of refused callers."""
TOO_MANY_REQUESTS = 429
"""Status of a quarantined request, which did not run."""
_STATUS_BY_OUTCOME = {
    Outcome.NOT_RUN: 503,
    Outcome.REFUSED: 503,
    Outcome.UNKNOWN: 502,
    Outcome.ANSWER_LOST: 502,
}


def retry_after_range_s(
    status: int, retry_after_s: float | None
) -> tuple[float, float] | tuple[None, None]:
    """Return the range of the ``Retry-After`` of a refusal, in seconds; ``None`` without one."""
    if retry_after_s is not None:
        return retry_after_s, retry_after_s
    return RANDOM_RETRY_AFTER_S if status == 503 else (None, None)


def failure_status(failure: CallFailure) -> int:
    """Return the status of the response to a call that failed before its deadline."""
    if failure.retry_after_s is not None:
        # 503 would invite the caller to repeat the call at once.
        return TOO_MANY_REQUESTS
    return _STATUS_BY_OUTCOME[failure.outcome]


def no_target_reason(service: str) -> str:
    """Return why a call is refused for which no target became available in time."""
    return f"no target of {service} takes calls"


def evacuated_reason(service: str) -> str:
    """Return why a call is refused whose service has targets in evacuated data centres only."""
    return f"all targets of {service} are in evacuated data centres"
