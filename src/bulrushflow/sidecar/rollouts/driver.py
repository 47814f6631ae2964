"""Drives rollouts: sends evidence, rolls faulty versions back, writes each step to the store.

The first few reachable nodes with targets of the service receive all evidence, analyse it and
take the steps. The others only roll back a version that their own target shows to be faulty, and
replace nodes that become unreachable. A version is analysed until its order is replaced or
withdrawn, also after the rollout's completion, then by the first few nodes alone.

A step is written only if all earlier ones of its service were read, so two drivers, or one that was
paused, can't overwrite each other.
"""

import asyncio
import typing as t

from result import Err
from result import Ok

from bulrushflow.rollouts import Evidence
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.model import OrderKey
from bulrushflow.sidecar.model import RolloutPhase
from bulrushflow.sidecar.model import RolloutStatus
from bulrushflow.sidecar.records.codec import ROLLOUT_KEY_PREFIX
from bulrushflow.sidecar.records.codec import decode_rollout_status
from bulrushflow.sidecar.records.codec import encode_rollout_status
from bulrushflow.sidecar.records.directory import Directory
from bulrushflow.sidecar.rollouts.rollout import FULL_PERMILLE
from bulrushflow.sidecar.rollouts.rollout import Rollout
from bulrushflow.sidecar.rollouts.status_builder import StatusBuilder
from bulrushflow.sidecar.rollouts.statuses import StatusLog
from bulrushflow.sidecar.rollouts.tracker import Rollouts
from bulrushflow.timers import Clock
from bulrushflow.timers import Timers
from bulrushflow.wire import codec
from bulrushflow.wire import messages
from bulrushflow.wire.links import Links

CHECK_PERIOD_S = 0.25
ANALYSIS_NODES = 3
"""Number of nodes that receive all evidence; more of them would only cost messages."""
COMPLETED_EVIDENCE_PERIOD_S = 5.0
"""Interval of the reports without new errors after a rollout's completion."""
NOTICE_PERIOD_S = 1.0
"""Interval at which a rollback is sent to all nodes until the store has it."""
EVIDENCE_PERIOD_S = 1.0
"""Interval of the reports of nodes whose target doesn't have the version under test, and of reports
without new calls, which nodes that have just begun to analyse need."""
RANK_DELAY_S = 1.2
"""Time that each further node allows the ones before it to take a due step."""
FINAL_RANK_DELAY_S = 0.4
"""The same for the steps that give the version all calls and end the rollout, since its deadline is
near. A status usually arrives within 0.3 s; if it is later, one of two appends fails."""
DRAIN_S = 1.8
"""Time without new calls after which the old version has answered all earlier ones."""


