"""Versions of a service: the one in use, and those that were withdrawn.

A rollback concerns the version, not only the order that was in force: a later order of another
version must not give a faulty version calls again while its targets are still there.
"""

import typing as t

import msgspec

MAX_WITHDRAWN_VERSIONS = 8
"""Withdrawn versions that a service keeps. Its targets run two or three versions at a time, and
the list is part of each status record."""


class ServiceVersions(msgspec.Struct, frozen=True):
    """The version in use and the withdrawn versions of one service.

    ``in_use`` is empty while it isn't known. ``withdrawn`` has the latest version last.
    """

    in_use: str = ""
    withdrawn: tuple[str, ...] = ()

    def is_usable(self, version: str) -> bool:
        """Return whether a version that isn't ordered may get calls.

        While the version in use isn't known, all versions that aren't withdrawn may.
        """
        if self.in_use:
            return version == self.in_use
        return version not in self.withdrawn

    def order(self, version: str, replaced: str) -> "ServiceVersions":
        """Return the versions while a version is rolled out in place of ``replaced``."""
        return ServiceVersions(replaced or self.in_use, self._withdrawn_without(version))

    def complete(self, version: str) -> "ServiceVersions":
        """Return the versions once a version has all calls."""
        return ServiceVersions(version, self._withdrawn_without(version))

    def roll_back(self, version: str, replaced: str) -> "ServiceVersions":
        """Return the versions once a version was rolled back to ``replaced``."""
        in_use = replaced or self.in_use
        withdrawn = (*self._withdrawn_without(version), version)
        return ServiceVersions(in_use if in_use != version else "", withdrawn).trim(())

    def merge_withdrawn(self, earlier: t.Iterable[str]) -> "ServiceVersions":
        """Return the versions with more withdrawn ones, which count as the earlier ones."""
        added = tuple(version for version in earlier if version not in self.withdrawn)
        return ServiceVersions(self.in_use, (*added, *self.withdrawn)).trim(())

    def trim(self, running: t.Collection[str]) -> "ServiceVersions":
        """Return the versions with at most :data:`MAX_WITHDRAWN_VERSIONS` withdrawn ones.

        :param running: versions that targets run; the others are evicted first, oldest first.
        """
        excess = len(self.withdrawn) - MAX_WITHDRAWN_VERSIONS
        if excess <= 0:
            return self
        by_priority = sorted(self.withdrawn, key=lambda version: version in running)
        evicted = set(by_priority[:excess])
        kept = tuple(version for version in self.withdrawn if version not in evicted)
        return ServiceVersions(self.in_use, kept)

    def infer_in_use(self, ordered: str, running: t.Iterable[str]) -> str:
        """Return the version in use, inferred from the running ones if it isn't known.

        It is empty if several running versions might be the one in use.
        """
        if self.in_use:
            return self.in_use
        others = {version for version in running if version != ordered and self.is_usable(version)}
        return others.pop() if len(others) == 1 else ""

    def _withdrawn_without(self, version: str) -> tuple[str, ...]:
        return tuple(other for other in self.withdrawn if other != version)
