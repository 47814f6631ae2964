"""The rollout policies compared: the nodes' controller, a fixed ramp with and without a check."""

import typing as t

from bulrushflow.rollouts import RolloutController
from bulrushflow.rollouts import RolloutTimes
from bulrushflow.rollouts import RouteCounts
from bulrushflow.rollouts import SharedRollout
from bulrushflow.rollouts import SharedRollouts
from bulrushflow.rollouts import VersionRoute

OLD_VERSION = "v1"
NEW_VERSION = "v2"
ROLLOUT_OFFSET = 1
RAMP_STEPS_PERMILLE = (10, 50, 100, 500, 1000)
RAMP_END_FRACTION = 0.95
RAMP_MAX_ERROR_RATE = 0.05
RAMP_MIN_STEP_CALLS = 20

CountsByVersionRoute = dict[VersionRoute, RouteCounts]


class Policy(t.Protocol):
    """Decides on the new version's traffic share."""

    uses_latency: bool
    """Whether the model draws latencies for this policy."""
    rolled_back: bool
    completed: bool
    reason: str

    @property
    def share_permille(self) -> int:
        """The new version's traffic share."""

    def tick(self, totals: CountsByVersionRoute, now_s: float) -> None:
        """Update the decision from cumulative counts."""


class ControllerPolicy:
    """The rollout controller that the nodes run."""

    uses_latency = True

    def __init__(self, span_s: float) -> None:
        times = RolloutTimes(0, int(span_s * 1000))
        self._controller = RolloutController(OLD_VERSION, NEW_VERSION, times, 0.0)
        self._shared = SharedRollouts()
        self.rolled_back = False
        self.completed = False
        self.reason = ""

    @property
    def share_permille(self) -> int:
        """The traffic share in the shared state, which nodes route by."""
        return self._shared.share_permille(ROLLOUT_OFFSET)

    def tick(self, totals: CountsByVersionRoute, now_s: float) -> None:
        share_permille = self.share_permille
        self._controller.update_analysis(totals, share_permille, now_s)
        decision = self._controller.next_step(share_permille, int(now_s * 1000), now_s)
        self.completed = decision.completed
        self.rolled_back = decision.roll_back
        if decision.completed or decision.roll_back:
            self.reason = f"{decision.rule} ({self._controller.latest_result.evidence})"
        state = SharedRollout(
            ROLLOUT_OFFSET, decision.share_permille, decision.roll_back, decision.rule
        )
        self._shared.merge(state)
        self._shared.merge(state)


class FixedRampPolicy:
    """Five fixed steps, each with a threshold on the new version's error rate.

    :param check_errors: whether to roll back above :data:`RAMP_MAX_ERROR_RATE`.
    """

    uses_latency = False

    def __init__(self, span_s: float, check_errors: bool = True) -> None:
        self._span_s = span_s
        self._check_errors = check_errors
        self._step = -1
        self._step_start = (0, 0)
        self._share_permille = 0
        self.rolled_back = False
        self.completed = False
        self.reason = ""

    @property
    def share_permille(self) -> int:
        """The traffic share of the current step."""
        return self._share_permille

    def tick(self, totals: CountsByVersionRoute, now_s: float) -> None:
        new = [counts for (version, _), counts in totals.items() if version == NEW_VERSION]
        calls = sum(c.calls for c in new)
        errors = sum(c.errors for c in new)
        progress = now_s / (RAMP_END_FRACTION * self._span_s)
        step = min(len(RAMP_STEPS_PERMILLE) - 1, int(progress * len(RAMP_STEPS_PERMILLE)))
        if step != self._step:
            self._step = step
            self._step_start = (calls, errors)
            self._share_permille = RAMP_STEPS_PERMILLE[step]
        step_calls = calls - self._step_start[0]
        step_errors = errors - self._step_start[1]
        if self._check_errors and step_calls >= RAMP_MIN_STEP_CALLS:
            self.rolled_back = step_errors > RAMP_MAX_ERROR_RATE * step_calls
        self.completed = progress >= 1 and not self.rolled_back


def controller_policy(span_s: float) -> Policy:
    """Return the policy that runs the nodes' controller."""
    return ControllerPolicy(span_s)


def fixed_ramp_policy(span_s: float) -> Policy:
    """Return the fixed ramp with its error threshold."""
    return FixedRampPolicy(span_s)


def unchecked_ramp_policy(span_s: float) -> Policy:
    """Return the fixed ramp without an error threshold."""
    return FixedRampPolicy(span_s, check_errors=False)


POLICIES_BY_NAME: t.Final[dict[str, t.Callable[[float], Policy]]] = {
    "bulrushflow": controller_policy,
    "five-step ramp": fixed_ramp_policy,
    "no check": unchecked_ramp_policy,
}
