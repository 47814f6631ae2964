"""Calls, responses and the outcomes of calls."""

import enum
import typing as t

import msgspec
from msgspec.structs import replace
from result import Err
from result import Ok
from result import Result

FINAL_STATUSES = range(200, 600)
"""Statuses that a complete response can have; HTTP defines none beyond them, such as 000 or 999."""
SERVER_ERROR = 500


class Outcome(enum.IntEnum):
    """How a call ended, as far as it is known.

    The numbers are sent between nodes, and the member names are values of the metrics' label
    ``outcome``.
    """

    ANSWERED = 0
    NOT_RUN = 1
    """Certainly not run by any target, so it may be retried elsewhere."""
    UNKNOWN = 2
    """The call may have run; it is retried only when it is idempotent."""
    REFUSED = 3
    """Not run, and not to be retried: no route, no time left, too large."""
    ANSWER_LOST = 4
    """The call ran, but its response can't be delivered; not to be retried."""


class Call(msgspec.Struct, frozen=True):
    """One request from a caller, with the routing decisions made for it.

    ``deadline`` is in seconds of the event loop's clock. ``attempt`` is the number of earlier
    attempts, including those of the call further up the chain that led to this one.
    """

    request_id: str
    tenant: str
    service: str
    version: str
    route: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline: float
    idempotent: bool
    attempt: int = 0
    priority: int = 0
    """0 is the highest priority."""
    late_after: float = 0.0
    """Time of the latency objective, on the deadline's clock; a later response counts as late."""
    organisation: str = ""
    """Name of the organisation whose key the request had; empty without one."""

    def for_attempt(self, version: str, retries: int) -> "Call":
        """Return the call for one attempt.

        :param version: version of the target.
        :param retries: number of earlier attempts by this node.
        """
        if version == self.version and not retries:
            return self
        return replace(self, version=version, attempt=self.attempt + retries)


class BodyStream(t.Protocol):
    """A response's body that is still arriving, for one reader that closes it."""

    @property
    def total(self) -> int:
        """Length of the whole body, in bytes."""

    async def read(self) -> Result[bytes, str]:
        """Return the next bytes; none at the end. The error says why the rest won't arrive."""

    def close(self) -> None:
        """Stop the transfer, if it goes on, and discard what has arrived."""


class Response(msgspec.Struct, frozen=True):
    """A target's response, complete except for a body that is still arriving."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    stream: BodyStream | None = None
    """The body, if it is still arriving; ``body`` is empty then."""

    @property
    def is_failure(self) -> bool:
        """Whether the status is a server error."""
        return self.status >= SERVER_ERROR

    @property
    def size(self) -> int:
        """Length of the body, in bytes."""
        return len(self.body) if self.stream is None else self.stream.total

    def close(self) -> None:
        """Discard a body that is still arriving."""
        if self.stream is not None:
            self.stream.close()

    def as_result(self) -> "CallResult":
        """Return the response as the result of a call."""
        return Ok(self)


class CallFailure(msgspec.Struct, frozen=True):
    """Why a call got no response, and whether it may have run."""

    outcome: Outcome
    reason: str
    reached_target: bool = False
    """Whether the call reached a target, which refused it."""
    connection_lost: bool = False
    """Whether the connection to the target ended before the response."""
    retry_after_s: float | None = None
    """Seconds for which the caller's repeats will be refused too; ``None`` if that isn't known."""

    def as_result(self) -> "CallResult":
        """Return the failure as the result of a call."""
        return Err(self)


CallResult = Result[Response, CallFailure]


def not_run(reason: str, reached_target: bool = False) -> CallResult:
    """Return the result of a call that certainly did not run.

    :param reached_target: whether a target received the call and refused it.
    """
    return CallFailure(Outcome.NOT_RUN, reason, reached_target).as_result()


def unknown(reason: str, connection_lost: bool = False) -> CallResult:
    """Return the result of a call that may have run.

    :param connection_lost: whether the connection to the target ended before the response.
    """
    failure = CallFailure(Outcome.UNKNOWN, reason, connection_lost=connection_lost)
    return failure.as_result()


def refused(reason: str) -> CallResult:
    """Return the result of a call that did not run and must not be retried."""
    return CallFailure(Outcome.REFUSED, reason).as_result()


def answer_lost(reason: str) -> CallResult:
    """Return the result of a call that ran and whose response can't be delivered."""
    return CallFailure(Outcome.ANSWER_LOST, reason).as_result()


def outcome_label(result: CallResult) -> str:
    """Return the value of the metrics' ``outcome`` label."""
    match result:
        case Ok(response):
            return "error" if response.is_failure else "ok"
        case Err(failure):
            return failure.outcome.name.lower()
