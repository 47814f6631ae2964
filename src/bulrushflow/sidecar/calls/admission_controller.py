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
from bulrushflow.sidecar.calls.retry_budget import TargetRetryBudget
from bulrushflow.sidecar.calls.slots import SlotPool
from bulrushflow.sidecar.calls.slots import SlotRequest
from bulrushflow.sidecar.calls.target_client import TargetClient
from bulrushflow.sidecar.calls.target_signals import TargetSignals
from bulrushflow.sidecar.calls.target_work import TargetWork
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.model import NamedLimit
from bulrushflow.sidecar.model import TargetEntry
from bulrushflow.sidecar.model import TargetState
from bulrushflow.sidecar.settings import Endpoint
from bulrushflow.timers import Clock

BUDGET_EXHAUSTED = "too many repeated calls"
SLOW_FRACTION = 0.5
"""Fraction of the time until a call's latency objective from which a cancelled call counts."""

ResultObserver = t.Callable[[Call, CallResult | None, float], None]
EntryCallback = t.Callable[[TargetEntry | None], None]


class AdmissionController:
    """Tracks the target, and refuses calls that it can't or may not serve before they are sent.

    A call is checked against the target's state and version, waits for a slot, is checked again,
    and counts against the retry budget if it is a retry.

    :param is_forbidden: returns whether a version of a service may receive no new calls.
    :param observer: called after each call that may have run, with the call, its result, and the
        seconds it took. A call that was cancelled after much of the time that its latency
        objective leaves has the result ``None``.
    :param rules: how calls wait for a slot.
    :param reports_work: whether answers carry the work that the target has left.
    :param on_change: called with the new entry, or ``None`` without a target, when other nodes have
        to be informed.
    """

    def __init__(
        self,
        header_names: HeaderNames,
        is_forbidden: t.Callable[[str, str], bool],
        observer: ResultObserver,
        on_change: EntryCallback,
        retry_budget: TargetRetryBudget,
        quarantine: Quarantine,
        decisions: DecisionLog,
        clock: Clock,
        rules: QueueRules = PLAIN_RULES,
        reports_work: bool = False,
    ) -> None:
        self.entry: TargetEntry | None = None
        self.endpoint: Endpoint | None = None
        self.reachable = True
        self._header_names = header_names
        self._is_forbidden = is_forbidden
        self._observer = observer
        self._on_change = on_change
        self._retry_budget = retry_budget
        self._quarantine = quarantine
        self._decisions = decisions
        self._clock = clock
        self._rules = rules
        self._slots = SlotPool(1, rules)
        self._reports_work = reports_work
        self._work = TargetWork()
        self._client: TargetClient | None = None
        self._crash_detector: CrashDetector | None = None
        self._limit = LimitTracker("", decisions)
        self.departed = DepartedTargets(clock)
        self._running: set[asyncio.Task[CallResult]] = set()

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
    def limit_per_s(self) -> float | None:
        """Calls per second that the target says it accepts; ``None`` without a limit."""
        return self._limit.limit_per_s

    @property
    def in_flight(self) -> int:
        """Number of calls that were sent to the target and have not ended."""
        return len(self._running)

    def apply_announcement(self, entry: TargetEntry, endpoint: Endpoint) -> bool:
        """Apply a target's announcement.

        :return: whether it was accepted; ``False`` when the target departed or a newer revision is
            known.
        """
        current = self.entry
        if self.departed.includes_entry(entry):
            return False
        if current is not None and entry.revision <= current.revision:
            # A delayed announcement, perhaps from a process that has ended since.
            return entry.revision == current.revision
        replaced = current is None or current.process != entry.process
        if current is not None and current.leaving and not replaced:
            # Targets that announce their leave in responses may still announce that they are ready.
            entry = replace(entry, state=TargetState.DRAINING, leaving=True)
        if replaced or endpoint != self.endpoint:
            self._replace(entry, endpoint)
        self._slots.capacity = entry.slots
        changed = (
            replaced
            or not self.reachable
            or not _same_for_peers(t.cast(TargetEntry, current), entry)
        )
        self.entry = entry
        self.reachable = True
        if entry.state is not TargetState.READY:
            self._slots.refuse_queued("the target takes no new calls")
        if changed:
            self._decisions.event(
                "target announced",
                target=entry.target_id,
                service=entry.service,
                version=entry.version,
                state=entry.state.value,
                incarnation=entry.incarnation,
                sequence=entry.sequence,
            )
            self._on_change(entry)
        return True

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
                    return await self._send(call, slots)
                slots.release_unused()
        self._log_refusal(call, refusal)
        return not_run(refusal)

    def close(self) -> None:
        """Close the idle connections to the target."""
        self._close_client()

    def _close_client(self) -> None:
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
        entry = self.entry
        return entry is not None and entry.state is TargetState.READY and self.reachable

    def _refusal(self, call: Call) -> str | None:
        entry = self.entry
        if entry is None:
            return "no target"
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

    async def _send(self, call: Call, slots: SlotPool) -> CallResult:
        task = asyncio.get_running_loop().create_task(self._exchange(call, slots))
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            # A call that isn't idempotent is left to finish, since it may be running already.
            # Cancelling an idempotent one closes its connection, which cancels it at the target.
            if call.idempotent:
                task.cancel()
            raise

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
            self._observe_cancelled(call, started_at)
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

    def _observe_cancelled(self, call: Call, started_at: float) -> None:
        """Count a call that was cancelled for being slow.

        The calls to a slow target are mostly cancelled, when another target answers first or at
        their deadline; without them its other calls would look like those of a fast one. A second
        attempt is cancelled whenever the first one ends, which says nothing of its target.
        """
        if call.attempt:
            return
        seconds = asyncio.get_running_loop().time() - started_at
        useful_s = call.late_after - started_at
        if useful_s > 0 and seconds >= SLOW_FRACTION * useful_s:
            self._observer(call, None, seconds)

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
            self._drop_target(f"another target answers at {self.endpoint}")
        elif client.unreachable and self.reachable:
            self._decisions.event("target unreachable", target=self.entry.target_id)
            self.reachable = False
            self._slots.refuse_queued(f"the target takes no connections at {self.endpoint}")

    def _drop_target(self, reason: str) -> None:
        entry = t.cast(TargetEntry, self.entry)
        self._decisions.event("target lost", target=entry.target_id, reason=reason)
        self.departed.add(entry.target_id, entry.incarnation)
        self.entry = None
        self._slots.refuse_queued(reason)
        self._on_change(None)

    def _replace(self, entry: TargetEntry, endpoint: Endpoint) -> None:
        self._slots.refuse_queued("the target was replaced")
        if self._crash_detector is not None:
            self._crash_detector.target_replaced()
        self._close_client()
        self._slots = SlotPool(entry.slots, self._rules)
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
        call.returned,
    )


def _same_for_peers(current: TargetEntry, entry: TargetEntry) -> bool:
    """Return whether two entries are equal in the fields that other nodes act on."""
    return (current.service, current.version, current.slots, current.state) == (
        entry.service,
        entry.version,
        entry.slots,
        entry.state,
    )
