"""Explanation of where a request would go now from this node, and why.

The answer comes from the objects that decide on calls. Nothing is sent, and what a decision
consumes is consumed from copies: no credit of a split, token, probe, counter or random number of
the node. The load is a few questions of operators; each copies the means of all services.
"""

import asyncio
import random
import typing as t

import msgspec
from result import Err
from result import Ok
from result import Result

from bulrushflow.organisations import Decision
from bulrushflow.organisations import Organisation
from bulrushflow.overload import OriginLimits
from bulrushflow.routing import Call
from bulrushflow.routing import CallFailure
from bulrushflow.routing import Outcome
from bulrushflow.sidecar.calls.allowances import AllowanceService
from bulrushflow.sidecar.calls.call_builder import call_priority
from bulrushflow.sidecar.calls.callers import CallerServer
from bulrushflow.sidecar.calls.dispatcher import Dispatcher
from bulrushflow.sidecar.calls.explanation_report import AllowanceReport
from bulrushflow.sidecar.calls.explanation_report import CandidateReport
from bulrushflow.sidecar.calls.explanation_report import Explanation
from bulrushflow.sidecar.calls.explanation_report import RefusalReport
from bulrushflow.sidecar.calls.explanation_report import RolloutReport
from bulrushflow.sidecar.calls.explanation_report import RouteReport
from bulrushflow.sidecar.calls.explanation_report import ServiceWeight
from bulrushflow.sidecar.calls.keys import RefusedRequest
from bulrushflow.sidecar.calls.quarantine import Quarantine
from bulrushflow.sidecar.calls.refusals import evacuated_reason
from bulrushflow.sidecar.calls.refusals import failure_status
from bulrushflow.sidecar.calls.refusals import no_target_reason
from bulrushflow.sidecar.calls.refusals import retry_after_range_s
from bulrushflow.sidecar.model import Route
from bulrushflow.sidecar.model import Routing
from bulrushflow.sidecar.records.directory import Directory
from bulrushflow.sidecar.records.directory import Peer
from bulrushflow.sidecar.rollouts.tracker import Rollouts

ASSUMED_METHOD = "GET"
"""Method of the request by which the quarantine is checked; its body is taken to be empty."""


class Question(msgspec.Struct, frozen=True):
    """A request as its caller would send it to this node."""

    host: str
    path: str
    time_left_s: float
    """Time until the caller's deadline."""
    caller: str = ""
    """Service of the caller; empty for that of this instance."""
    authorizations: tuple[str, ...] = ()
    """Its ``Authorization`` headers. Secret."""

    def __repr__(self) -> str:
        return f"Question({self.host!r}, {self.path!r})"


