"""Dispatch of calls to targets, with retries, hedging and deadlines."""

import asyncio
import copy
import random
import typing as t

import msgspec

from bulrushflow.metrics import Metrics
from bulrushflow.overload import LOADED_WAIT_S
from bulrushflow.overload import OriginLimits
from bulrushflow.placement import ResponseSizes
from bulrushflow.placement import WorkChoice
from bulrushflow.routing import Call
from bulrushflow.routing import CallResult
from bulrushflow.routing import not_run
from bulrushflow.sidecar.calls.admission_controller import AdmissionController
from bulrushflow.sidecar.calls.attempt_results import FULL_LOAD
from bulrushflow.sidecar.calls.attempt_results import AttemptResults
from bulrushflow.sidecar.calls.balancer import DEFAULT_LATENCY_S
from bulrushflow.sidecar.calls.balancer import Balancer
from bulrushflow.sidecar.calls.call_progress import CallProgress
from bulrushflow.sidecar.calls.forwarding import PeerForwarder
from bulrushflow.sidecar.calls.forwarding import PeerReport
from bulrushflow.sidecar.calls.quarantine import Quarantine
from bulrushflow.sidecar.calls.refusals import evacuated_reason
from bulrushflow.sidecar.calls.refusals import no_target_reason
from bulrushflow.sidecar.calls.target_signals import SignalReader
from bulrushflow.sidecar.calls.target_warmth import ColdStartLookup
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.model import Route
from bulrushflow.sidecar.records.directory import Directory
from bulrushflow.sidecar.records.directory import Peer

MAX_REFUSALS_AT_FULL_LOAD = 2
"""Refusals after which targets are no longer tried if their last known load leaves no slot free."""
TARGET_NEWS_S = 0.1
"""Time for which a call waits for a target to become available: news of one reach all nodes within
it. Without any, the caller can use its time better elsewhere. A call that targets refused, which
may be full for a moment only, waits while it can be in time."""
TARGET_POLL_S = 0.02
"""First interval at which a waiting call looks for a target; it doubles each time."""
HEDGE_DELAY_FACTOR = 3.0
"""Least time after which an idempotent call is hedged, that is sent to a second target too, as a
multiple of the first target's smoothed latency."""

PeerFilter = t.Callable[[str, t.Sequence[Peer]], t.Sequence[Peer]]


class OverloadRefusal(msgspec.Struct, frozen=True):
    """Why a call is refused without an attempt."""

    reason: str
    target_count: int
    mean_wait_s: float
    left_s: float


