"""Warm-up of a target, during which slow calls are no evidence against its version."""

WARM_UP_S = 10.0
WARM_UP_CALLS = 5


class WarmUp:
    """Tracks whether this node's own target is still warming up.

    A target is warm :data:`WARM_UP_S` after its first call and after :data:`WARM_UP_CALLS` calls,
    whichever is later. Errors count from the first call on.
    """

    __slots__ = ("_calls", "_first_call_at", "_version")

    def __init__(self) -> None:
        self._version: str | None = None
        self._first_call_at: float | None = None
        self._calls = 0

    def set_version(self, version: str | None) -> None:
        """Set the version of the ready target, ``None`` if no target is ready."""
        if version == self._version:
            return
        self._version = version
        self._first_call_at = None
        self._calls = 0

    def count_call(self, now_s: float) -> bool:
        """Count one call and return whether it fell into the warm-up.

        :param now_s: this node's monotonic clock.
        """
        if self._first_call_at is None:
            self._first_call_at = now_s
        self._calls += 1
        return self._calls <= WARM_UP_CALLS or now_s - self._first_call_at < WARM_UP_S
