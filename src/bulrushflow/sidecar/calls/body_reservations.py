"""Space for large bodies that other nodes announced and have not sent yet.

Nodes ask whether a call would be admitted before they send its large body. Several may ask at the
same time, so the answer has to reserve the space: checked alone, it would be promised to all.
"""

import msgspec

from bulrushflow.routing import ByteBudget

MIN_RESERVATION_S = 3.0
"""Least time within which an announced body has to arrive, unless its call ends before."""
SLOWEST_LINK_BYTES_PER_S = 5_000_000 / 8
"""Rate at which a body is expected to arrive at least; a slow link of 5 Mbit/s takes 26 s for a
body of 16 MiB. One that arrives later takes its space then, if there is any."""


class _Reservation(msgspec.Struct):
    size: int
    expires_at: float


class BodyReservations:
    """Space that is reserved for announced bodies, by the id of their call.

    :param budget: the space; bodies that have arrived take theirs from it too.
    """

    __slots__ = ("_budget", "_by_call_id")

    def __init__(self, budget: ByteBudget) -> None:
        self._budget = budget
        self._by_call_id: dict[str, _Reservation] = {}

    def reserve(self, call_id: str, size: int, now: float, deadline: float) -> bool:
        """Reserve ``size`` bytes for a call; return ``False`` if there is no space for them.

        A second announcement of the call replaces the first.

        :param now: event loop time in seconds.
        :param deadline: event loop time at which the call ends.
        """
        self.expire(now)
        self.release(call_id)
        if not self._budget.reserve(size):
            return False
        expires_at = min(deadline, now + max(MIN_RESERVATION_S, size / SLOWEST_LINK_BYTES_PER_S))
        self._by_call_id[call_id] = _Reservation(size, expires_at)
        return True

    def release(self, call_id: str) -> None:
        """Release the space of a call whose body has arrived, or never will."""
        reservation = self._by_call_id.pop(call_id, None)
        if reservation is not None:
            self._budget.release(reservation.size)

    def expire(self, now: float) -> None:
        """Release the space of bodies that did not arrive in time."""
        expired = [key for key, item in self._by_call_id.items() if item.expires_at <= now]
        for call_id in expired:
            self.release(call_id)
