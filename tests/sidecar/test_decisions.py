import asyncio
import json
import os
import typing as t
import unittest
from unittest import mock

from loguru import logger

from bulrushflow.logs import MAX_BUFFERED_BYTES
from bulrushflow.logs import BoundedWriter
from bulrushflow.routing import Response
from bulrushflow.sidecar.decisions import BURST_LINES
from bulrushflow.sidecar.decisions import LINES_PER_S
from bulrushflow.sidecar.decisions import SUCCESS_SAMPLE_INTERVAL
from bulrushflow.sidecar.decisions import DecisionLog
from tests.sidecar.samples import call


class DecisionLogTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.lines: list[dict[str, t.Any]] = []
        sink = logger.add(lambda message: self.record_line(message.record), format="{message}")
        self.addCleanup(logger.remove, sink)

    def record_line(self, record: t.Any) -> None:
        self.lines.append({"message": record["message"], **record["extra"]})

    async def test_a_refused_call_is_logged_with_id_reason_and_inputs(self) -> None:
        DecisionLog().refused(call("r-9", attempt=1), "no target", load=3, slots=4)
        (line,) = self.lines
        for name, value in {"request": "r-9", "reason": "no target", "load": 3}.items():
            self.assertEqual(line[name], value)

    async def test_lines_of_one_event_are_rate_limited_and_others_are_not(self) -> None:
        decisions = DecisionLog()
        for _ in range(1000):
            decisions.refused(call(), "no target")
        self.assertLess(len(self.lines), BURST_LINES + 20)
        decisions.event("target left", target="t-1")
        self.assertEqual(self.lines[-1]["message"], "target left")

    async def test_the_next_line_has_the_number_of_lines_dropped_before_it(self) -> None:
        decisions = DecisionLog()
        dropped = 7
        with mock.patch.object(asyncio.get_running_loop(), "time", return_value=100.0) as time:
            for _ in range(int(BURST_LINES) + dropped):
                decisions.event("node entry")
            for _ in range(2):
                time.return_value += 1.5 / LINES_PER_S
                decisions.event("node entry")
        counts = [line.get("left_out") for line in self.lines]
        self.assertEqual(counts, [None] * int(BURST_LINES) + [dropped, None])

    async def test_successful_calls_are_sampled_and_late_ones_are_not(self) -> None:
        decisions = DecisionLog()
        for _ in range(SUCCESS_SAMPLE_INTERVAL):
            decisions.answered(call(), Response(200, (), b""), False)
        self.assertEqual(len(self.lines), 1)
        decisions.answered(call("r-2"), Response(200, (), b""), True)
        self.assertEqual(self.lines[-1]["request"], "r-2")


class BoundedWriterTests(unittest.TestCase):
    def test_a_reader_that_stops_causes_dropped_lines_without_blocking(self) -> None:
        reader, writer = os.pipe()
        self.addCleanup(os.close, writer)
        os.set_blocking(writer, False)
        bounded = BoundedWriter(writer)
        line = b"x" * 1023 + b"\n"
        for _ in range(2 * MAX_BUFFERED_BYTES // len(line)):
            bounded.write(line)
        os.set_blocking(reader, False)
        data = b""
        for _ in range(100):
            data += os.read(reader, 10 << 20)
            bounded.write(line)
        os.close(reader)
        self.assertTrue(b"lines dropped" in data, "no line reports the dropped ones")
        note = next(text for text in data.split(b"\n") if b"lines dropped" in text)
        self.assertGreater(json.loads(note)["count"], 0)

    def test_a_closed_descriptor_is_ignored(self) -> None:
        reader, writer = os.pipe()
        os.close(reader)
        BoundedWriter(writer).write(b"line\n")
        os.close(writer)
