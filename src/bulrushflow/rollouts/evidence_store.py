"""Newest evidence of each node's process on the current rollouts."""

import typing as t

from bulrushflow.rollouts.evidence import Evidence
from bulrushflow.rollouts.evidence import Revision
from bulrushflow.rollouts.evidence import RouteCounts
from bulrushflow.rollouts.evidence import Source
from bulrushflow.rollouts.evidence import VersionRoute
from bulrushflow.rollouts.outliers import UsualLatencies


class EvidenceStore:
    """The newest evidence of each node's process on each rollout, and when it was received.

    Counts from before a node left or restarted remain in the totals.
    """

    __slots__ = ("_last_reports", "_latencies_by_rollout", "_own_source", "by_rollout")

    def __init__(self, own_id: str, incarnation: int = 0) -> None:
        self._own_source: Source = (own_id, incarnation)
        self._last_reports: dict[tuple[int, str], tuple[Revision, float]] = {}
        self._latencies_by_rollout: dict[int, UsualLatencies] = {}
        self.by_rollout: dict[int, dict[Source, Evidence]] = {}

    def local(self, rollout_id: int) -> Evidence:
        """Return this process's own evidence, which is created if missing."""
        by_source = self.by_rollout.setdefault(rollout_id, {})
        current = by_source.get(self._own_source)
        if current is None:
            node_id, incarnation = self._own_source
            current = Evidence(rollout_id, node_id, incarnation=incarnation)
            by_source[self._own_source] = current
        return current

    def merge(self, evidence: Evidence, now_s: float = 0.0) -> None:
        """Store another node's evidence if it is newer than the stored one.

        :param now_s: this node's monotonic clock.
        """
        if evidence.source == self._own_source:
            return
        self._record_report(evidence, now_s)
        by_source = self.by_rollout.setdefault(evidence.rollout_id, {})
        current = by_source.get(evidence.source)
        if current is None or current.sequence < evidence.sequence:
            by_source[evidence.source] = evidence

    def last_report_at(self, rollout_id: int, node_id: str) -> float | None:
        """Return when a node last reported, on this node's monotonic clock; ``None`` if never.

        Reports that arrive after a newer one of the node don't count.
        """
        last = self._last_reports.get((rollout_id, node_id))
        return None if last is None else last[1]

    def totals(self, rollout_id: int, now_s: float) -> dict[VersionRoute, RouteCounts]:
        """Return the counts summed over all nodes, without latencies of outliers.

        See :class:`~bulrushflow.rollouts.outliers.UsualLatencies`.

        :param now_s: this node's monotonic clock.
        """
        latencies = self._latencies_by_rollout.get(rollout_id)
        if latencies is None:
            latencies = self._latencies_by_rollout[rollout_id] = UsualLatencies()
        return latencies.totals(self.reports(rollout_id), now_s)

    def given(self, rollout_id: int, version: str) -> int:
        """Return the calls to the version under test that all nodes sent to their targets."""
        return sum(max(report.given, report.calls(version)) for report in self.reports(rollout_id))

    def reports(self, rollout_id: int) -> t.Collection[Evidence]:
        """Return the newest evidence of each node's process."""
        return self.by_rollout.get(rollout_id, {}).values()

    def retain(self, rollout_ids: t.Collection[int]) -> None:
        """Drop the evidence on all rollouts except these."""
        for rollout_id in list(self.by_rollout):
            if rollout_id not in rollout_ids:
                del self.by_rollout[rollout_id]
                self._latencies_by_rollout.pop(rollout_id, None)
        for key in list(self._last_reports):
            if key[0] not in rollout_ids:
                del self._last_reports[key]

    def _record_report(self, evidence: Evidence, now_s: float) -> None:
        key = (evidence.rollout_id, evidence.node_id)
        revision = (evidence.incarnation, evidence.sequence)
        newest, reported_at = self._last_reports.get(key, (revision, now_s))
        # An equal one counts: a node without new calls repeats its report.
        if revision >= newest:
            self._last_reports[key] = (revision, max(now_s, reported_at))
