"""Tests of request timelines from log lines, and of the command ``story``."""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest

import cappa

from bulrushflow.operators.commands import Bulrushflow
from bulrushflow.operators.request_timeline import build_timeline
from bulrushflow.operators.request_timeline import format_timeline
from bulrushflow.operators.request_timeline import parse_line


def line(second: float, process: str, message: str, **inputs: object) -> str:
    return json.dumps(
        {
            "time": f"2026-05-29T00:00:{second:06.3f}+00:00",
            "level": "INFO",
            "process": process,
            "module": "m",
            "message": message,
            **inputs,
        }
    )


LINES = [
    line(10.3, "n-1", "call failed", request="r-1", status=503, outcome="not_run", reason="full"),
    line(10.2, "n-1", "attempt failed", request="r-1", node="n-2", reason="full"),
    "12.5 n-2 " + line(10.1, "n-2", "call refused", request="r-1", reason="full", load=38),
    line(9.5, "n-2", "target announced", target="t-2"),
    line(9.6, "n-3", "target announced", target="t-3"),
    line(1.0, "n-2", "started"),
    line(10.2, "n-2", "call refused", request="r-10", reason="full"),
    "no log line",
    '{"time": "yesterday", "process": "n-1", "message": "r-1"}',
]


class TimelineTests(unittest.TestCase):
    def test_a_timeline_has_the_lines_of_the_request_and_of_its_nodes(self) -> None:
        timeline = build_timeline("r-1", LINES, 2.0)
        assert timeline is not None
        self.assertEqual(
            [found.message for found in timeline.request_lines],
            ["call refused", "attempt failed", "call failed"],
        )
        self.assertEqual([found.process for found in timeline.context_lines], ["n-2"])
        lines = format_timeline(timeline).splitlines()
        self.assertEqual(lines[0], "request r-1: call failed, 503, not_run: full")
        self.assertEqual(lines[1], "  00:00:09.500 n-2 target announced target=t-2")
        self.assertEqual(lines[2], "> 00:00:10.100 n-2 call refused reason=full load=38")

    def test_a_timeline_without_the_request_s_end_says_so(self) -> None:
        timeline = build_timeline("r-10", LINES, 0.0)
        assert timeline is not None
        self.assertIn("no line tells its end", timeline.outcome_text)

    def test_a_request_without_a_line_has_no_timeline(self) -> None:
        self.assertIsNone(build_timeline("r", LINES, 2.0))

    def test_text_that_is_no_structured_line_is_ignored(self) -> None:
        for text in ("", "{", "[1]", "{}", '{"time": 1, "process": "n", "message": "m"}'):
            with self.subTest(text):
                self.assertIsNone(parse_line(text))


class StoryCommandTests(unittest.TestCase):
    def run_command(self, *arguments: str) -> tuple[int, str, str]:
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            try:
                cappa.invoke(Bulrushflow, argv=["story", *arguments])
                code = 0
            except cappa.Exit as exc:
                code = int(exc.code or 0)
        return code, out.getvalue(), err.getvalue()

    def test_the_command_reads_several_files(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            paths = [pathlib.Path(directory, name) for name in ("a", "b")]
            paths[0].write_text("\n".join(LINES[:2]))
            paths[1].write_text("\n".join(LINES[2:]))
            code, out, _ = self.run_command("r-1", *map(str, paths))
            self.assertEqual((code, out.count("\n")), (0, 5))
            code, _, err = self.run_command("r-2", str(paths[0]))
            self.assertEqual((code, err), (1, "error: none of 2 lines names request r-2\n"))

    def test_a_file_that_cannot_be_read_is_an_error(self) -> None:
        code, _, err = self.run_command("r-1", "/nowhere/at/all")
        self.assertEqual(code, 2)
        self.assertIn("/nowhere/at/all: No such file", err)
