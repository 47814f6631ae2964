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


class ColdPeriod:
    """The latest time until which the own target said that it is cold.

    A call that begins while the target is cold is slow, though it may end after the target became
    warm and said so.
    """

    __slots__ = ("_process", "_warm_at_ms")

    def __init__(self) -> None:
        self._process: tuple[str, int] | None = None
        self._warm_at_ms = 0

    def note(self, process: tuple[str, int], warm_at_ms: int) -> None:
        """Note what a run of the target says.

        :param warm_at_ms: epoch milliseconds from which it expects to be warm, 0 if it is.
        """
        if process != self._process:
            self._process = process
            self._warm_at_ms = 0
        self._warm_at_ms = max(self._warm_at_ms, warm_at_ms)

    def includes(self, began_ms: float) -> bool:
        """Return whether a call that began then met a cold target."""
        return began_ms < self._warm_at_ms
