"""Checks of a run's record against the rules for planned work; pure code over its events."""

import typing as t
from collections import defaultdict

import msgspec

from benchmarks.soak.events import Call
from benchmarks.soak.events import Record
from benchmarks.soak.events import Run
from benchmarks.soak.events import Stop

PROMISES = frozenset({408, 421, 429, 503})
"""Statuses that say that a call has not run and never will."""
AFTER_GRACE_S = 1.0
"""Time after the grace period that still counts as the stop."""
LOSS_SLACK_S = 0.2
"""Time within which a connection may end that a request crossed, unless a target ran it."""
LATEST_WORK_S = 3.0
"""Calls sent no later after SIGTERM may be ended while their target is at work."""
LAST_GRACE_FRACTION = 1 / 6
"""Part of the grace period in which such calls may be ended."""
CONFIG_APPLY_S = 2.0
"""Time within which a change or a reload comes into force."""
TIME_SLACK_S = 0.05
"""The deadline reaches the node in whole milliseconds and after the request."""
MAX_CUT_ELSEWHERE = 3


class Violation(msgspec.Struct):
    """One broken rule, and the call or process that shows it."""

    rule: str
    at: float
    text: str
    call_id: str = ""


class History:
    """A record's events by call and by node."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.runs_by_id: dict[str, list[Run]] = defaultdict(list)
        for run in record.runs:
            self.runs_by_id[run.call_id].append(run)
        self.stops_by_node: dict[str, list[Stop]] = defaultdict(list)
        for stop in record.stops:
            self.stops_by_node[stop.node].append(stop)

    def stop_around(self, call: Call) -> Stop | None:
        """Return the stop of the call's node around which the call ended, or ``None``."""
        for stop in self.stops_by_node[call.node]:
            if stop.at <= call.ended_at <= stop.at + self.record.grace_s + AFTER_GRACE_S:
                return stop
        return None

    def reload_around(self, call: Call) -> bool:
        """Return whether the call was sent up to ``CONFIG_APPLY_S`` after a reload, and cut after.

        A call that was sent before the reload counts as well.
        """
        return any(
            reload.node == call.node
            and call.sent_at <= reload.at + CONFIG_APPLY_S
            and reload.at <= call.ended_at
            for reload in self.record.reloads
        )

    def limit_s(self, call: Call) -> float:
        """Return the call's time limit: its caller's, or the least of its route that may apply."""
        limits = [call.timeout_s]
        changes = self.record.changes
        for i, change in enumerate(changes):
            superseded_at = changes[i + 1].at if i + 1 < len(changes) else float("inf")
            if change.at <= call.ended_at and call.sent_at <= superseded_at + CONFIG_APPLY_S:
                limits.append(change.timeout_s_by_route[call.route])
        return min(limits)

    def reached_limit(self, call: Call) -> bool:
        """Return whether the call ended at its deadline or its route's timeout."""
        return call.ended_at >= call.sent_at + self.limit_s(call) - TIME_SLACK_S

    def at_work(self, call: Call) -> bool:
        """Return whether a target was still at work when the call ended."""
        return any(
            run.started_at <= call.ended_at
            and (run.ended_at is None or run.ended_at > call.ended_at)
            for run in self.runs_by_id[call.call_id]
        )


def find_violations(record: Record) -> list[Violation]:
    """Return all violations in the order of their times."""
    history = History(record)
    found = [
        violation
        for check in (
            check_lost,
            check_cut_elsewhere,
            check_twice,
            check_refused,
            check_mixed,
            check_denied,
            check_processes,
        )
        for violation in check(history)
    ]
    return sorted(found, key=lambda violation: violation.at)


def check_lost(history: History) -> t.Iterator[Violation]:
    """LOST: around a planned stop of the node that took it, a whole request isn't answered.

    Around planned work, with no unplanned impairment, a process has read a whole request and the
    connection ends without a complete answer, either once it has been passed on to a target, or
    later than ``LOSS_SLACK_S`` after its last byte was sent. Planned work is a SIGTERM of the
    machine that took the request, until 1 s after its grace period, and that machine's SIGHUP, for
    requests sent up to ``CONFIG_APPLY_S`` after it and cut after it. Not counted: the deadline or
    the route's timeout was reached, or the target was still at work in the last sixth of the grace
    period on a request that was sent no later than 3 s after the SIGTERM. After a SIGTERM it is the
    same if the node breaks off a request at which its target is at work and gives an answer of its
    own in its place.
    """
    for call in history.record.calls:
        stop = history.stop_around(call)
        reason = _unanswered(history, call)
        if reason is None and stop is not None:
            reason = _broken_off(history, call)
        if reason is None or _is_excused(history, call, stop):
            continue
        if stop is not None:
            when = f"{call.ended_at - stop.at:.3f} s after SIGTERM"
        elif history.reload_around(call):
            when = "after SIGHUP"
        else:
            continue
        yield Violation("LOST", call.ended_at, f"{reason}, {when}", call.call_id)


