"""The command ``story`` of both builds, on logs that the old build has written."""

import asyncio
import json
import typing as t

from scripts.builds.reporting import Build
from scripts.builds.reporting import Builds
from scripts.builds.reporting import Report
from tests.processes.programs import Program


class Story(t.NamedTuple):
    """The command's exit status, its first line with the outcome, and the timeline's lines."""

    status: int
    outcome: str
    timeline: list[str]


async def check_timelines(builds: Builds, report: Report) -> None:
    """Compare the text of ``story`` for a request of each kind in the report's logs."""
    requests = request_ids("".join(log.read_text(encoding="utf-8") for log in report.old_logs))
    assert requests, f"no request is named in {len(report.old_logs)} logs"
    outcomes, timelines, lines = [], [], 0
    for request in requests:
        old, new = await asyncio.gather(
            _story(builds.old, request, report), _story(builds.new, request, report)
        )
        lines += len(old.timeline)
        if old[:2] != new[:2] or old.status:
            outcomes.append(f"old {old[:2]}, new {new[:2]}")
        if old.timeline != new.timeline or not old.timeline:
            timelines.append(f"{request}: old {old.timeline}, new {new.timeline}")
    compared = f"{len(requests)} requests, {lines} lines, {len(report.old_logs)} logs"
    name = "story: either build prints the same {} for logs of the old build"
    report.add_differences(name.format("timeline"), timelines, compared)
    report.add_differences(name.format("outcome"), outcomes, compared)


def request_ids(text: str) -> list[str]:
    """Return the id of the first request of each message in logs of JSON lines."""
    id_by_message: dict[str, str] = {}
    for line in text.splitlines():
        fields = json.loads(line)
        if fields.get("request"):
            id_by_message.setdefault(fields["message"], fields["request"])
    return sorted(set(id_by_message.values()))


async def _story(build: Build, request: str, report: Report) -> Story:
    log = report.scratch / f"story-{build.name}.log"
    arguments = ["story", request, *map(str, report.old_logs)]
    program = await Program.start("bulrushflow", arguments, log, {}, build.source)
    try:
        status, output = await program.output()
    finally:
        await program.kill()
    outcome, *timeline = output.splitlines() or [program.errors()]
    return Story(status, outcome, timeline)
