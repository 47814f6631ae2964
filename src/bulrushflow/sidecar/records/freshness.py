"""How the time in which a change has to be in force is divided among the steps on its way."""

import typing as t

READ_WAIT_FRACTION = 0.35
"""Part of the time that passes between two confirmations by the store at a node that reads it."""
UPDATE_WAIT_FRACTION = 0.2
"""Part of it that a request for another node's records may wait there."""
REFRESH_FRACTION = 0.65
"""Part of it after which a node whose records weren't confirmed reads the store itself. The rest is
for that read: a large record takes 0.4 s on a link of 5 Mbit/s."""


class FreshnessBound:
    """Bounds the age of the records that a node uses and hands on.

    The path to the store can break without a sign, and for all nodes that read it at the same
    moment: a read that waits for records then looks like one that has none to return. So only the
    store's own answers count, the age of a state runs from the last one, and reads wait for a part
    of the time only.

    :param apply_s: returns the seconds within which a change has to be in force.
    """

    __slots__ = ("_apply_s",)

    def __init__(self, apply_s: t.Callable[[], float]) -> None:
        self._apply_s = apply_s

    @property
    def apply_s(self) -> float:
        """Seconds within which a change has to be in force; an older state may lack one."""
        return self._apply_s()

    @property
    def max_wait_s(self) -> float:
        """Seconds between the store's answer to a read and the end of the next one's wait."""
        return READ_WAIT_FRACTION * self._apply_s()

    @property
    def refresh_age_s(self) -> float:
        """Age of the store's confirmation in seconds at which a node reads the store itself."""
        return REFRESH_FRACTION * self._apply_s()

    @property
    def update_wait_s(self) -> float:
        """Seconds that a request for another node's records may wait there."""
        return UPDATE_WAIT_FRACTION * self._apply_s()
