"""Accounts of moves and of nodes' status, as text for operators."""

import asyncio
import time

from result import Err
from result import Ok
from result import Result

from bulrushflow.configuration import RolloutStatus
from bulrushflow.operators.client import OperatorClient
from bulrushflow.operators.reports import Convergence
from bulrushflow.operators.reports import NodeStatus
from bulrushflow.operators.reports import RolloutReport
from bulrushflow.operators.times import format_time

POLL_S = 0.5


async def wait_finished(
    client: OperatorClient, move_id: str, timeout_s: float
) -> Result[RolloutReport, str]:
    """Wait until the log has a move's final record."""
    ends_at = time.monotonic() + timeout_s
    while True:
        answer = await client.get(f"/moves/{move_id}", RolloutReport)
        match answer:
            case Ok(account) if account.move.status is not RolloutStatus.ACTIVE:
                return Ok(account)
            case _:
                pass
        if time.monotonic() >= ends_at:
            return Err(f"move {move_id} has no final record yet")
        await asyncio.sleep(POLL_S)


def format_rollout(account: RolloutReport) -> str:
    """Return a move's account, a line an event."""
    move = account.move
    lines = [
        f"move {move.move_id}: service {move.service} from {move.from_version} "
        f"to {move.to_version}: {move.status}",
        f"  {format_time(move.stated_at_ms)} offset {move.offset}: stated by {move.operator}, "
        f"to finish by {format_time(move.finish_by_ms)}",
    ]
    for step in move.steps:
        lines.append(
            f"  {format_time(step.at_ms)} offset {step.offset}: {step.share_permille / 10:g}% "
            f"({step.rule}; {step.evidence}) by {step.node_id}"
        )
    if move.status is not RolloutStatus.ACTIVE:
        lines.append(
            f"  {format_time(move.finished_at_ms)} offset {move.finished_offset}: {move.status} "
            f"({move.reason}; {move.evidence}) by {move.decided_by}"
        )
    elif account.taken_back:
        lines.append(
            f"  not yet on the log: taken back ({account.taken_back_reason}) "
            f"by {account.decided_by}"
        )
    lines.extend(f"  not yet on the log: {publish_id}" for publish_id in account.unrecorded)
    return "\n".join(lines)


def format_status(status: NodeStatus) -> str:
    """Return a node's status as a short table."""
    ready = "ready" if status.ready else "not ready"
    lines = [
        f"node {status.node_id} in {status.data_centre}: {ready}, version {status.offset}, "
        f"digest {status.digest}",
    ]
    if status.unsupported:
        lines.append(f"  needs a later release: {status.unsupported}")
    for member in status.members:
        target = f"{member.service} {member.version} {member.state}".strip() or "no target"
        lines.append(f"  {member.node_id:<20} {member.data_centre:<12} {member.status:<8} {target}")
    lines.extend(f"  not yet on the log: {publish_id}" for publish_id in status.unrecorded)
    return "\n".join(lines)


def format_convergence(convergence: Convergence) -> str:
    """Return on how many nodes a version is in force, and a line for each that lags."""
    members = convergence.in_force + len(convergence.behind) + len(convergence.silent)
    lines = [
        f"fleet: version {convergence.offset} in force on {convergence.in_force} of {members} nodes"
    ]
    lines.extend(f"  {node_id} holds an older version" for node_id in convergence.behind)
    lines.extend(f"  {node_id} did not answer" for node_id in convergence.silent)
    return "\n".join(lines)
