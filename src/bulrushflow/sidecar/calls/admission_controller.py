"""Admission control in front of the target beside this node.

Every call to the target passes through it, whether it comes from this node or from another one.
"""

import asyncio
import functools
import typing as t

from msgspec.structs import replace
from result import Err
from result import Ok

from bulrushflow.overload import PLAIN_RULES
from bulrushflow.overload import QueueRules
from bulrushflow.placement import WorkReport
from bulrushflow.routing import Call
from bulrushflow.routing import CallFailure
from bulrushflow.routing import CallResult
from bulrushflow.routing import Outcome
from bulrushflow.routing import not_run
from bulrushflow.sidecar.calls.crash_detector import CrashDetector
from bulrushflow.sidecar.calls.departures import DepartedTargets
from bulrushflow.sidecar.calls.headers import HeaderNames
from bulrushflow.sidecar.calls.limit_tracker import LimitTracker
from bulrushflow.sidecar.calls.quarantine import Quarantine
from bulrushflow.sidecar.calls.restarts import RestartDetector
from bulrushflow.sidecar.calls.retry_budget import TargetRetryBudget
from bulrushflow.sidecar.calls.running_calls import ResultObserver
from bulrushflow.sidecar.calls.running_calls import RunningCalls
from bulrushflow.sidecar.calls.slots import SlotPool
from bulrushflow.sidecar.calls.slots import SlotRequest
from bulrushflow.sidecar.calls.target_client import TargetClient
from bulrushflow.sidecar.calls.target_signals import TargetSignals
from bulrushflow.sidecar.calls.target_warmth import ColdStartLookup
from bulrushflow.sidecar.calls.target_warmth import TargetWarmth
from bulrushflow.sidecar.calls.target_work import TargetWork
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.model import DepartedTarget
from bulrushflow.sidecar.model import NamedLimit
from bulrushflow.sidecar.model import TargetEntry
from bulrushflow.sidecar.model import TargetState
from bulrushflow.sidecar.settings import Endpoint
from bulrushflow.timers import Clock

BUDGET_EXHAUSTED = "too many repeated calls"
EntryCallback = t.Callable[[TargetEntry | None], None]