class Dispatcher:
    """Sends each call to a target of its service, and retries it within the route's limits.

    A call keeps the route that it started with when the configuration changes.

    :param own_address: address of this node, whose own target is called through ``admission``.
    :param signals: reads what a target says of itself in a response.
    :param cold_start: returns the limits for the cold targets of a service, if it has any.
    :param filter_peers: returns those of a service's peers whose target has the version that a call
        is to go to.
    :param work_choice: chooses targets instead of the balancer, if it is given.
    :param limits: limits the attempts of a call when targets can't serve all, if it is given.
    """

    def __init__(
        self,
        own_address: str,
        directory: Directory,
        admission: AdmissionController,
        forwarder: PeerForwarder,
        balancer: Balancer,
        filter_peers: PeerFilter,
        quarantine: Quarantine,
        signals: SignalReader,
        metrics: Metrics,
        decisions: DecisionLog,
        rng: random.Random,
        cold_start: ColdStartLookup = lambda service: None,
        work_choice: WorkChoice | None = None,
        limits: OriginLimits | None = None,
    ) -> None:
        self._work_choice = work_choice
        self._limits = limits
        self._own_address = own_address
        self._directory = directory
        self._admission = admission
        self._forwarder = forwarder
        self._balancer = balancer
        self._filter_peers = filter_peers
        self._quarantine = quarantine
        self._metrics = metrics
        self._decisions = decisions
        self._rng = rng
        self._cold_start = cold_start
        self._response_sizes = ResponseSizes()
        self._results = AttemptResults(
            directory, forwarder, signals, self._response_sizes, work_choice, decisions
        )
        self._credit_by_route: dict[str, dict[str, float]] = {}

    def choose_service(self, route: Route) -> str:
        """Return the service for the next call of a route, by smooth weighted round robin."""
        if len(route.services) == 1:
            return route.services[0].service
        key = f"{route.host}{route.prefix}"
        credit_by_service = self._credit_by_route.setdefault(key, {})
        total = 0.0
        for part in route.services:
            total += part.weight
            credit = credit_by_service.get(part.service, self._rng.uniform(0, part.weight))
            credit_by_service[part.service] = credit + part.weight
        best = max(route.services, key=lambda part: credit_by_service[part.service]).service
        credit_by_service[best] -= total
        return best

    def preview(self, rng: random.Random, filter_peers: PeerFilter) -> "Dispatcher":
        """Return a dispatcher whose read-only decisions are this one's next ones.

        Only :meth:`choose_service`, :meth:`candidates`, :meth:`choose_target`,
        :meth:`overload_refusal`, :meth:`is_cold`, :meth:`expected_wait_s` and
        :meth:`expected_response_s` may be called on it. They change copies of what this
        one decides by.

        :param filter_peers: draws from ``rng`` too.
        """
        preview = copy.copy(self)
        preview._rng = rng
        preview._filter_peers = filter_peers
        preview._balancer = self._balancer.preview(rng)
        if self._work_choice is not None:
            preview._work_choice = self._work_choice.preview(rng)
        preview._credit_by_route = {
            key: dict(credit) for key, credit in self._credit_by_route.items()
        }
        return preview

    def candidates(self, service: str) -> t.Sequence[Peer]:
        """Return the peers of the version that a call is to go to; the version may be drawn."""
        return self._filter_peers(service, self._directory.ready_peers(service))

    def is_cold(self, service: str, peer: Peer, now: float) -> bool:
        """Return whether a target gets few calls a second, since it counts as cold."""
        cold_start = self._cold_start(service)
        return cold_start is not None and self._balancer.is_cold(peer, cold_start, now)

    def expected_wait_s(self, peer: Peer, now: float) -> float | None:
        """Return the expected wait at a target; ``None`` where targets don't report their work."""
        choice = self._work_choice
        return choice.expected_wait_s(peer, now) if choice is not None else None

    def expected_response_s(
        self, route: Route, service: str, peer: Peer, candidates: t.Sequence[Peer], now: float
    ) -> float:
        """Return the expected time to a target's response, by which targets are compared."""
        response_bytes = self._response_sizes.large_bytes(route.name)
        if self._work_choice is not None and self._cold_start(service) is None:
            return self._work_choice.expected_response_s(peer, now, response_bytes)
        return self._balancer.expected_response_s(peer, candidates, now, response_bytes)

    def backlog_s(self, service: str) -> float:
        """Return the expected wait at a service's targets, as far as they report it."""
        if self._work_choice is None:
            return 0.0
        return self._work_choice.backlog_s(service, asyncio.get_running_loop().time())

    async def dispatch(self, route: Route, call: Call) -> CallResult:
        """Run a call within its deadline; the outcome says whether it ran."""
        quarantined = self._quarantine.refusal(call)
        if quarantined is not None:
            return quarantined.as_result()
        overloaded = self._early_refusal(route, call)
        if overloaded is not None:
            return not_run(overloaded)
        progress = CallProgress(not_run(no_target_reason(call.service)))
        try:
            async with asyncio.timeout_at(call.deadline):
                await self._try_targets(route, call, progress)
        except TimeoutError:
            return progress.result_at_deadline()
        except asyncio.CancelledError:
            progress.discard()
            raise
        return progress.result

    async def _try_targets(self, route: Route, call: Call, progress: CallProgress) -> None:
        """Try targets one after the other until an outcome is final or none is left to try."""
        loop = asyncio.get_running_loop()
        news_until = loop.time() + TARGET_NEWS_S
        pause_s = TARGET_POLL_S
        tried: set[str] = set()
        while loop.time() < call.deadline:
            if progress.unanswered and self._quarantine.refusal(call) is not None:
                break
            peer = self._choose(route, call, tried)
            if peer is None:
                if self._directory.all_evacuated(call.service):
                    self._refuse_evacuated(call, progress)
                    break
                wait_until = max(call.late_after, news_until) if progress.refusals else news_until
                if progress.deliveries or loop.time() + pause_s > min(wait_until, call.deadline):
                    break
                tried.clear()
                await asyncio.sleep(pause_s)
                pause_s *= 2
                continue
            if (
                progress.refusals >= MAX_REFUSALS_AT_FULL_LOAD
                and peer.load(loop.time()) >= FULL_LOAD
            ):
                break
            # Run twice, a call would take the slot of another one; refused again, its caller would
            # learn of it late.
            if progress.possible_runs and self._is_loaded(peer):
                break
            if progress.refusals and self._is_too_late(call, peer):
                break
            tried.add(peer.entry.address)
            if self._may_hedge(route, call, progress):
                ended = await self._attempt_hedged(route, call, peer, progress, tried)
            else:
                result = await self._attempt(peer, call, progress, progress.deliveries)
                ended = progress.record(result, call.idempotent, route.max_attempts)
            if ended:
                break

    def _refuse_evacuated(self, call: Call, progress: CallProgress) -> None:
        """Refuse a call at once that no target may get; waiting would only delay its retry."""
        self._metrics.evacuation_refusals.inc({"at": "origin"})
        progress.record(not_run(evacuated_reason(call.service)), call.idempotent, 1)

    def _early_refusal(self, route: Route, call: Call) -> str | None:
        """Return why no target is worth an attempt, or ``None``."""
        now = asyncio.get_running_loop().time()
        refusal = self.overload_refusal(call.service, call.deadline - now, now)
        if refusal is None or self._limits is None or self._limits.may_probe(call.service, now):
            return None
        self._metrics.early_refusals.inc({"service": call.service})
        self._decisions.event(
            "service overloaded",
            service=call.service,
            targets=refusal.target_count,
            mean_wait_s=round(refusal.mean_wait_s, 3),
            left_s=round(refusal.left_s, 3),
        )
        return refusal.reason

    def overload_refusal(self, service: str, left_s: float, now: float) -> OverloadRefusal | None:
        """Return why no target is worth an attempt unless it is a probe, or ``None``.

        :param left_s: time until the call's deadline.
        """
        choice = self._work_choice
        if self._limits is None or choice is None:
            return None
        if choice.mean_answer_s(service, now) <= left_s:
            return None
        # All versions: the choice of a version counts as a call that it gets.
        candidates = self._directory.ready_peers(service)
        if not choice.none_answers_within(candidates, now, left_s):
            return None
        reason = f"no target of {service} is expected to answer a call within {left_s:.2f} s"
        backlog_s = choice.backlog_s(service, now)
        return OverloadRefusal(reason, len(candidates), backlog_s, left_s)

    def _is_loaded(self, peer: Peer) -> bool:
        """Return whether a target has no time for a second run of a call."""
        now = asyncio.get_running_loop().time()
        choice = self._work_choice
        return choice is not None and choice.expected_wait_s(peer, now) > LOADED_WAIT_S

    def _is_too_late(self, call: Call, peer: Peer) -> bool:
        """Return whether a target is expected to answer a call after its deadline."""
        if self._work_choice is None:
            return False
        now = asyncio.get_running_loop().time()
        return not self._work_choice.answers_within(peer, now, call.deadline - now)

    def _may_hedge(self, route: Route, call: Call, progress: CallProgress) -> bool:
        """Return whether a call may be sent to two targets at once."""
        if not call.idempotent or progress.possible_runs + 1 >= route.max_attempts:
            return False
        return len(self._directory.ready_peers(call.service)) > 1

    async def _attempt_hedged(
        self, route: Route, call: Call, peer: Peer, progress: CallProgress, tried: set[str]
    ) -> bool:
        """Try a target, and a second one in parallel when the first exceeds the hedge delay.

        The first attempt goes on, since the second may be refused or take just as long. The first
        response without a server error ends both.

        :return: whether the call must not be tried again.
        """
        loop = asyncio.get_running_loop()
        # Sent later, the second attempt would not be in time either.
        latency_s = peer.latency_s or DEFAULT_LATENCY_S
        useful_s = call.late_after - loop.time() - latency_s
        hedge_delay_s = max(useful_s, latency_s * HEDGE_DELAY_FACTOR)
        running = {loop.create_task(self._attempt(peer, call, progress, progress.deliveries))}
        ended = False
        try:
            done, _ = await asyncio.wait(running, timeout=hedge_delay_s)
            if not done:
                other = self._choose(route, call, tried)
                # Without a free slot, the second attempt would only lengthen the queues.
                if (
                    other is not None
                    and other.load(loop.time()) < FULL_LOAD
                    and not self._is_loaded(other)
                ):
                    tried.add(other.entry.address)
                    deliveries = progress.deliveries + 1
                    running.add(loop.create_task(self._attempt(other, call, progress, deliveries)))
            while running and not progress.succeeded:
                done, running = await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    if progress.record(task.result(), call.idempotent, route.max_attempts):
                        ended = True
        finally:
            for task in running:
                task.cancel()
            # Cancelled attempts log their failure before the call's outcome is logged.
            for result in await asyncio.gather(*running, return_exceptions=True):
                # One that ended at the same moment has a response that nobody reads.
                if not isinstance(result, BaseException):
                    progress.record_unread(result)
        return ended

    def _choose(self, route: Route, call: Call, tried: set[str]) -> Peer | None:
        now = asyncio.get_running_loop().time()
        return self.choose_target(route, call.service, self.candidates(call.service), tried, now)

    def choose_target(
        self,
        route: Route,
        service: str,
        candidates: t.Sequence[Peer],
        tried: t.Collection[str],
        now: float,
    ) -> Peer | None:
        """Return the target of one attempt among candidates; ``None`` if none is available.

        :param tried: addresses of nodes that the call was sent to already.
        """
        cold_start = self._cold_start(service)
        response_bytes = self._response_sizes.large_bytes(route.name)
        # Only the balancer chooses between cold and warm targets.
        if self._work_choice is not None and cold_start is None:
            return self._work_choice.choose(
                candidates, tried, now, route.latency_objective_s, response_bytes
            )
        return self._balancer.choose(
            candidates, tried, now, route.latency_objective_s, cold_start, response_bytes
        )

    async def _attempt(
        self, peer: Peer, call: Call, progress: CallProgress, deliveries: int
    ) -> CallResult:
        """Send the call to one target, and update what is known of the target.

        :param deliveries: number of earlier attempts that may have reached a target.
        """
        loop = asyncio.get_running_loop()
        target = peer.entry.target
        attempt = call.for_attempt(target.version if target is not None else "", deliveries)
        if deliveries:
            self._metrics.retries.inc({"service": call.service})
        started_at = loop.time()
        peer.in_flight += 1
        self._results.record_sent(peer)
        try:
            result, report = await self._send(peer, attempt)
        except asyncio.CancelledError:
            progress.abandoned = True
            # An attempt that is cancelled because another one succeeded has not failed.
            failed = not progress.succeeded
            self._results.record_cancelled(peer, attempt, failed, loop.time() - started_at)
            raise
        finally:
            peer.in_flight -= 1
        self._results.record(peer, attempt, result, report, loop.time() - started_at)
        return result

    async def _send(self, peer: Peer, call: Call) -> tuple[CallResult, PeerReport]:
        if peer.entry.address != self._own_address:
            return await self._forwarder.send(peer, call)
        result = await self._admission.run(call)
        capacity = self._admission.capacity
        load = self._admission.load / capacity if capacity else None
        return result, PeerReport(True, load, work=self._admission.work_report(call.route))
