"""The failure detector: probes, suspicion, and reconnection to dead members.

Direct and indirect probes, suspicion and refutation follow SWIM; the timeouts that grow while this
node itself may be at fault follow Lifeguard. Probe rounds that span a pause of this process are
ignored.
"""

import random
import typing as t

from loguru import logger

from bulrushflow.membership import LocalHealth
from bulrushflow.membership import Member
from bulrushflow.membership import MemberTable
from bulrushflow.membership import ProbeOrder
from bulrushflow.membership import Status
from bulrushflow.membership import suspicion_timeout_s
from bulrushflow.settings import GossipSettings
from bulrushflow.timers import Timers

RECONNECT_PERIODS = 4
MAX_RECONNECT_PROBES = 10
"""Most dead members probed in one round, which ends at the first that does not answer."""
REAP_S = 5.0
MAX_POST_PAUSE_GRACE_S = 10.0
"""After a pause, the time after which members are suspected although none has answered yet."""


class Pinger(t.Protocol):
    """Sends probes and waits for their acks."""

    async def ping(self, member: Member, timeout_s: float) -> bool:
        """Probe a member; return whether that member answered."""

    async def ping_indirectly(self, member: Member, timeout_s: float) -> bool:
        """Have other members probe a member; return whether one reported an ack."""

    def received_since(self, instant: float) -> bool:
        """Return whether any datagram came since ``instant``, in seconds of the timers' clock."""

    def probe_random_members(self) -> None:
        """Probe a few members; one that records this node as suspect or dead answers with that."""


class FailureDetector:
    """Finds members that failed, and dead members that can be reached again."""

    def __init__(
        self,
        table: MemberTable,
        timers: Timers,
        settings: GossipSettings,
        rng: random.Random,
        pinger: Pinger,
        on_status_raised: t.Callable[[Member], None],
    ) -> None:
        self._table = table
        self._timers = timers
        self._settings = settings
        self._rng = rng
        self._pinger = pinger
        self._on_status_raised = on_status_raised
        self._order = ProbeOrder(rng)
        self._health = LocalHealth()
        self._pause_ended_at: float | None = None
        """End of the last pause of the process; ``None`` once a later probe was answered."""

    def start(self) -> None:
        """Subscribe to the timers."""
        self._timers.subscribe_pause(self._handle_pause)
        self._timers.subscribe("probe", self._settings.period_s, self.probe_next)
        self._timers.subscribe("suspicion", self._settings.period_s, self.expire_suspects)
        reconnect_s = RECONNECT_PERIODS * self._settings.period_s
        self._timers.subscribe("reconnect", reconnect_s, self.reconnect)
        self._timers.subscribe("reap", REAP_S, self._reap)

    async def probe_next(self) -> None:
        """Probe the next member; suspect it if neither this node nor others reach it."""
        member = self._order.next(self._table)
        if member is None:
            return
        began = self._timers.now()
        timeout_s = self._settings.ack_timeout_s * self._health.multiplier
        if await self._pinger.ping(member, timeout_s):
            self._health.record_ack()
            self._record_response(began)
            return
        if await self._pinger.ping_indirectly(member, 2 * timeout_s):
            self._record_response(began)
            return
        if self._timers.paused_since(began):
            return
        if not self._pinger.received_since(began):
            # Without any datagram meanwhile this node may be at fault, otherwise the member is.
            self._health.record_silence()
        if self._may_raise_status():
            self._raise_status(member.node_id, Status.SUSPECT)

    async def expire_suspects(self) -> None:
        """Declare suspects dead that have not refuted the suspicion within the timeout."""
        self._timers.check_pause()
        if not self._may_raise_status():
            return
        now = self._timers.now()
        timeout_s = suspicion_timeout_s(self._settings.suspicion_s, len(self._table.live_members()))
        for member in self._table.suspects():
            if now - self._table.changed_at(member.node_id) >= timeout_s:
                self._raise_status(member.node_id, Status.DEAD)

    async def reconnect(self) -> None:
        """Probe random dead members, since the network may only have been partitioned.

        A member that answers has received its recorded state with the probe, and refutes it.
        """
        for _ in range(MAX_RECONNECT_PROBES):
            dead = self._table.dead()
            if not dead:
                return
            member = self._rng.choice(dead)
            if not await self._pinger.ping(member, self._settings.ack_timeout_s):
                return
            logger.info("dead member {} answers probes again", member.node_id)

    def _raise_status(self, node_id: str, status: Status) -> None:
        update = self._table.raise_status(node_id, status, self._timers.now())
        if update is not None:
            logger.info("member {} is now recorded as {}", node_id, status.name.lower())
            self._on_status_raised(update)

    def _handle_pause(self, seconds: float) -> None:
        self._pause_ended_at = self._timers.now()
        self._health.record_pause()
        self._table.restart_suspicion_timeouts(self._pause_ended_at)
        self._pinger.probe_random_members()

    def _record_response(self, began: float) -> None:
        if self._pause_ended_at is not None and began >= self._pause_ended_at:
            self._pause_ended_at = None

    def _may_raise_status(self) -> bool:
        if self._pause_ended_at is None:
            return True
        return self._timers.now() - self._pause_ended_at >= MAX_POST_PAUSE_GRACE_S

    async def _reap(self) -> None:
        self._table.reap(self._timers.now())
