"""What each attempt of a call tells of the target that it went to."""

import asyncio

from result import Err
from result import Ok

from bulrushflow.placement import ResponseSizes
from bulrushflow.placement import WorkChoice
from bulrushflow.routing import Call
from bulrushflow.routing import CallFailure
from bulrushflow.routing import CallResult
from bulrushflow.routing import Outcome
from bulrushflow.routing import Response
from bulrushflow.sidecar.calls.forwarding import PeerForwarder
from bulrushflow.sidecar.calls.forwarding import PeerReport
from bulrushflow.sidecar.calls.target_signals import SignalReader
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.records.directory import Directory
from bulrushflow.sidecar.records.directory import Peer

FULL_LOAD = 1.0
"""Calls per slot from which a target has no slot free."""


class AttemptResults:
    """Records the results of attempts: latency, load, limit and leave of the target, and its work.

    :param signals: reads what a target says of itself in a response.
    :param sizes: gets the sizes of responses.
    :param work_choice: gets the work that targets report, if it is given.
    """

    __slots__ = ("_decisions", "_directory", "_forwarder", "_signals", "_sizes", "_work_choice")

    def __init__(
        self,
        directory: Directory,
        forwarder: PeerForwarder,
        signals: SignalReader,
        sizes: ResponseSizes,
        work_choice: WorkChoice | None,
        decisions: DecisionLog,
    ) -> None:
        self._directory = directory
        self._forwarder = forwarder
        self._signals = signals
        self._sizes = sizes
        self._work_choice = work_choice
        self._decisions = decisions

    def record_sent(self, peer: Peer) -> None:
        """Record that an attempt begins."""
        if self._work_choice is not None:
            self._work_choice.record_sent(peer)

    def record_cancelled(self, peer: Peer, call: Call, failed: bool, seconds: float) -> None:
        """Record an attempt that ends without a result.

        :param failed: whether the call had no response from another attempt.
        """
        if self._work_choice is not None:
            self._work_choice.record_unreported(peer)
        if failed:
            late = asyncio.get_running_loop().time() >= call.deadline
            reason = "no answer by the deadline" if late else "the caller disconnected"
            self._log_failure(peer, call, CallFailure(Outcome.UNKNOWN, reason), None, seconds)

    def record(
        self, peer: Peer, call: Call, result: CallResult, report: PeerReport, seconds: float
    ) -> None:
        """Record an attempt's result, and what the target's node reports with it.

        :param seconds: how long the attempt took.
        """
        now = asyncio.get_running_loop().time()
        if report.cold_ms is not None:
            peer.record_cold(report.cold_ms, now)
        if report.link_reported:
            peer.record_link_backlog(report.link_backlog_s, now)
        if self._work_choice is not None:
            if report.work is not None:
                self._work_choice.record_report(peer, report.work, call.route, now)
            else:
                self._work_choice.record_unreported(peer)
        match result:
            case Ok(response):
                if not response.is_failure:
                    self._sizes.record(call.route, response.size)
                peer.record_response(seconds, response.is_failure, now)
                peer.record_load(report.load or 0.0, now)
                self._apply_signals(peer, response)
            case Err(failure):
                self._record_failure(peer, failure, report, seconds, now)
                self._log_failure(peer, call, failure, report.load, seconds)

    def _record_failure(
        self, peer: Peer, failure: CallFailure, report: PeerReport, seconds: float, now: float
    ) -> None:
        if failure.outcome is Outcome.UNKNOWN or failure.reached_target:
            peer.record_response(seconds, True, now)
        if not report.reached:
            self._forwarder.mark_unreachable(peer)
        elif report.load is None:
            peer.mark_unavailable(now)
        elif failure.outcome is Outcome.NOT_RUN and not report.link_full:
            peer.record_load(max(report.load, FULL_LOAD), now)

    def _apply_signals(self, peer: Peer, response: Response) -> None:
        """Record what a target said of itself in a response that this node passes on."""
        signals = self._signals.read(response.headers)
        if signals.invalid_limit is None:
            peer.limit_per_s = signals.limit_per_s
        if signals.leaving and self._directory.mark_leaving(peer):
            self._decisions.event("peer's target leaving", node=peer.entry.node_id)

    def _log_failure(
        self, peer: Peer, call: Call, failure: CallFailure, load: float | None, seconds: float
    ) -> None:
        self._decisions.attempt_failed(
            call,
            failure.outcome.name.lower(),
            reason=failure.reason,
            node=peer.entry.node_id,
            load=load,
            seconds=round(seconds, 3),
        )
