"""Routing decisions without I/O: routes, load balancing, limits, queues and retries."""

from bulrushflow.routing.limits import ByteBudget
from bulrushflow.routing.limits import ConcurrencyLimit
from bulrushflow.routing.model import FINAL_STATUSES
from bulrushflow.routing.model import BodyStream
from bulrushflow.routing.model import Call
from bulrushflow.routing.model import CallFailure
from bulrushflow.routing.model import CallResult
from bulrushflow.routing.model import Outcome
from bulrushflow.routing.model import Response
from bulrushflow.routing.model import answer_lost
from bulrushflow.routing.model import not_run
from bulrushflow.routing.model import outcome_label
from bulrushflow.routing.model import refused
from bulrushflow.routing.model import unknown
from bulrushflow.routing.queues import FairQueue
from bulrushflow.routing.retries import MAX_ATTEMPTS
from bulrushflow.routing.retries import RetryBudget
from bulrushflow.routing.retries import may_retry
from bulrushflow.routing.retries import retry_backoff_s
from bulrushflow.routing.routes import FULL_SHARE_PERMILLE
from bulrushflow.routing.routes import choose_versions
from bulrushflow.routing.routes import match_route

__all__ = [
    "FINAL_STATUSES",
    "FULL_SHARE_PERMILLE",
    "MAX_ATTEMPTS",
    "BodyStream",
    "ByteBudget",
    "Call",
    "CallFailure",
    "CallResult",
    "ConcurrencyLimit",
    "FairQueue",
    "Outcome",
    "Response",
    "RetryBudget",
    "answer_lost",
    "choose_versions",
    "match_route",
    "may_retry",
    "not_run",
    "outcome_label",
    "refused",
    "retry_backoff_s",
    "unknown",
]