class Explainer:
    """Explains what this node would do with a request.

    :param own_service: returns the service of this instance.
    :param limits: the limits of the dispatcher and of the callers' server, if they have them.
    """

    def __init__(
        self,
        node_id: str,
        data_centre: str,
        own_service: t.Callable[[], str],
        routing: t.Callable[[], Routing],
        callers: CallerServer,
        allowances: AllowanceService,
        dispatcher: Dispatcher,
        rollouts: Rollouts,
        directory: Directory,
        quarantine: Quarantine,
        limits: OriginLimits | None = None,
    ) -> None:
        self._node_id = node_id
        self._data_centre = data_centre
        self._own_service = own_service
        self._routing = routing
        self._callers = callers
        self._allowances = allowances
        self._dispatcher = dispatcher
        self._rollouts = rollouts
        self._directory = directory
        self._quarantine = quarantine
        self._limits = limits

    def explain(self, question: Question, rng: random.Random) -> Explanation:
        """Return what would happen to a request that arrives now.

        :param rng: draws in place of the node's own random numbers, which stay as they are.
        """
        routing = self._routing()
        explanation = Explanation(
            node=self._node_id,
            data_centre=self._data_centre,
            host=question.host,
            path=question.path,
            caller=question.caller or self._own_service(),
            configuration=routing.version,
            time_left_s=question.time_left_s,
        )
        stopping = self._callers.stopping_refusal()
        if stopping is not None:
            return _refused(explanation, stopping)
        route = routing.match(question.host.lower(), question.path) if routing.version else None
        if route is not None:
            explanation = _replace(
                explanation,
                route=_route_report(route, None),
                time_left_s=min(question.time_left_s, route.timeout_s),
            )
        match self._callers.routes.find(routing, question.host, question.path):
            case Err(refused):
                return _refused(explanation, refused)
            case Ok(route):
                pass
        match self._callers.keys.check(question.authorizations, route, routing):
            case Err(refused):
                return _refused(explanation, refused)
            case Ok(organisation):
                pass
        if organisation is not None:
            explanation = self._with_organisation(explanation, route, organisation)
            match self._with_allowance(explanation, organisation):
                case Err(refused_explanation):
                    return refused_explanation
                case Ok(explanation):
                    pass
        return self._with_target(explanation, route, question, rng)

    def _with_organisation(
        self, explanation: Explanation, route: Route, organisation: Organisation
    ) -> Explanation:
        return _replace(
            explanation,
            organisation=organisation.name,
            route=_route_report(route, organisation),
        )

    def _with_allowance(
        self, explanation: Explanation, organisation: Organisation
    ) -> Result[Explanation, Explanation]:
        """Try a request on a copy of the organisation's allowance."""
        allowance = self._allowances.preview(organisation.name)
        if allowance is None or not organisation.rate_per_s:
            return Ok(explanation)
        now = asyncio.get_running_loop().time()
        # Brings the copy's tokens up to date.
        allowance.demand(now)
        tried = msgspec.structs.replace(allowance)
        decision = tried.arrive(now)
        report = AllowanceReport(
            limit_per_s=allowance.limit.per_s,
            share_per_s=allowance.per_s,
            demand_per_s=allowance.demand_per_s,
            tokens=allowance.tokens,
            granted_tokens=allowance.granted if now < allowance.granted_until else 0,
            home_answers=not allowance.offline,
            decision=decision.value,
        )
        explanation = _replace(explanation, allowance=report)
        if decision is not Decision.REFUSE:
            return Ok(explanation)
        refused = self._callers.keys.beyond_allowance(organisation, tried.retry_after_s(now))
        return Err(_refused(explanation, refused))

    def _with_target(
        self, explanation: Explanation, route: Route, question: Question, rng: random.Random
    ) -> Explanation:
        """Add the service, its targets and the choice between them."""
        preview = self._dispatcher.preview(
            rng, lambda service, peers: self._rollouts.select_peers(service, peers, rng)
        )
        now = asyncio.get_running_loop().time()
        service = preview.choose_service(route)
        candidates = preview.candidates(service)
        explanation = _replace(
            explanation,
            service=service,
            rollout=self._rollout_report(service),
            withdrawn_versions=tuple(self._rollouts.versions(service).withdrawn),
            candidates=self._candidate_reports(preview, route, service, candidates, now),
        )
        quarantined = self._quarantine.refusal(self._call(explanation, route, now))
        if quarantined is not None:
            return _failed(explanation, quarantined)
        overloaded = preview.overload_refusal(service, explanation.time_left_s, now)
        if overloaded is not None and self._limits is not None:
            if not self._limits.is_probe_due(service, now):
                return self._not_run(explanation, question, overloaded.reason)
            explanation = _replace(explanation, probes=True)
        if explanation.time_left_s <= 0:
            return self._not_run(explanation, question, no_target_reason(service))
        chosen = preview.choose_target(route, service, candidates, (), now)
        if chosen is not None:
            return _replace(explanation, choice=chosen.entry.node_id)
        if self._directory.all_evacuated(service):
            return self._not_run(explanation, question, evacuated_reason(service))
        # The refusal follows unless a target becomes available in time.
        explanation = _replace(explanation, waits_for_target=True)
        return self._not_run(explanation, question, no_target_reason(service))

    def _not_run(self, explanation: Explanation, question: Question, reason: str) -> Explanation:
        """Return the refusal of a call that was not run, with the range of its turns."""
        failed = _failed(explanation, CallFailure(Outcome.NOT_RUN, reason))
        if self._limits is None or failed.refusal is None:
            return failed
        low_s, high_s = self._limits.planner.wait_range_s(question.time_left_s)
        refusal = msgspec.structs.replace(
            failed.refusal, retry_after_min_s=low_s, retry_after_max_s=high_s
        )
        return _replace(failed, refusal=refusal)

    def _call(self, explanation: Explanation, route: Route, now: float) -> Call:
        return Call(
            request_id="",
            tenant=explanation.caller,
            service=explanation.service,
            version="",
            route=route.name,
            method=ASSUMED_METHOD,
            path=explanation.path,
            headers=(("Host", explanation.host),),
            body=b"",
            deadline=now + explanation.time_left_s,
            idempotent=route.idempotent,
            organisation=explanation.organisation,
        )

    def _rollout_report(self, service: str) -> RolloutReport | None:
        rollout = self._rollouts.by_service.get(service)
        if rollout is None:
            return None
        return RolloutReport(
            rollout.order.to_version,
            rollout.phase.value,
            self._rollouts.drawn_permille(rollout),
            self._rollouts.versions(service).in_use,
        )

    def _candidate_reports(
        self,
        preview: Dispatcher,
        route: Route,
        service: str,
        candidates: t.Sequence[Peer],
        now: float,
    ) -> tuple[CandidateReport, ...]:
        """Return all targets of a service: those of the drawn version first."""
        drawn = {id(peer) for peer in candidates}
        others = [p for p in self._directory.ready_peers(service) if id(p) not in drawn]
        reports = []
        for peer in [*candidates, *others]:
            reason = _unavailable_reason(peer, now)
            available = not reason
            if id(peer) not in drawn:
                available = False
                reason = self._version_reason(service, peer)
            elif available and peer.ejected_until > now:
                reason = (
                    f"ejected after failures for {peer.ejected_until - now:.1f} s, used only "
                    "if too few others are left"
                )
            elif available and preview.is_cold(service, peer, now):
                reason = "cold, gets few calls a second"
            response_s = preview.expected_response_s(route, service, peer, candidates, now)
            wait_s = preview.expected_wait_s(peer, now)
            reports.append(_candidate_report(peer, now, available, reason, wait_s, response_s))
        for peer in self._directory.evacuated_peers(service):
            reason = f"data centre {peer.entry.data_centre} is evacuated"
            reports.append(_candidate_report(peer, now, False, reason, None, None))
        return tuple(reports)

    def _version_reason(self, service: str, peer: Peer) -> str:
        target = peer.entry.target
        version = target.version if target is not None else ""
        if self._rollouts.is_forbidden(service, version):
            return f"version {version} gets no calls"
        return f"version {version} was not drawn for this call"


