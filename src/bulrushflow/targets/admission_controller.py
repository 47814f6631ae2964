"""Admission control for the node's own target; every call to that target passes through it."""

import asyncio
import typing as t

from loguru import logger
from result import Err
from result import Ok

from bulrushflow.membership import Target
from bulrushflow.membership import TargetState
from bulrushflow.metrics import Metrics
from bulrushflow.routing import ByteBudget
from bulrushflow.routing import Call
from bulrushflow.routing import CallResult
from bulrushflow.routing import Outcome
from bulrushflow.routing import not_run
from bulrushflow.targets.announcement import ANNOUNCEMENT_TTL_S
from bulrushflow.targets.announcement import Announcement
from bulrushflow.targets.client import TargetClient
from bulrushflow.targets.session import TargetSession
from bulrushflow.timers import Timers

CHECK_INTERVAL_S = 0.5
SUFFICIENT_TIME_FACTOR = 4.0
"""Multiple of the baseline latency that an unanswered call must have had to count in the analysis
of its version."""
DEFAULT_BASELINE_S = 0.1
"""Baseline latency assumed until the target's own is known."""
RETIRE_TIMEOUT_S = 30.0

CallObserver = t.Callable[[Call, bool, float], None]
TargetCallback = t.Callable[[Target | None], None]
ForbiddenCheck = t.Callable[[str, str], bool]


