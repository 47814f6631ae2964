"""The choices that the replay compares, with the peers that each origin node knows."""

import random
import typing as t

from bulrushflow.placement import CostModel
from bulrushflow.placement import RunningWork
from bulrushflow.placement import WorkChoice
from bulrushflow.placement import WorkReport
from bulrushflow.sidecar.calls.balancer import Balancer
from bulrushflow.sidecar.model import NodeEntry
from bulrushflow.sidecar.model import TargetEntry
from bulrushflow.sidecar.model import TargetState
from bulrushflow.sidecar.records.directory import Peer
from tests.overload.replay import DATA_CENTRES
from tests.overload.replay import Job
from tests.overload.replay import Replay
from tests.overload.replay import SimTarget


class OriginPeers:
    """Peers of each origin node, as the replay's targets."""

    def __init__(self, replay: Replay) -> None:
        self.replay = replay
        self.rng = random.Random(11)
        self.peers: dict[tuple[int, str], list[Peer]] = {}

    def known(self, job: Job) -> list[Peer]:
        """Return the peers of a call's service that its origin node knows."""
        key = job.origin, job.kind.service
        if key not in self.peers:
            targets = self.replay.targets_by_service[job.kind.service]
            self.peers[key] = [_peer(target) for target in targets]
        return self.peers[key]

    def peer(self, job: Job, target: SimTarget) -> Peer:
        """Return what a call's origin node knows of a target."""
        return self.known(job)[target.number]

    def target(self, job: Job, peer: Peer | None) -> SimTarget | None:
        """Return the target of a peer."""
        if peer is None:
            return None
        number = int(peer.entry.address)
        return self.replay.targets_by_service[job.kind.service][number]


def _peer(target: SimTarget) -> Peer:
    entry = TargetEntry(
        f"t-{target.number}", 1, 1, target.service, "v1", target.slots, TargetState.READY, 0
    )
    number = str(target.number)
    return Peer(NodeEntry(f"n-{number}", target.data_centre, number, 7000, entry))


class BalancerChoice:
    """The choice of deployments without shared capacity."""

    def __init__(self, replay: Replay) -> None:
        self._peers = OriginPeers(replay)
        self._by_data_centre = {
            name: Balancer(name, self._peers.rng, lambda: 0) for name in DATA_CENTRES
        }

    def choose(self, job: Job, tried: set[int], now: float) -> SimTarget | None:
        balancer = self._by_data_centre[DATA_CENTRES[job.origin % len(DATA_CENTRES)]]
        excluded = {str(number) for number in tried}
        peer = balancer.choose(self._peers.known(job), excluded, now, job.kind.objective_s)
        return self._peers.target(job, peer)

    def sent(self, job: Job, target: SimTarget, now: float) -> None:
        self._peers.peer(job, target).in_flight += 1

    def ended(
        self, job: Job, target: SimTarget, answered: bool, seconds: float, now: float
    ) -> None:
        peer = self._peers.peer(job, target)
        peer.in_flight -= 1
        load = (len(target.running) + len(target.queue)) / target.slots
        if answered:
            peer.record_response(seconds, False, now)
        peer.record_load(load if answered else max(load, 1.0), now)


class LeastInFlight:
    """The least of this node's own calls in flight, the own data centre first among equals."""

    def __init__(self, replay: Replay) -> None:
        self._peers = OriginPeers(replay)

    def choose(self, job: Job, tried: set[int], now: float) -> SimTarget | None:
        own = DATA_CENTRES[job.origin % len(DATA_CENTRES)]
        left = [peer for peer in self._peers.known(job) if int(peer.entry.address) not in tried]
        best = min(
            left,
            key=lambda p: (p.in_flight, p.entry.data_centre != own, self._peers.rng.random()),
            default=None,
        )
        return self._peers.target(job, best)

    def sent(self, job: Job, target: SimTarget, now: float) -> None:
        self._peers.peer(job, target).in_flight += 1

    def ended(
        self, job: Job, target: SimTarget, answered: bool, seconds: float, now: float
    ) -> None:
        self._peers.peer(job, target).in_flight -= 1


class ExpectedWork:
    """The choice by expected work, with reports that can be lost.

    :param report_fraction: part of the answers that carry a report.
    """

    def __init__(self, replay: Replay, report_fraction: float = 1.0) -> None:
        self._peers = OriginPeers(replay)
        self._report_fraction = report_fraction
        self._costs: dict[tuple[str, int], CostModel] = {}
        self._choices = [
            WorkChoice(DATA_CENTRES[i % len(DATA_CENTRES)], self._peers.rng, lambda: 0)
            for i in range(replay.origins)
        ]

    def choose(self, job: Job, tried: set[int], now: float) -> SimTarget | None:
        choice = self._choices[job.origin % len(self._choices)]
        excluded = {str(number) for number in tried}
        peer = choice.choose(self._peers.known(job), excluded, now, job.kind.objective_s)
        return self._peers.target(job, peer)

    def sent(self, job: Job, target: SimTarget, now: float) -> None:
        choice = self._choices[job.origin % len(self._choices)]
        peer = self._peers.peer(job, target)
        peer.in_flight += 1
        choice.record_sent(peer)

    def ended(
        self, job: Job, target: SimTarget, answered: bool, seconds: float, now: float
    ) -> None:
        costs = self._costs.setdefault((target.service, target.number), CostModel())
        self._peers.peer(job, target).in_flight -= 1
        if answered:
            costs.record(job.kind.name, job.organisation, "/", seconds)
        if self._peers.rng.random() < self._report_fraction:
            choice = self._choices[job.origin % len(self._choices)]
            report = self._report(costs, job, target, now)
            choice.record_report(self._peers.peer(job, target), report, job.kind.name, now)

    def _report(self, costs: CostModel, job: Job, target: SimTarget, now: float) -> WorkReport:
        work = RunningWork()
        for attempt in target.running:
            histogram = costs.histogram(attempt.request.route, "", "/")
            work.begin(histogram, attempt.started_at)
        queued_s = target.queue.queued_work_s
        free = target.slots - len(target.running) - len(target.queue)
        service_s = costs.route_mean_s(job.kind.name)
        return work.report(target.slots, free, queued_s, service_s, now)


CHOICES: dict[str, t.Callable[[Replay], t.Any]] = {
    "today's": BalancerChoice,
    "least in flight": LeastInFlight,
    "expected work": ExpectedWork,
}