def check_cut_elsewhere(history: History) -> t.Iterator[Violation]:
    """LOST: without planned work at its node, a node closes kept connections without an answer.

    At any time, a machine passes a request from a kept connection on to a sound target and closes
    that connection without an answer, more than three times. A request that crosses the close and
    isn't passed on doesn't count, nor does one that has reached its time limit.
    """
    cut = [
        call
        for call in history.record.calls
        if call.kept
        and not call.status
        and history.runs_by_id[call.call_id]
        and history.stop_around(call) is None
        and not history.reload_around(call)
        and not history.reached_limit(call)
    ]
    if len(cut) > MAX_CUT_ELSEWHERE:
        for call in cut:
            reason = f"closed without an answer ({call.error}), {len(cut)} times away from stops"
            yield Violation("LOST", call.ended_at, reason, call.call_id)


def check_twice(history: History) -> t.Iterator[Violation]:
    """TWICE: a request that isn't idempotent runs more than once."""
    for call in history.record.calls:
        runs = history.runs_by_id[call.call_id]
        if call.unsafe and len(runs) > 1:
            targets = ", ".join(run.target for run in runs)
            yield Violation("TWICE", runs[1].started_at, f"ran at {targets}", call.call_id)


def check_refused(history: History) -> t.Iterator[Violation]:
    """REFUSED: a request that isn't idempotent is refused, and has run or runs later.

    The statuses 429, 503, 408 and 421 promise that it hasn't run and never will. 502, 504 and a
    closed connection promise nothing.
    """
    for call in history.record.calls:
        if call.unsafe and call.status in PROMISES and history.runs_by_id[call.call_id]:
            yield Violation("REFUSED", call.ended_at, f"{call.status}, and ran", call.call_id)


def check_mixed(history: History) -> t.Iterator[Violation]:
    """MIXED: a success that looks complete has a wrong or incomplete body, or another call's.

    A response of a target is passed on with its own call's id.
    """
    for call in history.record.calls:
        if not (call.complete and 200 <= call.status < 300):
            continue
        digests = {run.digest for run in history.runs_by_id[call.call_id]}
        if call.response_id != call.call_id:
            reason = f"has the response of {call.response_id or 'no call'}"
        elif not call.signed or call.digest not in digests:
            reason = f"{call.received_bytes} bytes that no run of it responded with"
        else:
            continue
        yield Violation("MIXED", call.ended_at, reason, call.call_id)


def check_denied(history: History) -> t.Iterator[Violation]:
    """DENIED: a 401, 403 or 404 for a request that all configurations of the run allow."""
    for call in history.record.calls:
        if call.status in (401, 403, 404):
            yield Violation("DENIED", call.ended_at, f"status {call.status}", call.call_id)


def check_processes(history: History) -> t.Iterator[Violation]:
    """EXIT: a process ends by itself, fails, or still runs at the end of its grace period."""
    for text in history.record.unplanned_exits:
        yield Violation("EXIT", 0.0, text)
    for stop in history.record.stops:
        if stop.killed:
            yield Violation("EXIT", stop.at, f"{stop.node} ran until the end of its grace period")
        elif stop.exit_status:
            yield Violation("EXIT", stop.at, f"{stop.node} ended with status {stop.exit_status}")


def _unanswered(history: History, call: Call) -> str | None:
    """Return how the connection ended without a complete answer to a request; ``None`` if not."""
    if call.complete:
        return None
    ran = bool(history.runs_by_id[call.call_id])
    if not ran and call.ended_at <= call.sent_at + LOSS_SLACK_S:
        return None
    if call.status:
        return f"closed in the middle of the answer ({call.status}) at {call.received_bytes} bytes"
    return f"closed without an answer ({'ran' if ran else 'not run'})"


def _broken_off(history: History, call: Call) -> str | None:
    """Return which answer a node gave while the target was at work; ``None`` if it didn't."""
    if not call.complete or call.signed or call.status < 400 or not history.at_work(call):
        return None
    return f"answered {call.status} by the node while the target is at work"


def _is_excused(history: History, call: Call, stop: Stop | None) -> bool:
    if history.reached_limit(call):
        return True
    if stop is None or call.sent_at > stop.at + LATEST_WORK_S or not history.at_work(call):
        return False
    return call.ended_at >= stop.at + history.record.grace_s * (1 - LAST_GRACE_FRACTION)
