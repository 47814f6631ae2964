"""Text of a run's outcome: a line with counts, and a timeline of each violation."""

from collections import Counter

from benchmarks.soak.checks import Violation
from benchmarks.soak.events import Call
from benchmarks.soak.events import Record
from benchmarks.soak.routes import DOWNLOADS

MAX_TIMELINES = 5


def summary_line(seed: int, record: Record, violations: list[Violation]) -> str:
    """Return one line on a run."""
    outcomes = Counter(_outcome(call) for call in record.calls)
    counts = ", ".join(f"{name} {count}" for name, count in sorted(outcomes.items()))
    seconds = sorted(
        call.ended_at - call.sent_at
        for call in record.calls
        if call.route == DOWNLOADS.name and call.complete and call.status == 200
    )
    median = f"{seconds[len(seconds) // 2]:.2f} s" if seconds else "none"
    rules = Counter(violation.rule for violation in violations)
    found = ", ".join(f"{rule} {count}" for rule, count in sorted(rules.items())) or "passed"
    return (
        f"seed {seed}: {found}; {len(record.calls)} calls ({counts}), median download {median}, "
        f"{len(record.stops)} stops, {len(record.reloads)} reloads, {len(record.changes)} changes, "
        f"longest pause of the soak {record.longest_pause_s:.2f} s"
    )


def timelines(record: Record, violations: list[Violation]) -> list[str]:
    """Return the lines of the first violations, each with what its call went through."""
    calls_by_id = {call.call_id: call for call in record.calls}
    lines = []
    for violation in violations[:MAX_TIMELINES]:
        lines.append(f"  {violation.rule} at {violation.at:.3f} s: {violation.text}")
        call = calls_by_id.get(violation.call_id)
        if call is not None:
            lines += [f"    {at:7.3f} s  {text}" for at, text in sorted(_events(record, call))]
    return lines


def _events(record: Record, call: Call) -> list[tuple[float, str]]:
    events = [(call.sent_at, f"{call.call_id} sent to {call.node}, {call.timeout_s:.3f} s left")]
    for stop in record.stops:
        if stop.node == call.node and stop.at <= call.ended_at <= stop.at + 2 * record.grace_s:
            events.append((stop.at, f"{stop.node} gets SIGTERM"))
    for run in record.runs:
        if run.call_id == call.call_id:
            events.append((run.started_at, f"{run.target} runs it"))
            if run.ended_at is not None:
                events.append((run.ended_at, f"its run at {run.target} ends"))
    status = call.status or "no status"
    whole = "complete" if call.complete else f"incomplete, {call.error}"
    events.append((call.ended_at, f"{status}, {call.received_bytes} bytes, {whole}"))
    return events


def _outcome(call: Call) -> str:
    if not call.complete:
        return "cut"
    return "ok" if call.status == 200 else str(call.status)
