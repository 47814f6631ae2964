"""Brings a call to a target: service, version, target, attempt, repeat."""

import asyncio
import random
import typing as t

from result import Err
from result import Ok

from bulrushflow.metrics import Metrics
from bulrushflow.routing import Call
from bulrushflow.routing import CallFailure
from bulrushflow.routing import CallResult
from bulrushflow.routing import Outcome
from bulrushflow.routing import not_run
from bulrushflow.routing import unknown
from bulrushflow.sidecar.admission_controller import AdmissionController
from bulrushflow.sidecar.balancer import Balancer
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.directory import Directory
from bulrushflow.sidecar.directory import Peer
from bulrushflow.sidecar.forwarding import PeerForwarder
from bulrushflow.sidecar.forwarding import PeerReport
from bulrushflow.sidecar.model import Route

MAX_REFUSALS = 4
"""Attempts at targets that refuse a call before it is given up."""
REFUSALS_AT_LOAD = 2
"""Refusals after which no target is tried whose slots were all in use when last heard of."""
HELD_PART = 0.1
"""Part of the route's target latency for which a call waits for a target to show up."""
WAIT_STEP_S = 0.02
PATIENCE_PART = 0.75
"""Part of the route's target latency after which an idempotent call is tried elsewhere too."""
PATIENCE_FACTOR = 3.0
"""Times the target's usual latency that an attempt gets alone at least."""
FULL_LOAD = 1.0

VersionFilter = t.Callable[[str, t.Sequence[Peer]], t.Sequence[Peer]]


class Progress:
    """What is known of one call after its attempts so far."""

    __slots__ = ("arrivals", "given_up", "refusals", "result", "runs")

    def __init__(self, result: CallResult) -> None:
        self.result = result
        self.arrivals = 0
        """How often the call may have reached a target."""
        self.runs = 0
        """How often the call may have run."""
        self.refusals = 0
        self.given_up = False
        """Whether an attempt was given up, so that it may have run."""

    @property
    def answered(self) -> bool:
        """Whether a target answered without an error of its own."""
        return self.result.is_ok() and not self.result.unwrap().is_failure

    def take(self, result: CallResult, idempotent: bool, max_runs: int) -> bool:
        """Take in an attempt's outcome; tell whether it was the last."""
        match result:
            case Ok(answer):
                self.result = result
                final = not answer.is_failure
            case Err(failure) if failure.outcome is Outcome.NOT_RUN:
                # Once an attempt may have run, one that did not leaves the call uncertain.
                if not self.runs:
                    self.result = result
                self.refusals += 1
                self.arrivals += failure.reached_target
                return self.refusals >= MAX_REFUSALS
            case Err(failure):
                self.result = result
                final = failure.outcome is not Outcome.UNKNOWN
        self.runs += 1
        self.arrivals += 1
        return final or not idempotent or self.runs >= max_runs

    def time_out(self) -> CallResult:
        """Return the outcome of a call whose time is over."""
        if self.given_up and not self.result.is_ok():
            return unknown("no answer within the timeout")
        return self.result


