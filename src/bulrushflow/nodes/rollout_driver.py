"""Drives moves: judges evidence, raises shares, and takes bad versions back.

Every node of the service judges by itself and may take a move back; one of them, the driver, also
raises the share and ends the move.
"""

import random
import typing as t

from loguru import logger

from bulrushflow.configuration import Configuration
from bulrushflow.configuration import ConfigurationStore
from bulrushflow.configuration import Rollout
from bulrushflow.membership import Member
from bulrushflow.membership import MemberTable
from bulrushflow.membership import TargetState
from bulrushflow.membership import rank_members
from bulrushflow.nodes.evidence_freshness import EvidenceFreshness
from bulrushflow.nodes.evidence_reporting import CountBytes
from bulrushflow.nodes.evidence_reporting import EvidenceReporter
from bulrushflow.nodes.rollout_records import RolloutRecords
from bulrushflow.nodes.rollout_records import Submitter
from bulrushflow.rollouts import AnalysisOutcome
from bulrushflow.rollouts import AnalysisResult
from bulrushflow.rollouts import EvidenceStore
from bulrushflow.rollouts import RolloutController
from bulrushflow.rollouts import RolloutTimes
from bulrushflow.rollouts import SharedRollout
from bulrushflow.rollouts import SharedRollouts
from bulrushflow.rollouts import StepDecision
from bulrushflow.rollouts import VersionFilter
from bulrushflow.rollouts import WarmUp
from bulrushflow.routing import Call
from bulrushflow.timers import Callback
from bulrushflow.timers import Clock

TICK_S = 0.25
RECORDERS = 3
"""Nodes that record a take-back at once; the others follow when the log still lacks it."""
RECORD_PATIENCE_S = 5.0
HELD_AT_RISK_S = 10.0
"""Time without fresh evidence after which the deadline counts as at risk."""
MAX_REASON_CHARS = 240
DONE_VALID_S = 1.0
"""Age up to which the decision that a move is done may still be recorded."""


class UpdateDisseminator(t.Protocol):
    """What tells other nodes of changed state."""

    def disseminate_now(self) -> None:
        """Tell a few nodes now."""


class EvidenceLinks(t.Protocol):
    """The part of the links between nodes that evidence needs."""

    def handle(self, request: str, handler: t.Any) -> None:
        """Serve one kind of message."""

    async def send(self, endpoint: tuple[str, int], **body: t.Any) -> None:
        """Send a message without an answer."""


class TimerService(t.Protocol):
    """What calls back periodically."""

    def subscribe(self, name: str, period_s: float, callback: Callback) -> object:
        """Call back about every ``period_s`` seconds."""


