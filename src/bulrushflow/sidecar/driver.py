"""Drives moves: spreads evidence, takes faulty versions back, writes each step to the store.

The first few nodes beside targets of the service get all evidence, judge by it and take the steps;
the others only take a version back that their own target shows to be faulty, and follow those that
can't be reached. Steps are conditional on all earlier ones, so two drivers, or one that wakes late,
can't overwrite each other.
"""

import asyncio
import typing as t
from dataclasses import replace

from result import Err
from result import Ok

from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.directory import Directory
from bulrushflow.sidecar.model import RolloutPhase
from bulrushflow.sidecar.model import RolloutStatus
from bulrushflow.sidecar.records import ROLLOUT_KEY_PREFIX
from bulrushflow.sidecar.records import decode_rollout_status
from bulrushflow.sidecar.records import encode_rollout_status
from bulrushflow.sidecar.rollouts import FULL_PERMILLE
from bulrushflow.sidecar.rollouts import Rollout
from bulrushflow.sidecar.rollouts import Rollouts
from bulrushflow.sidecar.statuses import StatusLog
from bulrushflow.timers import Clock
from bulrushflow.timers import Timers
from bulrushflow.wire import codec
from bulrushflow.wire import messages
from bulrushflow.wire.links import Links

CHECK_S = 0.25
JUDGES = 3
"""Nodes that get all evidence; more of them would only cost messages."""
RANK_WAIT_S = 1.2
"""Wait of each further node for the ones before it to take a step that is due."""
EMPTYING_S = 1.8
"""Time without new calls after which the old version has answered what it had."""


