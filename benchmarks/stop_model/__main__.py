"""Runs the model of planned stops over seeds, and prints what was lost.

Usage: ``python -m benchmarks.stop_model --seeds 50 [--first 0]``; ends with 1 if a call was lost.
"""

import argparse
import sys

from loguru import logger

from benchmarks.stop_model.run import Run
from benchmarks.stop_model.scenario import draw_scenario


def main() -> int:
    """Run the seeds; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=20, help="number of runs")
    parser.add_argument("--first", type=int, default=0, help="first seed")
    options = parser.parse_args()
    logger.disable("bulrushflow")
    lost = failed = calls = 0
    for seed in range(options.first, options.first + options.seeds):
        result = Run(draw_scenario(seed)).run_to_end()
        calls += result.calls
        lost += len(result.violations)
        failed += bool(result.violations)
        print(
            f"seed {seed}: {result.calls} calls, {result.whole} whole, {result.refused} refused, "
            f"{len(result.violations)} lost",
            flush=True,
        )
        for violation in result.violations:
            print(f"  {violation}")
    print(f"{options.seeds} runs, {failed} with a loss; {calls} calls, {lost} lost")
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(main())
