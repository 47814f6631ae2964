"""The script that checks two builds, with this tree as both of them."""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from scripts.builds.reporting import Build
from scripts.builds.reporting import Builds
from scripts.builds.reporting import Report
from scripts.builds.timelines import check_timelines
from scripts.builds.timelines import request_ids
from scripts.mixed_builds import parse_arguments
from tests.processes.programs import SOURCE

LINES: list[dict[str, str | int]] = [
    {"message": "call refused", "request": "r-1", "reason": "full"},
    {"message": "call failed", "request": "r-1", "status": 503},
    {"message": "no route", "request": "", "path": "/"},
    {"message": "no route", "request": "r-2", "path": "/a"},
    {"message": "no route", "request": "r-3", "path": "/b"},
    {"message": "started"},
]
COMMON = {"time": "2026-01-01T00:00:00.000+00:00", "level": "INFO", "process": "n", "module": "m"}
LOG = "".join(json.dumps({**COMMON, **line}) + "\n" for line in LINES)


class MixedBuildsTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.report = Report(pathlib.Path(directory.name))

    def test_a_tree_without_sources_is_rejected(self) -> None:
        errors = io.StringIO()
        with contextlib.redirect_stderr(errors), self.assertRaises(SystemExit) as ended:
            parse_arguments([str(SOURCE.parent), str(SOURCE)])
        self.assertEqual(ended.exception.code, 2)
        self.assertIn("has no package src/bulrushflow", errors.getvalue())

    def test_instances_alternate_between_the_builds_and_are_swapped(self) -> None:
        builds = Builds(Build("old", SOURCE), Build("new", SOURCE))
        self.assertEqual([builds.of(n).name for n in (1, 2, 3)], ["old", "new", "old"])
        self.assertEqual([builds.of(n, True).name for n in (1, 2, 3)], ["new", "old", "new"])

    def test_a_traceback_and_an_unreadable_record_fail_the_check_of_logs(self) -> None:
        for line, failed in (("started", 0), ("Traceback (most", 1), ("record unreadable", 2)):
            self.report.add_logs("logs", {"node": line})
            self.assertEqual(self.report.failed, failed, line)

    def test_one_request_of_each_message_is_chosen(self) -> None:
        self.assertEqual(request_ids(LOG), ["r-1", "r-2"])

    async def test_timelines_of_the_same_build_are_equal(self) -> None:
        log = self.report.scratch / "node.out"
        log.write_text(LOG, encoding="utf-8")
        self.report.old_logs.append(log)
        await check_timelines(Builds(Build("old", SOURCE), Build("new", SOURCE)), self.report)
        self.assertEqual(self.report.failed, 0, self.report.lines)
        self.assertEqual(len(self.report.lines), 2)
