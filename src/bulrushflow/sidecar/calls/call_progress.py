"""The outcome of one call's attempts, and whether another attempt may follow."""

from result import Err
from result import Ok

from bulrushflow.routing import CallResult
from bulrushflow.routing import Outcome
from bulrushflow.routing import unknown

MAX_UNANSWERED_ATTEMPTS = 2
"""Attempts without a response after which a call isn't tried again: it may be the call that ends
the targets."""
MAX_REFUSALS = 4
"""Refusals by targets after which a call is not tried again."""


class CallProgress:
    """The outcome of one call's attempts so far."""

    __slots__ = ("abandoned", "deliveries", "possible_runs", "refusals", "result", "unanswered")

    def __init__(self, result: CallResult) -> None:
        self.result = result
        self.deliveries = 0
        """Number of attempts that may have reached a target."""
        self.possible_runs = 0
        """Number of attempts that may have run."""
        self.refusals = 0
        self.unanswered = 0
        """Number of attempts that ended without a response and may have run."""
        self.abandoned = False
        """Whether an attempt's outcome was not recorded, so that it may have run."""

    @property
    def succeeded(self) -> bool:
        """Whether a target responded without a server error."""
        return self.result.is_ok() and not self.result.unwrap().is_failure

    def record(self, result: CallResult, idempotent: bool, max_attempts: int) -> bool:
        """Record an attempt's outcome; return whether the call must not be tried again."""
        if self.succeeded:
            # Two attempts may end at the same moment; the first success is the call's result.
            close_response(result)
            return True
        match result:
            case Ok(response):
                self.discard()
                self.result = result
                final = not response.is_failure
            case Err(failure) if failure.outcome in (Outcome.NOT_RUN, Outcome.REFUSED):
                # A refusal does not replace the result of an earlier attempt that may have run.
                if not self.possible_runs:
                    self.result = result
                if failure.outcome is Outcome.REFUSED:
                    return True
                self.refusals += 1
                self.deliveries += failure.reached_target
                return self.refusals >= MAX_REFUSALS
            case Err(failure):
                self.result = result
                self.unanswered += 1
                final = (
                    failure.outcome is not Outcome.UNKNOWN
                    or self.unanswered >= MAX_UNANSWERED_ATTEMPTS
                )
        self.possible_runs += 1
        self.deliveries += 1
        return final or not idempotent or self.possible_runs >= max_attempts

    def record_unread(self, result: CallResult) -> None:
        """Record the outcome of an attempt that ended at the moment at which the call did."""
        close_response(result)
        if result.is_ok() or result.unwrap_err().outcome not in (Outcome.NOT_RUN, Outcome.REFUSED):
            self.abandoned = True

    def discard(self) -> None:
        """Stop the transfer of the recorded response, if its body is still arriving."""
        close_response(self.result)

    def result_at_deadline(self) -> CallResult:
        """Return the outcome of a call whose deadline has passed."""
        if self.abandoned and not self.result.is_ok():
            return unknown("no answer within the timeout")
        return self.result


def close_response(result: CallResult) -> None:
    """Stop the transfer of a response that nobody reads."""
    if result.is_ok():
        result.unwrap().close()
