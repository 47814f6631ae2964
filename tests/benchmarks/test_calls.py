import contextlib
import io
import typing as t
import unittest
from unittest import mock

from benchmarks import calls
from benchmarks.call_processes import Pair


class FakeFleet:
    """A fleet without processes; keeps the services of its pairs and what was published."""

    def __init__(self) -> None:
        self.pairs: list[Pair] = []
        self.services: list[str] = []
        self.published: list[dict[str, t.Any]] = []

    def add_pair(self, service: str, *_: t.Any) -> Pair:
        url = f"http://127.0.0.1:{len(self.pairs)}"
        process = t.cast(t.Any, None)
        self.pairs.append(Pair(process, process, url, url, url))
        self.services.append(service)
        return self.pairs[-1]

    def publish(self, document: dict[str, t.Any]) -> None:
        self.published.append(document)

    async def wait_until_answered(self, urls: list[str]) -> None:
        pass

    def stop(self) -> int:
        return 0


class CallsCommandTests(unittest.TestCase):
    def run_part(self, part: t.Any) -> tuple[int, int]:
        """Run the command without processes; return how often each part was measured."""
        self.fleet = FakeFleet()
        with contextlib.ExitStack() as stack:
            stack.enter_context(contextlib.redirect_stdout(io.StringIO()))
            stack.enter_context(mock.patch.object(calls, "Fleet", return_value=self.fleet))
            stack.enter_context(mock.patch.object(calls, "SETTLE_S", 0.0))
            added = stack.enter_context(mock.patch.object(calls, "measure_added"))
            goodput = stack.enter_context(mock.patch.object(calls, "measure_goodput"))
            calls.CallsCommand(part=part)()
        return added.await_count, goodput.await_count

    def test_only_the_chosen_part_is_measured(self) -> None:
        for part, counts in {"all": (1, 2), "added": (1, 0), "goodput": (0, 2)}.items():
            with self.subTest(part):
                self.assertEqual(self.run_part(part), counts)

    def test_goodput_alone_publishes_only_its_own_service(self) -> None:
        for part, services in {
            "all": {"plots", "statements", "payments"},
            "goodput": {"payments"},
        }.items():
            with self.subTest(part):
                self.run_part(part)
                self.assertEqual(set(self.fleet.published[-1]["services"]), services)
                self.assertEqual(self.fleet.services, ["payments"] * calls.OVERLOAD_PAIRS)
