"""Matching of a call's route and choice of the service version."""

import random
import typing as t

if t.TYPE_CHECKING:
    from bulrushflow.configuration import Configuration
    from bulrushflow.configuration import Route


FULL_SHARE_PERMILLE = 1000


def match_route(configuration: "Configuration", path: str) -> "Route | None":
    """Return the route with the longest matching path prefix.

    A prefix matches whole path segments only: ``/dues`` matches ``/dues/7``, not ``/duesday``.
    """
    candidate = path.partition("?")[0]
    while candidate:
        route = configuration.routes_by_path.get(candidate)
        if route is not None:
            return route
        if candidate == "/":
            return None
        candidate = candidate.rstrip("/").rpartition("/")[0] or "/"
    return None


def choose_versions(
    configuration: "Configuration",
    service: str,
    share_permille: t.Callable[[int], int],
    rng: random.Random,
) -> tuple[str, ...]:
    """Return the versions to try for one call, in order of preference.

    During a rollout, a call that goes to the new version can fall back to the old one, provided
    that it did not run or that it may be retried.

    :param share_permille: returns the new version's traffic share for a rollout's offset; 0 once
        the rollout was rolled back.
    """
    stable = configuration.services_by_name[service].version
    rollout = configuration.active_rollout(service)
    if rollout is None:
        return (stable,)
    share = share_permille(rollout.offset)
    if share >= FULL_SHARE_PERMILLE:
        return (rollout.to_version, rollout.from_version)
    if rng.randrange(FULL_SHARE_PERMILLE) < share:
        return (rollout.to_version, rollout.from_version)
    return (rollout.from_version,)
