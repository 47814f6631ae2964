"""Choice of the target for one attempt, by the expected time to a response.

Load: calls of heavy-tailed cost from many origin nodes, each of which hears from a target about
once a second; targets whose speeds differ by a factor of three, and some of which slow down for
moments. All times are in seconds of one monotonic clock.
"""

import random
import typing as t

import msgspec
from msgspec.structs import replace

from bulrushflow.placement.remaining_work import WorkReport

if t.TYPE_CHECKING:
    from bulrushflow.sidecar.records.directory import Peer

SAMPLE_SIZE = 8
"""Random candidates that are compared; the best of all would get the calls of every node."""
MAX_DRAWS = 24
"""Draws after which the candidates are searched in order, since few are available."""
REPORT_HALF_LIFE_S = 0.4
"""Half-life of the weight of a target's report against the mean of its service."""
MEAN_SMOOTHING = 0.1
"""Weight of the newest report in the means of a service."""
MEAN_GRACE_S = 0.5
"""Time after the latest report of a service for which its means hold."""
MEAN_HALF_LIFE_S = 0.4
"""Half-life of a service's means after that time, so that its targets are tried again."""
SLOWNESS_SMOOTHING = 0.2
MIN_SLOWNESS = 0.25
MAX_SLOWNESS = 5.0
REMOTE_COST_S = 0.03
"""Cost of a call to another data centre: the way there and back, and its traffic."""
OCCUPANCY_FACTOR = 0.5
"""Part of the expected work per slot that counts although slots are free: others send calls too
until this node's call arrives."""
WARM_UP_FACTOR = 2.0
"""Factor on the service time of a target that is warming up."""
MAX_EJECTED_FRACTION = 0.5
"""Fraction of the sample that may be ejected, lest the rest be overloaded."""
DEFAULT_SERVICE_S = 0.05
MIN_LINK_MBPS = 0.1
"""Least bandwidth that is assumed of a link; entries of other writers may have 0."""
MAX_MEANS = 1024
"""Routes and services whose means are kept."""


class _ServiceMeans(msgspec.Struct):
    """Means over a service's targets, as this node learned them."""

    wait_s: float = 0.0
    work_s: float = 0.0
    service_s: float = DEFAULT_SERVICE_S
    decayed_at: float = 0.0
    """Time up to which the loads are lowered; ahead of the latest report by the grace period."""


