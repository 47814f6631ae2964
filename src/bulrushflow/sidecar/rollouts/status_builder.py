"""Builds the status of a rollout's next step."""

import asyncio

from msgspec.structs import replace

from bulrushflow.sidecar.model import RolloutPhase
from bulrushflow.sidecar.model import RolloutStatus
from bulrushflow.sidecar.records.directory import Directory
from bulrushflow.sidecar.rollouts.rollout import Rollout
from bulrushflow.sidecar.rollouts.tracker import Rollouts
from bulrushflow.timers import Clock


class StatusBuilder:
    """Builds statuses that name this node, and the service's versions as it knows them."""

    __slots__ = ("_clock", "_directory", "_own_id", "_rollouts")

    def __init__(self, own_id: str, rollouts: Rollouts, directory: Directory, clock: Clock) -> None:
        self._own_id = own_id
        self._rollouts = rollouts
        self._directory = directory
        self._clock = clock

    def next_status(
        self, rollout: Rollout, share: int, phase: RolloutPhase, reason: str
    ) -> RolloutStatus:
        """Return the status after the rollout's current one."""
        from_version, withdrawn = self._versions(rollout)
        return replace(
            rollout.status or self._initial_status(rollout),
            step=rollout.status.step + 1 if rollout.status is not None else 1,
            share_permille=share,
            phase=phase,
            reason=reason,
            decided_by=self._own_id,
            era=rollout.order.era,
            from_version=from_version,
            withdrawn=withdrawn,
        )

    def _initial_status(self, rollout: Rollout) -> RolloutStatus:
        order = rollout.order
        now = asyncio.get_running_loop().time()
        stated_at_ms = self._clock.wall_ms() - int((now - rollout.seen_at) * 1000)
        return RolloutStatus(
            service=order.service,
            to_version=order.to_version,
            order_id=order.order_id,
            step=1,
            share_permille=0,
            phase=RolloutPhase.RUNNING,
            stated_at_ms=stated_at_ms,
            finish_by_ms=stated_at_ms + int(order.duration_s * 1000),
        )

    def _versions(self, rollout: Rollout) -> tuple[str, tuple[str, ...]]:
        """Return the version that the rollout replaces, and the withdrawn ones."""
        service, ordered = rollout.order.service, rollout.order.to_version
        versions = self._rollouts.versions(service)
        running = self._running_versions(service)
        withdrawn = tuple(v for v in versions.trim(running).withdrawn if v != ordered)
        if rollout.status is not None:
            if rollout.status.from_version:
                return rollout.status.from_version, withdrawn
            if versions.in_use == ordered:
                # It completed under a node of an earlier release, which didn't name the other one.
                return "", withdrawn
        return versions.infer_in_use(ordered, running), withdrawn

    def _running_versions(self, service: str) -> set[str]:
        """Return the versions of a service that targets run, draining ones included."""
        targets = [peer.entry.target for peer in self._directory.peers_by_key.values()]
        return {t.version for t in targets if t is not None and t.service == service}
