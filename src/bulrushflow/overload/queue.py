"""The queue in front of a target's slots: which call starts next, which waits, which is refused.

Load: demand past the capacity, from calls of several kinds and organisations, beside calls that
running calls make. What is done with a call follows from the time that its caller has and the work
that is left: calls that can still meet their latency objective go before those that can't, since
first-come-first-served would make every call late; a late call waits as long as it can be answered
by its deadline; one that can't is refused at once, so that its caller can use the time elsewhere.
All times are in seconds of one monotonic clock.
"""

import collections
import itertools
import typing as t

import msgspec
from result import Err
from result import Ok
from result import Result

from bulrushflow.overload.fairness import DemandShares
from bulrushflow.overload.fairness import UrgencyShares
from bulrushflow.overload.service_times import RouteObjectives
from bulrushflow.overload.service_times import ServiceTimes

MIN_SERVICE_FRACTION = 0.5
"""Fraction of its usual service time that must remain until a call's deadline for it to start: many
calls of a route need much less than the mean."""
SHORT_ROUTE_FRACTION = 0.5
"""Routes whose service time is below this fraction of the longest one go first: they delay others
little, and their callers mostly hold a slot of another target meanwhile."""
SHORT_ROUTE_RANK = -1
"""Rank of calls on short routes, before every priority."""


class Waiter(t.Protocol):
    """What waits in the queue."""

    def done(self) -> bool:
        """Return whether it doesn't wait any more."""
        ...


class StartLimit(t.Protocol):
    """A limit on the rate at which calls start."""

    def wait_s(self, now: float, calls_ahead: int = 0) -> float:
        """Return the seconds until a call may start behind others that wait."""
        ...


W = t.TypeVar("W", bound=Waiter)


class SlotRequest(msgspec.Struct, frozen=True):
    """The attributes of a call by which it is queued."""

    route: str
    priority: int
    late_after: float
    """Time after which a response counts as late."""
    deadline: float
    organisation: str = ""
    """Organisation that sent the call; empty without one."""


class QueueRules(msgspec.Struct, frozen=True):
    """How a queue decides. The defaults are the rules for deployments without shared capacity."""

    shares_capacity: bool = False
    """Whether organisations that send far more than they usually do go last of their priority, and
    short routes are told by their objectives too."""
    least_urgent_share: float = 0.0
    """Slot time that is kept for less urgent calls, per slot time of more urgent ones, so that no
    kind of call goes without answers while others press."""
    linger_s: float = 0.0
    """Seconds for which the slot of a call that ended without a response is kept: the target may
    run the call on, and resets the connection of the next one if it is full."""


PLAIN_RULES = QueueRules()
OVERLOAD_RULES = QueueRules(
    shares_capacity=True,
    least_urgent_share=1 / 8,
    linger_s=0.1,
)
"""Rules for callers that compete for too little capacity."""


class WaitingCall(msgspec.Struct, t.Generic[W], eq=False):
    """A call in the queue."""

    order: tuple[float, ...]
    """Sort key; the lowest goes first."""
    rank: int
    request: SlotRequest
    waiter: W


class Placement(msgspec.Struct, frozen=True):
    """Where a call would wait."""

    order: tuple[float, ...]
    rank: int
    late: bool
    """Whether it waits behind all calls that can meet their latency objective."""
    evicts: bool
    """Whether the queue is full, and a call that goes later leaves it."""
    wait_s: float
    """Expected wait in seconds."""