class AdmissionController:
    """Tracks the target, and refuses calls that it can't or may not serve before they are sent.

    A call is checked against the target's state and version, waits for a slot, is checked again,
    and counts against the retry budget if it is a retry.

    :param is_forbidden: returns whether a version of a service may receive no new calls.
    :param on_send: called with each call that is about to be sent to the target.
    :param observer: called after each call that may have run, with the call, its result, and the
        seconds it took. A call that was cancelled after much of the time that its latency
        objective leaves has the result ``None``.
    :param rules: how calls wait for a slot.
    :param reports_work: whether answers carry the work that the target has left.
    :param on_change: called with the new entry, or ``None`` without a target, when other nodes have
        to be informed.
    :param suspension: returns why no call may begin at this node, whatever the state of its target,
        or ``None``.
    :param wait_for_orders: waits for the orders that ``suspension`` goes by, for a bounded time.
    :param cold_start: returns the limits for the cold targets of a service, if it has any.
    """

    def __init__(
        self,
        header_names: HeaderNames,
        is_forbidden: t.Callable[[str, str], bool],
        on_send: t.Callable[[Call], None],
        observer: ResultObserver,
        on_change: EntryCallback,
        retry_budget: TargetRetryBudget,
        quarantine: Quarantine,
        decisions: DecisionLog,
        clock: Clock,
        suspension: t.Callable[[], str | None] = lambda: None,
        rules: QueueRules = PLAIN_RULES,
        cold_start: ColdStartLookup = lambda service: None,
        reports_work: bool = False,
        wait_for_orders: t.Callable[[], t.Awaitable[None]] | None = None,
    ) -> None:
        self.entry: TargetEntry | None = None
        self.endpoint: Endpoint | None = None
        self.reachable = True
        self._header_names = header_names
        self._is_forbidden = is_forbidden
        self._on_send = on_send
        self._observer = observer
        self._on_change = on_change
        self._retry_budget = retry_budget
        self._quarantine = quarantine
        self._decisions = decisions
        self._clock = clock
        self._suspension = suspension
        self._wait_for_orders = wait_for_orders
        self.suspended_count = 0
        """Number of calls that were refused since no call may begin at this node."""
        self.warmth = TargetWarmth(cold_start, decisions, clock)
        self._rules = rules
        self._slots = SlotPool(1, rules, self.warmth.limit)
        self._reports_work = reports_work
        self._work = TargetWork()
        self._client: TargetClient | None = None
        self._crash_detector: CrashDetector | None = None
        self._limit = LimitTracker("", decisions)
        self.departed = DepartedTargets(clock)
        self._restarts = RestartDetector()
        self._running = RunningCalls(observer)

    @property
    def load(self) -> int:
        """Number of slots in use plus calls that wait for one."""
        return self._slots.load

    @property
    def capacity(self) -> int:
        """Number of slots that calls can keep in use; 0 while the target accepts no calls."""
        return self._slots.usable if self._accepts_calls() else 0

    def work_report(self, route: str) -> WorkReport | None:
        """Return the target's work, for the answer to a call; ``None`` if it isn't reported."""
        if not self._reports_work or not self._accepts_calls():
            return None
        return self._work.report(self._slots, route)

    @property
    def cold_ms(self) -> int | None:
        """Milliseconds for which the target is expected to be cold; ``None`` without a limit."""
        return self.warmth.cold_ms(self.entry) if self.entry is not None else None

    @property
    def limit_per_s(self) -> float | None:
        """Calls per second that the target says it accepts; ``None`` without a limit."""
        return self._limit.limit_per_s

    @property
    def in_flight(self) -> int:
        """Number of calls that were sent to the target and have not ended."""
        return len(self._running)

    def apply_announcement(
        self, entry: TargetEntry, endpoint: Endpoint, restored: bool = False
    ) -> bool:
        """Apply a target's announcement.

        :param restored: whether the target announced it before this node's start.
        :return: whether it was accepted; ``False`` when the target departed or a newer revision is
            known.
        """
        current = self.entry
        if not self._is_news(entry):
            return current is not None and entry.revision == current.revision
        replaced = current is None or current.process != entry.process
        if current is not None and current.leaving and not replaced:
            # Targets that announce their leave in responses may still announce that they are ready.
            entry = replace(entry, state=TargetState.DRAINING, leaving=True)
        if replaced and current is not None and current.state is not TargetState.READY:
            # Once the new target is gone, no revision is left that rejects a delayed announcement.
            self._remember_replaced(current, entry)
        if entry.state is TargetState.READY:
            drain_began = False
            self.departed.remove_drain(entry)
        else:
            drain_began = self.departed.add_drain(entry)
        if replaced or endpoint != self.endpoint:
            self._replace(entry, endpoint)
        entry = self.warmth.announce(entry, replaced, not self.reachable, restored)
        self._slots.capacity = entry.slots
        changed = (
            replaced
            or drain_began
            or not self.reachable
            or not entry.is_same_for_peers(t.cast(TargetEntry, current))
            or self.warmth.is_news(entry)
        )
        self.entry = entry
        self.reachable = True
        if entry.state is not TargetState.READY:
            self._slots.refuse_queued("the target takes no new calls")
        self._slots.apply_cold_limit(self.warmth.turned_cold)
        if changed:
            self._decisions.event(
                "target announced",
                target=entry.target_id,
                service=entry.service,
                version=entry.version,
                state=entry.state.value,
                incarnation=entry.incarnation,
                sequence=entry.sequence,
                warm_at_ms=entry.warm_at_ms,
            )
            self._publish(entry)
        return True

    def _is_news(self, entry: TargetEntry) -> bool:
        """Return whether an announcement is neither of a target that left nor a delayed one."""
        if self.departed.includes_entry(entry):
            return False
        current = self.entry
        now = asyncio.get_running_loop().time()
        if current is not None and self._restarts.seems_ended(entry, current):
            if not self._restarts.confirm(entry, current, now):
                return False
        elif current is not None and entry.revision <= current.revision:
            return False
        self._restarts.note_known(now)
        return True

    def _remember_replaced(self, replaced: TargetEntry, entry: TargetEntry) -> None:
        """Remember a target that left, unless that would reject the one that replaces it."""
        if replaced.target_id != entry.target_id or replaced.incarnation < entry.incarnation:
            self.departed.add(replaced.target_id, replaced.incarnation)

    def is_ready(self, target_id: str) -> bool:
        """Return whether a target is the present one, and accepts calls by its announcements."""
        entry = self.entry
        return (
            entry is not None and entry.target_id == target_id and entry.state is TargetState.READY
        )

    def await_warmth(self, cause: str) -> None:
        """Count the target as cold until its next announcement, if its service has a limit."""
        if self.entry is not None:
            self._apply_warmth(self.warmth.await_announcement(self.entry, cause))

    def refresh_cold_limit(self) -> None:
        """Apply the limits for cold targets, which may have changed."""
        if self.entry is not None:
            self._apply_warmth(self.warmth.refresh(self.entry))

    def _apply_warmth(self, entry: TargetEntry) -> None:
        self.entry = entry
        self._slots.apply_cold_limit(self.warmth.turned_cold)
        if self.warmth.is_news(entry):
            self._publish(entry)

    def _publish(self, entry: TargetEntry) -> None:
        self.warmth.note_published(entry)
        self._on_change(entry)

    def apply_named_limit(self, limit: NamedLimit) -> None:
        """Apply the limit that the target named to another node."""
        entry = self.entry
        if entry is None or entry.process != limit.process:
            return
        if not limit.calls_per_s >= 0:
            # Not a number, or below 0: no response is read as such a limit.
            return
        if self._limit.take_over(limit.calls_per_s, asyncio.get_running_loop().time()):
            self._slots.limit_rate(self._limit.limit_per_s)

    def mark_leaving(self, process: tuple[str, int]) -> None:
        """Send no more calls to a target that leaves.

        :param process: id and incarnation of the target; another one is not marked.
        """
        entry = self.entry
        if entry is None or entry.process != process or entry.leaving:
            return
        self._decisions.event("target leaving", target=entry.target_id, service=entry.service)
        self.entry = replace(entry, state=TargetState.DRAINING, leaving=True)
        self._slots.refuse_queued("the target takes no new calls")
        self._on_change(self.entry)

    def apply_departure(self, departed: DepartedTarget) -> None:
        """Apply a departure that the store has; the target that it is of gets no more calls."""
        self.departed.restore([departed])
        if self.entry is not None and self.departed.includes_entry(self.entry):
            self._drop_target("it left before this node started")

    def remove_target(self, target_id: str) -> None:
        """Remove a target that departs for good; it receives no new calls."""
        current = self.entry
        if current is None or current.target_id != target_id:
            # Its incarnation, a start time, is unknown but can't be later than now.
            if self.departed.add(target_id, self._clock.wall_ms()):
                self._on_change(current)
            return
        self.departed.add(target_id, current.incarnation)
        self._decisions.event("target left", target=target_id, service=current.service)
        self.entry = None
        self._slots.refuse_queued("the target left")
        self._on_change(None)

    def suspend(self, reason: str) -> None:
        """Refuse the calls that wait, since none may begin now; those in flight continue."""
        self.suspended_count += self._slots.queued
        self._slots.refuse_queued(reason)

    def refusal(self, call: Call) -> str | None:
        """Return why a call would be refused now, or ``None`` if it would start or wait."""
        refusal = self._refusal(call) or self._slots.refusal(_slot_request(call))
        if refusal is not None:
            self._log_refusal(call, refusal)
        return refusal

    async def run(self, call: Call) -> CallResult:
        """Run a call on the target, or refuse it; a refused call certainly did not run."""
        quarantined = self._quarantine.refusal(call)
        if quarantined is not None:
            return self._refuse_quarantined(call, quarantined)
        if self._wait_for_orders is not None:
            await self._wait_for_orders()
        refusal = self._refusal(call)
        slots = self._slots
        if refusal is None:
            refusal = await slots.acquire(_slot_request(call))
            if refusal is None:
                quarantined = self._quarantine.refusal(call)
                if quarantined is not None:
                    slots.release_unused()
                    return self._refuse_quarantined(call, quarantined)
                refusal = self._refusal_after_wait(call, slots)
                if refusal is None:
                    self._on_send(call)
                    return await self._running.run(call, self._exchange(call, slots))
                slots.release_unused()
        self._log_refusal(call, refusal)
        return not_run(refusal)

    def close(self) -> None:
        """Close the idle connections to the target."""
        if self._crash_detector is not None:
            self._crash_detector.close()
        if self._client is not None:
            self._client.close()

    def _refuse_quarantined(self, call: Call, failure: CallFailure) -> CallResult:
        self._log_refusal(call, failure.reason)
        return failure.as_result()

    def _log_refusal(self, call: Call, reason: str) -> None:
        self._decisions.refused(
            call,
            reason,
            load=self.load,
            slots=self._slots.capacity,
            limit_per_s=self.limit_per_s,
        )

    def _accepts_calls(self) -> bool:
        ready = self.entry is not None and self.entry.state is TargetState.READY
        return ready and self.reachable and self._suspension() is None

    def _refusal(self, call: Call) -> str | None:
        entry = self.entry
        if entry is None:
            return "no target"
        suspension = self._suspension()
        if suspension is not None:
            self.suspended_count += 1
            return suspension
        if not self.reachable:
            return f"the target takes no connections at {self.endpoint}"
        if entry.state is not TargetState.READY:
            return "the target takes no new calls"
        if (entry.service, entry.version) != (call.service, call.version):
            return (
                f"the target is {entry.service} {entry.version}, not {call.service} {call.version}"
            )
        if self._is_forbidden(call.service, call.version):
            return f"version {call.version} was taken back"
        if call.attempt and self._retry_budget.is_exhausted(asyncio.get_running_loop().time()):
            return BUDGET_EXHAUSTED
        return None

    def _refusal_after_wait(self, call: Call, slots: SlotPool) -> str | None:
        """Return why a call that was granted a slot may not be sent, or ``None``."""
        if slots is not self._slots:
            return "the target was replaced"
        return self._refusal(call) or self._retry_refusal(call)

    def _retry_refusal(self, call: Call) -> str | None:
        now = asyncio.get_running_loop().time()
        if not call.attempt:
            self._retry_budget.record_first_attempt(now)
            return None
        return None if self._retry_budget.try_consume(now) else BUDGET_EXHAUSTED

    async def _exchange(self, call: Call, slots: SlotPool) -> CallResult:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        client = t.cast(TargetClient, self._client)
        seconds: float | None = None
        work = self._work
        run = work.begin(call)
        self._limit.count_sent(repeated=call.attempt > 0)
        try:
            result = await client.send(call)
            seconds = loop.time() - started_at
        except asyncio.CancelledError:
            self._running.observe_cancelled(call, started_at)
            raise
        finally:
            # Release to the pool that granted the slot; self._slots may belong to another target.
            service_s = seconds if seconds and result.is_ok() else None
            work.end(run, service_s)
            if service_s is None and self._rules.linger_s:
                loop.call_later(self._rules.linger_s, slots.release, call.route, None)
            else:
                slots.release(call.route, service_s)
        match result:
            case Ok(response):
                self._observer(call, result, seconds)
                if not response.is_failure:
                    self._quarantine.record_success(call)
            case Err(failure):
                if failure.outcome is Outcome.UNKNOWN:
                    self._observer(call, result, seconds)
                if failure.connection_lost and client is self._client and self._crash_detector:
                    self._crash_detector.record_lost(call)
                self._handle_failure(client)
        return result

    def _on_crash(self, client: TargetClient, process: tuple[str, int], calls: list[Call]) -> None:
        self._quarantine.record_crash(process, calls)
        self._handle_failure(client)

    def _apply_signals(self, limit: LimitTracker, signals: TargetSignals, sent_at: float) -> None:
        """Apply what a target said in a response; ``limit`` is that target's."""
        changed = limit.apply(signals, sent_at, asyncio.get_running_loop().time())
        if limit is not self._limit:
            return
        if changed:
            self._slots.limit_rate(limit.limit_per_s)
        if signals.leaving and self.entry is not None:
            self.mark_leaving(self.entry.process)

    def _handle_failure(self, client: TargetClient) -> None:
        if client is not self._client or self.entry is None:
            return
        if client.replaced:
            self.departed.add(self.entry.target_id, self.entry.incarnation)
            self._drop_target(f"another target answers at {self.endpoint}")
        elif client.unreachable and self.reachable:
            self._decisions.event("target unreachable", target=self.entry.target_id)
            self.reachable = False
            self._slots.refuse_queued(f"the target takes no connections at {self.endpoint}")

    def _drop_target(self, reason: str) -> None:
        entry = t.cast(TargetEntry, self.entry)
        self._decisions.event("target lost", target=entry.target_id, reason=reason)
        self.entry = None
        self._slots.refuse_queued(reason)
        self._on_change(None)

    def _replace(self, entry: TargetEntry, endpoint: Endpoint) -> None:
        self._slots.refuse_queued("the target was replaced")
        if self._crash_detector is not None:
            self._crash_detector.target_replaced()
        self.close()
        self._slots = SlotPool(entry.slots, self._rules, self.warmth.limit)
        self._work = TargetWork()
        limit = self._limit = LimitTracker(entry.target_id, self._decisions)
        self._client = TargetClient(
            endpoint,
            entry.target_id,
            self._header_names,
            functools.partial(self._apply_signals, limit),
        )
        self._crash_detector = CrashDetector(
            self._client, functools.partial(self._on_crash, self._client, entry.process)
        )
        self.endpoint = endpoint


def _slot_request(call: Call) -> SlotRequest:
    return SlotRequest(
        call.route,
        call.priority,
        call.late_after,
        call.deadline,
        call.organisation,
    )
