"""Prints the time to a response by the choice of the target, from the replay.

Command: ``PYTHONPATH=src:. .venv/bin/python -m tests.placement.compare``, seeds 1 and 2.
The services have 45, 36 and 9 targets, as on the day with faults, and 90 origin nodes choose.
"""

import statistics

from bulrushflow.overload import OVERLOAD_RULES
from bulrushflow.overload import PLAIN_RULES
from tests.overload import loads
from tests.overload.replay import Replay
from tests.placement.choices import CHOICES

SEEDS = (1, 2)
SIZE = 3
"""Factor to the size of the day."""
RUNS = (
    (PLAIN_RULES, "before", 0.7),
    (PLAIN_RULES, "before", 1.0),
    (OVERLOAD_RULES, "overload", 1.0),
)
TARGETS_BY_SERVICE = {name: count * SIZE for name, count in loads.TARGETS_BY_SERVICE.items()}


def main() -> None:
    """Print one row for each queue, demand and choice."""
    print("| queue | demand | choice | mean ms | p95 ms | in time | worth |")
    for rules, queue, load in RUNS:
        for name, make_choice in CHOICES.items():
            replays = [
                Replay(
                    loads.kinds(load * SIZE),
                    TARGETS_BY_SERVICE,
                    rules,
                    seed,
                    swing=0.55,
                    slow_fraction=0.15,
                    origins=90,
                    make_choice=make_choice,
                )
                for seed in SEEDS
            ]
            for replay in replays:
                replay.run(6.0)
            jobs = [job for replay in replays for job in replay.jobs if not job.parent]
            seconds = [job.ended_at - job.born for job in jobs if job.answered]
            in_time = statistics.mean(job.in_time for job in jobs)
            worth = statistics.mean(replay.worth() for replay in replays)
            mean_ms = statistics.mean(seconds) * 1000
            p95_ms = statistics.quantiles(seconds, n=20)[-1] * 1000
            row = f"{mean_ms:.0f} | {p95_ms:.0f} | {in_time:.3f} | {worth:.3f}"
            print(f"| {queue} | {load} | {name} | {row} |", flush=True)


if __name__ == "__main__":
    main()
