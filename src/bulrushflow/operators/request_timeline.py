"""The story of one request, from the log lines of all nodes."""

import typing as t
from dataclasses import dataclass
from datetime import datetime
from datetime import timedelta

import msgspec

_OWN_FIELDS = frozenset({"time", "level", "process", "module", "message"})
"""Fields that every line has; the others are the inputs of its decision."""
FINAL_MESSAGES = frozenset(
    {"call failed", "call answered", "call answered late", "target answered with an error"}
)


@dataclass(frozen=True, slots=True)
class LogLine:
    """One structured log line."""

    at: datetime
    process: str
    message: str
    fields: dict[str, t.Any]

    @property
    def request(self) -> str | None:
        """The request that the line tells of."""
        return self.fields.get("request")


@dataclass(frozen=True, slots=True)
class RequestTimeline:
    """What the logs say of one request, and what its nodes believed around it."""

    request: str
    request_lines: list[LogLine]
    context_lines: list[LogLine]

    @property
    def outcome_text(self) -> str:
        """How the request ended, in one line."""
        final = [line for line in self.request_lines if line.message in FINAL_MESSAGES]
        if not final:
            return "no line tells its end: answered in time, or left out by the bound on lines"
        inputs = final[-1].fields
        told = [final[-1].message, *(str(inputs[k]) for k in ("status", "outcome") if k in inputs)]
        reason = inputs.get("reason")
        return ", ".join(told) + (f": {reason}" if reason else "")


def parse_line(text: str) -> LogLine | None:
    """Decode a line; what a collector wrote before the object is passed over.

    :return: ``None`` when it is no structured line.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(text[start:], type=dict[str, t.Any])
        at = datetime.fromisoformat(fields["time"])
        process, message = str(fields["process"]), str(fields["message"])
    except (msgspec.MsgspecError, KeyError, ValueError, TypeError):
        return None
    inputs = {k: v for k, v in fields.items() if k not in _OWN_FIELDS}
    return LogLine(at, process, message, inputs)


def build_timeline(request: str, lines: t.Sequence[str], around_s: float) -> RequestTimeline | None:
    """Return the story of a request; ``None`` when no line names it.

    :param around_s: seconds before and after the request's own lines.
    """
    found = [parse_line(text) for text in lines if request in text]
    own = [line for line in found if line is not None and line.request == request]
    if not own:
        return None
    own.sort(key=lambda line: line.at)
    nodes = {line.process for line in own}
    nodes.update(line.fields["node"] for line in own if "node" in line.fields)
    first = own[0].at - timedelta(seconds=around_s)
    last = own[-1].at + timedelta(seconds=around_s)
    around = []
    for text in lines:
        line = parse_line(text) if '"request"' not in text else None
        if line is not None and line.process in nodes and first <= line.at <= last:
            around.append(line)
    return RequestTimeline(request, own, around)


def format_timeline(story: RequestTimeline) -> str:
    """Return a story as text; the request's own lines are marked."""
    marked = [(line, ">") for line in story.request_lines] + [
        (line, " ") for line in story.context_lines
    ]
    marked.sort(key=lambda item: item[0].at)
    told = [f"{mark} {_format_line(line)}" for line, mark in marked]
    return "\n".join([f"request {story.request}: {story.outcome_text}", *told])


def _format_line(line: LogLine) -> str:
    inputs = " ".join(f"{k}={v}" for k, v in line.fields.items() if k != "request")
    at = line.at.strftime("%H:%M:%S.%f")[:-3]
    return f"{at} {line.process} {line.message} {inputs}".rstrip()
