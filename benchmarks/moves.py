"""Benchmark of rollouts: seeded scenarios at several call rates, against two baselines.

The call outcomes are drawn from a model and the decision code runs in virtual time, without nodes.
"""

import concurrent.futures
import dataclasses
import json
import pathlib
import re
import statistics
import time
import typing as t

import cappa

from benchmarks.move_model.policies import POLICIES_BY_NAME
from benchmarks.move_model.run import RunResult
from benchmarks.move_model.run import run_once
from benchmarks.move_model.scenarios import SCENARIOS_BY_NAME

SPAN_AND_TICK_BY_RATE: t.Final = {200.0: (120.0, 0.5), 20.0: (300.0, 0.5), 2.0: (900.0, 1.0)}
"""Rollout duration and decision interval in seconds, by calls per second."""
MAX_REASONS = 3

_FIGURE = re.compile(r"\d+(\.\d+)?")


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Results of one scenario at one call rate under one policy, over all its runs."""

    scenario: str
    rate_per_s: float
    policy: str
    runs: int
    bad: bool
    on_time: float
    taken_back: float
    bad_calls: float
    bad_calls_p99: float
    bad_share: float
    stop_s: float
    stop_p99_s: float
    commonest_reasons: list[str]


def measure(scenario: str, rate: float, policy: str, runs: int, seed: int) -> Row:
    """Run one scenario ``runs`` times and return its row.

    :param rate: calls per second, a key of :data:`SPAN_AND_TICK_BY_RATE`.
    """
    span_s, tick_s = SPAN_AND_TICK_BY_RATE[rate]
    scenario_type = SCENARIOS_BY_NAME[scenario]
    results = [
        run_once(
            scenario_type,
            POLICIES_BY_NAME[policy],
            rate,
            span_s,
            tick_s,
            f"{seed}/{scenario}/{rate}/{i}",
        )
        for i in range(runs)
    ]
    stops = [r.stop_s for r in results if r.stop_s is not None]
    bad_calls = [r.bad_calls for r in results]
    calls = sum(r.calls for r in results)
    return Row(
        scenario,
        rate,
        policy,
        runs,
        scenario_type.bad,
        statistics.fmean(r.done_on_time for r in results),
        statistics.fmean(r.taken_back for r in results),
        statistics.fmean(bad_calls),
        _p99(bad_calls),
        sum(bad_calls) / max(1, calls),
        statistics.fmean(stops) if stops else 0.0,
        _p99(stops),
        commonest_reasons(results, scenario_type.bad),
    )


def commonest_reasons(results: list[RunResult], bad: bool) -> list[str]:
    """Return the three most frequent reasons for rolling a good version back or keeping a bad one.

    Runs are counted by the rule, whatever its figures and those that follow it in brackets; each
    has the figures of its first run.
    """
    reasons_by_rule: dict[str, list[str]] = {}
    for result in results:
        if result.reason and result.taken_back is not bad:
            rule = _FIGURE.sub("N", result.reason.partition(" (")[0])
            reasons_by_rule.setdefault(rule, []).append(result.reason)
    commonest = sorted(reasons_by_rule.values(), key=len, reverse=True)[:MAX_REASONS]
    return [f"{len(reasons)} runs: {reasons[0]}" for reasons in commonest]


def _p99(values: t.Sequence[float]) -> float:
    return sorted(values)[int(0.99 * (len(values) - 1))] if values else 0.0


def _format_row(row: Row) -> str:
    return (
        f"{row.scenario:<22}{row.rate_per_s:>6g}  {row.policy:<15}"
        f"{100 * row.on_time:>8.1f}{100 * row.taken_back:>8.1f}"
        f"{row.bad_calls:>10.1f}{row.bad_calls_p99:>9.0f}{100 * row.bad_share:>8.2f}"
        f"{row.stop_s:>8.1f}{row.stop_p99_s:>8.1f}"
    )


@cappa.command(name="moves")
@dataclasses.dataclass
class MovesBenchmark:
    """Measure rollouts in seeded scenarios."""

    runs: t.Annotated[int, cappa.Arg(long=True, help="runs per row")] = 500
    seed: t.Annotated[int, cappa.Arg(long=True, help="seed of the scenarios")] = 1
    workers: t.Annotated[int, cappa.Arg(long=True, help="worker processes")] = 4
    policy: t.Annotated[list[str], cappa.Arg(long=True, help="only these policies")] = (
        dataclasses.field(default_factory=list)
    )
    scenario: t.Annotated[list[str], cappa.Arg(long=True, help="only these scenarios")] = (
        dataclasses.field(default_factory=list)
    )
    rate: t.Annotated[
        list[float], cappa.Arg(long=True, help="only these rates in calls per second")
    ] = dataclasses.field(default_factory=list)
    json: t.Annotated[pathlib.Path | None, cappa.Arg(long=True, help="write JSON here")] = None

    def __call__(self) -> None:
        started_at = time.monotonic()
        jobs = [
            (scenario, rate, policy, self.runs, self.seed)
            for scenario in self.scenario or SCENARIOS_BY_NAME
            for rate in self.rate or SPAN_AND_TICK_BY_RATE
            for policy in self.policy or POLICIES_BY_NAME
        ]
        print(
            f"{'scenario':<22}{'rate':>6}  {'policy':<15}{'on time':>8}{'back':>8}"
            f"{'bad calls':>10}{'p99':>9}{'share':>8}{'stop s':>8}{'p99':>8}"
        )
        with concurrent.futures.ProcessPoolExecutor(self.workers) as pool:
            rows = []
            for row in pool.map(measure, *zip(*jobs, strict=True)):
                print(_format_row(row), flush=True)
                rows.append(row)
        seconds = time.monotonic() - started_at
        print(f"{self.runs} runs a row, seed {self.seed}, {seconds:.0f} s")
        if self.json is not None:
            settings = {"runs": self.runs, "seed": self.seed, "seconds": seconds}
            document = {"settings": settings, "rows": [dataclasses.asdict(row) for row in rows]}
            self.json.write_text(json.dumps(document, indent=1), encoding="utf-8")


def main() -> None:
    """Run the benchmark."""
    cappa.invoke(MovesBenchmark)


if __name__ == "__main__":
    main()
