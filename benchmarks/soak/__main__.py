"""Plays seeded runs of the soak.

Usage: ``python -m benchmarks.soak --seeds N``. The exit status is 1 if a run broke a rule.
"""

import argparse
import asyncio
import os
import pathlib
import signal
import sys
import tempfile
import traceback

import msgspec

from benchmarks.soak.checks import find_violations
from benchmarks.soak.report import summary_line
from benchmarks.soak.report import timelines
from benchmarks.soak.run import play
from benchmarks.soak.schedule import draw_plan

GRACE_S = 6.0


def parse_arguments() -> argparse.Namespace:
    """Return the program's arguments."""
    parser = argparse.ArgumentParser(prog="benchmarks.soak", description=__doc__)
    parser.add_argument("--seeds", type=int, default=1, help="number of runs")
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--nodes", type=int, default=16)
    parser.add_argument("--seconds", type=float, default=25.0, help="length of each run's load")
    parser.add_argument("--parallel", type=int, default=1, help="runs at the same time")
    parser.add_argument("--keep", type=pathlib.Path, help="directory for records and logs")
    return parser.parse_args()


async def run_seed(arguments: argparse.Namespace, seed: int, slot: int) -> set[str]:
    """Play one run, print its outcome, and return the rules that it broke."""
    plan = draw_plan(seed, arguments.nodes, arguments.seconds, GRACE_S)
    # Runs of several programs don't share addresses.
    network = f"127.{1 + os.getpid() % 200}.{os.getpid() // 200 % 200 + slot}"
    with tempfile.TemporaryDirectory(prefix="soak-") as scratch:
        directory = pathlib.Path(scratch)
        if arguments.keep is not None:
            directory = arguments.keep / f"seed-{seed}"
            directory.mkdir(parents=True, exist_ok=True)
        try:
            record = await play(plan, GRACE_S, network, directory)
        except Exception:  # The other seeds are played all the same.
            traceback.print_exc()
            print(f"seed {seed}: not played to its end", flush=True)
            return {"unplayed"}
        violations = find_violations(record)
        if arguments.keep is not None:
            (directory / "record.json").write_bytes(msgspec.json.encode(record))
    print("\n".join([summary_line(seed, record, violations), *timelines(record, violations)]))
    sys.stdout.flush()
    return {violation.rule for violation in violations}


async def run_seeds(arguments: argparse.Namespace) -> dict[int, set[str]]:
    """Play all runs, some at the same time; return the rules that each one broke."""
    task = asyncio.current_task()
    assert task is not None
    # A cancelled run still ends its processes.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    waiting = list(range(arguments.first_seed, arguments.first_seed + arguments.seeds))
    rules_by_seed: dict[int, set[str]] = {}

    async def work(slot: int) -> None:
        while waiting:
            seed = waiting.pop(0)
            rules_by_seed[seed] = await run_seed(arguments, seed, slot)

    await asyncio.gather(*(work(slot) for slot in range(arguments.parallel)))
    return rules_by_seed


def main() -> int:
    """Run the program and return its exit status."""
    rules_by_seed = asyncio.run(run_seeds(parse_arguments()))
    failed = {seed: rules for seed, rules in sorted(rules_by_seed.items()) if rules}
    for rule in sorted(set().union(*failed.values())):
        seeds = [seed for seed, rules in failed.items() if rule in rules]
        print(f"{rule}: {len(seeds)} seeds: {', '.join(map(str, seeds))}")
    print(f"{len(rules_by_seed)} seeds, {len(failed)} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
