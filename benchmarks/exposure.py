"""Benchmark of the exposure limit: how faulty versions are judged, without a network.

Blocks of calls are drawn for each fault, state of the old targets and call rate, and each method
decides on them in virtual time.
"""

import concurrent.futures
import dataclasses
import itertools
import statistics
import time
import typing as t

import cappa

from benchmarks.exposure_model.conditions import FAULTS_BY_NAME
from benchmarks.exposure_model.conditions import OLD_BY_NAME
from benchmarks.exposure_model.methods import METHODS_BY_NAME
from benchmarks.exposure_model.run import SHARE_LIMIT
from benchmarks.exposure_model.run import SLACK_CALLS
from benchmarks.exposure_model.run import Run
from benchmarks.exposure_model.run import RunResult

RATES_PER_S: t.Final = (5.0, 50.0, 500.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """One cell of the matrix, for one method."""

    method: str
    fault: str
    later: bool
    old: str
    rate_per_s: float
    runs: int
    seed: int


def play(job: Job) -> list[RunResult]:
    """Return the results of a cell's runs; all methods meet the same draws of the conditions."""
    return [
        Run(
            METHODS_BY_NAME[job.method](job.rate_per_s),
            job.fault,
            job.later,
            job.old,
            job.rate_per_s,
            f"{job.seed}/{job.fault}/{job.later}/{job.old}/{job.rate_per_s}/{i}",
        ).run_to_end()
        for i in range(job.runs)
    ]


def _row(results: list[RunResult]) -> str:
    completed = [result for result in results if result.completed]
    allowed = [SHARE_LIMIT * r.calls + SLACK_CALLS for r in results]
    used = sorted(r.given / limit for r, limit in zip(results, allowed, strict=True))
    times = [result.completed_s for result in completed]
    return (
        f"{100 * len(completed) / len(results):10.1f}"
        f"{100 * statistics.fmean(r.is_over for r in results):8.1f}"
        f"{statistics.fmean(r.given for r in results):9.0f}"
        f"{statistics.fmean(used):8.2f}{used[int(0.95 * (len(used) - 1))]:8.2f}"
        f"{statistics.median(times) if times else 0.0:8.1f}"
    )


@cappa.command(name="exposure")
@dataclasses.dataclass
class ExposureBenchmark:
    """Measure how methods judge new versions under an exposure limit."""

    runs: t.Annotated[int, cappa.Arg(long=True, help="runs per cell")] = 20
    seed: t.Annotated[int, cappa.Arg(long=True, help="seed of the draws")] = 1
    workers: t.Annotated[int, cappa.Arg(long=True, help="worker processes")] = 2
    by: t.Annotated[str, cappa.Arg(long=True, help="also group by: rate, old, or both")] = ""
    method: t.Annotated[list[str], cappa.Arg(long=True, help="only these methods")] = (
        dataclasses.field(default_factory=list)
    )

    def __call__(self) -> None:
        started_at = time.monotonic()
        jobs = [
            Job(method, fault, later, old, rate, self.runs, self.seed)
            for method, fault, later, old, rate in itertools.product(
                self.method or METHODS_BY_NAME,
                FAULTS_BY_NAME,
                (False, True),
                OLD_BY_NAME,
                RATES_PER_S,
            )
            if not (later and fault == "good")
        ]
        results_by_group: dict[tuple[str, ...], list[RunResult]] = {}
        with concurrent.futures.ProcessPoolExecutor(self.workers) as pool:
            for job, results in zip(jobs, pool.map(play, jobs, chunksize=4), strict=True):
                results_by_group.setdefault(self._group(job), []).extend(results)
        print(f"{'':52}{'completed':>10}{'over':>8}{'calls':>9}{'mean':>8}{'p95':>8}{'at s':>8}")
        for group, results in results_by_group.items():
            print(f"{'  '.join(group):<52}{_row(results)}")
        print(f"{self.runs} runs a cell, seed {self.seed}, {time.monotonic() - started_at:.0f} s")

    def _group(self, job: Job) -> tuple[str, ...]:
        group = [f"{job.method:<11}", f"{job.fault:<13}", "later" if job.later else "     "]
        if self.by in ("old", "both"):
            group.append(f"{job.old:<10}")
        if self.by in ("rate", "both"):
            group.append(f"{job.rate_per_s:>3g}/s")
        return tuple(group)


def main() -> None:
    """Run the benchmark."""
    cappa.invoke(ExposureBenchmark)


if __name__ == "__main__":
    main()
