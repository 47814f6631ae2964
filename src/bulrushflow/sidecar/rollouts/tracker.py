"""Rollouts as each node tracks them: order, status, evidence, and the version for each call."""

import random
import typing as t

from bulrushflow.rollouts import AnalysisOutcome
from bulrushflow.rollouts import CompletedRolloutWatch
from bulrushflow.rollouts import EvidenceStore
from bulrushflow.rollouts import ExposureLimits
from bulrushflow.rollouts import FailureKind
from bulrushflow.rollouts import ServiceVersions
from bulrushflow.rollouts import StepDecision
from bulrushflow.rollouts.evidence import Evidence
from bulrushflow.rollouts.schedule import MIN_LAST_PERMILLE
from bulrushflow.routing import Call
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.model import RolloutOrder
from bulrushflow.sidecar.model import RolloutPhase
from bulrushflow.sidecar.model import RolloutStatus
from bulrushflow.sidecar.records.directory import Peer
from bulrushflow.sidecar.rollouts.rollout import FULL_PERMILLE
from bulrushflow.sidecar.rollouts.rollout import OLD_VERSION
from bulrushflow.sidecar.rollouts.rollout import Rollout
from bulrushflow.sidecar.rollouts.rollout import supersedes

NO_VERSIONS: t.Final = ServiceVersions()


