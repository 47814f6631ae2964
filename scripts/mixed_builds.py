"""Checks that two builds of this project work together, with real processes on loopback.

Usage: ``python -m scripts.mixed_builds OLD_TREE NEW_TREE``, with the source trees of the builds.
It prints a line for each check; the exit status is 1 if one failed, and 2 for wrong arguments.
"""

import argparse
import asyncio
import pathlib
import signal
import sys
import tempfile
import time
import traceback
import typing as t

from scripts.builds.log_design import check_log_design
from scripts.builds.reporting import Build
from scripts.builds.reporting import Builds
from scripts.builds.reporting import Report
from scripts.builds.sidecar_design import check_sidecar_design
from scripts.builds.timelines import check_timelines

TIME_LIMIT_S = 240.0
Part = t.Callable[[Builds, Report], t.Awaitable[None]]
PARTS: t.Mapping[str, Part] = {
    "sidecars": check_sidecar_design,
    "story": check_timelines,
    "log": check_log_design,
}
"""In the order of the run; the second one reads logs that the first one leaves."""


def parse_arguments(arguments: t.Sequence[str]) -> Builds:
    """Return the builds; ends the program with status 2 if one has no sources."""
    parser = argparse.ArgumentParser(prog="mixed_builds", description=__doc__)
    parser.add_argument("old_tree", type=pathlib.Path, help="source tree of the old build")
    parser.add_argument("new_tree", type=pathlib.Path, help="source tree of the new build")
    parsed = parser.parse_args(arguments)
    sources = []
    for tree in (parsed.old_tree, parsed.new_tree):
        source = tree.resolve() / "src"
        if not (source / "bulrushflow" / "__init__.py").is_file():
            parser.error(f"{tree} has no package src/bulrushflow")
        sources.append(source)
    return Builds(Build("old", sources[0]), Build("new", sources[1]))


async def run_parts(builds: Builds, report: Report) -> None:
    """Run all parts; one that ends early counts as a failed check."""
    task = asyncio.current_task()
    assert task is not None
    # A cancelled part still ends its processes.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    deadline = asyncio.get_running_loop().time() + TIME_LIMIT_S
    for name, part in PARTS.items():
        started_at = time.monotonic()
        try:
            async with asyncio.timeout_at(deadline):
                await part(builds, report)
        except Exception as exc:  # The other parts' outcomes are printed all the same.
            traceback.print_exc()
            report.add(f"{name}: all checks were made", False, repr(exc))
        print(f"{name}: {time.monotonic() - started_at:.0f} s", file=sys.stderr, flush=True)


def main(arguments: t.Sequence[str] | None = None) -> int:
    """Run the program and return its exit status."""
    builds = parse_arguments(sys.argv[1:] if arguments is None else arguments)
    for build in (builds.old, builds.new):
        print(f"{build.name}: {build.source} at {build.commit()}", flush=True)
    with tempfile.TemporaryDirectory(prefix="mixed-builds-") as scratch:
        report = Report(pathlib.Path(scratch))
        try:
            asyncio.run(run_parts(builds, report))
        except (asyncio.CancelledError, KeyboardInterrupt):
            report.add("run: all parts were run", False, "stopped by a signal")
    print("\n".join(report.lines))
    print(f"failed checks: {report.failed}")
    return 1 if report.failed else 0


if __name__ == "__main__":
    sys.exit(main())
