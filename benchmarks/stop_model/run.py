"""One run: nodes, calls and planned stops on virtual time."""

import asyncio
import random
import typing as t

import msgspec

from benchmarks.stop_model.ledger import CallEntry
from benchmarks.stop_model.ledger import StopCheck
from benchmarks.stop_model.ledger import Violation
from benchmarks.stop_model.network import Uplink
from benchmarks.stop_model.node import DEFAULT_STOP_TIMES
from benchmarks.stop_model.node import Node
from benchmarks.stop_model.node import StopTimes
from benchmarks.stop_model.scenario import Download
from benchmarks.stop_model.scenario import Scenario
from benchmarks.stop_model.scenario import StopAt
from benchmarks.stop_model.target import Target
from bulrushflow.wire.links import CHECK_PERIOD_S
from tests.virtual_time import run_virtually

READINESS_SEEN_FROM_S = 0.3
END_S = 12.0
"""Time after the last call until which the run goes on, above any timeout and stop."""


class RunResult(msgspec.Struct, frozen=True):
    """Outcome of one run, in calls."""

    seed: int
    calls: int
    whole: int
    refused: int
    violations: tuple[Violation, ...]


class Run:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario, stop_times: StopTimes = DEFAULT_STOP_TIMES) -> None:
        self._scenario = scenario
        self._stop_times = stop_times
        self._rng = random.Random(f"{scenario.seed}/run")
        self._addresses = [f"node-{i}" for i in range(scenario.nodes)]
        self._uplinks = [Uplink(scenario.link_mbps) for _ in self._addresses]
        self._entries_by_id: dict[str, CallEntry] = {}
        self._nodes_by_address: dict[str, Node] = {}
        self._check = StopCheck(scenario.grace_s, scenario.loss_slack_s)
        self._start_s = 0.0

    def run_to_end(self) -> RunResult:
        """Run until all calls have ended."""
        run_virtually(self._run())
        check = self._check
        return RunResult(
            self._scenario.seed,
            check.checked,
            check.whole,
            check.refused,
            tuple(check.violations),
        )

    async def _run(self) -> None:
        scenario = self._scenario
        loop = asyncio.get_running_loop()
        self._start_s = loop.time()
        self._check = StopCheck(scenario.grace_s, scenario.loss_slack_s, self._start_s)
        for index in range(scenario.nodes):
            self._start_node(index)
        async with asyncio.TaskGroup() as tasks:
            for download in scenario.downloads:
                loop.call_at(self._start_s + download.at_s, self._send, download)
            for stop in scenario.stops:
                tasks.create_task(self._stop(stop))
            background = [
                tasks.create_task(self._send_records()),
                tasks.create_task(self._check_links()),
            ]
            await asyncio.sleep(scenario.duration_s + END_S)
            for task in background:
                task.cancel()

    def _start_node(self, index: int) -> None:
        scenario = self._scenario
        has_target = index < scenario.targets
        address = self._addresses[index]
        self._nodes_by_address[address] = Node(
            address,
            scenario,
            self._uplinks[index],
            Target(scenario.downloads, self._entries_by_id) if has_target else None,
            self._find,
            self._addresses[: scenario.targets],
            self._rng,
            self._stop_times,
        )

    def _find(self, address: str) -> Node | None:
        node = self._nodes_by_address[address]
        return None if node.gone else node

    async def _stop(self, stop: StopAt) -> None:
        await asyncio.sleep(stop.at_s)
        node = self._nodes_by_address[self._addresses[stop.node]]
        self._check.record_stop(stop.node, asyncio.get_running_loop().time())
        await node.stop()
        await asyncio.sleep(self._scenario.restart_s)
        self._start_node(stop.node)

    def _send(self, download: Download) -> None:
        now = asyncio.get_running_loop().time()
        node = self._choose_node(now)
        if node is None:
            return
        index = self._addresses.index(node.address)
        timeout_at = now + self._scenario.timeout_s
        entry = CallEntry(download.number, index, now, timeout_at, self._check.record_close)
        self._entries_by_id[str(download.number)] = entry
        node.accept(entry, download.reading_mbps)

    def _choose_node(self, now: float) -> Node | None:
        """Return the node that a caller calls: one that it takes for ready, if there is one."""
        seen_s = self._rng.uniform(READINESS_SEEN_FROM_S, self._scenario.readiness_seen_s)
        running = [node for node in self._nodes_by_address.values() if not node.gone]
        ready = [n for n in running if n.stopped_at is None or now < n.stopped_at + seen_s]
        nodes = ready or running
        return self._rng.choice(nodes) if nodes else None

    async def _send_records(self) -> t.NoReturn:
        scenario = self._scenario
        while True:
            await asyncio.sleep(1 / scenario.records_per_s)
            for node in self._nodes_by_address.values():
                if not node.gone:
                    node.send_records(scenario.record_bytes)

    async def _check_links(self) -> t.NoReturn:
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            for node in list(self._nodes_by_address.values()):
                if not node.gone:
                    await node.check_links()