class RolloutDriver:
    """This node's part in moves of the service that its own target belongs to."""

    def __init__(
        self,
        store: ConfigurationStore,
        table: MemberTable,
        shared_rollouts: SharedRollouts,
        links: EvidenceLinks,
        gossip: UpdateDisseminator,
        recorder: Submitter,
        timers: TimerService,
        clock: Clock,
        rng: random.Random,
        count_bytes: CountBytes = lambda direction, kind, count: None,
    ) -> None:
        self.evidence_store = EvidenceStore(table.own_id, table.own.incarnation)
        self.reporting = EvidenceReporter(self.evidence_store, table.own_id, links, count_bytes)
        self._store = store
        self._table = table
        self._shared_rollouts = shared_rollouts
        self._gossip = gossip
        self._records = RolloutRecords(recorder, table.own_id)
        self._clock = clock
        self._rng = rng
        self._gate = VersionFilter()
        self._warm_up = WarmUp()
        self._freshness = EvidenceFreshness(self.evidence_store, table)
        self._controllers_by_move: dict[int, RolloutController] = {}
        self._taken_back_seen_at: dict[int, float] = {}
        self._done_decided_at: dict[int, float] = {}
        self._held_since: dict[int, float] = {}
        store.subscribe(self._follow)
        self._follow(store.current)
        links.handle("evidence_report", self._take_evidence)
        timers.subscribe("moves", TICK_S, self.tick)

    def observe(self, call: Call, failed: bool, seconds: float) -> None:
        """Count a call that this node's own target finished."""
        warming = self._warm_up.count_call(self._clock.monotonic())
        move = self._gate.active_rollout_by_service.get(call.service)
        if move is not None:
            own = self.evidence_store.local(move.offset)
            own.observe(call.version, call.route, failed, seconds, warming)

    def is_forbidden(self, service: str, version: str) -> bool:
        """Tell whether a version may get no new calls on this node's target."""
        return self._gate.is_forbidden(
            service, version, self._shared_rollouts.is_rolled_back, self._clock.monotonic()
        )

    async def tick(self) -> None:
        """Judge, report and pace the move of the own target's service, if there is one."""
        now_s = self._clock.monotonic()
        self._freshness.detect_pause(now_s)
        self._follow_own_target()
        target = self._table.own.target
        move = self._gate.active_rollout_by_service.get(target.service) if target else None
        if move is None:
            return
        group = self._group(move)
        if all(m.node_id != self._table.own_id for m in group):
            # This node is leaving.
            return
        self._decide(move, group, now_s)
        self.reporting.send_if_due(move, group, now_s)

    async def _take_evidence(self, message: t.Any) -> None:
        self.reporting.merge_report(message, self._clock.monotonic())

    def _follow_own_target(self) -> None:
        target = self._table.own.target
        ready = target is not None and target.state is TargetState.READY
        self._warm_up.set_version(target.version if target is not None and ready else None)

    def potential_writer_count(self) -> int:
        """Return how many live nodes may have records of a move to append now."""
        moving = self._gate.active_rollout_by_service.keys()
        targets = (member.target for member in self._table.live_members())
        return sum(1 for target in targets if target is not None and target.service in moving)

    def _group(self, move: Rollout) -> list[Member]:
        return [
            m
            for m in self._table.live_members()
            if m.target is not None and m.target.service == move.service
        ]

    def _controller(self, move: Rollout, now_s: float) -> RolloutController:
        controller = self._controllers_by_move.get(move.offset)
        if controller is None:
            times = RolloutTimes(move.stated_at_ms, move.finish_by_ms)
            controller = RolloutController(move.from_version, move.to_version, times, now_s)
            self._controllers_by_move[move.offset] = controller
        return controller

    def _decide(self, move: Rollout, group: list[Member], now_s: float) -> None:
        controller = self._controller(move, now_s)
        share = self._shared_rollouts.share_permille(move.offset)
        verdict = controller.update_analysis(self.evidence_store.totals(move.offset), share, now_s)
        ranked = [m.node_id for m in rank_members(group, f"move/{move.offset}")]
        if self._shared_rollouts.is_rolled_back(move.offset):
            self._record_taken_back(move, ranked, now_s)
            return
        if verdict.outcome is AnalysisOutcome.FAULTY:
            self._take_back(move, f"{verdict.rule}: {verdict.evidence}")
            self._record_taken_back(move, ranked, now_s)
            return
        if ranked[0] != self._table.own_id:
            return
        pace = controller.next_step(share, self._clock.wall_ms(), now_s)
        self._act(move, share, self._checked(move, share, pace, now_s), verdict, now_s)

    def _checked(self, move: Rollout, share: int, pace: StepDecision, now_s: float) -> StepDecision:
        """Hold a step that lacks a ready target or fresh evidence; a take-back never waits."""
        if pace.roll_back or (not pace.completed and pace.share_permille <= share):
            return pace
        if not self._table.ready_targets(move.service, move.to_version):
            return StepDecision(
                share, f"no ready target of version {move.to_version}", at_risk=True
            )
        missing = self._freshness.describe_missing(move, now_s)
        if missing:
            held_since = self._held_since.setdefault(move.offset, now_s)
            at_risk = now_s - held_since >= HELD_AT_RISK_S
            return StepDecision(share, f"no fresh evidence from {missing}", at_risk=at_risk)
        self._held_since.pop(move.offset, None)
        return pace

    def _act(
        self, move: Rollout, share: int, pace: StepDecision, verdict: AnalysisResult, now_s: float
    ) -> None:
        if pace.roll_back:
            self._take_back(move, f"{pace.rule} ({verdict.evidence})")
            return
        if pace.at_risk:
            self._records.record_at_risk(move, share, pace.rule, verdict.evidence)
        if pace.completed:
            self._done_decided_at[move.offset] = now_s
            self._records.record_completion(
                move, pace.rule, verdict.evidence, lambda: self._is_done_current(move.offset)
            )
        if pace.share_permille <= share:
            return
        logger.info("move {} goes to {}%", move.move_id, pace.share_permille / 10)
        self._shared_rollouts.merge(SharedRollout(move.offset, pace.share_permille))
        self._gossip.disseminate_now()
        self._records.record_step(move, pace.share_permille, pace.rule, verdict.evidence)

    def _is_done_current(self, offset: int) -> bool:
        # With the log down, a fault may show after the decision; a stale one must not win then.
        if self._shared_rollouts.is_rolled_back(offset):
            return False
        decided_at = self._done_decided_at.get(offset)
        return decided_at is not None and self._clock.monotonic() - decided_at < DONE_VALID_S

    def _take_back(self, move: Rollout, reason: str) -> None:
        # The reason goes into datagrams, and a route's name may be long.
        reason = reason[:MAX_REASON_CHARS]
        logger.warning("move {} is taken back: {}", move.move_id, reason)
        share = self._shared_rollouts.share_permille(move.offset)
        own_id = self._table.own_id
        self._shared_rollouts.merge(SharedRollout(move.offset, share, True, reason, own_id))
        self._gossip.disseminate_now()

    def _record_taken_back(self, move: Rollout, ranked: list[str], now_s: float) -> None:
        seen_at = self._taken_back_seen_at.get(move.offset)
        if seen_at is None:
            # The wait differs between nodes, so that most find the record on the log already.
            seen_at = now_s + self._rng.uniform(0, RECORD_PATIENCE_S)
            self._taken_back_seen_at[move.offset] = seen_at
        if self._table.own_id not in ranked[:RECORDERS] and now_s - seen_at < RECORD_PATIENCE_S:
            return
        self._records.record_rollback(move, self._shared_rollouts.by_offset[move.offset])

    def _follow(self, configuration: Configuration) -> None:
        active = frozenset(move.offset for move in configuration.active_rollouts())
        self._gate.update(configuration, self._clock.monotonic())
        self._warn_of_lost_take_backs(configuration)
        self._shared_rollouts.keep_active(active, configuration.offset)
        self.evidence_store.retain(active)
        self.reporting.retain(active)
        held: tuple[dict[int, t.Any], ...] = (
            self._controllers_by_move,
            self._taken_back_seen_at,
            self._done_decided_at,
            self._held_since,
        )
        for by_move in held:
            for offset in by_move.keys() - active:
                del by_move[offset]

    def _warn_of_lost_take_backs(self, configuration: Configuration) -> None:
        for move in configuration.moves_by_id.values():
            service = configuration.services_by_name.get(move.service)
            if service is None or service.version != move.to_version:
                continue
            if self._shared_rollouts.is_rolled_back(move.offset):
                logger.error(
                    "move {} was done on the log before its take-back; move {} back to {}",
                    move.move_id,
                    move.service,
                    move.from_version,
                )
