"""Measures the latency that nodes add to a call, and goodput under overload, on loopback.

Run by ``python -m benchmarks.calls``. Calls that were lost, doubled, crossed, cut or falsely
refused as not run are counted as broken; see :class:`bulrushflow.standins.load.Summary`.
"""

import asyncio
import pathlib
import sys
import tempfile
import typing as t
from dataclasses import dataclass

import cappa
import msgspec
from hdrh.histogram import HdrHistogram

from benchmarks.call_processes import Fleet
from benchmarks.call_processes import Pair
from benchmarks.call_processes import cpu_seconds
from benchmarks.call_processes import print_table
from bulrushflow.standins.load import Calls
from bulrushflow.standins.load import Summary
from bulrushflow.standins.load import compare_runs
from bulrushflow.standins.load import run_load

ADDED_P99_LIMIT_MS = 0.48
ROUTE_TIMEOUT_MS = 500
LATENCY_SLOTS = 20
LATENCY_WORK_MS = 1.0
OVERLOAD_SLOTS = 5
OVERLOAD_WORK_MS = 50.0
OVERLOAD_PAIRS = 3
LOAD_MULTIPLES = (0.5, 1.0, 2.0, 4.0)
SETTLE_S = 3.0


class AddedRow(msgspec.Struct):
    """Latency of one way to the target, and processor time of the nodes on it.

    Added latencies are relative to direct calls. Processor times are per call, without idle load.
    """

    way: str
    calls: int
    p50_ms: float
    p90_ms: float
    p99_ms: float
    added_p50_ms: float = 0.0
    added_p90_ms: float = 0.0
    added_p99_ms: float = 0.0
    ingress_cpu_ms: float = 0.0
    gatekeeper_cpu_ms: float = 0.0
    broken: int = 0


class GoodputRow(msgspec.Struct):
    """Outcomes of the calls at one multiple of the targets' capacity.

    ``broken`` leaves out lost calls, which are counted as ``unanswered``.
    """

    way: str
    multiple: float
    offered_per_s: float
    goodput_per_s: float
    answered_p50_ms: float
    answered_p99_ms: float
    not_run: int
    unknown: int
    unanswered: int
    late_sends: int
    broken: int


class Report(msgspec.Struct):
    """Settings and results of one benchmark run."""

    seed: int
    rate_per_s: float
    rounds: int
    seconds: float
    added: list[AddedRow] = []
    goodput: list[GoodputRow] = []
    ended_badly: int = 0


@dataclass(slots=True)
class Way:
    """Measurements of one way to the target, summed over all rounds."""

    name: str
    url: str
    histogram: HdrHistogram
    ingress_cpu_s: float = 0.0
    gatekeeper_cpu_s: float = 0.0
    calls: int = 0
    broken: int = 0


async def measure_added(fleet: Fleet, report: Report) -> None:
    """Measure direct calls, calls through a bare proxy and calls through one or two nodes.

    The ways take turns in each round.
    """
    behaviour = {"work_ms": LATENCY_WORK_MS}
    ingress = fleet.add_pair("plots", "v1", LATENCY_SLOTS, behaviour)
    serving = fleet.add_pair("statements", "v1", LATENCY_SLOTS, behaviour)
    await _publish(fleet, ["plots", "statements"])
    bare_url = fleet.add_bare_proxy(fleet.base_port + 5, serving.target_url)
    urls = [url + "/statements/7" for url in (serving.caller_url, ingress.caller_url, bare_url)]
    await fleet.wait_until_answered(urls)
    await asyncio.sleep(SETTLE_S)
    ways = [
        Way("direct", serving.target_url, _histogram()),
        Way("bare proxy", bare_url, _histogram()),
        Way("own target", serving.caller_url, _histogram()),
        Way("forwarded", ingress.caller_url, _histogram()),
    ]
    idle_cpu_s = await _idle_cpu_seconds(serving, ingress, report.seconds)
    for round_number in range(report.rounds):
        for way in ways:
            await _measure_way(
                way, serving, ingress, report, report.seed * 1000 + round_number, idle_cpu_s
            )
    report.added = _added_rows(ways)


async def measure_goodput(pairs: list[Pair], report: Report, through_nodes: bool) -> None:
    """Measure goodput at each of :data:`LOAD_MULTIPLES` of the targets' capacity.

    :param pairs: the targets, with their nodes.
    :param through_nodes: call through nodes; otherwise the targets directly, round robin and
        without admission control.
    """
    capacity = len(pairs) * OVERLOAD_SLOTS / (OVERLOAD_WORK_MS / 1000)
    urls = [pair.caller_url if through_nodes else pair.target_url for pair in pairs]
    way = "nodes" if through_nodes else "round robin"
    for multiple in LOAD_MULTIPLES:
        calls = await run_load(
            urls,
            ["/payments/7"],
            capacity * multiple,
            report.seconds,
            report.seed * 1000 + int(multiple * 10) + 500 * through_nodes,
            ROUTE_TIMEOUT_MS / 1000,
            round_robin=True,
        )
        await compare_runs(calls, [pair.target_url for pair in pairs])
        report.goodput.append(_goodput_row(way, multiple, capacity, report.seconds, calls))
        await asyncio.sleep(1.0)


async def _measure_way(
    way: Way,
    serving: Pair,
    ingress: Pair,
    report: Report,
    seed: int,
    idle_cpu_s: tuple[float, float],
) -> None:
    cpu_before = cpu_seconds(ingress.node), cpu_seconds(serving.node)
    calls = await run_load([way.url], ["/statements/7"], report.rate_per_s, report.seconds, seed)
    cpu_after = cpu_seconds(ingress.node), cpu_seconds(serving.node)
    way.ingress_cpu_s += cpu_after[0] - cpu_before[0] - idle_cpu_s[0]
    way.gatekeeper_cpu_s += cpu_after[1] - cpu_before[1] - idle_cpu_s[1]
    way.histogram.add(calls.answered_histogram)
    way.calls += calls.summary.calls
    way.broken += _broken_calls(calls.summary)


