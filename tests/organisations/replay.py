"""A replay of requests against the allowances of many nodes, without a network.

Nodes decide with the project's code; only the delivery of messages is replaced, by a queue of
events in which nodes can be killed, frozen and cut off.
"""

import collections
import functools
import heapq
import itertools
import random
import typing as t

from bulrushflow.organisations import Allowance
from bulrushflow.organisations import AllowanceHome
from bulrushflow.organisations import Allowances
from bulrushflow.organisations import Decision
from bulrushflow.organisations import Demand
from bulrushflow.organisations import Grant
from bulrushflow.organisations import Holding
from bulrushflow.organisations import HomeChoice
from bulrushflow.organisations import Limit
from bulrushflow.organisations.homes import OWN_KEY

MIN_DELAY_S = 0.001
MAX_DELAY_S = 0.012
"""Bounds of the time of one message between nodes."""
MAX_WAIT_S = 0.05
"""Time that a request waits for an answer: an eighth of an objective of 0.4 s."""
TIMER_S = 0.25
PROBE_S = 1.0


class Node:
    """One node: its allowances, and the limits that it divides."""

    def __init__(self, key: str, fleet: "Fleet") -> None:
        self.key = key
        self.fleet = fleet
        self.frozen_until = 0.0
        self.alive = True
        self.asking: set[str] = set()
        """Organisations with a report under way."""
        self.waiting: dict[str, list[float]] = collections.defaultdict(list)
        """Until when each waiting request waits, by organisation."""
        self.restart()

    def restart(self) -> None:
        """Forget everything, as a new process does."""
        self.alive = True
        self.unreachable: set[str] = set()
        """Nodes that this one can't connect to, as far as it knows."""
        self.choice = HomeChoice()
        self.asking.clear()
        self.waiting.clear()
        self.allowances = Allowances()
        self.allowances.node_count = len(self.fleet.nodes_by_key)
        self.limits = dict(self.fleet.limits)
        self.allowances.configure(self.limits, self.fleet.now)
        self.home = AllowanceHome()
        self.review_nodes()

    def change_limit(self, organisation: str, limit: Limit) -> None:
        """Apply a configuration with another limit."""
        self.limits[organisation] = limit
        self.allowances.configure(self.limits, self.fleet.now)

    def review_nodes(self) -> None:
        """Apply which nodes there are, and which of them this one can connect to."""
        keys = list(self.fleet.nodes_by_key)
        if self.choice.change(keys, self.unreachable):
            others = [key for key in keys if key != self.key]
            own = {name for name in self.limits if self.is_home(name)}
            self.home.change_nodes(others, self.unreachable, own, self.fleet.now)

    def arrive(self, organisation: str) -> None:
        now = self.fleet.now
        allowance = self.allowances.get(organisation, now)
        if allowance is None:
            self.fleet.count(organisation, True)
            return
        decision = allowance.arrive(now)
        if decision is not Decision.ASK:
            self.fleet.count(organisation, decision is Decision.PASS)
        elif now < allowance.offline_until:
            self.decide_alone(allowance)
        else:
            allowance.wanted += 1
            self.waiting[organisation].append(now + MAX_WAIT_S)
            self.fleet.at(now + MAX_WAIT_S, self.expire, organisation)
            self.ask([allowance])

    def decide_alone(self, allowance: Allowance) -> None:
        fleet = self.fleet
        passes = allowance.spend_floor(self.key, self.choice.reached_count, fleet.now)
        if not passes:
            assert allowance.retry_after_s(fleet.now) > 0
        fleet.count(allowance.organisation, passes)

    def expire(self, organisation: str) -> None:
        """Decide alone on requests that have waited for too long."""
        waiting = self.waiting[organisation]
        allowance = self.allowances.get(organisation, self.fleet.now)
        while waiting and waiting[0] <= self.fleet.now and allowance is not None:
            waiting.pop(0)
            allowance.wanted -= 1
            self.decide_alone(allowance)

    def ask(self, allowances: t.Sequence[Allowance]) -> None:
        fleet = self.fleet
        by_home: dict[str, list[Demand]] = collections.defaultdict(list)
        for allowance in allowances:
            name = allowance.organisation
            if name in self.asking:
                continue
            self.asking.add(name)
            by_home[self.choice.home_of(name) or self.key].append(allowance.demand(fleet.now))
        for home, demands in by_home.items():
            fleet.exchange(
                self.key,
                home,
                functools.partial(Node.serve, sender=self.key, demands=demands),
                functools.partial(self.on_answer, demands),
            )

    def serve(self, sender: str, demands: t.Sequence[Demand]) -> list[Grant] | None:
        now = self.fleet.now
        limits = self.limits
        if not all(self.is_home(demand.organisation) for demand in demands):
            return None
        key = OWN_KEY if sender == self.key else sender
        return [
            self.home.report(key, demand, limits[demand.organisation], now) for demand in demands
        ]

    def on_answer(self, demands: t.Sequence[Demand], grants: list[Grant] | None) -> None:
        now = self.fleet.now
        for i, demand in enumerate(demands):
            name = demand.organisation
            self.asking.discard(name)
            allowance = self.allowances.get(name, now)
            if allowance is None:
                continue
            if grants is None:
                allowance.mark_offline(now)
            else:
                allowance.apply_grant(grants[i], demand, now)
            waiting, self.waiting[name] = self.waiting[name], []
            allowance.wanted -= len(waiting)
            for _ in waiting:
                decision = allowance.decide(now)
                if decision is Decision.ASK and grants is not None:
                    # It arrived after the report was sent.
                    allowance.wanted += 1
                    self.waiting[name].append(now + MAX_WAIT_S)
                    self.fleet.at(now + MAX_WAIT_S, self.expire, name)
                elif decision is not Decision.PASS and grants is None:
                    self.decide_alone(allowance)
                else:
                    self.fleet.count(name, decision is Decision.PASS)
            if self.waiting[name]:
                self.ask([allowance])

    def tick(self) -> None:
        self.ask(self.allowances.due(self.fleet.now))

    def probe(self) -> None:
        for key in self.home.silent_nodes(self.fleet.now):
            self.fleet.exchange(
                self.key,
                key,
                lambda node: node.allowances.holdings(),
                functools.partial(self.on_holdings, key),
            )

    def on_holdings(self, key: str, holdings: list[Holding] | None) -> None:
        if holdings is None:
            return
        fleet = self.fleet
        own = {name: limit for name, limit in self.limits.items() if self.is_home(name)}
        self.home.add_holdings(key, holdings, own, fleet.now)

    def is_home(self, organisation: str) -> bool:
        return self.choice.home_of(organisation) == self.key