class WorkChoice:
    """Compares random candidates by wait, service time and way.

    :param wall_ms: returns the current time in epoch milliseconds.
    """

    __slots__ = ("_data_centre", "_means_by_service", "_rng", "_service_s_by_route", "_wall_ms")

    def __init__(self, data_centre: str, rng: random.Random, wall_ms: t.Callable[[], int]) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self._wall_ms = wall_ms
        self._means_by_service: dict[str, _ServiceMeans] = {}
        self._service_s_by_route: dict[str, float] = {}

    def preview(self, rng: random.Random) -> "WorkChoice":
        """Return a choice by the same figures whose use leaves this one unchanged.

        Reading the means lowers them by their age, so the preview has copies.
        """
        copied = WorkChoice(self._data_centre, rng, self._wall_ms)
        copied._means_by_service = {
            service: replace(means) for service, means in self._means_by_service.items()
        }
        copied._service_s_by_route = dict(self._service_s_by_route)
        return copied

    def choose(
        self,
        candidates: "t.Sequence[Peer]",
        excluded: t.Collection[str],
        now: float,
        latency_objective_s: float,
        response_bytes: float = 0.0,
    ) -> "Peer | None":
        """Return a peer for one attempt, or ``None`` when none is available.

        :param excluded: addresses of nodes that this call was sent to already.
        :param latency_objective_s: seconds within which the response is in time.
        :param response_bytes: expected size of the response, if it is large; else 0.
        """
        local = [p for p in candidates if p.entry.data_centre == self._data_centre]
        best = self._cheapest(local, excluded, now, response_bytes)
        # A retry goes to the target that is expected to respond first, wherever it is.
        if best is not None and not excluded:
            # A call that needs twice its usual service time is in time too.
            reserve_s = self.expected_service_s(best, now)
            response_s = self.expected_response_s(best, now, response_bytes)
            if response_s + reserve_s <= latency_objective_s:
                return best
        return self._cheapest(candidates, excluded, now, response_bytes)

    def _cheapest(
        self,
        candidates: "t.Sequence[Peer]",
        excluded: t.Collection[str],
        now: float,
        response_bytes: float,
    ) -> "Peer | None":
        """Return the one of some random candidates that is expected to respond first."""
        sample = self._sample(candidates, excluded, now)
        healthy = [peer for peer in sample if peer.ejected_until <= now]
        if len(healthy) < len(sample) * MAX_EJECTED_FRACTION:
            healthy = sample
        return min(
            healthy,
            key=lambda peer: self.expected_response_s(peer, now, response_bytes),
            default=None,
        )

    def expected_wait_s(self, peer: "Peer", now: float) -> float:
        """Return the expected time until a call sent now would start at a target."""
        means = self._means(peer, now)
        report = peer.work
        sent = _own_calls(peer)
        own_s = sent * means.service_s * peer.slowness / _slots(peer)
        free_slots = report.free_slots if report is not None else _slots(peer)
        if free_slots > sent:
            own_s = 0.0
        if report is None:
            return means.wait_s + own_s
        weight = 0.5 ** ((now - peer.work_at) / REPORT_HALF_LIFE_S)
        return weight * report.wait_s + (1 - weight) * means.wait_s + own_s

    def none_answers_within(
        self, candidates: "t.Iterable[Peer]", now: float, left_s: float
    ) -> bool:
        """Return whether every available target would answer a call later than in ``left_s``."""
        available = [peer for peer in candidates if _is_available(peer, now)]
        return bool(available) and not any(
            self.answers_within(peer, now, left_s) for peer in available
        )

    def answers_within(self, peer: "Peer", now: float, left_s: float) -> bool:
        """Return whether a target is expected to answer a call within ``left_s``."""
        answer_s = self.expected_wait_s(peer, now) + self.expected_service_s(peer, now)
        return answer_s <= left_s

    def mean_answer_s(self, service: str, now: float) -> float:
        """Return the mean time to an answer at the service's targets."""
        means = self._means_by_service.get(service)
        return _decayed(means, now).wait_s + means.service_s if means is not None else 0.0

    def backlog_s(self, service: str, now: float) -> float:
        """Return the mean time until a call would start at the service's targets."""
        means = self._means_by_service.get(service)
        return _decayed(means, now).wait_s if means is not None else 0.0

    def record_sent(self, peer: "Peer") -> None:
        """Count an attempt that is sent to a target."""
        peer.sent_since_report += 1

    def record_unreported(self, peer: "Peer") -> None:
        """Count an attempt that ended without a report: the target doesn't work on it any more."""
        peer.sent_since_report = max(0, peer.sent_since_report - 1)

    def record_report(self, peer: "Peer", report: WorkReport, route: str, now: float) -> None:
        """Record what a target's node said with the answer to a call on ``route``."""
        peer.work = report
        peer.work_at = now
        peer.sent_since_report = 0
        target = peer.entry.target
        if target is None:
            return
        self._update_slowness(peer, report, route)
        means = self._means_by_service.get(target.service)
        if means is None:
            if len(self._means_by_service) >= MAX_MEANS:
                return
            means = self._means_by_service[target.service] = _ServiceMeans()
        _decayed(means, now)
        means.decayed_at = now + MEAN_GRACE_S
        means.wait_s += (report.wait_s - means.wait_s) * MEAN_SMOOTHING
        means.work_s += (report.work_s - means.work_s) * MEAN_SMOOTHING
        means.service_s += (report.service_s - means.service_s) * MEAN_SMOOTHING

    def _update_slowness(self, peer: "Peer", report: WorkReport, route: str) -> None:
        mean_s = self._service_s_by_route.get(route)
        if mean_s is None:
            if len(self._service_s_by_route) < MAX_MEANS:
                self._service_s_by_route[route] = report.service_s
            return
        mean_s += (report.service_s - mean_s) * MEAN_SMOOTHING
        self._service_s_by_route[route] = mean_s
        slowness = min(MAX_SLOWNESS, max(MIN_SLOWNESS, report.service_s / max(mean_s, 0.001)))
        peer.slowness += (slowness - peer.slowness) * SLOWNESS_SMOOTHING

    def _sample(
        self, candidates: "t.Sequence[Peer]", excluded: t.Collection[str], now: float
    ) -> "list[Peer]":
        """Return some available candidates, chosen at random without regard to their load."""
        found: dict[str, Peer] = {}
        if len(candidates) > SAMPLE_SIZE:
            for _ in range(MAX_DRAWS):
                peer = candidates[int(self._rng.random() * len(candidates))]
                if peer.entry.address not in excluded and _is_available(peer, now):
                    found[peer.entry.address] = peer
                    if len(found) == SAMPLE_SIZE:
                        break
        if found:
            return list(found.values())
        available = [
            peer
            for peer in candidates
            if peer.entry.address not in excluded and _is_available(peer, now)
        ]
        # Equal candidates would all get the calls of every node in the order of the directory.
        self._rng.shuffle(available)
        return available[:SAMPLE_SIZE]

    def expected_response_s(self, peer: "Peer", now: float, response_bytes: float) -> float:
        """Return the expected time to a response, with the cost of the way."""
        means = self._means(peer, now)
        service_s = self.expected_service_s(peer, now)
        work_s = means.work_s
        if peer.work is not None:
            weight = 0.5 ** ((now - peer.work_at) / REPORT_HALF_LIFE_S)
            work_s = weight * peer.work.work_s + (1 - weight) * work_s
        work_s += _own_calls(peer) * service_s / _slots(peer)
        remote = peer.entry.data_centre != self._data_centre
        return (
            self.expected_wait_s(peer, now)
            + work_s * OCCUPANCY_FACTOR
            + service_s
            + way_s(peer, now, response_bytes)
            + (REMOTE_COST_S if remote else 0.0)
        )

    def expected_service_s(self, peer: "Peer", now: float) -> float:
        """Return the expected service time of a call at a target."""
        target = peer.entry.target
        service_s = self._means(peer, now).service_s * peer.slowness
        if target is not None and target.warm_at_ms > self._wall_ms():
            service_s *= WARM_UP_FACTOR
        return service_s

    def _means(self, peer: "Peer", now: float) -> _ServiceMeans:
        target = peer.entry.target
        means = self._means_by_service.get(target.service) if target is not None else None
        return _decayed(means, now) if means is not None else _ServiceMeans()


