"""How old a replica's state is at most, by the store's answers."""

import asyncio


class Confirmation:
    """Since when a state is known to lack nothing.

    That is when the store began its last answer that had everything, to this node or to the one
    that the state came from. Times are event loop times in seconds.
    """

    __slots__ = ("_confirmed_at", "_requested_at", "direct")

    def __init__(self) -> None:
        self._confirmed_at: float | None = None
        self._requested_at = 0.0
        """When the pending request was sent, or its response began."""
        self.direct = False
        """Whether the last answer came from the store itself, not through another node."""

    @property
    def age_s(self) -> float:
        """Seconds since the state was known to lack nothing; infinite before the first answer."""
        if self._confirmed_at is None:
            return float("inf")
        return asyncio.get_running_loop().time() - self._confirmed_at

    def begin(self) -> None:
        """Note that a request is sent, or that its response begins.

        The response has what the topic had then, however long its transfer takes.
        """
        self._requested_at = asyncio.get_running_loop().time()

    def complete(self) -> None:
        """Note that the pending request's response was applied, and left nothing out."""
        self._confirmed_at = self._requested_at

    def take_over(self, age_s: float, restored: bool) -> None:
        """Note that a state of another node was applied.

        :param age_s: age of that state.
        :param restored: whether it is of another era than the one before, whose age says nothing.
        """
        confirmed_at = asyncio.get_running_loop().time() - age_s
        if self._confirmed_at is None or restored or confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at
        self.direct = False