class RolloutDriver:
    """Analyses and advances the rollouts of this node's service."""

    def __init__(
        self,
        own_key: str,
        own_id: str,
        own_service: t.Callable[[], str],
        rollouts: Rollouts,
        directory: Directory,
        links: Links,
        statuses: StatusLog,
        timers: Timers,
        clock: Clock,
        decisions: DecisionLog,
    ) -> None:
        self._own_key = own_key
        self._builder = StatusBuilder(own_id, rollouts, directory, clock)
        self._own_service = own_service
        self._rollouts = rollouts
        self._directory = directory
        self._links = links
        self._statuses = statuses
        self._clock = clock
        self._decisions = decisions
        self._due: tuple[tuple[OrderKey, int], float] | None = None
        """Order and number of the due step, and since when it is due."""
        self._sending: set[asyncio.Task[None]] = set()
        self._unwritten: dict[str, RolloutStatus] = {}
        self._pending_since: float | None = None
        """Time since which the store lacks a status that another node should have written."""
        self._notice_sent_at = float("-inf")
        self._timers = timers
        self._evidence_sent_at = float("-inf")
        self._sent_sequence = 0
        self._sent_errors = 0
        links.handle("evidence_report", self._on_evidence_report)
        links.handle("state_notice", self._on_state_notice)
        timers.subscribe("moves", CHECK_PERIOD_S, self.check)

    async def check(self) -> None:
        """Check the rollout of this node's service once, and write the step that is due."""
        rollout = self._rollouts.by_service.get(self._own_service())
        now = asyncio.get_running_loop().time()
        if rollout is None:
            await self._restore_status(self._own_service(), now)
            return
        if rollout.phase is RolloutPhase.RUNNING and not self._analyse(rollout, now):
            await self._advance(rollout, now)
        elif rollout.phase is RolloutPhase.COMPLETED:
            self._analyse(rollout, now)
        unwritten = self._unwritten_status(rollout) or self._pending_status(rollout, now)
        if unwritten is not None:
            if unwritten.phase is RolloutPhase.ROLLED_BACK:
                self._send_notice(unwritten, now)
            await self._write_step(rollout, unwritten)

    def _unwritten_status(self, rollout: Rollout) -> RolloutStatus | None:
        """Return the rollback that is still to be written; one of an earlier order is dropped."""
        status = self._unwritten.get(rollout.order.service)
        if status is not None and status.key != rollout.order.key:
            del self._unwritten[rollout.order.service]
            return None
        return status

    def _pending_status(self, rollout: Rollout, now: float) -> RolloutStatus | None:
        """Return the status that this node has to write after the nodes that precede it.

        The store lost it, or the node that decided on a rollback may have ended.
        """
        status = self._rollouts.lost_status(rollout.order.service)
        rank = self._rank()
        if status is None and rank < ANALYSIS_NODES and self._is_rollback_unrecorded(rollout):
            status = rollout.status
            rank += 1
        if status is not None and status.key != rollout.order.key:
            # The first status of the order in force has the withdrawn versions.
            status = None
        return status if self._is_turn(status, rank, now) else None

    def _is_turn(self, status: RolloutStatus | None, rank: int, now: float) -> bool:
        """Return whether a status has been pending long enough for this node to write it."""
        if status is None:
            self._pending_since = None
            return False
        if self._pending_since is None:
            self._pending_since = now
        return now - self._pending_since >= rank * RANK_DELAY_S

    async def _restore_status(self, service: str, now: float) -> None:
        """Write a status again that the store lost together with its order.

        Without it, a node that starts afterwards wouldn't know which versions are withdrawn.
        """
        status = self._rollouts.lost_status(service)
        if status is not None and status.phase is RolloutPhase.RUNNING and not status.withdrawn:
            status = None
        if status is not None and self._is_turn(status, self._rank(), now):
            await self._write(status, lambda: service not in self._rollouts.by_service)

    def _is_rollback_unrecorded(self, rollout: Rollout) -> bool:
        status = rollout.status
        if status is None or status.phase is not RolloutPhase.ROLLED_BACK:
            return False
        return not self._rollouts.is_recorded(status)

    async def check_during_write(self) -> None:
        """Analyse the rollout if :meth:`check` waits for the store, which can take seconds."""
        rollout = self._rollouts.by_service.get(self._own_service())
        if rollout is not None and rollout.phase is RolloutPhase.RUNNING:
            self._analyse(rollout, asyncio.get_running_loop().time())

    def _analyse(self, rollout: Rollout, now: float) -> bool:
        """Send this node's evidence and analyse all; return whether the version is rolled back."""
        self._send_evidence(rollout, now)
        if rollout.phase is RolloutPhase.COMPLETED and self._rank() >= ANALYSIS_NODES:
            # The own target's errors alone don't show a fault of the version.
            return False
        reason = self._rollouts.update_analysis(rollout, now, self._target_count(rollout))
        if reason is None:
            return False
        self.roll_back(rollout, reason)
        return True

    def _send_evidence(self, rollout: Rollout, now: float) -> None:
        """Send this node's evidence if it is due.

        What the version under test does must be known at once. The version in use has many more
        nodes, whose reports would fill the links of the few that analyse them.
        """
        evidence = self._rollouts.local_evidence(rollout)
        if not evidence.sequence:
            return
        if now - self._evidence_sent_at < self._evidence_period_s(rollout, evidence):
            return
        self._sent_sequence = evidence.sequence
        self._sent_errors = evidence.error_count
        self._evidence_sent_at = now
        message = codec.evidence_to_message(evidence)
        self._send(self._drivers()[:ANALYSIS_NODES], evidence_report=message)

    def _evidence_period_s(self, rollout: Rollout, evidence: Evidence) -> float:
        """Return the interval between this node's last report and the next."""
        if rollout.phase is RolloutPhase.COMPLETED:
            failing = evidence.error_count != self._sent_errors
            return EVIDENCE_PERIOD_S / 2 if failing else COMPLETED_EVIDENCE_PERIOD_S
        changed = evidence.sequence != self._sent_sequence
        urgent = changed and self._own_version() == rollout.order.to_version
        return 0.0 if urgent else EVIDENCE_PERIOD_S

    def _target_count(self, rollout: Rollout) -> int:
        """Return the number of available targets of the new version."""
        peers = self._directory.ready_peers(rollout.order.service)
        versions = [peer.entry.target.version for peer in peers if peer.entry.target is not None]
        return versions.count(rollout.order.to_version)

    def _own_version(self) -> str | None:
        entry = self._directory.entry(self._own_key)
        return entry.target.version if entry is not None and entry.target is not None else None

    def _send(self, keys: t.Iterable[str], **body: t.Any) -> None:
        """Send a message to all these nodes except this one, without waiting."""
        for key in keys:
            if key == self._own_key:
                continue
            endpoint = self._directory.peers_by_key[key].entry.endpoint
            sending = asyncio.get_running_loop().create_task(self._links.send(endpoint, **body))
            self._sending.add(sending)
            sending.add_done_callback(self._sending.discard)

    def roll_back(self, rollout: Rollout, reason: str) -> None:
        """Roll a version back here and on every reachable node; :meth:`check` records it."""
        status = self._builder.next_status(rollout, 0, RolloutPhase.ROLLED_BACK, reason)
        self._rollouts.apply_status(status, asyncio.get_running_loop().time())
        self._unwritten[rollout.order.service] = status
        self._notice_sent_at = float("-inf")
        # A rollback must not wait for the store, or for a node that doesn't respond.
        self._send_notice(status, asyncio.get_running_loop().time())

    def _send_notice(self, status: RolloutStatus, now: float) -> None:
        """Send a status that the store may not have to all nodes, unless that was done just now."""
        if now - self._notice_sent_at < NOTICE_PERIOD_S:
            return
        self._notice_sent_at = now
        notice = messages.StateNotice(
            key=ROLLOUT_KEY_PREFIX + status.service, value=encode_rollout_status(status)
        )
        self._send(self._directory.peers_by_key, state_notice=notice)

    async def _advance(self, rollout: Rollout, now: float) -> None:
        step = self._due_step(rollout, now)
        if step is None:
            return
        key = (rollout.order.key, step.step)
        if self._due is None or self._due[0] != key:
            self._due = (key, now)
        rank = self._rank()
        # Other nodes have their own evidence only, which doesn't suffice to raise the share.
        delay_s = FINAL_RANK_DELAY_S if step.share_permille >= FULL_PERMILLE else RANK_DELAY_S
        if rank >= ANALYSIS_NODES or now - self._due[1] < rank * delay_s:
            return
        if step.phase is RolloutPhase.ROLLED_BACK:
            self.roll_back(rollout, step.reason)
            return
        await self._write_step(rollout, step)

    def _due_step(self, rollout: Rollout, now: float) -> RolloutStatus | None:
        status = rollout.status
        if status is None and self._rollouts.is_in_use(rollout):
            reason = "the ordered version is in use"
            return self._builder.next_status(rollout, FULL_PERMILLE, RolloutPhase.RUNNING, reason)
        if status is None:
            return self._builder.next_status(rollout, 0, RolloutPhase.RUNNING, "ordered")
        if status.share_permille >= FULL_PERMILLE:
            if now - rollout.share_since < DRAIN_S:
                return None
            return self._builder.next_status(
                rollout, FULL_PERMILLE, RolloutPhase.COMPLETED, status.reason
            )
        decision = self._rollouts.next_step(rollout, now, self._clock.wall_ms())
        reason = f"{decision.rule}; {rollout.controller.latest_result.evidence}"
        if decision.roll_back:
            return self._builder.next_status(rollout, 0, RolloutPhase.ROLLED_BACK, reason)
        if decision.completed:
            return self._builder.next_status(rollout, FULL_PERMILLE, RolloutPhase.RUNNING, reason)
        if decision.share_permille != status.share_permille:
            return self._builder.next_status(
                rollout, decision.share_permille, RolloutPhase.RUNNING, reason
            )
        return None

    async def _write_step(self, rollout: Rollout, status: RolloutStatus) -> None:
        service = status.service
        if self._rollouts.is_recorded(status):
            self._unwritten.pop(service, None)
            return
        decided_on = rollout.status

        def is_due() -> bool:
            current = self._rollouts.by_service.get(service)
            return current is rollout and rollout.status is decided_on

        await self._write(status, is_due)

    async def _write(self, status: RolloutStatus, is_due: t.Callable[[], bool]) -> None:
        service = status.service
        analysis = self._timers.subscribe(
            "moves during writes", CHECK_PERIOD_S, self.check_during_write
        )
        try:
            result = await self._statuses.write(status, is_due)
        finally:
            analysis.cancel()
        match result:
            case Ok(_):
                # A rollback decided during the write of an earlier step is still unwritten.
                if self._unwritten.get(service) is status:
                    del self._unwritten[service]
                now = asyncio.get_running_loop().time()
                self._rollouts.apply_status(status, now, recorded=True)
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
        """Return how many nodes of the service precede this one as drivers."""
        keys = self._drivers()
        return keys.index(self._own_key) if self._own_key in keys else len(keys)

    def _drivers(self) -> list[str]:
        """Return the keys of the service's reachable nodes in driver order."""
        service = self._own_service()
        return sorted(
            key
            for key, peer in self._directory.peers_by_key.items()
            if peer.entry.target is not None
            and peer.entry.target.service == service
            and (key == self._own_key or not peer.unreachable)
        )

    async def _on_evidence_report(self, message: t.Any) -> None:
        self._rollouts.merge_evidence(
            codec.evidence_from_message(message), asyncio.get_running_loop().time()
        )

    async def _on_state_notice(self, message: t.Any) -> None:
        if not message.key.startswith(ROLLOUT_KEY_PREFIX):
            return
        match decode_rollout_status(message.value):
            case Ok(status):
                self._rollouts.apply_status(status, asyncio.get_running_loop().time())
            case Err(reason):
                self._decisions.event("notice unreadable", key=message.key, reason=reason)
