"""Draws a run from a seed: the fleet, its load, and the planned work that overlaps."""

import random
import typing as t

import msgspec

LOAD_START_S = 2.0
"""Time before the first planned work, in which nodes learn the usual responses."""
STOP_SHARE = (0.5, 0.9)
"""Range of the fraction of the nodes that one series of stops concerns."""
STOP_GAP_S = (0.2, 0.5)
RELOAD_GAP_S = (0.1, 0.5)
CHANGE_GAP_S = (0.2, 0.4)
CHANGES_PER_SERIES = (6, 20)
PAUSE_S = (0.5, 3.0)
"""Range of the pauses between two series of one kind."""
LINK_MBPS = (4.0, 6.0)
"""Range of the bandwidth of the nodes beside targets of downloads."""
DEMAND = (0.9, 1.3)
"""Range of the downloads' demand, as a fraction of what these links carry."""
OBJECTIVE_S = (0.3, 1.5)
"""Range of the latency objective of the other downloads."""
ARCHIVE_SHARE = (0.0, 0.6)
"""Range of the fraction of the downloads whose objective is near their deadline."""
SIZE_SPREAD = (0.6, 1.0)
"""Range of the standard deviation of the logarithm of the responses' sizes."""
SLOW_SHARE = (0.02, 0.1)
"""Range of the fraction of the connections whose callers read slowly."""


class Step(msgspec.Struct, frozen=True):
    """Planned work on a node; ``at`` is in seconds since the load's start."""

    at: float
    node: int


class Plan(msgspec.Struct, frozen=True):
    """One run."""

    seed: int
    nodes: int
    seconds: float
    link_mbps: float
    demand: float
    objective_s: float
    archive_share: float
    size_spread: float
    slow_share: float
    stops: tuple[Step, ...]
    reloads: tuple[Step, ...]
    changes: tuple[float, ...]
    """Times of the configuration changes, in seconds since the load's start."""


def draw_plan(seed: int, nodes: int, seconds: float, grace_s: float) -> Plan:
    """Return the run of a seed; the last work begins a grace period before its end."""
    rng = random.Random(seed)
    end = seconds - grace_s
    return Plan(
        seed=seed,
        nodes=nodes,
        seconds=seconds,
        link_mbps=rng.uniform(*LINK_MBPS),
        demand=rng.uniform(*DEMAND),
        objective_s=rng.uniform(*OBJECTIVE_S),
        archive_share=rng.uniform(*ARCHIVE_SHARE),
        size_spread=rng.uniform(*SIZE_SPREAD),
        slow_share=rng.uniform(*SLOW_SHARE),
        stops=tuple(_node_series(rng, nodes, STOP_GAP_S, end)),
        reloads=tuple(_node_series(rng, nodes, RELOAD_GAP_S, end)),
        changes=tuple(_change_series(rng, end)),
    )


def _node_series(
    rng: random.Random, nodes: int, gap_s: tuple[float, float], end: float
) -> t.Iterator[Step]:
    at = LOAD_START_S + rng.uniform(*PAUSE_S)
    while at < end:
        count = round(nodes * rng.uniform(*STOP_SHARE))
        for node in rng.sample(range(nodes), count):
            if at >= end:
                return
            yield Step(at, node)
            at += rng.uniform(*gap_s)
        at += rng.uniform(*PAUSE_S)


def _change_series(rng: random.Random, end: float) -> t.Iterator[float]:
    at = LOAD_START_S + rng.uniform(*PAUSE_S)
    while at < end:
        for _ in range(rng.randint(*CHANGES_PER_SERIES)):
            if at >= end:
                return
            yield at
            at += rng.uniform(*CHANGE_GAP_S)
        at += rng.uniform(*PAUSE_S)
