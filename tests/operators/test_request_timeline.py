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


class StoryTests(unittest.TestCase):
    def test_a_story_has_the_requests_lines_in_order_and_its_nodes_beliefs(self) -> None:
        story = build_timeline("r-1", LINES, 2.0)
        assert story is not None
        self.assertEqual(
            [found.message for found in story.request_lines],
            ["call refused", "attempt failed", "call failed"],
        )
        self.assertEqual([found.process for found in story.context_lines], ["n-2"])
        told = format_timeline(story).splitlines()
        self.assertEqual(told[0], "request r-1: call failed, 503, not_run: full")
        self.assertEqual(told[1], "  00:00:09.500 n-2 target announced target=t-2")
        self.assertEqual(told[2], "> 00:00:10.100 n-2 call refused reason=full load=38")

    def test_a_request_whose_end_is_not_told_is_said_to_be_so(self) -> None:
        story = build_timeline("r-10", LINES, 0.0)
        assert story is not None
        self.assertIn("no line has its end", story.outcome_text)

    def test_a_request_that_no_line_names_has_no_story(self) -> None:
        self.assertIsNone(build_timeline("r", LINES, 2.0))

    def test_what_is_no_structured_line_is_passed_over(self) -> None:
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

    def test_a_file_that_cannot_be_read_is_told(self) -> None:
        code, _, err = self.run_command("r-1", "/nowhere/at/all")
        self.assertEqual(code, 2)
        self.assertIn("/nowhere/at/all: No such file", err)
