"""What one run is made of, drawn from its seed."""

import random

import msgspec


class StopAt(msgspec.Struct, frozen=True):
    """A planned stop of one node."""

    node: int
    at_s: float


class Download(msgspec.Struct, frozen=True):
    """A call whose response is large."""

    number: int
    at_s: float
    size: int
    run_s: float
    reading_mbps: float
    """Rate at which its caller reads."""


class Scenario(msgspec.Struct, frozen=True):
    """One run. Times are in seconds of the run."""

    seed: int
    nodes: int = 6
    targets: int = 2
    """Number of nodes, the first ones, that have a target."""
    link_mbps: float = 12.0
    grace_s: float = 6.0
    objective_s: float = 1.5
    timeout_s: float = 5.0
    loss_slack_s: float = 0.2
    duration_s: float = 14.0
    readiness_seen_s: float = 2.5
    """Longest time until callers turn away from a node that isn't ready."""
    restart_s: float = 1.0
    records_per_s: float = 20.0
    """Frames of records that each node sends on its link."""
    record_bytes: int = 2_000
    stops: tuple[StopAt, ...] = ()
    downloads: tuple[Download, ...] = ()


MEAN_BYTES = 90_000
MAX_BYTES = 540_000
SIZE_SPREAD = 0.6
RUN_S = (0.08, 0.3)
FIRST_STOP_S = 2.0
STOP_GAP_S = (0.25, 0.5)
LOADS = (0.7, 1.0, 1.4)
"""Downloads asked for, as fractions of what the targets' links carry."""
SLOW_SHARE = 0.1
SLOW_MBPS = (1.0, 4.0)
FAST_MBPS = (20.0, 100.0)


def draw_scenario(seed: int) -> Scenario:
    """Return the run of a seed: stops of all nodes in series that overlap, under one load."""
    rng = random.Random(seed)
    base = Scenario(seed)
    stops = []
    at_s = FIRST_STOP_S
    for node in rng.sample(range(base.nodes), base.nodes):
        stops.append(StopAt(node, at_s))
        at_s += rng.uniform(*STOP_GAP_S)
    capacity_per_s = base.targets * base.link_mbps * 1e6 / 8 / MEAN_BYTES
    downloads = _draw_downloads(rng, capacity_per_s * rng.choice(LOADS), base.duration_s)
    return msgspec.structs.replace(base, stops=tuple(stops), downloads=downloads)


def _draw_downloads(
    rng: random.Random, rate_per_s: float, duration_s: float
) -> tuple[Download, ...]:
    downloads: list[Download] = []
    at_s = rng.expovariate(rate_per_s)
    while at_s < duration_s:
        size = MEAN_BYTES * rng.lognormvariate(-SIZE_SPREAD * SIZE_SPREAD / 2, SIZE_SPREAD)
        mbps = rng.uniform(*(SLOW_MBPS if rng.random() < SLOW_SHARE else FAST_MBPS))
        run_s = rng.uniform(*RUN_S)
        downloads.append(Download(len(downloads), at_s, int(min(size, MAX_BYTES)), run_s, mbps))
        at_s += rng.expovariate(rate_per_s)
    return tuple(downloads)