def _decayed(means: _ServiceMeans, now: float) -> _ServiceMeans:
    """Return a service's means, after lowering its loads by the time without reports."""
    age_s = now - means.decayed_at
    if age_s > 0:
        weight = 0.5 ** (age_s / MEAN_HALF_LIFE_S)
        means.wait_s *= weight
        means.work_s *= weight
        means.decayed_at = now
    return means


def _own_calls(peer: "Peer") -> int:
    """Return the number of own calls at a target that its last report doesn't include.

    A node that reports nothing would collect calls that have ended long ago.
    """
    return min(peer.sent_since_report, peer.in_flight)


def _slots(peer: "Peer") -> int:
    target = peer.entry.target
    return target.slots if target is not None else 1


def _is_available(peer: "Peer", now: float) -> bool:
    return not peer.unreachable and peer.unavailable_until <= now


def way_s(peer: "Peer", now: float, response_bytes: float) -> float:
    """Return the expected time of a large response on the way from a peer's link, in seconds.

    0 for small responses, and for peers that report no backlog: the own node, whose target needs no
    link, and nodes whose bandwidth isn't known. A backlog shrinks as time passes.

    :param response_bytes: expected size of the response, if it is large; else 0.
    """
    if not response_bytes or peer.link_reported_at is None:
        return 0.0
    backlog_s = max(0.0, peer.link_backlog_s - (now - peer.link_reported_at))
    mbps = max(MIN_LINK_MBPS, peer.entry.link_mbps)
    return backlog_s + response_bytes * 8 / (mbps * 1e6)