def _unavailable_reason(peer: Peer, now: float) -> str:
    if peer.unreachable:
        return "connections to the node fail"
    if peer.unavailable_until > now:
        return f"took no calls, tried again in {peer.unavailable_until - now:.2f} s"
    return ""


def _candidate_report(
    peer: Peer,
    now: float,
    available: bool,
    reason: str,
    wait_s: float | None,
    response_s: float | None,
) -> CandidateReport:
    target = peer.entry.target
    return CandidateReport(
        node=peer.entry.node_id,
        data_centre=peer.entry.data_centre,
        version=target.version if target is not None else "",
        available=available,
        reason=reason,
        load=peer.load(now),
        expected_wait_s=wait_s,
        expected_response_s=response_s,
    )


def _route_report(route: Route, organisation: Organisation | None) -> RouteReport:
    return RouteReport(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        services=tuple(ServiceWeight(part.service, part.weight) for part in route.services),
        timeout_s=route.timeout_s,
        latency_objective_s=route.latency_objective_s,
        max_attempts=route.max_attempts,
        idempotent=route.idempotent,
        priority=call_priority(route.priority, organisation),
        disabled=route.disabled,
    )


def _refused(explanation: Explanation, refused: RefusedRequest) -> Explanation:
    low_s, high_s = retry_after_range_s(refused.status, refused.retry_after_s)
    report = RefusalReport(refused.status, refused.reason, low_s, high_s)
    return _replace(explanation, refusal=report)


def _failed(explanation: Explanation, failure: CallFailure) -> Explanation:
    status = failure_status(failure)
    return _refused(explanation, RefusedRequest(status, failure.reason, failure.retry_after_s))


def _replace(explanation: Explanation, **changes: t.Any) -> Explanation:
    return msgspec.structs.replace(explanation, **changes)
