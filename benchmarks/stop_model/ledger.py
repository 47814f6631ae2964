"""What became of each call, and the check of it at the close of its caller's connection."""

import enum
import typing as t

import msgspec

LATE_STOP_FRACTION = 5 / 6
"""Fraction of the grace period after which a target at work excuses an early call's cut."""
EARLY_CALL_S = 3.0
"""Time after SIGTERM up to which that call was sent."""
KILL_MARGIN_S = 1.0
"""Time after the grace period up to which a cut belongs to the stop."""
OK = 200


class Kind(enum.Enum):
    """How a planned stop breaks its promise."""

    CUT = "the connection is closed in the middle of the answer"
    NO_ANSWER = "the connection is closed without an answer"
    REPLACED = "an answer of the node's own while the target is at work"


class Violation(msgspec.Struct, frozen=True):
    """A call that a planned stop lost. Times are in seconds of the run."""

    kind: Kind
    call: int
    node: int
    stopped_at: float
    sent_at: float
    finished_at: float | None
    closed_at: float
    read_bytes: int
    size: int


class CallEntry:
    """One call, from its caller's side."""

    def __init__(
        self,
        call: int,
        node: int,
        sent_at: float,
        timeout_at: float,
        on_close: "t.Callable[[CallEntry], None]",
    ) -> None:
        self.call = call
        self.node = node
        self.sent_at = sent_at
        self.timeout_at = timeout_at
        self._on_close = on_close
        self.passed_on_at: float | None = None
        """Time at which a target first got it."""
        self.finished_at: float | None = None
        """Time at which a target's run ended last."""
        self.status: int | None = None
        self.running = 0
        """Targets that are at work on it."""
        self.broken_off = False
        """Whether a target was at work on it when its node gave it up."""
        self.size = 0
        self.read_bytes = 0
        self.cut_at: float | None = None
        """Time at which the node closed or aborted the connection before the end."""
        self.closed_at: float | None = None
        """Time at which the caller saw the end of the connection."""

    @property
    def is_whole(self) -> bool:
        """Whether the caller has a whole response."""
        return self.status is not None and self.read_bytes >= self.size

    def begin(self, status: int, size: int) -> None:
        """Record the head of the response."""
        self.status = status
        self.size = size

    def close(self, now: float) -> None:
        """Record the close of the connection, and check the call."""
        if self.closed_at is None:
            self.closed_at = now
            self._on_close(self)


class StopCheck:
    """Checks calls at the close of their connections.

    :param start_s: loop time of the run's beginning.
    """

    def __init__(self, grace_s: float, loss_slack_s: float, start_s: float = 0.0) -> None:
        self._grace_s = grace_s
        self._loss_slack_s = loss_slack_s
        self._start_s = start_s
        self._stopped_at_by_node: dict[int, float] = {}
        self.violations: list[Violation] = []
        self.checked = 0
        self.whole = 0
        self.refused = 0

    def record_stop(self, node: int, now: float) -> None:
        """Record a node's SIGTERM."""
        self._stopped_at_by_node[node] = now

    def record_close(self, entry: CallEntry) -> None:
        """Check a call whose connection is closed."""
        self.checked += 1
        self.whole += entry.is_whole and entry.status == OK
        self.refused += entry.is_whole and entry.status != OK
        stopped_at = self._stopped_at_by_node.get(entry.node)
        kind = self._kind(entry)
        if kind is None or stopped_at is None or self._is_allowed(entry, stopped_at):
            return
        finished_at = entry.finished_at
        self.violations.append(
            Violation(
                kind,
                entry.call,
                entry.node,
                round(stopped_at - self._start_s, 3),
                round(entry.sent_at - self._start_s, 3),
                None if finished_at is None else round(finished_at - self._start_s, 3),
                round(t.cast(float, entry.cut_at or entry.closed_at) - self._start_s, 3),
                entry.read_bytes,
                entry.size,
            )
        )

    def _kind(self, entry: CallEntry) -> Kind | None:
        closed_at = t.cast(float, entry.closed_at)
        if entry.is_whole:
            at_work = entry.running > 0 or (entry.broken_off and entry.finished_at is None)
            return Kind.REPLACED if at_work and entry.status != OK else None
        if entry.status is not None:
            return Kind.CUT
        late = closed_at - entry.sent_at > self._loss_slack_s
        return Kind.NO_ANSWER if entry.passed_on_at is not None or late else None

    def _is_allowed(self, entry: CallEntry, stopped_at: float) -> bool:
        # What the system still sends after the end of the process must not move the cut.
        closed_at = t.cast(float, entry.cut_at or entry.closed_at)
        if not stopped_at <= closed_at <= stopped_at + self._grace_s + KILL_MARGIN_S:
            return True
        if closed_at >= entry.timeout_at:
            return True
        last_part_from = stopped_at + self._grace_s * LATE_STOP_FRACTION
        last_at_work = entry.finished_at is None or entry.finished_at >= last_part_from
        return (
            entry.passed_on_at is not None
            and (entry.running > 0 or last_at_work)
            and closed_at >= last_part_from
            and entry.sent_at <= stopped_at + EARLY_CALL_S
        )
