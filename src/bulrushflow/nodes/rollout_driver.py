"""Drives rollouts: analyses evidence, raises the traffic share and rolls back faulty versions.

Every node of the service runs the analysis itself and may roll back; one of them, the driver, also
raises the traffic share and completes the rollout.
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
from bulrushflow.nodes.versions import VersionFilter
from bulrushflow.rollouts import AnalysisOutcome
from bulrushflow.rollouts import AnalysisResult
from bulrushflow.rollouts import EvidenceStore
from bulrushflow.rollouts import RolloutController
from bulrushflow.rollouts import RolloutTimes
from bulrushflow.rollouts import SharedRollout
from bulrushflow.rollouts import SharedRollouts
from bulrushflow.rollouts import StepDecision
from bulrushflow.rollouts import WarmUp
from bulrushflow.routing import Call
from bulrushflow.timers import Callback
from bulrushflow.timers import Clock

TICK_S = 0.25
IMMEDIATE_RECORDERS = 3
"""Nodes that append a rollback at once; the others only if it isn't on the log after a time."""
RECORD_TIMEOUT_S = 5.0
"""Time that the other nodes wait for the record, after a random delay of up to as much."""
STALE_EVIDENCE_AT_RISK_S = 10.0
"""Time without fresh evidence after which the rollout's deadline counts as at risk."""
MAX_REASON_CHARS = 240
"""Longest reason of a rollback, which is sent in datagrams."""
COMPLETION_VALID_S = 1.0
"""Age up to which the decision to complete a rollout may still be recorded."""


class UpdateDisseminator(t.Protocol):
    """Disseminates changed state to other nodes."""

    def disseminate_now(self) -> None:
        """Send the latest updates to a few nodes now."""


class EvidenceLinks(t.Protocol):
    """The links between nodes, as far as evidence reports use them."""

    def handle(self, request: str, handler: t.Any) -> None:
        """Register the handler of one kind of message."""

    async def send(self, endpoint: tuple[str, int], **body: t.Any) -> None:
        """Send a message that gets no response."""


class TimerService(t.Protocol):
    """Runs callbacks periodically."""

    def subscribe(self, name: str, period_s: float, callback: Callback) -> object:
        """Run a callback about every ``period_s`` seconds."""


