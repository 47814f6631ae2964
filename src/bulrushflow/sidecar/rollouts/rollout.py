"""One rollout as a node tracks it, and which of two statuses applies."""

from bulrushflow.rollouts import CompletedRolloutWatch
from bulrushflow.rollouts import ExposureLimits
from bulrushflow.rollouts import RolloutController
from bulrushflow.rollouts import RolloutTimes
from bulrushflow.sidecar.model import RolloutOrder
from bulrushflow.sidecar.model import RolloutPhase
from bulrushflow.sidecar.model import RolloutStatus

FULL_PERMILLE = 1000
FINISH_MARGIN_S = 3.0
"""Time reserved before the deadline for the last calls at the old version to end. With 2.5 s a node
that took over from the driver completed a rollout too late."""
OLD_VERSION = "old"
"""Stands for the version in use in the evidence, or for all others while it isn't known."""


class Rollout:
    """One order, its status, and this node's analysis of the new version."""

    __slots__ = ("controller", "order", "seen_at", "share_since", "status", "watch")

    def __init__(self, order: RolloutOrder, seen_at: float, limits: ExposureLimits) -> None:
        self.order = order
        self.seen_at = seen_at
        self.share_since = seen_at
        self.status: RolloutStatus | None = None
        finish_by_s = max(1.0, order.duration_s - FINISH_MARGIN_S)
        times = RolloutTimes(0, int(finish_by_s * 1000), order.duration_s - finish_by_s)
        self.watch: CompletedRolloutWatch | None = None
        """Analysis after the rollout's completion."""
        self.controller = RolloutController(OLD_VERSION, order.to_version, times, seen_at, limits)

    @property
    def phase(self) -> RolloutPhase:
        """Phase of the rollout as known to this node."""
        return self.status.phase if self.status is not None else RolloutPhase.RUNNING

    @property
    def share_permille(self) -> int:
        """Traffic share of the new version."""
        if self.status is None or self.phase is RolloutPhase.ROLLED_BACK:
            return 0
        return FULL_PERMILLE if self.phase is RolloutPhase.COMPLETED else self.status.share_permille

    def elapsed_s(self, now: float, now_ms: int) -> float:
        """Return the seconds since the order, as this node saw it or, if longer, by its status."""
        own_s = now - self.seen_at
        if self.status is None:
            return own_s
        return max(own_s, (now_ms - self.status.stated_at_ms) / 1000)


def supersedes(status: RolloutStatus, known: RolloutStatus, newly_recorded_end: bool) -> bool:
    """Return whether a status replaces the known one.

    A completed rollout can still be rolled back, and a rollback is undone only by what the store
    recorded in its place.
    """
    if status.key != known.key:
        return status.is_after(known)
    if newly_recorded_end and status.step >= known.step:
        return True
    if known.phase is RolloutPhase.ROLLED_BACK:
        return False
    if known.phase is RolloutPhase.COMPLETED:
        return status.phase is RolloutPhase.ROLLED_BACK and status.step > known.step
    return status.phase is not RolloutPhase.RUNNING or status.step > known.step
