"""The timeline of one request, from the structured log lines of all nodes."""

import typing as t
from dataclasses import dataclass
from datetime import datetime
from datetime import timedelta

import msgspec

_COMMON_FIELDS = frozenset({"time", "level", "process", "module", "message"})
"""Fields of every line. ``LogLine.fields`` has the others, the inputs of the logged decision."""
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
        """Id of the request that the line is about, if any."""
        return self.fields.get("request")


@dataclass(frozen=True, slots=True)
class RequestTimeline:
    """The log lines of one request, and other lines of its nodes from about the same time."""

    request: str
    request_lines: list[LogLine]
    context_lines: list[LogLine]

    @property
    def outcome_text(self) -> str:
        """The request's outcome as one line of text."""
        final = [line for line in self.request_lines if line.message in FINAL_MESSAGES]
        if not final:
            return "no line tells its end: answered in time, or left out by the bound on lines"
        fields = final[-1].fields
        parts = [final[-1].message, *(str(fields[k]) for k in ("status", "outcome") if k in fields)]
        reason = fields.get("reason")
        return ", ".join(parts) + (f": {reason}" if reason else "")


def parse_line(text: str) -> LogLine | None:
    """Decode a structured line; a collector's prefix before the JSON object is ignored.

    :return: ``None`` for any other text.
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
    own_fields = {k: v for k, v in fields.items() if k not in _COMMON_FIELDS}
    return LogLine(at, process, message, own_fields)


def build_timeline(request: str, lines: t.Sequence[str], around_s: float) -> RequestTimeline | None:
    """Return the timeline of a request; ``None`` when no line has its id.

    :param around_s: seconds before and after the request's lines from which other lines of its
        nodes are included.
    """
    found = [parse_line(text) for text in lines if request in text]
    request_lines = [line for line in found if line is not None and line.request == request]
    if not request_lines:
        return None
    request_lines.sort(key=lambda line: line.at)
    nodes = {line.process for line in request_lines}
    nodes.update(line.fields["node"] for line in request_lines if "node" in line.fields)
    first = request_lines[0].at - timedelta(seconds=around_s)
    last = request_lines[-1].at + timedelta(seconds=around_s)
    context_lines = []
    for text in lines:
        line = parse_line(text) if '"request"' not in text else None
        if line is not None and line.process in nodes and first <= line.at <= last:
            context_lines.append(line)
    return RequestTimeline(request, request_lines, context_lines)


def format_timeline(timeline: RequestTimeline) -> str:
    """Return a timeline as text; the request's own lines are marked with ``>``."""
    marked = [(line, ">") for line in timeline.request_lines] + [
        (line, " ") for line in timeline.context_lines
    ]
    marked.sort(key=lambda item: item[0].at)
    texts = [f"{mark} {_format_line(line)}" for line, mark in marked]
    return "\n".join([f"request {timeline.request}: {timeline.outcome_text}", *texts])


def _format_line(line: LogLine) -> str:
    fields = " ".join(f"{k}={v}" for k, v in line.fields.items() if k != "request")
    at = line.at.strftime("%H:%M:%S.%f")[:-3]
    return f"{at} {line.process} {line.message} {fields}".rstrip()
