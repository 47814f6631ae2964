"""The load of a day with faults on 90 nodes, at a third of its size."""

from tests.overload.replay import Kind

SCALE = 1 / 3
TARGETS_BY_SERVICE = {"one": 15, "two": 12, "three": 3}


def kinds(load: float = 1.0) -> list[Kind]:
    """Return the kinds of calls; ``load`` multiplies the demand of the day."""
    factor = SCALE * load
    return [
        Kind("read", "one", 490 * factor, 0.17, 0.98, 3.4, 1.5, inner="fetch", inner_count=1),
        Kind(
            "write",
            "two",
            240 * factor,
            0.22,
            1.2,
            4.4,
            2.0,
            value=2.0,
            priority=0,
            inner="lookup",
            inner_count=2,
        ),
        Kind("download", "three", 70 * factor, 0.14, 1.18, 4.1, 2.0),
        Kind("fetch", "two", 0.0, 0.05, 0.327, 0.9, 0.9),
        Kind("lookup", "three", 0.0, 0.05, 0.327, 0.9, 0.9),
    ]
