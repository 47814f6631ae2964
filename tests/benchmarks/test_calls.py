import contextlib
import io
import typing as t
import unittest
from unittest import mock

from benchmarks import calls


class CallsCommandTests(unittest.TestCase):
    def run_part(self, part: t.Any) -> tuple[int, int]:
        """Run the command without processes; return how often each part was measured."""
        fleet = mock.Mock(**{"stop.return_value": 0})
        fleet.wait_until_answered = mock.AsyncMock()
        with contextlib.ExitStack() as stack:
            stack.enter_context(contextlib.redirect_stdout(io.StringIO()))
            stack.enter_context(mock.patch.object(calls, "Fleet", return_value=fleet))
            stack.enter_context(mock.patch.object(calls, "SETTLE_S", 0.0))
            added = stack.enter_context(mock.patch.object(calls, "measure_added"))
            goodput = stack.enter_context(mock.patch.object(calls, "measure_goodput"))
            calls.CallsCommand(part=part)()
        return added.await_count, goodput.await_count

    def test_only_the_chosen_part_is_measured(self) -> None:
        for part, counts in {"all": (1, 2), "added": (1, 0), "goodput": (0, 2)}.items():
            with self.subTest(part):
                self.assertEqual(self.run_part(part), counts)
