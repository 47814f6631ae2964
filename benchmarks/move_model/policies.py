"""The policies compared: this project's decisions, a fixed ramp, and no check at all."""

import typing as t

from bulrushflow.rollouts import RolloutController
from bulrushflow.rollouts import RolloutTimes
from bulrushflow.rollouts import RouteCounts
from bulrushflow.rollouts import SharedRollout
from bulrushflow.rollouts import SharedRollouts
from bulrushflow.rollouts import VersionRoute

OLD = "v1"
NEW = "v2"
OFFSET = 1
RAMP_PERMILLE = (10, 50, 100, 500, 1000)
RAMP_END = 0.95
RAMP_ERROR_RATE = 0.05
RAMP_MIN_CALLS = 20

Totals = dict[VersionRoute, RouteCounts]


class Policy(t.Protocol):
    """What decides on the share of the new version."""

    uses_latency: bool
    taken_back: bool
    done: bool
    reason: str

    @property
    def share_permille(self) -> int:
        """The share of calls that the new version gets."""

    def tick(self, totals: Totals, now_s: float) -> None:
        """Decide on cumulative counts."""


class Decisions:
    """The decision code as the nodes run it."""

    uses_latency = True

    def __init__(self, span_s: float) -> None:
        times = RolloutTimes(0, int(span_s * 1000))
        self._controller = RolloutController(OLD, NEW, times, 0.0)
        self._shared = SharedRollouts()
        self.taken_back = False
        self.done = False
        self.reason = ""

    @property
    def share_permille(self) -> int:
        """The share that nodes would serve."""
        return self._shared.share_permille(OFFSET)

    def tick(self, totals: Totals, now_s: float) -> None:
        share = self.share_permille
        self._controller.update_analysis(totals, share, now_s)
        pace = self._controller.next_step(share, int(now_s * 1000), now_s)
        self.done = pace.completed
        self.taken_back = pace.roll_back
        if pace.completed or pace.roll_back:
            self.reason = f"{pace.rule} ({self._controller.latest_result.evidence})"
        state = SharedRollout(OFFSET, pace.share_permille, pace.roll_back, pace.rule)
        self._shared.merge(state)
        self._shared.merge(state)


class Ramp:
    """Five fixed steps, with a threshold on the new version's error rate in each."""

    uses_latency = False

    def __init__(self, span_s: float, checks: bool = True) -> None:
        self._span_s = span_s
        self._checks = checks
        self._step = -1
        self._base = (0, 0)
        self._share_permille = 0
        self.taken_back = False
        self.done = False
        self.reason = ""

    @property
    def share_permille(self) -> int:
        """The share of the present step."""
        return self._share_permille

    def tick(self, totals: Totals, now_s: float) -> None:
        new = [counts for (version, _), counts in totals.items() if version == NEW]
        calls = sum(c.calls for c in new)
        errors = sum(c.errors for c in new)
        part = now_s / (RAMP_END * self._span_s)
        step = min(len(RAMP_PERMILLE) - 1, int(part * len(RAMP_PERMILLE)))
        if step != self._step:
            self._step = step
            self._base = (calls, errors)
            self._share_permille = RAMP_PERMILLE[step]
        step_calls = calls - self._base[0]
        step_errors = errors - self._base[1]
        if self._checks and step_calls >= RAMP_MIN_CALLS:
            self.taken_back = step_errors > RAMP_ERROR_RATE * step_calls
        self.done = part >= 1 and not self.taken_back


def decisions(span_s: float) -> Policy:
    """Return the decision code."""
    return Decisions(span_s)


def ramp(span_s: float) -> Policy:
    """Return the ramp with its threshold."""
    return Ramp(span_s)


def no_check(span_s: float) -> Policy:
    """Return the ramp without its threshold."""
    return Ramp(span_s, checks=False)


POLICIES_BY_NAME: t.Final[dict[str, t.Callable[[float], Policy]]] = {
    "bulrushflow": decisions,
    "five-step ramp": ramp,
    "no check": no_check,
}
