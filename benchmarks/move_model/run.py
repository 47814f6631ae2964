"""Simulates one rollout: draws call outcomes tick by tick and passes the counts to a policy."""

import random
import typing as t
from dataclasses import dataclass

from benchmarks.move_model.draws import draw_binomial
from benchmarks.move_model.draws import draw_latencies
from benchmarks.move_model.draws import draw_poisson
from benchmarks.move_model.policies import NEW_VERSION
from benchmarks.move_model.policies import OLD_VERSION
from benchmarks.move_model.policies import CountsByVersionRoute
from benchmarks.move_model.policies import Policy
from benchmarks.move_model.scenarios import COLD_LATENCY
from benchmarks.move_model.scenarios import ROUTES
from benchmarks.move_model.scenarios import Outcome
from benchmarks.move_model.scenarios import Scenario
from bulrushflow.rollouts import RouteCounts
from bulrushflow.rollouts import WarmUp

COLD_START_S = 8.0
COLD_START_CALLS = 5
NEW_TARGET_COUNT = 2
SECOND_TARGET_READY_FRACTION = 0.4
"""Fraction of the rollout's duration after which the second new target is ready."""


@dataclass(slots=True)
class RunResult:
    """Outcome of one run.

    ``bad_calls``: calls to the new version while its fault shows, on the routes that it affects.
    ``fault_seen_s`` and ``last_new_call_s``: times of the first and the last tick with calls to the
    new version while its fault shows, on any route.
    """

    done_on_time: bool = False
    taken_back: bool = False
    calls: int = 0
    bad_calls: int = 0
    fault_seen_s: float | None = None
    last_new_call_s: float | None = None
    reason: str = ""

    @property
    def stop_s(self) -> float | None:
        """Seconds from the first to the last call to the faulty version; ``None`` without any."""
        if self.fault_seen_s is None or self.last_new_call_s is None:
            return None
        return self.last_new_call_s - self.fault_seen_s


class _NewTarget:
    """A target of the new version.

    It is cold for its first :data:`COLD_START_CALLS` calls and :data:`COLD_START_S` seconds,
    whichever ends later.
    """

    def __init__(self, ready_at_s: float) -> None:
        self.ready_at_s = ready_at_s
        self.warm_up = WarmUp()
        self._calls = 0
        self._first_call_s: float | None = None

    def is_cold(self, now_s: float, calls: int) -> bool:
        if self._first_call_s is None:
            self._first_call_s = now_s
        cold = self._calls < COLD_START_CALLS or now_s - self._first_call_s < COLD_START_S
        self._calls += calls
        return cold


class Run:
    """Draws a scenario's calls while a policy sets the traffic share."""

    def __init__(
        self, scenario: Scenario, policy: Policy, rate_per_s: float, tick_s: float
    ) -> None:
        self._scenario = scenario
        self._policy = policy
        self._rate_per_s = rate_per_s * scenario.rate_factor
        self._tick_s = tick_s
        self._rng = scenario.rng
        self._totals: CountsByVersionRoute = {
            (version, route): RouteCounts()
            for version in (OLD_VERSION, NEW_VERSION)
            for route, _ in ROUTES
        }
        second_ready_s = SECOND_TARGET_READY_FRACTION * scenario.span_s
        self._targets = [_NewTarget(0.0), _NewTarget(second_ready_s)][:NEW_TARGET_COUNT]
        self._result = RunResult()

    def run_to_end(self) -> RunResult:
        """Run until the rollout completes, rolls back or passes its deadline."""
        result = self._result
        known_counts = {key: _copy(counts) for key, counts in self._totals.items()}
        tick = 0
        while tick * self._tick_s <= self._scenario.span_s + self._tick_s:
            tick += 1
            now_s = tick * self._tick_s
            share_permille = self._policy.share_permille
            self._draw_calls(now_s, share_permille)
            # The driving node has its own target's counts at once and peers' counts a tick late.
            for route, _ in ROUTES:
                known_counts[NEW_VERSION, route] = self._totals[NEW_VERSION, route]
            self._policy.tick(known_counts, now_s)
            for route, _ in ROUTES:
                known_counts[OLD_VERSION, route] = _copy(self._totals[OLD_VERSION, route])
            if self._policy.rolled_back:
                result.taken_back = True
                # The rollback reaches the other nodes within one tick. Until then they keep the
                # share.
                self._draw_calls(now_s + self._tick_s / 2, share_permille)
                break
            if self._policy.completed:
                result.done_on_time = now_s <= self._scenario.span_s
                break
        result.reason = self._policy.reason
        return result

    def _draw_calls(self, now_s: float, share_permille: int) -> None:
        rate = self._rate_per_s * self._scenario.load_factor(now_s)
        for route, route_fraction in ROUTES:
            calls = draw_poisson(self._rng, rate * route_fraction * self._tick_s)
            new_calls = draw_binomial(self._rng, calls, share_permille / 1000)
            self._result.calls += calls
            old_outcome = self._scenario.old_outcome(now_s, route)
            self._observe(self._totals[OLD_VERSION, route], old_outcome, calls - new_calls)
            if new_calls:
                self._draw_new_calls(now_s, route, new_calls, share_permille)

    def _draw_new_calls(self, now_s: float, route: str, calls: int, share_permille: int) -> None:
        outcome = self._scenario.new_outcome(now_s, route, share_permille)
        if self._scenario.bad and self._scenario.is_faulty(now_s, share_permille):
            self._result.bad_calls += calls if self._scenario.affects(route) else 0
            self._result.last_new_call_s = now_s
            if self._result.fault_seen_s is None:
                self._result.fault_seen_s = now_s
        counts = self._totals[NEW_VERSION, route]
        for target, count in self._split_over_targets(now_s, calls):
            if not count:
                continue
            warming = [target.warm_up.count_call(now_s) for _ in range(count)]
            target_outcome = outcome
            if self._scenario.cold_start and target.is_cold(now_s, count):
                target_outcome = Outcome(outcome.errors, COLD_LATENCY)
            self._observe(counts, target_outcome, warming.count(False))
            self._observe(counts, target_outcome, warming.count(True), warming=True)

    def _split_over_targets(self, now_s: float, calls: int) -> t.Iterator[tuple[_NewTarget, int]]:
        ready = [target for target in self._targets if target.ready_at_s <= now_s]
        for i, target in enumerate(ready):
            count = draw_binomial(self._rng, calls, 1 / (len(ready) - i))
            calls -= count
            yield target, count

    def _observe(
        self, counts: RouteCounts, outcome: Outcome, calls: int, warming: bool = False
    ) -> None:
        if not calls:
            return
        counts.calls += calls
        counts.errors += draw_binomial(self._rng, calls, outcome.errors)
        if warming or not self._policy.uses_latency:
            return
        for bucket, count in draw_latencies(self._rng, calls, outcome.latency):
            counts.latency_buckets[bucket] += count


def _copy(counts: RouteCounts) -> RouteCounts:
    return RouteCounts(counts.calls, counts.errors, latency_buckets=list(counts.latency_buckets))


def run_once(
    scenario_type: type[Scenario],
    policy: t.Callable[[float], Policy],
    rate_per_s: float,
    span_s: float,
    tick_s: float,
    seed: str,
) -> RunResult:
    """Run one seeded scenario under one policy.

    :param span_s: seconds from the rollout order to its deadline.
    :param tick_s: seconds between two decisions.
    """
    scenario = scenario_type(random.Random(seed), span_s)
    return Run(scenario, policy(span_s), rate_per_s, tick_s).run_to_end()