class RolloutDriver:
    """This node's part in the rollouts of the service that its own target belongs to.

    :param gossip: disseminates changes of the rollouts' shared state.
    :param recorder: appends records to the log.
    :param count_bytes: receives the direction, kind and size of what is sent.
    """

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
        self.reporter = EvidenceReporter(self.evidence_store, table.own_id, links, count_bytes)
        self._table = table
        self._shared_rollouts = shared_rollouts
        self._gossip = gossip
        self._records = RolloutRecords(recorder, table.own_id)
        self._clock = clock
        self._rng = rng
        self._version_filter = VersionFilter()
        self._warm_up = WarmUp()
        self._freshness = EvidenceFreshness(self.evidence_store, table)
        self._controllers_by_offset: dict[int, RolloutController] = {}
        self._rollback_seen_at: dict[int, float] = {}
        self._completion_decided_at: dict[int, float] = {}
        self._evidence_stale_since: dict[int, float] = {}
        store.subscribe(self._handle_configuration)
        self._handle_configuration(store.current)
        links.handle("evidence_report", self._handle_evidence_report)
        timers.subscribe("moves", TICK_S, self.tick)

    def observe(self, call: Call, failed: bool, seconds: float) -> None:
        """Add a call that this node's own target finished in ``seconds`` to the evidence."""
        warming = self._warm_up.count_call(self._clock.monotonic())
        rollout = self._version_filter.active_rollout_by_service.get(call.service)
        if rollout is not None:
            local = self.evidence_store.local(rollout.offset)
            local.observe(call.version, call.route, failed, seconds, warming)

    def is_forbidden(self, service: str, version: str) -> bool:
        """Return whether new calls of a version are forbidden on this node's target."""
        return self._version_filter.is_forbidden(
            service, version, self._shared_rollouts.is_rolled_back, self._clock.monotonic()
        )

    async def tick(self) -> None:
        """Analyse, advance and report the rollout of the own target's service, if one is active."""
        now_s = self._clock.monotonic()
        self._freshness.detect_pause(now_s)
        self._update_warm_up()
        target = self._table.own.target
        rollout = (
            self._version_filter.active_rollout_by_service.get(target.service) if target else None
        )
        if rollout is None:
            return
        members = self._service_members(rollout)
        if all(m.node_id != self._table.own_id for m in members):
            # The table no longer lists this node as live: it is leaving.
            return
        self._decide(rollout, members, now_s)
        self.reporter.send_if_due(rollout, members, now_s)

    async def _handle_evidence_report(self, message: t.Any) -> None:
        self.reporter.merge_report(message, self._clock.monotonic())

    def _update_warm_up(self) -> None:
        target = self._table.own.target
        ready = target is not None and target.state is TargetState.READY
        self._warm_up.set_version(target.version if target is not None and ready else None)

    def potential_writer_count(self) -> int:
        """Return how many live nodes may have records of a rollout to append now."""
        services = self._version_filter.active_rollout_by_service.keys()
        targets = (member.target for member in self._table.live_members())
        return sum(1 for target in targets if target is not None and target.service in services)

    def _service_members(self, rollout: Rollout) -> list[Member]:
        return [
            m
            for m in self._table.live_members()
            if m.target is not None and m.target.service == rollout.service
        ]

    def _controller(self, rollout: Rollout, now_s: float) -> RolloutController:
        controller = self._controllers_by_offset.get(rollout.offset)
        if controller is None:
            times = RolloutTimes(rollout.stated_at_ms, rollout.finish_by_ms)
            controller = RolloutController(rollout.from_version, rollout.to_version, times, now_s)
            self._controllers_by_offset[rollout.offset] = controller
        return controller

    def _decide(self, rollout: Rollout, members: list[Member], now_s: float) -> None:
        controller = self._controller(rollout, now_s)
        share = self._shared_rollouts.share_permille(rollout.offset)
        result = controller.update_analysis(
            self.evidence_store.totals(rollout.offset, now_s), share, now_s
        )
        ranked = [m.node_id for m in rank_members(members, f"move/{rollout.offset}")]
        if self._shared_rollouts.is_rolled_back(rollout.offset):
            self._record_rollback(rollout, ranked, now_s)
            return
        if result.outcome is AnalysisOutcome.FAULTY:
            self._roll_back(rollout, f"{result.rule}: {result.evidence}")
            self._record_rollback(rollout, ranked, now_s)
            return
        if ranked[0] != self._table.own_id:
            return
        decision = controller.next_step(share, self._clock.wall_ms(), now_s)
        self._apply_decision(
            rollout, share, self._hold_if_not_safe(rollout, share, decision, now_s), result, now_s
        )

    def _hold_if_not_safe(
        self, rollout: Rollout, share: int, decision: StepDecision, now_s: float
    ) -> StepDecision:
        """Return the decision, or one that keeps the traffic share if raising it isn't safe.

        A step needs a ready target and fresh evidence; a rollback never waits for them.
        """
        if decision.roll_back or (not decision.completed and decision.share_permille <= share):
            return decision
        if not self._table.ready_targets(rollout.service, rollout.to_version):
            return StepDecision(
                share, f"no ready target of version {rollout.to_version}", at_risk=True
            )
        missing = self._freshness.describe_missing(rollout, now_s)
        if missing:
            stale_since = self._evidence_stale_since.setdefault(rollout.offset, now_s)
            at_risk = now_s - stale_since >= STALE_EVIDENCE_AT_RISK_S
            return StepDecision(share, f"no fresh evidence from {missing}", at_risk=at_risk)
        self._evidence_stale_since.pop(rollout.offset, None)
        return decision

    def _apply_decision(
        self,
        rollout: Rollout,
        share: int,
        decision: StepDecision,
        result: AnalysisResult,
        now_s: float,
    ) -> None:
        if decision.roll_back:
            self._roll_back(rollout, f"{decision.rule} ({result.evidence})")
            return
        if decision.at_risk:
            self._records.record_at_risk(rollout, share, decision.rule, result.evidence)
        if decision.completed:
            self._completion_decided_at[rollout.offset] = now_s
            self._records.record_completion(
                rollout,
                decision.rule,
                result.evidence,
                lambda: self._is_completion_valid(rollout.offset),
            )
        if decision.share_permille <= share:
            return
        logger.info(
            "rollout {}: traffic share raised to {}%",
            rollout.move_id,
            decision.share_permille / 10,
        )
        self._shared_rollouts.merge(SharedRollout(rollout.offset, decision.share_permille))
        self._gossip.disseminate_now()
        self._records.record_step(rollout, decision.share_permille, decision.rule, result.evidence)

    def _is_completion_valid(self, offset: int) -> bool:
        # While the log is down, a fault may be found after the decision; a stale decision must
        # not be recorded then.
        if self._shared_rollouts.is_rolled_back(offset):
            return False
        decided_at = self._completion_decided_at.get(offset)
        return decided_at is not None and self._clock.monotonic() - decided_at < COMPLETION_VALID_S

    def _roll_back(self, rollout: Rollout, reason: str) -> None:
        # A reason may contain the name of a route, whose length isn't bounded.
        reason = reason[:MAX_REASON_CHARS]
        logger.warning("rollout {} is rolled back: {}", rollout.move_id, reason)
        share = self._shared_rollouts.share_permille(rollout.offset)
        own_id = self._table.own_id
        self._shared_rollouts.merge(SharedRollout(rollout.offset, share, True, reason, own_id))
        self._gossip.disseminate_now()

    def _record_rollback(self, rollout: Rollout, ranked: list[str], now_s: float) -> None:
        seen_at = self._rollback_seen_at.get(rollout.offset)
        if seen_at is None:
            # A random delay, so that most nodes find the record on the log before they append.
            seen_at = now_s + self._rng.uniform(0, RECORD_TIMEOUT_S)
            self._rollback_seen_at[rollout.offset] = seen_at
        if (
            self._table.own_id not in ranked[:IMMEDIATE_RECORDERS]
            and now_s - seen_at < RECORD_TIMEOUT_S
        ):
            return
        self._records.record_rollback(rollout, self._shared_rollouts.by_offset[rollout.offset])

    def _handle_configuration(self, configuration: Configuration) -> None:
        active = frozenset(rollout.offset for rollout in configuration.active_rollouts())
        self._version_filter.update(configuration, self._clock.monotonic())
        self._warn_of_overridden_rollbacks(configuration)
        self._shared_rollouts.keep_active(active, configuration.offset)
        self.evidence_store.retain(active)
        self.reporter.retain(active)
        per_rollout: tuple[dict[int, t.Any], ...] = (
            self._controllers_by_offset,
            self._rollback_seen_at,
            self._completion_decided_at,
            self._evidence_stale_since,
        )
        for by_offset in per_rollout:
            for offset in by_offset.keys() - active:
                del by_offset[offset]

    def _warn_of_overridden_rollbacks(self, configuration: Configuration) -> None:
        for rollout in configuration.moves_by_id.values():
            service = configuration.services_by_name.get(rollout.service)
            if service is None or service.version != rollout.to_version:
                continue
            if self._shared_rollouts.is_rolled_back(rollout.offset):
                logger.error(
                    "rollout {} was completed before its rollback; start a rollout of {} to {}",
                    rollout.move_id,
                    rollout.service,
                    rollout.from_version,
                )
