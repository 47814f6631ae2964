"""Versions of each service that may receive new calls, as known to this node."""

import typing as t

from bulrushflow.configuration import Configuration
from bulrushflow.configuration import Rollout
from bulrushflow.configuration import RolloutStatus

GRACE_S = 10.0
"""Time for which a replaced version still accepts calls from lagging nodes."""


class VersionFilter:
    """Determines from the configuration which versions may receive no new calls."""

    __slots__ = (
        "_abandoned_by_service",
        "_replaced_at",
        "_stable_by_service",
        "active_rollout_by_service",
    )

    def __init__(self) -> None:
        # Read for each call, so computed once for each configuration.
        self.active_rollout_by_service: dict[str, Rollout] = {}
        self._abandoned_by_service: dict[str, str] = {}
        self._stable_by_service: dict[str, str] = {}
        self._replaced_at: dict[tuple[str, str], float] = {}

    def update(self, configuration: Configuration, now_s: float) -> None:
        """Apply a new configuration.

        :param now_s: this node's monotonic clock.
        """
        for key, replaced_at in list(self._replaced_at.items()):
            if now_s - replaced_at > GRACE_S:
                del self._replaced_at[key]
        for service in configuration.services_by_name.values():
            previous = self._stable_by_service.get(service.name)
            if previous is not None and previous != service.version:
                self._replaced_at[service.name, previous] = now_s
            self._stable_by_service[service.name] = service.version
        for name in list(self._stable_by_service):
            if name not in configuration.services_by_name:
                del self._stable_by_service[name]
        self.active_rollout_by_service = {m.service: m for m in configuration.active_rollouts()}
        self._abandoned_by_service = _abandoned_by_service(configuration)

    def is_forbidden(
        self,
        service: str,
        version: str,
        is_rolled_back: t.Callable[[int], bool],
        now_s: float,
    ) -> bool:
        """Return whether a version may receive no new calls.

        Allowed are the stable version, the version of an active rollout that isn't rolled back and,
        for :data:`GRACE_S`, the previous stable version. A service unknown to this node is left
        to the check of routes.

        :param is_rolled_back: returns whether any node rolled back the rollout at an offset.
        """
        stable = self._stable_by_service.get(service)
        if stable is None or version == stable:
            return False
        rollout = self.active_rollout_by_service.get(service)
        if rollout is not None and rollout.to_version == version:
            return is_rolled_back(rollout.offset)
        if self._abandoned_by_service.get(service) == version:
            return True
        replaced_at = self._replaced_at.get((service, version))
        return replaced_at is None or now_s - replaced_at > GRACE_S


def _abandoned_by_service(configuration: Configuration) -> dict[str, str]:
    """Return by service the version of its newest finished rollout, if that wasn't completed."""
    newest_by_service: dict[str, Rollout] = {}
    for rollout in configuration.moves_by_id.values():
        newest = newest_by_service.get(rollout.service)
        if rollout.status is RolloutStatus.ACTIVE:
            continue
        if newest is None or newest.finished_offset < rollout.finished_offset:
            newest_by_service[rollout.service] = rollout
    return {
        service: rollout.to_version
        for service, rollout in newest_by_service.items()
        if rollout.status is not RolloutStatus.COMPLETED
    }