class Rollouts:
    """The newest rollout of each service.

    :param limits: limit the calls of a version not yet proven healthy.
    """

    def __init__(
        self,
        own_id: str,
        incarnation: int,
        decisions: DecisionLog,
        rng: random.Random,
        limits: ExposureLimits,
    ) -> None:
        self.by_service: dict[str, Rollout] = {}
        self._evidence = EvidenceStore(own_id, incarnation)
        self._statuses_by_service: dict[str, RolloutStatus] = {}
        self._versions_by_service: dict[str, ServiceVersions] = {}
        """Versions of each service that has had a rollout."""
        self._recorded_ends_by_service: dict[str, RolloutStatus] = {}
        """Latest final status that the store has."""
        self._stored_by_service: dict[str, RolloutStatus] = {}
        """Latest status that the store is known to have had."""
        self._lost_services: set[str] = set()
        """Services whose status the store had, and lost."""
        self._decisions = decisions
        self._rng = rng
        self._limits = limits

    def configure(self, limits: ExposureLimits) -> None:
        """Set the limits for orders from now on."""
        self._limits = limits

    def apply_order(self, order: RolloutOrder, now: float) -> None:
        """Apply the operator's order; a later one for a service replaces an earlier one."""
        current = self.by_service.get(order.service)
        if current is not None and not order.position.is_after(current.order.position):
            return
        if current is not None and order.key == current.order.key:
            # The store was restored, and still has the order.
            current.order = order
            return
        rollout = Rollout(order, now, self._limits)
        self.by_service[order.service] = rollout
        self._evidence.retain(self._order_ids())
        self._decisions.event(
            "move ordered",
            service=order.service,
            version=order.to_version,
            order=order.order_id,
            duration_s=order.duration_s,
        )
        status = self._statuses_by_service.get(order.service)
        if status is not None and status.key == order.key:
            self._set_status(rollout, status, now)

    def remove_order(self, service: str) -> None:
        """Remove the order that the operator withdrew, and the evidence on it."""
        self.by_service.pop(service, None)
        self._evidence.retain(self._order_ids())

    def _order_ids(self) -> set[int]:
        return {rollout.order.order_id for rollout in self.by_service.values()}

    def is_recorded(self, status: RolloutStatus) -> bool:
        """Return whether the store has a final status of the same order, of this step or later."""
        end = self._recorded_ends_by_service.get(status.service)
        return end is not None and end.key == status.key and end.step >= status.step

    def lost_status(self, service: str) -> RolloutStatus | None:
        """Return the status of a service that has to be written again, if the store lost it."""
        return self._statuses_by_service.get(service) if service in self._lost_services else None

    def reconcile(self, stored: t.Sequence[RolloutStatus]) -> None:
        """Find the statuses that the store lacks, given all that it has.

        It loses them when it comes back from an older copy.
        """
        steps = {(status.service, status.key): status.step for status in stored}
        for service, status in list(self._stored_by_service.items()):
            stored_step = steps.get((service, status.key), 0)
            if stored_step >= status.step:
                continue
            del self._stored_by_service[service]
            self._recorded_ends_by_service.pop(service, None)
            self._lost_services.add(service)
            self._decisions.event(
                "move status lost",
                service=service,
                order=status.order_id,
                step=status.step,
                stored_step=stored_step,
            )

    def apply_status(self, status: RolloutStatus, now: float, recorded: bool = False) -> bool:
        """Apply a status; return whether the rollout changed.

        :param recorded: whether the store has it. Of two final statuses of one order and step the
            recorded one takes precedence, since operators act on it.
        """
        known = self._statuses_by_service.get(status.service)
        if recorded:
            self._note_stored(status, known)
        newly_recorded_end = recorded and status.phase is not RolloutPhase.RUNNING
        newly_recorded_end = newly_recorded_end and not self.is_recorded(status)
        if newly_recorded_end:
            self._recorded_ends_by_service[status.service] = status
        if known is not None and not supersedes(status, known, newly_recorded_end):
            return False
        self._statuses_by_service[status.service] = status
        self._apply_versions(status)
        rollout = self.by_service.get(status.service)
        if rollout is None or rollout.order.key != status.key:
            return False
        self._set_status(rollout, status, now)
        return True

    def _apply_versions(self, status: RolloutStatus) -> None:
        """Update the service's versions; what nodes of earlier releases leave out is kept."""
        before = self.versions(status.service)
        known = before.merge_withdrawn(status.withdrawn)
        match status.phase:
            case RolloutPhase.RUNNING:
                after = known.order(status.to_version, status.from_version)
            case RolloutPhase.COMPLETED:
                after = known.complete(status.to_version)
            case RolloutPhase.ROLLED_BACK:
                after = known.roll_back(status.to_version, status.from_version)
        self._versions_by_service[status.service] = after
        if after != before:
            self._decisions.event(
                "service versions",
                service=status.service,
                in_use=after.in_use,
                withdrawn=after.withdrawn,
                order=status.order_id,
            )

    def versions(self, service: str) -> ServiceVersions:
        """Return the version in use of a service and its withdrawn versions, as far as known."""
        return self._versions_by_service.get(service, NO_VERSIONS)

    def is_in_use(self, rollout: Rollout) -> bool:
        """Return whether the ordered version was in use already when it was ordered."""
        ordered = rollout.order.to_version
        if rollout.status is not None:
            return rollout.status.from_version == ordered
        return self.versions(rollout.order.service).in_use == ordered

    def _note_stored(self, status: RolloutStatus, known: RolloutStatus | None) -> None:
        current = self._stored_by_service.get(status.service)
        if current is None or status.is_after(current):
            self._stored_by_service[status.service] = status
        if known is None or not known.is_after(status):
            self._lost_services.discard(status.service)

    def _set_status(self, rollout: Rollout, status: RolloutStatus, now: float) -> None:
        before = rollout.share_permille
        rollout.status = status
        if rollout.share_permille != before:
            rollout.share_since = now
        if rollout.phase is RolloutPhase.COMPLETED and rollout.watch is None:
            rollout.watch = CompletedRolloutWatch(rollout.order.to_version, now)
        self._decisions.event(
            "move status",
            service=status.service,
            version=status.to_version,
            order=status.order_id,
            step=status.step,
            share=status.share_permille,
            phase=status.phase.value,
            reason=status.reason,
            decided_by=status.decided_by,
        )

    def is_forbidden(self, service: str, version: str) -> bool:
        """Return whether a version may receive no new calls."""
        rollout = self.by_service.get(service)
        if rollout is not None and rollout.order.to_version == version:
            return rollout.phase is RolloutPhase.ROLLED_BACK
        return not self.versions(service).is_usable(version)

    def filter_peers(self, service: str, peers: t.Sequence[Peer]) -> t.Sequence[Peer]:
        """Choose one call's version by the traffic share and return the peers that run it."""
        return self.select_peers(service, peers, self._rng)

    def select_peers(
        self, service: str, peers: t.Sequence[Peer], rng: random.Random
    ) -> t.Sequence[Peer]:
        """Do as :meth:`filter_peers`, with draws from ``rng``."""
        rollout = self.by_service.get(service)
        versions = self._versions_by_service.get(service)
        if rollout is None:
            return peers if versions is None else _usable_peers(peers, versions, None)
        ordered = rollout.order.to_version
        new = [peer for peer in peers if _version(peer) == ordered]
        old = _usable_peers(peers, versions or NO_VERSIONS, ordered)
        share = self.drawn_permille(rollout)
        if not share:
            return old
        if share >= FULL_PERMILLE or rng.randrange(FULL_PERMILLE) < share:
            return new or old
        # Before the last share, the version isn't proven healthy and can't replace the old one.
        return old or new if share >= MIN_LAST_PERMILLE else old

    def drawn_permille(self, rollout: Rollout) -> int:
        """Return the share of the calls for which the ordered version is drawn, in thousandths."""
        if rollout.phase is RolloutPhase.ROLLED_BACK:
            return 0
        versions = self._versions_by_service.get(rollout.order.service)
        if versions is not None and rollout.order.to_version == versions.in_use:
            # An order of the version in use takes no calls from it.
            return FULL_PERMILLE
        return rollout.share_permille

    def count_sent(self, call: Call) -> None:
        """Count a call that is sent to this node's own target."""
        rollout = self.by_service.get(call.service)
        if rollout is None or rollout.phase is not RolloutPhase.RUNNING:
            return
        if call.version == rollout.order.to_version:
            self._evidence.local(rollout.order.order_id).count_given()

    def own_given(self, service: str) -> int:
        """Return the calls of the version under test that were sent to this node's own target."""
        rollout = self.by_service.get(service)
        return self.local_evidence(rollout).given if rollout is not None else 0

    def observe_call(
        self,
        call: Call,
        failed: bool,
        seconds: float,
        warming: bool,
        attributable: bool = True,
        *,
        unanswered: bool = False,
    ) -> None:
        """Count a response of this node's own target.

        :param attributable: whether nothing but the target can have caused a failure. Calls of
            which this isn't certain count only while there is another version to compare with.
        :param unanswered: whether a failed call reached its deadline or lost its connection.
        """
        rollout = self.by_service.get(call.service)
        if rollout is None or rollout.phase is RolloutPhase.ROLLED_BACK:
            return
        if rollout.phase is RolloutPhase.COMPLETED and not attributable:
            return
        version = call.version
        if version != rollout.order.to_version:
            if not self.versions(call.service).is_usable(version):
                # A late response of a withdrawn version says nothing about the one in use.
                return
            version = OLD_VERSION
        own = self._evidence.local(rollout.order.order_id)
        kind = FailureKind.UNANSWERED if unanswered else FailureKind.RETURNED
        own.observe(
            version, call.route, failed, seconds, warming, kind if failed else FailureKind.NONE
        )

    def local_evidence(self, rollout: Rollout) -> Evidence:
        """Return the evidence from this node's own target."""
        return self._evidence.local(rollout.order.order_id)

    def merge_evidence(self, evidence: Evidence, now: float) -> None:
        """Merge the evidence from another node's target, if it is on a current order.

        Counts are cumulative and sent again, so those that arrive before their order arrive again
        after it.
        """
        if evidence.rollout_id in self._order_ids():
            self._evidence.merge(evidence, now)

    def update_analysis(self, rollout: Rollout, now: float, target_count: int = 1) -> str | None:
        """Analyse all evidence; return the reason for a rollback, ``None`` if there is none.

        :param target_count: targets of the new version.
        """
        if self.is_in_use(rollout):
            # There is no version to compare it with, and none to return to.
            return None
        if rollout.watch is not None:
            reports = self._evidence.reports(rollout.order.order_id)
            signal, route = rollout.watch.update(reports, target_count, now)
            if signal.strength < 1:
                return None
            return f"{signal.rule}: route {route}: {signal.figures}"
        totals = self._evidence.totals(rollout.order.order_id, now)
        given = self._evidence.given(rollout.order.order_id, rollout.order.to_version)
        result = rollout.controller.update_analysis(totals, rollout.share_permille, now, given)
        if result.outcome is not AnalysisOutcome.FAULTY:
            return None
        return f"{result.rule}: {result.evidence}"

    def next_step(self, rollout: Rollout, now: float, now_ms: int) -> StepDecision:
        """Return the decision on the next step."""
        elapsed_ms = int(rollout.elapsed_s(now, now_ms) * 1000)
        return rollout.controller.next_step(rollout.share_permille, elapsed_ms, now)


def _usable_peers(
    peers: t.Sequence[Peer], versions: ServiceVersions, ordered: str | None
) -> list[Peer]:
    """Return the peers of the versions in use, without those of the ordered version."""
    usable: list[Peer] = []
    for peer in peers:
        version = _version(peer)
        if version != ordered and versions.is_usable(version):
            usable.append(peer)
    return usable


def _version(peer: Peer) -> str:
    target = peer.entry.target
    return target.version if target is not None else ""
