"""Text output of rollouts, node status and convergence for operators."""

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
    """Poll until a rollout has a final record on the log; an error after ``timeout_s`` seconds."""
    deadline = time.monotonic() + timeout_s
    while True:
        result = await client.get(f"/moves/{move_id}", RolloutReport)
        match result:
            case Ok(report) if report.move.status is not RolloutStatus.ACTIVE:
                return Ok(report)
            case _:
                pass
        if time.monotonic() >= deadline:
            return Err(f"move {move_id} has no final record on the log after {timeout_s:.0f} s")
        await asyncio.sleep(POLL_S)


def format_rollout(report: RolloutReport) -> str:
    """Return a rollout's report as text, one line per event."""
    rollout = report.move
    lines = [
        f"move {rollout.move_id}: service {rollout.service} from {rollout.from_version} "
        f"to {rollout.to_version}: {rollout.status}",
        f"  {format_time(rollout.stated_at_ms)} offset {rollout.offset}: "
        f"stated by {rollout.operator}, to finish by {format_time(rollout.finish_by_ms)}",
    ]
    for step in rollout.steps:
        lines.append(
            f"  {format_time(step.at_ms)} offset {step.offset}: {step.share_permille / 10:g}% "
            f"({step.rule}; {step.evidence}) by {step.node_id}"
        )
    if rollout.status is not RolloutStatus.ACTIVE:
        lines.append(
            f"  {format_time(rollout.finished_at_ms)} offset {rollout.finished_offset}: "
            f"{rollout.status} ({rollout.reason}; {rollout.evidence}) by {rollout.decided_by}"
        )
    elif report.taken_back:
        lines.append(
            f"  not yet on the log: taken back ({report.taken_back_reason}) "
            f"by {report.decided_by}"
        )
    lines.extend(f"  not yet on the log: {publish_id}" for publish_id in report.unrecorded)
    return "\n".join(lines)


def format_status(status: NodeStatus) -> str:
    """Return a node's status as text, one line per member."""
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
    """Return on how many nodes a version is in force, and one line per node that lags."""
    members = convergence.in_force + len(convergence.behind) + len(convergence.silent)
    lines = [
        f"fleet: version {convergence.offset} in force on {convergence.in_force} of {members} nodes"
    ]
    lines.extend(f"  {node_id} has an older version" for node_id in convergence.behind)
    lines.extend(f"  {node_id} did not answer" for node_id in convergence.silent)
    return "\n".join(lines)
