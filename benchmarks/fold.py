"""Measures the fold and snapshots with a configuration of the largest intended size.

Goals: less than 100 µs per record in pages of 500, less than 50 ms to make or open a snapshot, and
a snapshot record below 1 MB.
"""

import gc
import itertools
import json
import pathlib
import random
import time
import tracemalloc
import typing as t
from dataclasses import dataclass

import cappa
import msgspec

from bulrushflow.configuration import EMPTY_CONFIGURATION
from bulrushflow.configuration import MAX_VERDICTS
from bulrushflow.configuration import Configuration
from bulrushflow.configuration import ConfigurationStore
from bulrushflow.configuration import Configure
from bulrushflow.configuration import FinishRollout
from bulrushflow.configuration import LogRecord
from bulrushflow.configuration import Record
from bulrushflow.configuration import RecordRolloutStep
from bulrushflow.configuration import RouteBody
from bulrushflow.configuration import ServiceBody
from bulrushflow.configuration import StartRollout
from bulrushflow.configuration import encode_configuration
from bulrushflow.configuration import encode_record
from bulrushflow.configuration import fold_records
from bulrushflow.configuration import make_snapshot
from bulrushflow.configuration import open_snapshot

SERVICES = 500
ROUTES_PER_SERVICE = 3
ROLLOUTS = 64
STEPS = 6
PAGE_RECORDS = 500
REPEATS = 5
FAR_FUTURE_MS = 10**15

Figures = dict[str, float]


def build(rng: random.Random) -> tuple[list[LogRecord], Configuration]:
    """Return a log whose state reaches its size limits, and that state."""
    records: list[Record] = []
    for i in range(SERVICES):
        paths = [f"/service-{i}/{j}" for j in range(ROUTES_PER_SERVICE)]
        records.append(
            Configure(
                1,
                f"{rng.getrandbits(64):016x}",
                "operator",
                services={f"service-{i}": ServiceBody("v1")},
                routes={path: RouteBody(f"service-{i}") for path in paths},
            )
        )
    for i in range(ROLLOUTS):
        move_id = f"{rng.getrandbits(64):016x}"
        records.append(StartRollout(1, move_id, "operator", f"service-{i}", "v2", FAR_FUTURE_MS))
        for k in range(STEPS):
            evidence = "no route worse than the old version; 771 calls"
            records.append(
                RecordRolloutStep(
                    1, f"{move_id}/{k}", move_id, k, "by the schedule", evidence, "n-1"
                )
            )
        records.append(FinishRollout(1, f"{move_id}/done", move_id, False, "healthy", "", "n-1"))
    while len(records) < MAX_VERDICTS + SERVICES:
        name = f"service-{rng.randrange(SERVICES)}"
        version = ServiceBody(f"v{rng.randrange(100)}")
        publish_id = f"{rng.getrandbits(64):016x}"
        records.append(Configure(1, publish_id, "operator", services={name: version}))
    log = [LogRecord(i, 1000 + i, encode_record(r)) for i, r in enumerate(records)]
    return log, fold_records(EMPTY_CONFIGURATION, log).configuration


def fold_pages(log: list[LogRecord], page: int) -> Configuration:
    """Fold a log in pages of ``page`` records and return the final state."""
    state = EMPTY_CONFIGURATION
    for start in range(0, len(log), page):
        state = fold_records(state, log[start : start + page]).configuration
    return state


def best_s(function: t.Callable[[], object]) -> float:
    """Return the shortest duration of ``REPEATS`` calls, in seconds."""
    times = []
    for _ in range(REPEATS):
        started_at = time.perf_counter()
        function()
        times.append(time.perf_counter() - started_at)
    return min(times)


def retained_bytes(make: t.Callable[[], object]) -> int:
    """Return the memory in bytes that the result of ``make`` keeps allocated."""
    tracemalloc.start()
    value = make()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del value
    return size


def make_filled_store(log: list[LogRecord]) -> ConfigurationStore:
    """Return a node's store after a whole log, with the records it keeps for its peers."""
    store = ConfigurationStore()
    for start in range(0, len(log), PAGE_RECORDS):
        copies = (LogRecord(r.offset, r.appended_at_ms, bytes(bytearray(r.body))) for r in log)
        store.apply(itertools.islice(copies, start, start + PAGE_RECORDS))
    return store


def measure(seed: int) -> Figures:
    """Return sizes, durations and memory by the names of the report."""
    log, state = build(random.Random(seed))
    snapshot = make_snapshot(state)
    record = encode_record(snapshot)
    newest = [LogRecord(state.offset + 1, 1, log[-1].body.replace(b'":"v', b'":"w'))]
    return {
        "records": len(log),
        "services": len(state.services_by_name),
        "routes": len(state.routes_by_path),
        "moves": len(state.moves_by_id),
        "verdicts": len(state.verdicts_by_publish_id),
        "fold_us_per_record_pages_of_500": best_s(lambda: fold_pages(log, PAGE_RECORDS))
        / len(log)
        * 1e6,
        "fold_us_per_record_one_by_one": best_s(lambda: fold_pages(log, 1)) / len(log) * 1e6,
        "fold_us_of_one_record": best_s(lambda: fold_records(state, newest)) * 1e6,
        "encode_ms": best_s(lambda: encode_configuration(state)) * 1e3,
        "state_bytes": len(encode_configuration(state)),
        "make_snapshot_ms": best_s(lambda: make_snapshot(state)) * 1e3,
        "open_snapshot_ms": best_s(lambda: open_snapshot(snapshot)) * 1e3,
        "snapshot_record_bytes": len(record),
        "store_memory_bytes": retained_bytes(lambda: make_filled_store(log)),
    }


@cappa.command(name="benchmarks.fold")
@dataclass
class FoldBenchmark:
    """Measure the fold and snapshots."""

    seed: t.Annotated[int, cappa.Arg(long=True, help="seed of the records")] = 1
    json: t.Annotated[pathlib.Path | None, cappa.Arg(long=True, help="write the figures here")] = (
        None
    )

    def __call__(self) -> None:
        figures = measure(self.seed)
        for name, value in figures.items():
            print(f"{name:<36} {value:>12,.1f}")
        if self.json is not None:
            result = {"seed": self.seed, "repeats": REPEATS, "figures": figures}
            self.json.write_bytes(msgspec.json.format(json.dumps(result).encode()))


if __name__ == "__main__":
    cappa.invoke(FoldBenchmark)