class Dispatcher:
    """Routes calls, each with the route that it began with.

    :param choose_version: leaves the peers whose target has the version that a call goes to.
    """

    def __init__(
        self,
        own_address: str,
        directory: Directory,
        gate: AdmissionController,
        peers: PeerForwarder,
        balancer: Balancer,
        choose_version: VersionFilter,
        metrics: Metrics,
        decisions: DecisionLog,
        rng: random.Random,
    ) -> None:
        self._own_address = own_address
        self._directory = directory
        self._gate = gate
        self._peers = peers
        self._balancer = balancer
        self._choose_version = choose_version
        self._metrics = metrics
        self._decisions = decisions
        self._rng = rng
        self._split_credit_by_route: dict[str, dict[str, float]] = {}

    def choose_service(self, route: Route) -> str:
        """Return the service for the next call of a route, by smooth weighted turns."""
        if len(route.services) == 1:
            return route.services[0].service
        key = f"{route.host}{route.prefix}"
        credit_by_service = self._split_credit_by_route.setdefault(key, {})
        total = 0.0
        for part in route.services:
            total += part.weight
            credit = credit_by_service.get(part.service, self._rng.uniform(0, part.weight))
            credit_by_service[part.service] = credit + part.weight
        best = max(route.services, key=lambda part: credit_by_service[part.service]).service
        credit_by_service[best] -= total
        return best

    async def dispatch(self, route: Route, call: Call) -> CallResult:
        """Run a call within its time; the outcome says whether it ran."""
        progress = Progress(not_run(f"no target of {call.service} takes calls"))
        try:
            async with asyncio.timeout_at(call.deadline):
                await self._try(route, call, progress)
        except TimeoutError:
            return progress.time_out()
        return progress.result

    async def _try(self, route: Route, call: Call, progress: Progress) -> None:
        """Try targets until an outcome is the last."""
        loop = asyncio.get_running_loop()
        held_until = min(call.deadline, loop.time() + route.latency_objective_s * HELD_PART)
        tried: set[str] = set()
        while loop.time() < call.deadline:
            peer = self._choose(route, call, tried)
            if peer is None:
                if progress.arrivals or loop.time() + WAIT_STEP_S > held_until:
                    break
                tried.clear()
                await asyncio.sleep(WAIT_STEP_S)
                continue
            if progress.refusals >= REFUSALS_AT_LOAD and peer.load(loop.time()) >= FULL_LOAD:
                break
            tried.add(peer.entry.address)
            if self._may_hedge(route, call, progress):
                ended = await self._hedged(route, call, peer, progress, tried)
            else:
                result = await self._attempt(peer, call, progress, progress.arrivals)
                ended = progress.take(result, call.idempotent, route.max_attempts)
            if ended:
                break

    def _may_hedge(self, route: Route, call: Call, progress: Progress) -> bool:
        """Tell whether a call may be at two targets at once."""
        if not call.idempotent or progress.runs + 1 >= route.max_attempts:
            return False
        return len(self._directory.ready_peers(call.service)) > 1

    async def _hedged(
        self, route: Route, call: Call, peer: Peer, progress: Progress, tried: set[str]
    ) -> bool:
        """Try a target, and another one beside it when the first takes long.

        The first is not given up: the other may refuse, or take as long.

        :return: whether the call ended.
        """
        loop = asyncio.get_running_loop()
        patience_s = max(
            route.latency_objective_s * PATIENCE_PART, peer.latency_s * PATIENCE_FACTOR
        )
        running = {loop.create_task(self._attempt(peer, call, progress, progress.arrivals))}
        ended = False
        try:
            done, _ = await asyncio.wait(running, timeout=patience_s)
            if not done:
                other = self._choose(route, call, tried)
                # Where calls wait everywhere, a second one would only make all of them wait longer.
                if other is not None and other.load(loop.time()) < FULL_LOAD:
                    tried.add(other.entry.address)
                    arrivals = progress.arrivals + 1
                    running.add(loop.create_task(self._attempt(other, call, progress, arrivals)))
            while running and not progress.answered:
                done, running = await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    if progress.take(task.result(), call.idempotent, route.max_attempts):
                        ended = True
        finally:
            for task in running:
                task.cancel()
            # They tell what they gave up before the call's outcome is told.
            await asyncio.gather(*running, return_exceptions=True)
        return ended

    def _choose(self, route: Route, call: Call, tried: set[str]) -> Peer | None:
        candidates = self._choose_version(call.service, self._directory.ready_peers(call.service))
        now = asyncio.get_running_loop().time()
        return self._balancer.choose(candidates, tried, now, route.latency_objective_s)

    async def _attempt(
        self, peer: Peer, call: Call, progress: Progress, arrivals: int
    ) -> CallResult:
        """Try one target.

        :param arrivals: how often the call may have reached a target already.
        """
        loop = asyncio.get_running_loop()
        target = peer.entry.target
        attempt = call.for_attempt(target.version if target is not None else "", arrivals)
        if arrivals:
            self._metrics.retries.inc({"service": call.service})
        started_at = loop.time()
        peer.in_flight += 1
        try:
            result, report = await self._send(peer, attempt)
        except asyncio.CancelledError:
            progress.given_up = True
            if loop.time() >= call.deadline:
                failure = CallFailure(Outcome.UNKNOWN, "no answer by the deadline")
                self._tell_failed(peer, attempt, failure, None, loop.time() - started_at)
            raise
        finally:
            peer.in_flight -= 1
        self._learn(peer, attempt, result, report, loop.time() - started_at)
        return result

    async def _send(self, peer: Peer, call: Call) -> tuple[CallResult, PeerReport]:
        if peer.entry.address != self._own_address:
            return await self._peers.send(peer.entry.endpoint, call)
        result = await self._gate.run(call)
        capacity = self._gate.capacity
        return result, PeerReport(True, self._gate.load / capacity if capacity else None)

    def _learn(
        self, peer: Peer, call: Call, result: CallResult, report: PeerReport, seconds: float
    ) -> None:
        now = asyncio.get_running_loop().time()
        match result:
            case Ok(answer):
                peer.record_response(seconds, answer.is_failure, now)
                peer.record_load(report.load or 0.0, now)
                return
            case Err(failure):
                pass
        if failure.outcome is Outcome.UNKNOWN or failure.reached_target:
            peer.record_response(seconds, True, now)
        if not report.reached:
            self._peers.mark_unreachable(peer)
        elif report.load is None:
            peer.mark_unavailable(now)
        elif failure.outcome is Outcome.NOT_RUN:
            peer.record_load(max(report.load, FULL_LOAD), now)
        self._tell_failed(peer, call, failure, report.load, seconds)

    def _tell_failed(
        self, peer: Peer, call: Call, failure: CallFailure, load: float | None, seconds: float
    ) -> None:
        self._decisions.attempt_failed(
            call,
            failure.outcome.name.lower(),
            reason=failure.reason,
            node=peer.entry.node_id,
            load=load,
            seconds=round(seconds, 3),
        )
