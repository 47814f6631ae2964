"""Quarantine of requests that crash each target that runs them.

The node beside a target that crashes reports the requests that were running there, in its entry.
A request reported for :data:`MAX_CRASHES` target processes is quarantined: no node sends it any
more. A node that has seen it succeed clears it everywhere, since a request that crashes each target
never succeeds.
"""

import collections
import typing as t

import msgspec

from bulrushflow.routing import Call
from bulrushflow.routing import CallFailure
from bulrushflow.routing import Outcome
from bulrushflow.sidecar.calls.fingerprints import fingerprint
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.model import ClearedRequest
from bulrushflow.sidecar.model import CrashReport
from bulrushflow.sidecar.model import NodeEntry
from bulrushflow.timers import Clock

MAX_CRASHES = 3
"""Crashed target processes from which a request is quarantined."""
REPORT_LIFETIME_MS = 600_000
"""Time after which a crash is forgotten, since the targets may have been fixed. A request that
still crashes them costs :data:`MAX_CRASHES` more in this time."""
SUCCESS_MEMORY_MS = 30_000
"""Time before a crash in which a success shows that a request is not its cause."""
MAX_REMEMBERED_SUCCESSES = 2048
MAX_SUSPECTS = 256
"""Requests with reports; the one reported least recently is dropped first."""
MAX_PUBLISHED = 64
"""Reports, and cleared requests, in this node's entry. Each has some 120 bytes."""
MAX_CLOCK_SKEW_MS = 5_000
"""Difference between the wall clocks of two nodes up to which a report counts as older than a
clearance."""


class _Suspect(msgspec.Struct):
    """The crashes that one request is reported for."""

    reports_by_process: dict[tuple[str, int], CrashReport] = msgspec.field(default_factory=dict)
    node_ids: set[str] = msgspec.field(default_factory=set)
    has_succeeded: bool = False
    """Whether the own target answered the request successfully since the first report."""

    @property
    def newest_ms(self) -> int:
        return max((report.at_ms for report in self.reports_by_process.values()), default=0)

    @property
    def oldest_ms(self) -> int:
        return min((report.at_ms for report in self.reports_by_process.values()), default=0)

    def drop_before(self, at_ms: int) -> None:
        self.reports_by_process = {
            process: report
            for process, report in self.reports_by_process.items()
            if report.at_ms > at_ms
        }


