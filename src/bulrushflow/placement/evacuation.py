"""Evacuation of data centres on the operator's orders.

The load is that of a data centre at its usual rate, whose calls move to the targets of the others
at the moment of the order, while calls in flight, queued calls and orders for further data centres
overlap with it.
"""

import msgspec


class Evacuations(msgspec.Struct, frozen=True):
    """The data centres whose targets get no new calls; immutable, replaced as a whole.

    Each order concerns one data centre and is independent of the others.
    """

    data_centres: frozenset[str] = frozenset()

    def with_order(self, data_centre: str) -> "Evacuations":
        """Return the state after the order to evacuate a data centre."""
        return Evacuations(self.data_centres | {data_centre})

    def without_order(self, data_centre: str) -> "Evacuations":
        """Return the state after the withdrawal of a data centre's order."""
        return Evacuations(self.data_centres - {data_centre})

    def refusal(self, data_centre: str) -> str | None:
        """Return why a target in a data centre gets no new calls, or ``None`` if it may."""
        if data_centre not in self.data_centres:
            return None
        return f"data centre {data_centre} is evacuated"
