"""Measures the time until a change is in force on every node, and the load on the log.

Nodes run as processes on one machine, without targets; times are taken from the nodes' logs. Goals:
a single change and a burst of 50 are in force on all nodes within 1 s while the log is up, and
within 8 s just after an outage; reads of the log do not grow with the number of nodes. The baseline
is every node polling the log once a second.
"""

import asyncio
import itertools
import json
import pathlib
import random
import re
import statistics
import tempfile
import time
import typing as t
from dataclasses import dataclass

import aiohttp
import cappa
import msgspec

from benchmarks import processes
from bulrushflow.configuration import Configure
from bulrushflow.configuration import ServiceBody
from bulrushflow.configuration import encode_record
from bulrushflow.recording import CONFIGURATION_STREAM
from bulrushflow.recording import HttpLog

DATA_CENTRES = ("ayutthaya", "suphan", "ang-thong", "chainat")
SINGLE_CHANGES = 5
BURST_CHANGES = 50
IDLE_S = 10.0
OUTAGE_S = 10.0
CHANGE_TIMEOUT_S = 20.0
READY_TIMEOUT_S = 60.0
POLL_PERIOD_S = 1.0
REQUEST_TIMEOUT_S = 5.0

Figures = dict[str, t.Any]

_SENT_BYTES = re.compile(
    r'^bulrushflow_control_bytes_total\{[^}]*direction="sent"[^}]*\} (\S+)', re.MULTILINE
)