class Quarantine:
    """This node's view of the requests that crash targets.

    :param node_id: id of this node.
    :param on_change: called when this node's entry has to be published again.
    """

    def __init__(
        self,
        node_id: str,
        on_change: t.Callable[[], None],
        decisions: DecisionLog,
        clock: Clock,
    ) -> None:
        self._node_id = node_id
        self._on_change = on_change
        self._decisions = decisions
        self._clock = clock
        self._suspects_by_fingerprint: collections.OrderedDict[str, _Suspect] = (
            collections.OrderedDict()
        )
        self._successes: collections.OrderedDict[str, int] = collections.OrderedDict()
        """Epoch milliseconds of the latest success of each request at the own target."""
        self._cleared_ms: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._own_reports: list[CrashReport] = []
        self._own_cleared: list[ClearedRequest] = []

    @property
    def own_reports(self) -> tuple[CrashReport, ...]:
        """Reports of this node that hold, for its entry."""
        return tuple(report for report in self._own_reports if self._holds(report))

    @property
    def own_cleared(self) -> tuple[ClearedRequest, ...]:
        """Requests that this node cleared, for its entry."""
        return tuple(self._own_cleared)

    @property
    def size(self) -> int:
        """Number of quarantined requests."""
        return sum(map(self._is_quarantined, list(self._suspects_by_fingerprint)))

    def refusal(self, call: Call) -> CallFailure | None:
        """Return why a call is refused, or ``None`` if its request isn't quarantined."""
        if not self._suspects_by_fingerprint:
            return None
        key = fingerprint(call)
        if not self._is_quarantined(key):
            return None
        suspect = self._suspects_by_fingerprint[key]
        now_ms = self._clock.wall_ms()
        left_s = max(1.0, (suspect.newest_ms + REPORT_LIFETIME_MS - now_ms) / 1000)
        return CallFailure(
            Outcome.REFUSED,
            f"the request {key} crashed {len(suspect.reports_by_process)} targets and is "
            f"quarantined from {MAX_CRASHES} on; the last crash was "
            f"{(now_ms - suspect.newest_ms) / 1000:.1f} s ago, reported by "
            f"{', '.join(sorted(suspect.node_ids))}",
            retry_after_s=left_s,
        )

    def record_success(self, call: Call) -> None:
        """Record that the own target answered a call successfully."""
        key = fingerprint(call)
        now_ms = self._clock.wall_ms()
        self._successes[key] = now_ms
        self._successes.move_to_end(key)
        while len(self._successes) > MAX_REMEMBERED_SUCCESSES:
            self._successes.popitem(last=False)
        suspect = self._suspects_by_fingerprint.get(key)
        if suspect is None:
            return
        suspect.has_succeeded = True
        if self._is_quarantined(key):
            self._clear(key)

    def record_crash(self, process: tuple[str, int], calls: t.Iterable[Call]) -> None:
        """Record that the own target crashed while it ran some calls."""
        keys = sorted({fingerprint(call) for call in calls})
        now_ms = self._clock.wall_ms()
        charged = self._without_explained([key for key in keys if not self._succeeds(key, now_ms)])
        self._decisions.event(
            "target crashed",
            target=process[0],
            running=len(keys),
            suspects=charged,
        )
        if not charged:
            return
        for key in charged:
            report = CrashReport(process[0], process[1], key, now_ms)
            self._own_reports.append(report)
            self._add(report, self._node_id)
        self._own_reports.sort(key=lambda r: (self._report_count(r.fingerprint) > 1, r.at_ms))
        del self._own_reports[:-MAX_PUBLISHED]
        self._on_change()

    def merge(self, entry: NodeEntry) -> None:
        """Merge the reports and clearances in another node's entry."""
        for cleared in entry.cleared_requests[-MAX_PUBLISHED:]:
            self._apply_clearance(cleared)
        for report in entry.crash_reports[-MAX_PUBLISHED:]:
            self._add(report, entry.node_id)

    def restore(self, entry: NodeEntry) -> None:
        """Take over what this node published before it restarted."""
        known = {(report.process, report.fingerprint) for report in self._own_reports}
        missing = [
            report
            for report in entry.crash_reports
            if (report.process, report.fingerprint) not in known
        ]
        self._own_reports = [*missing, *self._own_reports]
        self.merge(entry)

    def _is_quarantined(self, key: str) -> bool:
        suspect = self._suspects_by_fingerprint.get(key)
        if suspect is None or len(suspect.reports_by_process) < MAX_CRASHES:
            return False
        suspect.drop_before(self._clock.wall_ms() - REPORT_LIFETIME_MS)
        return len(suspect.reports_by_process) >= MAX_CRASHES

    def _succeeds(self, key: str, at_ms: int) -> bool:
        """Return whether the own target answered a request successfully not long before a time."""
        succeeded_ms = self._successes.get(key)
        return succeeded_ms is not None and succeeded_ms >= at_ms - SUCCESS_MEMORY_MS

    def _without_explained(self, keys: list[str]) -> list[str]:
        """Return the keys without those that ran beside a request reported far more often."""
        counts = {key: self._report_count(key) for key in keys}
        most = max(counts.values(), default=0)
        if most < MAX_CRASHES - 1:
            return keys
        return [key for key in keys if counts[key] == most]

    def _report_count(self, key: str) -> int:
        suspect = self._suspects_by_fingerprint.get(key)
        return len(suspect.reports_by_process) if suspect is not None else 0

    def _holds(self, report: CrashReport) -> bool:
        """Return whether a report is recent, and its request wasn't cleared since."""
        cleared_ms = self._cleared_ms.get(report.fingerprint)
        if cleared_ms is not None and report.at_ms <= cleared_ms + MAX_CLOCK_SKEW_MS:
            return False
        return report.at_ms > self._clock.wall_ms() - REPORT_LIFETIME_MS

    def _add(self, report: CrashReport, node_id: str) -> None:
        if not self._holds(report):
            return
        key = report.fingerprint
        suspect = self._suspects_by_fingerprint.setdefault(key, _Suspect())
        if report.process in suspect.reports_by_process:
            return
        was_quarantined = self._is_quarantined(key)
        suspect.reports_by_process[report.process] = report
        suspect.node_ids.add(node_id)
        self._suspects_by_fingerprint.move_to_end(key)
        while len(self._suspects_by_fingerprint) > MAX_SUSPECTS:
            self._suspects_by_fingerprint.popitem(last=False)
        if was_quarantined or not self._is_quarantined(key):
            return
        if suspect.has_succeeded or self._succeeds(key, suspect.oldest_ms):
            self._clear(key)
            return
        self._decisions.event(
            "request quarantined",
            fingerprint=key,
            crashes=len(suspect.reports_by_process),
            first_s_ago=round((self._clock.wall_ms() - suspect.oldest_ms) / 1000, 1),
            nodes=sorted(suspect.node_ids),
        )

    def _clear(self, key: str) -> None:
        """Clear a quarantined request that succeeded, here and on the other nodes."""
        cleared = ClearedRequest(key, self._clock.wall_ms())
        self._apply_clearance(cleared)
        self._own_cleared.append(cleared)
        del self._own_cleared[:-MAX_PUBLISHED]
        self._on_change()

    def _apply_clearance(self, cleared: ClearedRequest) -> None:
        key = cleared.fingerprint
        if cleared.at_ms <= self._cleared_ms.get(key, 0):
            return
        self._cleared_ms[key] = cleared.at_ms
        self._cleared_ms.move_to_end(key)
        while len(self._cleared_ms) > MAX_SUSPECTS:
            self._cleared_ms.popitem(last=False)
        suspect = self._suspects_by_fingerprint.get(key)
        if suspect is None:
            return
        suspect.drop_before(cleared.at_ms + MAX_CLOCK_SKEW_MS)
        if not suspect.reports_by_process:
            del self._suspects_by_fingerprint[key]
        self._decisions.event("request cleared", fingerprint=key)
