"""Counts the outcomes of calls while nodes and targets stop, pause and crash, on loopback.

Run by ``python -m benchmarks.call_faults``. Each fault is injected into a load of its own, and the
outcome of each call is compared with the executions that the targets recorded.
"""

import asyncio
import pathlib
import signal
import sys
import tempfile
import typing as t
from dataclasses import dataclass

import cappa
import msgspec

from benchmarks.call_processes import Fleet
from benchmarks.call_processes import Pair
from benchmarks.call_processes import print_table
from bulrushflow.standins.load import compare_runs
from bulrushflow.standins.load import run_load

WORK_MS = 20.0
SLOTS = 20
SERVING_NODES = 4
FAULT_AT_S = 2.0
PAUSE_S = 4.0
SETTLE_S = 3.0


class FaultRow(msgspec.Struct):
    """Outcomes of the calls during one fault."""

    fault: str
    calls: int
    answered: int
    not_run: int
    unknown: int
    lost: int
    doubled: int
    crossed: int
    cut: int
    false_not_run: int
    p50_ms: float
    p99_ms: float


class Report(msgspec.Struct):
    """Settings and results of one benchmark run."""

    seed: int
    rate_per_s: float
    seconds: float
    faults: list[FaultRow] = []


@dataclass(slots=True)
class Fault:
    """One fault to inject.

    ``callers`` are the pairs whose nodes are called, ``compared`` those whose targets still run
    afterwards and report their executions.
    """

    name: str
    strike: t.Callable[[], None]
    callers: list[Pair]
    compared: list[Pair]


async def measure(fleet: Fleet, report: Report) -> None:
    """Inject the faults one after another, each under load."""
    behaviour = {"work_ms": WORK_MS}
    ingress = fleet.add_pair("plots", "v1", SLOTS, behaviour)
    serving = [fleet.add_pair("payments", "v1", SLOTS, behaviour) for _ in range(SERVING_NODES)]
    document = {
        "services": {"plots": {"version": "v1"}, "payments": {"version": "v1"}},
        "routes": {"/payments": {"service": "payments"}},
    }
    await asyncio.to_thread(fleet.publish, document)
    await fleet.wait_until_answered([pair.caller_url + "/payments/7" for pair in fleet.pairs])
    await asyncio.sleep(SETTLE_S)
    for index, fault in enumerate(_faults(ingress, serving)):
        report.faults.append(await _measure_fault(fault, report, report.seed * 100 + index))
        await asyncio.sleep(SETTLE_S)


def _faults(ingress: Pair, serving: list[Pair]) -> list[Fault]:
    leaving, paused, dying, staying = serving
    return [
        Fault("none", lambda: None, [ingress], serving),
        Fault("gatekeeper leaves", leaving.node.terminate, [ingress], serving),
        Fault("gatekeeper pauses", lambda: _pause(paused), [ingress], serving),
        Fault("gatekeeper dies", dying.node.kill, [ingress], serving),
        Fault("target dies", paused.target.kill, [ingress], [leaving, dying, staying]),
        Fault("ingress leaves", ingress.node.terminate, [ingress, staying], [staying]),
    ]


async def _measure_fault(fault: Fault, report: Report, seed: int) -> FaultRow:
    asyncio.get_running_loop().call_later(FAULT_AT_S, fault.strike)
    urls = [pair.caller_url for pair in fault.callers]
    calls = await run_load(urls, ["/payments/7"], report.rate_per_s, report.seconds, seed)
    await compare_runs(calls, [pair.target_url for pair in fault.compared])
    summary = calls.summary
    return FaultRow(
        fault=fault.name,
        calls=summary.calls,
        answered=summary.answered,
        not_run=summary.not_run,
        unknown=summary.unknown,
        lost=summary.lost,
        doubled=summary.doubled,
        crossed=summary.crossed,
        cut=summary.cut,
        false_not_run=summary.false_not_run,
        p50_ms=summary.p50_ms,
        p99_ms=summary.p99_ms,
    )


def _pause(pair: Pair) -> None:
    pair.node.send_signal(signal.SIGSTOP)
    asyncio.get_running_loop().call_later(PAUSE_S, pair.node.send_signal, signal.SIGCONT)


@cappa.command(name="benchmarks.call_faults")
@dataclass
class CallFaultsCommand:
    """Count the outcomes of calls during faults."""

    seed: t.Annotated[int, cappa.Arg(long=True, help="seed of the calls")] = 1
    rate: t.Annotated[float, cappa.Arg(long=True, help="calls per second")] = 200.0
    seconds: t.Annotated[float, cappa.Arg(long=True, help="seconds per load")] = 8.0
    base_port: t.Annotated[int, cappa.Arg(long=True, help="first TCP port")] = 25200
    json: t.Annotated[pathlib.Path | None, cappa.Arg(long=True, help="write JSON here")] = None

    def __call__(self) -> None:
        report = Report(self.seed, self.rate, self.seconds)
        with tempfile.TemporaryDirectory() as directory:
            fleet = Fleet(pathlib.Path(directory), self.base_port)
            try:
                asyncio.run(measure(fleet, report))
            finally:
                fleet.stop()
        print(f"seed {self.seed}, {self.rate:g} calls/s, {self.seconds} s each")
        print_table(report.faults)
        if self.json is not None:
            self.json.write_bytes(msgspec.json.encode(report))
        if any(row.doubled + row.crossed + row.cut + row.false_not_run for row in report.faults):
            sys.exit(
                "calls were doubled, crossed, cut or falsely refused as not run; see the table"
            )


def main() -> None:
    """Run the benchmark."""
    cappa.invoke(CallFaultsCommand)


if __name__ == "__main__":
    main()