class Fleet:
    """All nodes, the queue of events, and what passed and was refused."""

    def __init__(self, node_count: int, limits: t.Mapping[str, Limit], seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.limits = dict(limits)
        self._events: list[tuple[float, int, t.Callable[..., None], tuple[t.Any, ...]]] = []
        self._numbers = itertools.count()
        self.passed: dict[str, list[float]] = collections.defaultdict(list)
        self.refused: dict[str, list[float]] = collections.defaultdict(list)
        self.messages = 0
        self.cut_off: set[str] = set()
        """Nodes that reach one another and no other."""
        self.nodes_by_key: dict[str, Node] = {}
        for i in range(node_count):
            key = f"node/10.0.{i // 16}.{i % 16}"
            self.nodes_by_key[key] = Node(key, self)
        for node in self.nodes_by_key.values():
            node.restart()
            self.every(TIMER_S, node, "tick")
            self.every(PROBE_S, node, "probe", self.rng.uniform(0.0, 0.1))

    def home_node(self, organisation: str) -> Node:
        """Return an organisation's home as long as all nodes can connect to it."""
        choice = HomeChoice()
        choice.change(self.nodes_by_key.keys(), ())
        return self.nodes_by_key[choice.home_of(organisation) or ""]

    def freeze(self, node: Node, seconds: float) -> None:
        """Have a node do nothing for a while; messages that it gets are handled afterwards."""
        node.frozen_until = self.now + seconds

    def change_limit(self, organisation: str, limit: Limit, within_s: float) -> None:
        """Change a limit; each node learns of it at a random time."""
        for node in self.nodes_by_key.values():
            time = self.now + self.rng.uniform(0, within_s)
            self.at(time, node.change_limit, organisation, limit)
        self.limits[organisation] = limit

    def kill(self, node: Node, restart_s: float, learn_s: float) -> None:
        """Kill a node, and start it again a while later; all learn of both a while later."""
        node.alive = False
        self.at(self.now + learn_s, self._learn)
        self.at(self.now + restart_s, node.restart)
        self.at(self.now + restart_s + learn_s, self._learn)

    def at(self, time: float, action: t.Callable[..., None], *arguments: t.Any) -> None:
        heapq.heappush(self._events, (time, next(self._numbers), action, arguments))

    def every(self, period_s: float, node: Node, name: str, first_s: float | None = None) -> None:
        def run() -> None:
            if node.alive and self.now >= node.frozen_until:
                getattr(node, name)()
            self.at(self.now + period_s * self.rng.uniform(0.9, 1.1), run)

        self.at(self.rng.uniform(0, period_s) if first_s is None else first_s, run)

    def cut(self, keys: t.Collection[str], learn_s: float) -> None:
        """Cut nodes off from all others, or none; all learn of it by their calls a while later."""
        self.cut_off = set(keys)
        self.at(self.now + learn_s, self._learn)

    def _learn(self) -> None:
        for key, node in self.nodes_by_key.items():
            node.unreachable = {
                other
                for other, peer in self.nodes_by_key.items()
                if not (peer.alive and self._reaches(key, other))
            }
            if node.alive:
                node.review_nodes()

    def run(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            time, _, action, arguments = heapq.heappop(self._events)
            self.now = max(self.now, time)
            action(*arguments)
        self.now = until

    def count(self, organisation: str, passes: bool) -> None:
        (self.passed if passes else self.refused)[organisation].append(self.now)

    def send_requests(
        self,
        organisation: str,
        per_s: float,
        begin: float,
        end: float,
        nodes: t.Sequence[str] = (),
    ) -> None:
        """Have requests arrive at random nodes, at random times of a rate."""
        keys = list(nodes or self.nodes_by_key)
        time = begin + self.rng.expovariate(per_s)
        while time < end:
            self.at(time, self._arrive, self.rng.choice(keys), organisation)
            time += self.rng.expovariate(per_s)

    def _arrive(self, key: str, organisation: str) -> None:
        node = self.nodes_by_key[key]
        # Callers notice a node that doesn't respond, and use others.
        while not node.alive or self.now < node.frozen_until:
            node = self.nodes_by_key[self.rng.choice(list(self.nodes_by_key))]
        node.arrive(organisation)

    def exchange(
        self,
        sender: str,
        receiver: str,
        serve: t.Callable[[Node], t.Any],
        on_answer: t.Callable[[t.Any], None],
    ) -> None:
        """Deliver a request and its answer; ``None`` if there is no answer in time."""
        self.messages += sender != receiver
        asker = self.nodes_by_key[sender]
        process = asker.allowances
        node = self.nodes_by_key[receiver]
        failed_at = self.now + (0.1 if node.alive else 0.005)

        def answer(value: t.Any) -> None:
            # The answer to a process that was killed meanwhile is lost.
            if asker.allowances is process:
                on_answer(value)

        def arrive() -> None:
            if not self._reaches(sender, receiver) or not node.alive:
                self.at(failed_at, answer, None)
            elif self.now < node.frozen_until:
                self.at(failed_at, answer, None)
                self.at(node.frozen_until, serve, node)
            else:
                self.at(self.now + self._delay(sender, receiver), answer, serve(node))

        self.at(self.now + self._delay(sender, receiver), arrive)

    def _reaches(self, sender: str, receiver: str) -> bool:
        return (sender in self.cut_off) == (receiver in self.cut_off)

    def _delay(self, sender: str, receiver: str) -> float:
        return 0.0 if sender == receiver else self.rng.uniform(MIN_DELAY_S, MAX_DELAY_S)


def highest_excess(times: t.Sequence[float], limit: Limit, since: float = 0.0) -> float:
    """Return by how many requests the worst window exceeds what the rule allows; negative if none.

    :param since: begin of the first window.
    """
    allowed = limit.per_s * limit.bounds.window_s + limit.burst + limit.tolerance
    times = sorted(time for time in times if time >= since)
    first = 0
    most = 0
    for last, time in enumerate(times):
        while time - times[first] >= limit.bounds.window_s:
            first += 1
        most = max(most, last - first + 1)
    return most - allowed
