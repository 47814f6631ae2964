"""A bound on the response bodies that are received from one target at the same time."""

import typing as t


class BodyOwner(t.Protocol):
    """A connection that receives a response body."""

    def fail(self, reason: str) -> None:
        """Fail the call whose response is received, and discard its body."""


class BodyBuffers:
    """Counts the bytes of unfinished response bodies.

    Beyond the bound the call with the largest body fails: a body without end is soon the largest,
    and small responses are still received beside it.

    :param max_bytes: bound on the sum of the bodies.
    """

    __slots__ = ("_bytes_by_owner", "_max_bytes", "used_bytes")

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._bytes_by_owner: dict[BodyOwner, int] = {}
        self.used_bytes = 0

    def add(self, owner: BodyOwner, size: int) -> None:
        """Count ``size`` more bytes of a body, which may fail the call of this or another owner."""
        self._bytes_by_owner[owner] = self._bytes_by_owner.get(owner, 0) + size
        self.used_bytes += size
        while self.used_bytes > self._max_bytes:
            self._fail_largest()

    def release(self, owner: BodyOwner) -> None:
        """Forget an owner's body, if it has one."""
        self.used_bytes -= self._bytes_by_owner.pop(owner, 0)

    def _fail_largest(self) -> None:
        largest = max(self._bytes_by_owner, key=self._bytes_by_owner.__getitem__)
        reason = (
            f"no buffer space for the rest of a response body of {self._bytes_by_owner[largest]} "
            f"bytes so far, the largest of {len(self._bytes_by_owner)}: {self.used_bytes} of at "
            f"most {self._max_bytes} bytes are in use"
        )
        self.release(largest)
        largest.fail(reason)