class AdmissionController:
    """Admits calls to the target's slots, or refuses them before they are sent.

    :param is_forbidden: returns whether a version of a service may get no new calls.
    :param observer: called for each call that the target ran, with whether the call failed and its
        duration in seconds.
    :param on_target_change: called with the target as other nodes should see it, ``None`` if it is
        gone.
    :param byte_budget: bounds the bytes of buffered responses.
    :param max_response_bytes: bound on the body of one response.
    """

    def __init__(
        self,
        timers: Timers,
        is_forbidden: ForbiddenCheck,
        observer: CallObserver,
        on_target_change: TargetCallback,
        metrics: Metrics,
        byte_budget: ByteBudget,
        max_response_bytes: int,
    ) -> None:
        self.announcement: Announcement | None = None
        self._is_forbidden = is_forbidden
        self._observer = observer
        self._on_target_change = on_target_change
        self._metrics = metrics
        self._byte_budget = byte_budget
        self._max_response_bytes = max_response_bytes
        self._session: TargetSession | None = None
        self._retiring: set[asyncio.Task[None]] = set()
        self._renewed_at = 0.0
        self._draining = False
        timers.subscribe("target-expiry", CHECK_INTERVAL_S, self._check)

    @property
    def in_flight(self) -> int:
        """Number of calls that the current target runs."""
        return self._session.slots.active if self._session else 0

    @property
    def load(self) -> int:
        """Number of occupied slots and queued calls."""
        if self._session is None:
            return 0
        return self._session.slots.occupied + self._session.slots.queued

    @property
    def capacity(self) -> int:
        """Number of slots that may be occupied at present."""
        return self._session.slots.capacity if self._session else 0

    async def handle_announcement(self, announcement: Announcement) -> None:
        """Apply an announcement of the target, and renew the target's validity."""
        self._renewed_at = asyncio.get_running_loop().time()
        if announcement == self.announcement:
            return
        self._ensure_session(announcement)
        self.announcement = announcement
        logger.info("target announced: {}", announcement)
        if announcement.state != "ready" and self._session is not None:
            self._session.slots.refuse_queued("the target takes no new calls")
        self._notify_target_change()

    async def run(self, call: Call) -> CallResult:
        """Run a call on the target, or refuse it as certainly not run."""
        session = self._session
        if session is None:
            return self._shed(call, "no target")
        refusal = self._refusal(session, call)
        if refusal is not None:
            return self._shed(call, refusal)
        slots = session.slots
        if not slots.try_acquire():
            refusal = await slots.acquire(call.tenant, call.deadline)
            if refusal is not None:
                return self._shed(call, refusal)
            refusal = self._refusal(session, call)
            if refusal is not None:
                slots.release()
                return self._shed(call, refusal)
        return await self._send(session, call)

    async def drain(self, timeout_s: float) -> bool:
        """Refuse new and queued calls and wait for those in flight; return whether all ended.

        Those at a target that was replaced before are waited for too.
        """
        self._draining = True
        self._notify_target_change()
        if self._session is None:
            return True
        self._session.slots.refuse_queued("this node is draining and takes no new calls")
        idle = asyncio.get_running_loop().create_task(self._session.wait_idle())
        # Not wait_for, which would cancel the retirements, and with them close no connections.
        _, pending = await asyncio.wait({idle, *self._retiring}, timeout=timeout_s)
        idle.cancel()
        return not pending

    async def close(self) -> None:
        """Close the connections to the target."""
        for task in list(self._retiring):
            task.cancel()
        if self._session is not None:
            await self._session.close()

    async def _send(self, session: TargetSession, call: Call) -> CallResult:
        loop = asyncio.get_running_loop()
        slots = session.slots
        started_at = loop.time()
        try:
            result = await session.send(call)
        except BaseException:
            slots.release_abandoned()
            self._observe_abandoned(session, call, loop.time() - started_at)
            raise
        seconds = loop.time() - started_at
        match result:
            case Ok(response):
                failed = response.is_failure
                if not failed:
                    # The time of a fast failure says nothing about the target's service time.
                    slots.observe(seconds)
                slots.release()
                self._observer(call, failed, seconds)
            case Err(failure) if failure.outcome is Outcome.UNKNOWN:
                slots.observe_dropped()
                slots.release_abandoned()
                if self._had_sufficient_time(session, call, started_at):
                    self._observer(call, True, seconds)
            case Err(failure):
                if failure.outcome is Outcome.NOT_RUN:
                    slots.observe_dropped()
                slots.release()
                self._check_reachable(session)
        return result

    def _check_reachable(self, session: TargetSession) -> None:
        """Remove a target that refuses connections, until its next announcement.

        It would fail calls faster than other targets answer them, and so appear idle to every node.
        """
        if session is self._session and session.unreachable and self.announcement is not None:
            logger.warning(
                "target {} takes no connections; removed until it announces itself again",
                self.announcement.url,
            )
            self.announcement = None
            session.slots.refuse_queued("the target takes no connections")
            self._notify_target_change()

    def _observe_abandoned(self, session: TargetSession, call: Call, seconds: float) -> None:
        """Report a cancelled call to the observer if it had run for long.

        Callers with short timeouts would otherwise hide a version that hangs. The call does not
        count as failed; its duration is a lower bound on its latency.
        """
        baseline_s = session.slots.limit.baseline_s
        usual_s = DEFAULT_BASELINE_S if baseline_s is None else baseline_s
        if seconds >= usual_s * SUFFICIENT_TIME_FACTOR:
            self._observer(call, False, seconds)

    def _had_sufficient_time(self, session: TargetSession, call: Call, started_at: float) -> bool:
        """Return whether an unanswered call had enough time to be attributed to the version.

        A shorter time is attributed to the caller's timeout.
        """
        baseline_s = session.slots.limit.baseline_s
        if baseline_s is None:
            return True
        return call.deadline - started_at >= baseline_s * SUFFICIENT_TIME_FACTOR

    def _refusal(self, session: TargetSession, call: Call) -> str | None:
        announcement = self.announcement
        if announcement is None or session is not self._session:
            return "the target was lost or replaced"
        if self._draining or announcement.state != "ready":
            return "the target takes no new calls"
        if (announcement.service, announcement.version) != (call.service, call.version):
            return (
                f"the target runs {announcement.service} {announcement.version}, "
                f"the call is for {call.service} {call.version}"
            )
        if self._is_forbidden(call.service, call.version):
            return f"version {call.version} was taken back"
        return None

    def _shed(self, call: Call, reason: str) -> CallResult:
        self._metrics.sheds.inc({"service": call.service})
        return not_run(reason)

    def _notify_target_change(self) -> None:
        if self.announcement is None:
            self._on_target_change(None)
            return
        target = self.announcement.target
        if self._draining:
            target = Target(target.service, target.version, TargetState.DRAINING, target.slots)
        self._on_target_change(target)

    def _ensure_session(self, announcement: Announcement) -> None:
        current = self._session
        if current is not None and current.matches(announcement):
            return
        client = TargetClient(announcement, self._byte_budget, self._max_response_bytes)
        self._session = TargetSession(announcement, client)
        if current is not None:
            task = asyncio.get_running_loop().create_task(current.retire(RETIRE_TIMEOUT_S))
            self._retiring.add(task)
            task.add_done_callback(self._retiring.discard)

    async def _check(self) -> None:
        if self._session is not None:
            slots = self._session.slots
            self._metrics.observe_admission(
                slots.queued, slots.active, slots.lingering, slots.capacity
            )
        if self.announcement is None:
            return
        if asyncio.get_running_loop().time() - self._renewed_at > ANNOUNCEMENT_TTL_S:
            logger.warning(
                "target did not renew its announcement within {} s; it counts as gone",
                ANNOUNCEMENT_TTL_S,
            )
            self.announcement = None
            self._notify_target_change()
