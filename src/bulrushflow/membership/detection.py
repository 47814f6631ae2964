"""Policy of the failure detector: probe order, suspicion timeout and local health score."""

import math
import random

from bulrushflow.membership.members import Member
from bulrushflow.membership.table import MemberTable

REMOTE_PROBE_INTERVAL = 4
"""Every n-th probe goes to another data centre."""
REMOTE_DRAWS = 8
"""Random draws to find a member in another data centre."""
MAX_HEALTH_SCORE = 4


def suspicion_timeout_s(base_s: float, members: int) -> float:
    """Return how long a member stays suspected before it is declared dead, in seconds.

    The suspicion and its refutation take time logarithmic in the number of nodes to disseminate.

    :param base_s: shortest timeout, in seconds.
    :param members: number of live nodes.
    """
    return base_s * max(1.0, math.log10(max(1, members)))


class LocalHealth:
    """The local health score of Lifeguard: how unreliable this node's own observations are.

    A node that receives nothing while it probes, or whose process was paused, is more likely to
    be at fault than the many members that it would suspect, so it waits longer for acks.
    """

    __slots__ = ("_score",)

    def __init__(self) -> None:
        self._score = 0

    @property
    def multiplier(self) -> int:
        """Factor for probe timeouts, from 1 to 1 + :data:`MAX_HEALTH_SCORE`."""
        return 1 + self._score

    def record_ack(self) -> None:
        """Lower the score after a probe that was acknowledged in time."""
        self._score = max(0, self._score - 1)

    def record_silence(self) -> None:
        """Raise the score after a probe during which no node was heard from."""
        self._score = min(MAX_HEALTH_SCORE, self._score + 1)

    def record_pause(self) -> None:
        """Set the score to its maximum after a pause of this process."""
        self._score = MAX_HEALTH_SCORE


class ProbeOrder:
    """Cycles through the local data centre in random order, with some probes to other ones."""

    __slots__ = ("_pending", "_rng", "_turn")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._pending: list[str] = []
        self._turn = 0

    def next(self, table: MemberTable) -> Member | None:
        """Return the next member to probe, ``None`` when there is none."""
        self._turn += 1
        if self._turn % REMOTE_PROBE_INTERVAL == 0:
            remote = self._draw_remote(table)
            if remote is not None:
                return remote
        return self._next_local(table) or self._draw_remote(table)

    def _next_local(self, table: MemberTable) -> Member | None:
        if not self._pending:
            local = table.in_data_centre(table.own.data_centre)
            self._pending = [m.node_id for m in local if m.node_id != table.own_id]
            self._rng.shuffle(self._pending)
        while self._pending:
            member = table.by_id.get(self._pending.pop())
            if member is not None and member.is_live:
                return member
        return None

    def _draw_remote(self, table: MemberTable) -> Member | None:
        others = table.live_peers()
        own_data_centre = table.own.data_centre
        for _ in range(REMOTE_DRAWS if others else 0):
            member = self._rng.choice(others)
            if member.data_centre != own_data_centre:
                return member
        return None