class RolloutDriver:
    """Judges and paces the moves of this node's service."""

    def __init__(
        self,
        own_key: str,
        own_id: str,
        own_service: t.Callable[[], str],
        moves: Rollouts,
        directory: Directory,
        links: Links,
        statuses: StatusLog,
        timers: Timers,
        clock: Clock,
        decisions: DecisionLog,
    ) -> None:
        self._own_key = own_key
        self._own_id = own_id
        self._own_service = own_service
        self._moves = moves
        self._directory = directory
        self._links = links
        self._statuses = statuses
        self._clock = clock
        self._decisions = decisions
        self._due: tuple[tuple[int, int], float] | None = None
        """Order and step that are due, and since when."""
        self._sending: set[asyncio.Task[None]] = set()
        self._unwritten: dict[str, RolloutStatus] = {}
        links.handle("evidence_report", self._take_evidence)
        links.handle("state_notice", self._take_notice)
        timers.subscribe("moves", CHECK_S, self.check)

    async def check(self) -> None:
        """Look after this service's move once."""
        move = self._moves.by_service.get(self._own_service())
        if move is None:
            return
        now = asyncio.get_running_loop().time()
        if move.phase is RolloutPhase.RUNNING:
            self._spread(move)
            reason = self._moves.update_analysis(move, now)
            if reason is not None:
                self.roll_back(move, reason)
            else:
                await self._pace(move, now)
        unwritten = self._unwritten.get(move.order.service)
        if unwritten is not None:
            await self._write(move, unwritten)

    def _spread(self, move: Rollout) -> None:
        evidence = self._moves.local_evidence(move)
        if evidence.sequence:
            message = codec.evidence_to_message(evidence)
            self._tell(self._drivers()[:JUDGES], evidence_report=message)

    def _tell(self, keys: t.Iterable[str], **body: t.Any) -> None:
        """Send to the other ones of some nodes; nothing waits for them."""
        for key in keys:
            if key == self._own_key:
                continue
            endpoint = self._directory.peers_by_key[key].entry.endpoint
            sending = asyncio.get_running_loop().create_task(self._links.send(endpoint, **body))
            self._sending.add(sending)
            sending.add_done_callback(self._sending.discard)

    def roll_back(self, move: Rollout, reason: str) -> None:
        """Take a version back here and on every node that can be reached, then record it."""
        status = self._next(move, 0, RolloutPhase.ROLLED_BACK, reason)
        self._moves.apply_status(status, asyncio.get_running_loop().time())
        self._unwritten[move.order.service] = status
        notice = messages.StateNotice(
            key=ROLLOUT_KEY_PREFIX + move.order.service, value=encode_rollout_status(status)
        )
        # No take-back may wait for the store, or for a node that doesn't answer.
        self._tell(self._directory.peers_by_key, state_notice=notice)

    async def _pace(self, move: Rollout, now: float) -> None:
        step = self._due_step(move, now)
        if step is None:
            return
        key = (move.order.order_id, step.step)
        if self._due is None or self._due[0] != key:
            self._due = (key, now)
        rank = self._rank()
        # The others have their own evidence only, which is none to raise a share by.
        if rank >= JUDGES or now - self._due[1] < rank * RANK_WAIT_S:
            return
        if step.phase is RolloutPhase.ROLLED_BACK:
            self.roll_back(move, step.reason)
            return
        await self._write(move, step)

    def _due_step(self, move: Rollout, now: float) -> RolloutStatus | None:
        status = move.status
        if status is None:
            return self._next(move, 0, RolloutPhase.RUNNING, "ordered")
        if status.share_permille >= FULL_PERMILLE:
            if now - move.share_since < EMPTYING_S:
                return None
            return self._next(move, FULL_PERMILLE, RolloutPhase.COMPLETED, status.reason)
        pace = self._moves.next_step(move, now, self._clock.wall_ms())
        reason = f"{pace.rule}; {move.controller.latest_result.evidence}"
        if pace.roll_back:
            return self._next(move, 0, RolloutPhase.ROLLED_BACK, reason)
        if pace.completed:
            return self._next(move, FULL_PERMILLE, RolloutPhase.RUNNING, reason)
        if pace.share_permille != status.share_permille:
            return self._next(move, pace.share_permille, RolloutPhase.RUNNING, reason)
        return None

    def _next(self, move: Rollout, share: int, phase: RolloutPhase, reason: str) -> RolloutStatus:
        if move.status is not None:
            return replace(
                move.status,
                step=move.status.step + 1,
                share_permille=share,
                phase=phase,
                reason=reason,
                decided_by=self._own_id,
            )
        now = asyncio.get_running_loop().time()
        order = move.order
        stated_at_ms = self._clock.wall_ms() - int((now - move.seen_at) * 1000)
        return RolloutStatus(
            service=order.service,
            to_version=order.to_version,
            order_id=order.order_id,
            step=1,
            share_permille=share,
            phase=phase,
            stated_at_ms=stated_at_ms,
            finish_by_ms=stated_at_ms + int(order.duration_s * 1000),
            reason=reason,
            decided_by=self._own_id,
        )

    async def _write(self, move: Rollout, status: RolloutStatus) -> None:
        service = status.service
        if self._moves.is_recorded(status):
            self._unwritten.pop(service, None)
            return
        match await self._statuses.write(status):
            case Ok(_):
                self._unwritten.pop(service, None)
                now = asyncio.get_running_loop().time()
                self._moves.apply_status(status, now, recorded=True)
            case Err(error):
                self._decisions.event(
                    "move step not written",
                    service=service,
                    step=status.step,
                    phase=status.phase.value,
                    reason=error.message,
                    known_offset=self._statuses.offset,
                )

    def _rank(self) -> int:
        """Return how many nodes of the service come before this one as drivers."""
        keys = self._drivers()
        return keys.index(self._own_key) if self._own_key in keys else len(keys)

    def _drivers(self) -> list[str]:
        """Return the keys of the service's nodes that can be reached, in order of their turn."""
        service = self._own_service()
        return sorted(
            key
            for key, peer in self._directory.peers_by_key.items()
            if peer.entry.target is not None
            and peer.entry.target.service == service
            and (key == self._own_key or not peer.unreachable)
        )

    async def _take_evidence(self, message: t.Any) -> None:
        self._moves.merge_evidence(
            codec.evidence_from_message(message), asyncio.get_running_loop().time()
        )

    async def _take_notice(self, message: t.Any) -> None:
        if not message.key.startswith(ROLLOUT_KEY_PREFIX):
            return
        match decode_rollout_status(message.value):
            case Ok(status):
                self._moves.apply_status(status, asyncio.get_running_loop().time())
            case Err(reason):
                self._decisions.event("notice unreadable", key=message.key, reason=reason)
