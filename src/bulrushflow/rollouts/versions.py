"""Which versions of a service may get new calls, as this node knows it."""

import typing as t

from bulrushflow.configuration import Configuration
from bulrushflow.configuration import Rollout
from bulrushflow.configuration import RolloutStatus

GRACE_S = 10.0
"""Time for which a replaced version still takes calls of nodes that lag."""


class VersionFilter:
    """Follows the configuration and tells the versions that may get no new calls."""

    __slots__ = (
        "_abandoned_by_service",
        "_replaced_at",
        "_stable_by_service",
        "active_rollout_by_service",
    )

    def __init__(self) -> None:
        # Asked for each call, so worked out once for each configuration.
        self.active_rollout_by_service: dict[str, Rollout] = {}
        self._abandoned_by_service: dict[str, str] = {}
        self._stable_by_service: dict[str, str] = {}
        self._replaced_at: dict[tuple[str, str], float] = {}

    def update(self, configuration: Configuration, now_s: float) -> None:
        """Take in a new configuration.

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
        """Tell whether a version may get no new calls.

        Only the stable version, the version of an active move that isn't taken back and, for a
        short while, the version that was stable before may. A service that isn't known here is
        left to the check of routes.

        :param is_rolled_back: tells by a move's offset whether any node took it back.
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
    """Return the versions whose move, the newest of their service, ended without them."""
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