class NodeFleet:
    """The log stand-in, a client that publishes to it, and the node processes."""

    def __init__(self, directory: pathlib.Path) -> None:
        self.directory = directory
        self.nodes: list[processes.Program] = []
        self._numbers = itertools.count()

    async def start(self, count: int) -> None:
        """Start the log, then all nodes without waiting for each to become ready."""
        self.log_program, self.log_url = await processes.start_log(self.directory)
        self.log = HttpLog(self.log_url, REQUEST_TIMEOUT_S)
        self.session = aiohttp.ClientSession()
        await self._start_nodes(range(count))

    async def replace_half(self) -> None:
        """Kill half of the nodes, spread over the data centres, and start as many new ones."""
        half = len(self.nodes) // 2
        killed, self.nodes = self.nodes[:half], self.nodes[half:]
        count = len(killed) + len(self.nodes)
        for node in killed:
            node.process.kill()
        await asyncio.gather(*(node.process.wait() for node in killed))
        await self._start_nodes(range(count, count + len(killed)))

    async def _start_nodes(self, numbers: range) -> None:
        for i in numbers:
            data_centre = DATA_CENTRES[i % len(DATA_CENTRES)]
            node_id = f"{data_centre}-{i}"
            self.nodes.append(
                await processes.start_node(self.directory, node_id, data_centre, self.log_url)
            )

    async def stop(self) -> None:
        """Stop all nodes concurrently, then the log."""
        await asyncio.gather(*(node.stop() for node in self.nodes))
        await self.session.close()
        await self.log.close()
        await self.log_program.stop()

    async def wait_ready(self) -> None:
        """Wait until every node reports that it is ready for calls.

        :raises TimeoutError: when a node is not ready within ``READY_TIMEOUT_S``.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            for node in self.nodes:
                url = await processes.operator_url(node)
                while not await self._is_ready(url):  # noqa: ASYNC110
                    await asyncio.sleep(processes.POLL_S)

    async def publish(self) -> tuple[int, float]:
        """Append one change and return its offset and the time of sending, in epoch seconds."""
        number = next(self._numbers)
        service = ServiceBody(f"v{number}")
        record = Configure(1, f"change-{number}", "benchmark", services={"queue-desk": service})
        sent_at = time.time()
        offset = (await self.log.append(CONFIGURATION_STREAM, encode_record(record))).unwrap()
        return offset, sent_at

    async def log_counts(self) -> dict[str, int]:
        """Return the numbers of reads and appends that the log has served."""
        async with self.session.get(self.log_url + "/counts") as response:
            counts: dict[str, int] = await response.json()
            return counts

    async def set_log_down(self, down: bool) -> None:
        """Start or end an outage of the log."""
        async with self.session.post(self.log_url + "/faults", json={"down": down}) as response:
            response.raise_for_status()

    def processor_s(self) -> float:
        """Return the total processor time of the running nodes, in seconds."""
        return sum(node.processor_s() for node in self.nodes)

    async def control_bytes(self) -> float:
        """Return the control bytes, datagrams and records, that all nodes have sent so far."""
        total = 0.0
        for node in self.nodes:
            url = await processes.operator_url(node)
            async with self.session.get(url + "/metrics") as response:
                text = await response.text()
            total += sum(float(value) for value in _SENT_BYTES.findall(text))
        return total

    async def _is_ready(self, url: str) -> bool:
        try:
            async with self.session.get(url + "/ready") as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False


async def measure_change(fleet: NodeFleet, count: int = 1) -> Figures:
    """Publish changes and return statistics of the delay until the last is in force on a node."""
    for _ in range(count):
        offset, sent_at = await fleet.publish()
    times = await processes.wait_in_force(fleet.nodes, offset, CHANGE_TIMEOUT_S)
    delays_s = sorted(at - sent_at for at in times if at is not None)
    return {
        "nodes": len(delays_s),
        "missing": len(times) - len(delays_s),
        "p50_s": statistics.median(delays_s) if delays_s else None,
        "last_s": delays_s[-1] if delays_s else None,
    }


async def measure_nodes(count: int) -> Figures:
    """Return the figures of nodes that disseminate records among themselves."""
    with tempfile.TemporaryDirectory() as directory:
        fleet = NodeFleet(pathlib.Path(directory))
        started_at = time.monotonic()
        try:
            await fleet.start(count)
            await fleet.wait_ready()
            figures: Figures = {"ready_s": time.monotonic() - started_at}
            start_counts = await fleet.log_counts()
            figures["reads_to_ready"] = start_counts["reads"]
            figures["appends_to_ready"] = start_counts["appends"]
            figures.update(await _measure_changes(fleet))
            return figures
        finally:
            await fleet.stop()


async def _measure_changes(fleet: NodeFleet) -> Figures:
    await fleet.publish()
    await asyncio.sleep(IDLE_S / 2)
    sent = await fleet.control_bytes()
    before, processor_s = await fleet.log_counts(), fleet.processor_s()
    await asyncio.sleep(IDLE_S)
    idle, idle_processor_s = await fleet.log_counts(), fleet.processor_s() - processor_s
    idle_sent = await fleet.control_bytes() - sent
    node_s = len(fleet.nodes) * IDLE_S
    single = [await measure_change(fleet) for _ in range(SINGLE_CHANGES)]
    after_single = await fleet.log_counts()
    burst = await measure_change(fleet, BURST_CHANGES)
    await fleet.set_log_down(True)
    await asyncio.sleep(OUTAGE_S)
    await fleet.set_log_down(False)
    after_outage = await measure_change(fleet)
    before_restart, started_at = await fleet.log_counts(), time.monotonic()
    await fleet.replace_half()
    await fleet.wait_ready()
    restart_ready_s = time.monotonic() - started_at
    after_restart = await fleet.log_counts()
    return {
        "idle_reads_per_s": (idle["reads"] - before["reads"]) / IDLE_S,
        "idle_core_percent_per_node": 100 * idle_processor_s / node_s,
        "idle_sent_bytes_per_s_per_node": idle_sent / node_s,
        "reads_per_change": (after_single["reads"] - idle["reads"]) / SINGLE_CHANGES,
        "single": single,
        "burst": burst,
        "after_outage": after_outage,
        "restart_half": {
            "ready_s": restart_ready_s,
            "reads": after_restart["reads"] - before_restart["reads"],
            "appends": after_restart["appends"] - before_restart["appends"],
            "change": await measure_change(fleet),
        },
        "resident_mb_per_node": statistics.mean(n.resident_bytes() for n in fleet.nodes) / 1e6,
    }


async def measure_polling(count: int, rng: random.Random) -> Figures:
    """Return the figures of the baseline: every node polls the log once a second."""
    with tempfile.TemporaryDirectory() as directory:
        fleet = NodeFleet(pathlib.Path(directory))
        await fleet.start(0)
        seen_at_by_poller: list[dict[int, float]] = [{} for _ in range(count)]
        pollers = [
            asyncio.create_task(_poll(fleet.log_url, seen_at, rng.uniform(0, POLL_PERIOD_S)))
            for seen_at in seen_at_by_poller
        ]
        try:
            await asyncio.sleep(2 * POLL_PERIOD_S)
            before = await fleet.log_counts()
            await asyncio.sleep(IDLE_S)
            after = await fleet.log_counts()
            last_s = []
            for _ in range(SINGLE_CHANGES):
                offset, sent_at = await fleet.publish()
                await asyncio.sleep(2 * POLL_PERIOD_S)
                last_s.append(
                    max(seen_at.get(offset, float("inf")) for seen_at in seen_at_by_poller)
                    - sent_at
                )
            reads_per_s = (after["reads"] - before["reads"]) / IDLE_S
            return {"idle_reads_per_s": reads_per_s, "single_last_s": last_s}
        finally:
            for poller in pollers:
                poller.cancel()
            await fleet.stop()


async def _poll(log_url: str, seen_at: dict[int, float], phase_s: float) -> None:
    log = HttpLog(log_url, REQUEST_TIMEOUT_S)
    next_offset = 0
    await asyncio.sleep(phase_s)
    try:
        while True:
            page = (await log.read(CONFIGURATION_STREAM, next_offset)).unwrap()
            for record in page.records:
                seen_at[record.offset] = time.time()
            next_offset = page.next_offset
            await asyncio.sleep(POLL_PERIOD_S)
    finally:
        await log.close()


def _print_figures(count: int, figures: Figures, polling: Figures) -> None:
    single = [c["last_s"] for c in figures["single"]]
    missing = sum(c["missing"] for c in [*figures["single"], figures["burst"]])
    restart = figures["restart_half"]
    print(
        f"{count:>5} nodes: ready {figures['ready_s']:.1f} s, {figures['reads_to_ready']} reads, "
        f"{figures['appends_to_ready']} appends; idle {figures['idle_reads_per_s']:.1f} reads/s; "
        f"{figures['reads_per_change']:.1f} reads a change\n"
        f"      last node: single {_ms(single)} ms, burst {_ms([figures['burst']['last_s']])} ms, "
        f"after outage {_ms([figures['after_outage']['last_s']])} ms; missing "
        f"{missing + figures['after_outage']['missing']}; "
        f"{figures['resident_mb_per_node']:.0f} MB and "
        f"{figures['idle_core_percent_per_node']:.2f}% of a core and "
        f"{figures['idle_sent_bytes_per_s_per_node']:.0f} B/s sent idle a node\n"
        f"      half restarted: ready {restart['ready_s']:.1f} s, {restart['reads']} reads, "
        f"{restart['appends']} appends; then last node {_ms([restart['change']['last_s']])} ms, "
        f"missing {restart['change']['missing']}\n"
        f"      polling: idle {polling['idle_reads_per_s']:.1f} reads/s, last node "
        f"{_ms(polling['single_last_s'])} ms",
        flush=True,
    )


def _ms(values: list[float | None]) -> str:
    return "/".join("-" if v is None else f"{v * 1000:.0f}" for v in values)


@cappa.command(name="benchmarks.convergence")
@dataclass
class ConvergenceBenchmark:
    """Measure convergence for several fleet sizes."""

    nodes: t.Annotated[
        list[int] | None, cappa.Arg(long=True, help="fleet size; may be repeated")
    ] = None
    seed: t.Annotated[int, cappa.Arg(long=True, help="seed of the polling phases")] = 1
    json: t.Annotated[pathlib.Path | None, cappa.Arg(long=True, help="write the figures here")] = (
        None
    )

    def __call__(self) -> None:
        results = []
        for count in self.nodes or [10, 30]:
            figures = asyncio.run(measure_nodes(count))
            polling = asyncio.run(measure_polling(count, random.Random(self.seed)))
            _print_figures(count, figures, polling)
            results.append({"count": count, "spreading": figures, "polling": polling})
        if self.json is not None:
            settings = {
                "data_centres": len(DATA_CENTRES),
                "burst": BURST_CHANGES,
                "outage_s": OUTAGE_S,
            }
            result = {"seed": self.seed, "settings": settings, "results": results}
            self.json.write_bytes(msgspec.json.format(json.dumps(result).encode()))


if __name__ == "__main__":
    cappa.invoke(ConvergenceBenchmark)