async def _idle_cpu_seconds(serving: Pair, ingress: Pair, seconds: float) -> tuple[float, float]:
    cpu_before = cpu_seconds(ingress.node), cpu_seconds(serving.node)
    await asyncio.sleep(seconds)
    return cpu_seconds(ingress.node) - cpu_before[0], cpu_seconds(serving.node) - cpu_before[1]


async def _publish(fleet: Fleet, services: list[str]) -> None:
    document = {
        "services": {name: {"version": "v1"} for name in services},
        "routes": {
            f"/{name}": {"service": name, "timeout_ms": ROUTE_TIMEOUT_MS} for name in services
        },
    }
    await asyncio.to_thread(fleet.publish, document)


def _added_rows(ways: list[Way]) -> list[AddedRow]:
    rows: list[AddedRow] = []
    for way in ways:
        row = AddedRow(way.name, way.calls, *_percentiles(way.histogram), broken=way.broken)
        if rows:
            row.added_p50_ms = row.p50_ms - rows[0].p50_ms
            row.added_p90_ms = row.p90_ms - rows[0].p90_ms
            row.added_p99_ms = row.p99_ms - rows[0].p99_ms
            row.gatekeeper_cpu_ms = way.gatekeeper_cpu_s / way.calls * 1000
        if way.name == "forwarded":
            row.ingress_cpu_ms = way.ingress_cpu_s / way.calls * 1000
        rows.append(row)
    return rows


def _goodput_row(
    way: str, multiple: float, capacity: float, seconds: float, calls: Calls
) -> GoodputRow:
    summary = calls.summary
    p50_ms, _, p99_ms = _percentiles(calls.answered_histogram)
    return GoodputRow(
        way=way,
        multiple=multiple,
        offered_per_s=capacity * multiple,
        goodput_per_s=summary.in_time / seconds,
        answered_p50_ms=p50_ms,
        answered_p99_ms=p99_ms,
        not_run=summary.not_run,
        unknown=summary.unknown,
        unanswered=summary.lost,
        late_sends=summary.late_sends,
        broken=_broken_calls(summary) - summary.lost,
    )


def _broken_calls(summary: Summary) -> int:
    counts = (summary.lost, summary.doubled, summary.crossed, summary.cut, summary.false_not_run)
    return sum(counts)


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, 60_000_000, 3)


def _percentiles(histogram: HdrHistogram) -> tuple[float, float, float]:
    p50_us, p90_us, p99_us = (histogram.get_value_at_percentile(p) for p in (50, 90, 99))
    return p50_us / 1000, p90_us / 1000, p99_us / 1000


@cappa.command(name="benchmarks.calls")
@dataclass
class CallsCommand:
    """Measure latency added by nodes and goodput under overload."""

    seed: t.Annotated[int, cappa.Arg(long=True, help="seed of the calls")] = 1
    rate: t.Annotated[float, cappa.Arg(long=True, help="latency calls per second")] = 270.0
    rounds: t.Annotated[int, cappa.Arg(long=True, help="rounds of the latency part")] = 4
    seconds: t.Annotated[float, cappa.Arg(long=True, help="seconds per load")] = 5.0
    base_port: t.Annotated[int, cappa.Arg(long=True, help="first TCP port")] = 25100
    part: t.Annotated[
        t.Literal["all", "added", "goodput"], cappa.Arg(long=True, help="what to measure")
    ] = "all"
    json: t.Annotated[pathlib.Path | None, cappa.Arg(long=True, help="write JSON here")] = None

    def __call__(self) -> None:
        report = Report(self.seed, self.rate, self.rounds, self.seconds)
        with tempfile.TemporaryDirectory() as directory:
            fleet = Fleet(pathlib.Path(directory), self.base_port)
            try:
                asyncio.run(self._measure(fleet, report))
            finally:
                report.ended_badly = fleet.stop()
        print(f"seed {self.seed}, {self.rate:g} calls/s, {self.rounds} rounds of {self.seconds} s")
        for rows in (report.added, report.goodput):
            if rows:
                print_table(rows)
        print(f"target: added_p99_ms at most {ADDED_P99_LIMIT_MS}; goodput at 4 at least that at 1")
        if self.json is not None:
            self.json.write_bytes(msgspec.json.encode(report))
        if report.ended_badly:
            sys.exit(f"{report.ended_badly} processes failed or did not stop in time")

    async def _measure(self, fleet: Fleet, report: Report) -> None:
        if self.part != "goodput":
            await measure_added(fleet, report)
        if self.part != "added":
            await self._measure_goodput(fleet, report)

    async def _measure_goodput(self, fleet: Fleet, report: Report) -> None:
        behaviour = {"work_ms": OVERLOAD_WORK_MS, "queue_beyond_slots": True}
        pairs = [
            fleet.add_pair("payments", "v1", OVERLOAD_SLOTS, behaviour)
            for _ in range(OVERLOAD_PAIRS)
        ]
        measured_before = ["plots", "statements"] if self.part == "all" else []
        await _publish(fleet, [*measured_before, "payments"])
        await fleet.wait_until_answered([pair.caller_url + "/payments/7" for pair in pairs])
        await asyncio.sleep(SETTLE_S)
        await measure_goodput(pairs, report, through_nodes=True)
        await measure_goodput(pairs, report, through_nodes=False)


def main() -> None:
    """Run the benchmark."""
    cappa.invoke(CallsCommand)


if __name__ == "__main__":
    main()
