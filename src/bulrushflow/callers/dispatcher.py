"""Dispatch of calls: choice of version and target, attempts and retries."""

import asyncio
import random

from result import Err
from result import Ok

from bulrushflow.configuration import Configuration
from bulrushflow.membership import Member
from bulrushflow.membership import MemberTable
from bulrushflow.metrics import Metrics
from bulrushflow.nodes import Forwarding
from bulrushflow.rollouts import SharedRollouts
from bulrushflow.routing import MAX_ATTEMPTS
from bulrushflow.routing import Call
from bulrushflow.routing import CallResult
from bulrushflow.routing import Outcome
from bulrushflow.routing import RetryBudget
from bulrushflow.routing import choose_versions
from bulrushflow.routing import may_retry
from bulrushflow.routing import not_run
from bulrushflow.routing import refused
from bulrushflow.routing import retry_backoff_s
from bulrushflow.routing.balancer import Balancer
from bulrushflow.targets import AdmissionController

FULL_LOAD = 1.0


class Dispatcher:
    """Dispatches calls, each with the configuration that was in force when it arrived."""

    def __init__(
        self,
        table: MemberTable,
        shared_rollouts: SharedRollouts,
        admission_controller: AdmissionController,
        forwarding: Forwarding,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._table = table
        self._shared_rollouts = shared_rollouts
        self._admission_controller = admission_controller
        self._forwarding = forwarding
        self._metrics = metrics
        self._rng = rng
        own = table.own
        self._balancer = Balancer(own.node_id, own.data_centre, self._own_load, rng)
        self._retry_budgets_by_service: dict[str, RetryBudget] = {}

    async def dispatch(self, configuration: Configuration, call: Call) -> CallResult:
        """Choose a version and a target for a call, and send it, with retries, until it ends."""
        versions = choose_versions(
            configuration, call.service, self._shared_rollouts.share_permille, self._rng
        )
        budget = self._retry_budget(configuration, call.service)
        budget.replenish()
        tried: set[str] = set()
        rounds = 0
        result = not_run(f"no ready target for service {call.service}")
        for retries in range(MAX_ATTEMPTS):
            if retries and not budget.try_consume():
                return result
            chosen = self._choose(call.service, versions, tried)
            if chosen is None and tried:
                if not await self._back_off(call, rounds):
                    return result
                rounds += 1
                tried.clear()
                chosen = self._choose(call.service, versions, tried)
            if chosen is None:
                return result
            member, version = chosen
            if retries:
                self._metrics.retries.inc({"service": call.service})
            tried.add(member.node_id)
            result = _combine_results(
                result, await self._attempt(member, call.for_attempt(version, retries))
            )
            match result:
                case Ok(_):
                    return result
                case Err(failure):
                    if not may_retry(call, failure):
                        return result
            if asyncio.get_running_loop().time() >= call.deadline:
                return result
        return result

    def _choose(
        self, service: str, versions: tuple[str, ...], tried: set[str]
    ) -> tuple[Member, str] | None:
        now = asyncio.get_running_loop().time()
        for version in versions:
            candidates = self._table.ready_targets(service, version)
            member = self._balancer.choose(candidates, tried, now)
            if member is not None:
                return member, version
        return None

    async def _attempt(self, member: Member, call: Call) -> CallResult:
        loop = asyncio.get_running_loop()
        if loop.time() >= call.deadline:
            return refused("the call's deadline passed before it was sent")
        if member.node_id == self._table.own_id:
            return await self._admission_controller.run(call)
        node_id = member.node_id
        self._balancer.begin_attempt(node_id)
        try:
            result, report = await self._forwarding.send(member, call)
        finally:
            self._balancer.end_attempt(node_id)
        load = None
        if report is not None:
            load = report.load / report.capacity if report.capacity else FULL_LOAD
        if result.is_err():
            # A node that fails calls at once would look idle and attract the calls of all nodes.
            load = max(load or 0.0, FULL_LOAD)
        if load is not None:
            self._balancer.record_load(node_id, load, loop.time())
        return result

    async def _back_off(self, call: Call, rounds: int) -> bool:
        """Wait after every target refused; return ``False`` at once if the deadline is too near."""
        backoff_s = retry_backoff_s(rounds, self._rng)
        if asyncio.get_running_loop().time() + backoff_s >= call.deadline:
            return False
        await asyncio.sleep(backoff_s)
        return True

    def _retry_budget(self, configuration: Configuration, service: str) -> RetryBudget:
        budget = self._retry_budgets_by_service.get(service)
        if budget is None:
            for name in (
                self._retry_budgets_by_service.keys() - configuration.services_by_name.keys()
            ):
                del self._retry_budgets_by_service[name]
            budget = self._retry_budgets_by_service[service] = RetryBudget()
        return budget

    def _own_load(self) -> float:
        capacity = self._admission_controller.capacity
        return self._admission_controller.load / capacity if capacity else FULL_LOAD


def _combine_results(earlier: CallResult, latest: CallResult) -> CallResult:
    """Return the result of a call after one more attempt.

    If an earlier attempt may have run, the outcome stays unknown until an attempt is answered, even
    when the latest attempt certainly did not run.
    """
    if latest.is_ok() or earlier.is_ok():
        return latest
    uncertain = earlier.unwrap_err().outcome is Outcome.UNKNOWN
    return earlier if uncertain else latest
