"""Checks whether evidence is recent enough to raise a rollout's traffic share on."""

from bulrushflow.configuration import Rollout
from bulrushflow.membership import MemberTable
from bulrushflow.rollouts import EvidenceStore
from bulrushflow.timers import PauseDetector

MAX_EVIDENCE_AGE_S = 4.0
"""Age up to which a node's last report is fresh, on this node's monotonic clock."""
PAUSE_THRESHOLD_S = 1.5
"""Time between two checks from which on the process counts as paused."""
SETTLE_S = 0.5
"""Time after a pause in which received reports may be old, since they were queued."""


class EvidenceFreshness:
    """Checks which nodes sent a recent report.

    Reports from before a pause of this process count as stale.
    """

    __slots__ = ("_evidence_store", "_pause_detector", "_table", "_trusted_after")

    def __init__(self, evidence_store: EvidenceStore, table: MemberTable) -> None:
        self._evidence_store = evidence_store
        self._table = table
        self._pause_detector = PauseDetector(PAUSE_THRESHOLD_S)
        self._trusted_after = float("-inf")

    def detect_pause(self, now_s: float) -> None:
        """Detect a pause of the process; called with every tick of the rollout driver."""
        if self._pause_detector.check(now_s) is not None:
            self._trusted_after = now_s + SETTLE_S

    def describe_missing(self, rollout: Rollout, now_s: float) -> str:
        """Return whose fresh report is missing to raise the traffic share, or an empty text.

        Fresh reports are required of every ready target of the new version and of at least half
        of the old version's.
        """
        if now_s <= self._trusted_after:
            return "anyone since this process was paused"
        for member in self._table.ready_targets(rollout.service, rollout.to_version):
            if not self._has_fresh_report(rollout, member.node_id, now_s):
                return member.node_id
        old = self._table.ready_targets(rollout.service, rollout.from_version)
        reported = [m for m in old if self._has_fresh_report(rollout, m.node_id, now_s)]
        if 2 * len(reported) < len(old):
            return (
                f"{len(old) - len(reported)} of {len(old)} nodes of version {rollout.from_version}"
            )
        return ""

    def _has_fresh_report(self, rollout: Rollout, node_id: str, now_s: float) -> bool:
        if node_id == self._table.own_id:
            return True
        reported_at = self._evidence_store.last_report_at(rollout.offset, node_id)
        if reported_at is None or reported_at <= self._trusted_after:
            return False
        return now_s - reported_at <= MAX_EVIDENCE_AGE_S