class CallQueue(t.Generic[W]):
    """Calls that wait for a slot, in the order of the rules.

    :param times: service times of the target by route.
    """

    __slots__ = (
        "_demand",
        "_late",
        "_objectives",
        "_rules",
        "_sequence",
        "_times",
        "_urgency",
        "_waiting",
    )

    def __init__(self, times: ServiceTimes, rules: QueueRules = PLAIN_RULES) -> None:
        self._times = times
        self._rules = rules
        self._sequence = itertools.count()
        self._waiting: list[WaitingCall[W]] = []
        self._late: collections.deque[WaitingCall[W]] = collections.deque()
        """Calls that miss their latency objective, in the order in which that was found."""
        self._demand = DemandShares()
        self._urgency = UrgencyShares(rules.least_urgent_share)
        self._objectives = RouteObjectives()

    def __len__(self) -> int:
        waiting = itertools.chain(self._waiting, self._late)
        return sum(1 for call in waiting if not call.waiter.done())

    @property
    def queued_work_s(self) -> float:
        """Expected slot time of the calls that wait."""
        waiting = itertools.chain(self._waiting, self._late)
        return sum(
            self._times.mean_s(call.request.route) for call in waiting if not call.waiter.done()
        )

    def record_arrival(self, request: SlotRequest, now: float) -> None:
        """Count a call that arrives, whether or not it will wait."""
        self._objectives.record(request.route, request.late_after - now, now)
        self._demand.record(request.organisation, now)

    def record_start(self, request: SlotRequest) -> None:
        """Count a call that starts."""
        self._urgency.record_start(self._rank(request), self._times.mean_s(request.route))

    def last_start(self, request: SlotRequest) -> float:
        """Return the time after which a call is of no use any more."""
        return request.deadline - self._times.mean_s(request.route) * MIN_SERVICE_FRACTION

    def place(
        self, request: SlotRequest, now: float, capacity: int, max_queued: int, limit: StartLimit
    ) -> Result[Placement, str]:
        """Return where a call would wait, or why it is refused.

        :param capacity: number of slots.
        :param max_queued: bound on the number of calls that wait.
        """
        rank = self._rank(request)
        order = self._order(request, rank, now)
        ahead = self._ahead(order, rank)
        limit_wait_s = limit.wait_s(now, len(ahead))
        # Checked first, so that no call is evicted for one that can't be served.
        if limit_wait_s and now + limit_wait_s > self.last_start(request):
            return Err(f"the target's limit admits the call in {limit_wait_s:.2f} s, too late")
        late = [call for call in self._late if not call.waiter.done()]
        full = len(self) >= max_queued
        if full and not late and self._last_behind(order) is None:
            return Err("the queue is full")
        wait_s = max(self._slot_wait_s(ahead, capacity), limit_wait_s)
        start = now + wait_s
        if self.meets_objective(request, start) and self.meets_deadline(request, start):
            return Ok(Placement(order, rank, late=False, evicts=full, wait_s=wait_s))
        if full and not late:
            return Err("the queue is full")
        behind = [*self._active(), *(late[1:] if full else late)]
        wait_s = max(self._slot_wait_s(behind, capacity), limit.wait_s(now, len(behind)))
        if not self.meets_deadline(request, now + wait_s):
            return Err(self._too_late(request, now, wait_s))
        return Ok(Placement(order, rank, late=True, evicts=full, wait_s=wait_s))

    def push(self, request: SlotRequest, placement: Placement, waiter: W) -> WaitingCall[W] | None:
        """Add a call; return the one that leaves the full queue for it, or ``None``.

        A late call leaves, else the last of those whose kind or organisation goes later.
        """
        evicted = (self._pop_late() or self._pop_last(placement)) if placement.evicts else None
        order = (*placement.order, next(self._sequence))
        call = WaitingCall(order, placement.rank, request, waiter)
        if placement.late:
            self._late.append(call)
        else:
            self._waiting.append(call)
        return evicted

    def pop(self, now: float) -> WaitingCall[W] | None:
        """Remove and return the next call; late calls follow after all calls in time."""
        while self._waiting:
            call = self._next()
            self._waiting.remove(call)
            if call.waiter.done():
                continue
            if self.meets_objective(call.request, now):
                return call
            self._late.append(call)
        return self._pop_late()

    def remove_unservable(self, now: float, capacity: int) -> list[tuple[WaitingCall[W], str]]:
        """Remove the late calls that the calls which arrived since leave no time for.

        :param capacity: number of slots.
        :return: the calls, each with the reason for its refusal.
        """
        if not self._late:
            return []
        ahead = self._active()
        kept: list[WaitingCall[W]] = []
        removed: list[tuple[WaitingCall[W], str]] = []
        for call in self._late:
            if call.waiter.done():
                continue
            wait_s = self._slot_wait_s(ahead, capacity)
            if self.meets_deadline(call.request, now + wait_s):
                kept.append(call)
                ahead.append(call)
            else:
                removed.append((call, self._too_late(call.request, now, wait_s)))
        self._late = collections.deque(kept)
        return removed

    def clear(self) -> list[WaitingCall[W]]:
        """Remove and return all calls."""
        calls = [*self._waiting, *self._late]
        self._waiting.clear()
        self._late.clear()
        return calls

    def meets_objective(self, request: SlotRequest, start: float) -> bool:
        """Return whether a call that starts at ``start`` meets its latency objective."""
        return start + self._times.mean_s(request.route) <= request.late_after

    def meets_deadline(self, request: SlotRequest, start: float) -> bool:
        """Return whether a call that starts at ``start`` is answered while its caller waits.

        A call that needs twice its usual service time is, too.
        """
        return start + 2 * self._times.mean_s(request.route) <= request.deadline

    def _too_late(self, request: SlotRequest, now: float, wait_s: float) -> str:
        answer_s = wait_s + self._times.mean_s(request.route)
        left_s = request.deadline - now
        return f"an answer is expected in {answer_s:.2f} s, too late: {left_s:.2f} s are left"

    def _active(self) -> list[WaitingCall[W]]:
        return [call for call in self._waiting if not call.waiter.done()]

    def _next(self) -> WaitingCall[W]:
        first = min(self._waiting, key=lambda call: call.order)
        later = [call for call in self._waiting if call.rank > first.rank]
        while later:
            # The least urgent first, as it is the one that waits longest otherwise.
            rank = max(call.rank for call in later)
            if self._urgency.has_credit(rank):
                return min(
                    (call for call in later if call.rank == rank), key=lambda call: call.order
                )
            later = [call for call in later if call.rank < rank]
        return first

    def _ahead(self, order: tuple[float, ...], rank: int) -> list[WaitingCall[W]]:
        """Return the calls that go before one that arrives now."""
        ahead = [call for call in self._active() if call.order[: len(order)] <= order]
        same = [call for call in ahead if call.rank == rank]
        if not same and self._urgency.has_credit(rank):
            return []
        return ahead

    def _order(self, request: SlotRequest, rank: int, now: float) -> tuple[float, ...]:
        if not self._rules.shares_capacity:
            return (rank,)
        return (rank, self._demand.is_exceeded(request.organisation, now))

    def _rank(self, request: SlotRequest) -> int:
        route = request.route
        if self._times.mean_s(route) < self._times.longest_s * SHORT_ROUTE_FRACTION:
            return SHORT_ROUTE_RANK
        if self._rules.shares_capacity:
            # Service times of a slow target overlap; the objectives of its routes don't.
            objective_s = self._objectives.seconds(route)
            if objective_s is not None and (
                objective_s < self._objectives.longest_s * SHORT_ROUTE_FRACTION
            ):
                return SHORT_ROUTE_RANK
        return request.priority

    def _slot_wait_s(self, ahead: t.Sequence[WaitingCall[W]], capacity: int) -> float:
        """Return the expected seconds until a call behind ``ahead`` gets a slot."""
        work_s = sum(self._times.mean_s(call.request.route) for call in ahead)
        # Running calls have half of their service time left on average.
        return (work_s + self._times.overall_mean_s / 2) / max(1, capacity)

    def _last_behind(self, order: tuple[float, ...]) -> WaitingCall[W] | None:
        """Return the last call whose kind or organisation goes later than an order's."""
        last = max(self._active(), key=lambda call: call.order, default=None)
        return last if last is not None and last.order[: len(order)] > order else None

    def _pop_last(self, placement: Placement) -> WaitingCall[W] | None:
        last = self._last_behind(placement.order)
        if last is not None:
            self._waiting.remove(last)
        return last

    def _pop_late(self) -> WaitingCall[W] | None:
        while self._late:
            call = self._late.popleft()
            if not call.waiter.done():
                return call
        return None
