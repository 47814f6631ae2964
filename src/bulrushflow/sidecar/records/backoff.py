"""Backoff between the attempts of an operation that fails."""

import random


class Backoff:
    """Random waits whose upper bound doubles with each failure, from ``first_s`` to ``max_s``.

    :param first_s: upper bound of the first wait, in seconds.
    :param max_s: upper bound of all waits, in seconds.
    """

    __slots__ = ("_bound_s", "_first_s", "_max_s", "_rng")

    def __init__(self, first_s: float, max_s: float, rng: random.Random) -> None:
        self._first_s = first_s
        self._max_s = max_s
        self._rng = rng
        self._bound_s = first_s

    def next_s(self) -> float:
        """Return the seconds to wait after a failure, between half of the bound and the bound."""
        wait_s = self._rng.uniform(0.5, 1.0) * self._bound_s
        self._bound_s = min(self._max_s, self._bound_s * 2)
        return wait_s

    def reset(self) -> None:
        """Begin with the first wait again, after a success."""
        self._bound_s = self._first_s
