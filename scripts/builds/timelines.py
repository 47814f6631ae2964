"""The command ``story`` of both builds, on logs that the old build has written."""

import asyncio
import pathlib
import re
import typing as t

from scripts.builds.reporting import Build
from scripts.builds.reporting import Builds
from scripts.builds.reporting import Report
from tests.processes.programs import Program

REQUESTS_PER_LOG = 2
"""Requests compared from each log file; every one takes a process of each build."""


class Story(t.NamedTuple):
    """The exit status of a command, its first line with the outcome, and the timeline's lines."""

    status: int
    outcome: str
    timeline: list[str]


async def check_timelines(builds: Builds, report: Report) -> None:
    """Compare the text of ``story`` for some requests of each log in the report."""
    requests = sorted({request for log in report.old_logs for request in request_ids(log)})
    outcomes, timelines = [], []
    lines = 0
    for request in requests:
        old, new = await asyncio.gather(
            _story(builds.old, request, report), _story(builds.new, request, report)
        )
        lines += len(old.timeline)
        if (old.status, old.outcome) != (new.status, new.outcome) or old.status:
            outcomes.append(f"old {old.status} {old.outcome!r}, new {new.status} {new.outcome!r}")
        if old.timeline != new.timeline or not old.timeline:
            timelines.append(f"{request}: old {old.timeline}, new {new.timeline}")
    compared = f"{len(requests)} requests, {lines} lines, {len(report.old_logs)} logs"
    for part, differences in (("timeline", timelines), ("outcome", outcomes)):
        name = f"story: either build prints the same {part} for logs of the old build"
        details = f"{len(differences)} of {len(requests)} requests differ"
        passed = bool(requests) and not differences
        report.add(name, passed, compared if passed else "\n".join([details, *differences[:3]]))


def request_ids(log: pathlib.Path) -> list[str]:
    """Return the ids of the first and last requests that a log names."""
    found = re.findall(r'"request":"([^"]+)"', log.read_text(encoding="utf-8"))
    distinct: t.Sequence[str] = list(dict.fromkeys(found))
    return list(dict.fromkeys([*distinct[:1], *distinct[1 - REQUESTS_PER_LOG :]]))


async def _story(build: Build, request: str, report: Report) -> Story:
    log = report.scratch / f"story-{build.name}.log"
    files = [str(file) for file in report.old_logs]
    program = await Program.start("bulrushflow", ["story", request, *files], log, {}, build.source)
    try:
        status, output = await program.output()
    finally:
        await program.kill()
    outcome, *timeline = output.splitlines() or [program.errors()]
    return Story(status, outcome, timeline)
