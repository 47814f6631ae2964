"""Exchange of rollout evidence between the nodes of a service, bounded in bytes and receivers."""

import asyncio
import typing as t

from loguru import logger

from bulrushflow.configuration import Rollout
from bulrushflow.membership import Member
from bulrushflow.membership import rank_members
from bulrushflow.rollouts import EvidenceStore
from bulrushflow.wire import codec
from bulrushflow.wire import messages
from bulrushflow.wire.links import Endpoint

MAX_RECEIVERS = 8
MIN_RECEIVERS = 3
"""Receivers of a report of any size: the driver, and the nodes that would replace it."""
MIN_REPORT_PERIOD_S = 0.5
"""Shortest period between two reports on a rollout."""
MAX_REPORT_PERIOD_S = 1.5
"""Longest period before the number of receivers is reduced."""
MAX_LARGE_REPORT_PERIOD_S = 3.0
"""Longest period of all; a longer one would let evidence become stale at the driver."""
UNCHANGED_REPORT_PERIOD_S = 1.5
"""Period of reports without a change, which show that the node is still running."""
BUDGET_BYTES_PER_S = 4096
"""Bound on one node's reports on one rollout, over all receivers."""


CountBytes = t.Callable[[str, str, int], None]


class Sender(t.Protocol):
    """Sends messages that get no response; those that can't be delivered are dropped."""

    async def send(self, endpoint: Endpoint, **body: t.Any) -> None:
        """Send a message to a node."""


def report_limits(report_bytes: int) -> tuple[float, int]:
    """Return the period in seconds and the number of receivers that stay within the byte budget.

    The period is extended first, then receivers are left out, and last the period is extended up
    to its maximum, at which a very large report may exceed the budget.
    """
    period_s = report_bytes * MAX_RECEIVERS / BUDGET_BYTES_PER_S
    if period_s <= MAX_REPORT_PERIOD_S:
        return max(MIN_REPORT_PERIOD_S, period_s), MAX_RECEIVERS
    receivers = int(BUDGET_BYTES_PER_S * MAX_REPORT_PERIOD_S / report_bytes)
    if receivers >= MIN_RECEIVERS:
        return MAX_REPORT_PERIOD_S, receivers
    period_s = report_bytes * MIN_RECEIVERS / BUDGET_BYTES_PER_S
    return min(MAX_LARGE_REPORT_PERIOD_S, period_s), MIN_RECEIVERS


class EvidenceReporter:
    """Sends this node's evidence to the highest-ranked nodes of the service and merges theirs.

    The ranking is the one that picks the driver, so the nodes next in line have the evidence too.

    :param count_bytes: receives the direction, kind and size of what is sent.
    """

    def __init__(
        self,
        evidence_store: EvidenceStore,
        own_id: str,
        sender: Sender,
        count_bytes: CountBytes = lambda direction, kind, count: None,
    ) -> None:
        self._evidence_store = evidence_store
        self._count_bytes = count_bytes
        self._own_id = own_id
        self._sender = sender
        self._last_sent_by_offset: dict[int, tuple[int, float]] = {}
        self._pending_sends_by_id: dict[str, asyncio.Task[None]] = {}

    def send_if_due(self, rollout: Rollout, members: list[Member], now_s: float) -> None:
        """Send the evidence on a rollout if a report is due, without waiting for receivers."""
        local = self._evidence_store.local(rollout.offset)
        sequence, sent_at = self._last_sent_by_offset.get(rollout.offset, (-1, float("-inf")))
        if now_s - sent_at < MIN_REPORT_PERIOD_S:
            return
        if local.sequence == sequence and now_s - sent_at < UNCHANGED_REPORT_PERIOD_S:
            return
        report = codec.evidence_to_message(local)
        size = len(messages.encode(report))
        period_s, receivers = report_limits(size)
        if now_s - sent_at < period_s:
            return
        self._last_sent_by_offset[rollout.offset] = (local.sequence, now_s)
        for member in rank_members(members, f"move/{rollout.offset}")[:receivers]:
            if member.node_id != self._own_id:
                self._send(member, report, size)

    def retain(self, active_offsets: t.Collection[int]) -> None:
        """Remove the state of all rollouts but the given ones."""
        for offset in list(self._last_sent_by_offset):
            if offset not in active_offsets:
                del self._last_sent_by_offset[offset]

    def merge_report(self, message: t.Any, now_s: float) -> None:
        """Merge another node's report; one with an unknown latency bucket is skipped."""
        try:
            evidence = codec.evidence_from_message(message)
        except IndexError:
            logger.warning(
                "evidence report of node {} skipped: unknown latency bucket", message.node_id
            )
            return
        self._evidence_store.merge(evidence, now_s)

    def _send(self, member: Member, report: t.Any, size: int) -> None:
        # Sending to an unreachable receiver may take long. It must not delay the other receivers,
        # nor queue reports for this one: each replaces the one before.
        if member.node_id in self._pending_sends_by_id:
            return
        self._count_bytes("sent", "evidence", size)
        task = asyncio.get_running_loop().create_task(
            self._sender.send(member.endpoint, evidence_report=report)
        )
        self._pending_sends_by_id[member.node_id] = task
        task.add_done_callback(lambda _: self._pending_sends_by_id.pop(member.node_id, None))
