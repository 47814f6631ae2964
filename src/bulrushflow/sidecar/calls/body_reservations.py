"""Space for large bodies that other nodes announced and have not sent yet.

Nodes ask whether a call would be admitted before they send its large body. Several may ask at the
same time, so the answer has to reserve the space: checked alone, it would be promised to all.
"""

import msgspec

from bulrushflow.routing import ByteBudget

RESERVATION_S = 3.0
"""Time within which an announced body has to arrive. A body of 16 MiB takes some 1.3 s on a link of
100 Mbit/s; one that arrives later takes its space then, if there is any."""


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

    def reserve(self, call_id: str, size: int, now: float) -> bool:
        """Reserve ``size`` bytes for a call; return ``False`` if there is no space for them.

        A second announcement of the call replaces the first.

        :param now: event loop time in seconds.
        """
        self.expire(now)
        self.release(call_id)
        if not self._budget.reserve(size):
            return False
        self._by_call_id[call_id] = _Reservation(size, now + RESERVATION_S)
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
