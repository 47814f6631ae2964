"""A short run of the soak: overlapping stops, reloads and changes lose, double and mix no call."""

import pathlib
import tempfile
import unittest

from benchmarks.soak.checks import find_violations
from benchmarks.soak.report import summary_line
from benchmarks.soak.report import timelines
from benchmarks.soak.run import play
from benchmarks.soak.schedule import draw_plan

SEED = 25
"""Draws many stops, and downloads that ask for more than their links carry."""
NODES = 16
SECONDS = 25.0
GRACE_S = 6.0
NETWORK = "127.244.1"


class SoakTests(unittest.IsolatedAsyncioTestCase):
    # LOST: downloads taken by stopping nodes were cut at the end of the stop, since a link that was
    # busy sent those that were past their latency objective after all others.
    async def test_overlapping_stops_lose_no_call_behind_busy_links(self) -> None:
        plan = draw_plan(SEED, NODES, SECONDS, GRACE_S)
        with tempfile.TemporaryDirectory() as directory:
            record = await play(plan, GRACE_S, NETWORK, pathlib.Path(directory))
        violations = find_violations(record)
        text = "\n".join([summary_line(SEED, record, violations), *timelines(record, violations)])
        self.assertFalse(violations, text)
        self.assertGreater(len(record.stops), NODES, text)
