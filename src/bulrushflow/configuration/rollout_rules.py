"""Rules for records that start rollouts, add steps to them and end them."""

import msgspec
from result import Err
from result import Ok
from result import Result

from bulrushflow.configuration.model import Configuration
from bulrushflow.configuration.model import Rollout
from bulrushflow.configuration.model import RolloutStatus
from bulrushflow.configuration.model import RolloutStep
from bulrushflow.configuration.model import Service
from bulrushflow.configuration.records import FinishRollout
from bulrushflow.configuration.records import RecordRolloutStep
from bulrushflow.configuration.records import StartRollout
from bulrushflow.configuration.records import WithdrawRollout

MAX_FINISHED_ROLLOUTS = 64
"""Finished rollouts that are kept in the state."""


def start(
    configuration: Configuration, offset: int, at_ms: int, record: StartRollout
) -> Result[Configuration, str]:
    """Start a rollout, unless the service has an active one or is at the version already."""
    known = configuration.moves_by_id.get(record.publish_id)
    if known:
        return Err(f"move {known.move_id!r} was stated at offset {known.offset} already")
    service = configuration.services_by_name.get(record.service)
    if service is None:
        return Err(f"unknown service {record.service!r}")
    active = configuration.active_rollout(record.service)
    if active:
        return Err(
            f"service {record.service!r} has the active move {active.move_id!r}, stated at offset "
            f"{active.offset} by {active.operator}"
        )
    if service.version == record.to_version:
        return Err(f"service {record.service!r} is at version {record.to_version!r} already")
    if record.finish_by_ms <= at_ms:
        return Err("the time to finish by has passed")
    rollout = Rollout(
        move_id=record.publish_id,
        offset=offset,
        service=record.service,
        from_version=service.version,
        to_version=record.to_version,
        stated_at_ms=at_ms,
        finish_by_ms=record.finish_by_ms,
        operator=record.operator,
    )
    return Ok(_with_rollout(configuration, rollout))


def _with_rollout(configuration: Configuration, rollout: Rollout) -> Configuration:
    rollouts = {**configuration.moves_by_id, rollout.move_id: rollout}
    finished = [r for r in rollouts.values() if r.status is not RolloutStatus.ACTIVE]
    for old in finished[: max(0, len(finished) - MAX_FINISHED_ROLLOUTS)]:
        del rollouts[old.move_id]
    return msgspec.structs.replace(configuration, moves_by_id=rollouts)


def _active_rollout(configuration: Configuration, move_id: str) -> Result[Rollout, str]:
    rollout = configuration.moves_by_id.get(move_id)
    if rollout is None:
        return Err(f"unknown move {move_id!r}")
    if rollout.status is not RolloutStatus.ACTIVE:
        return Err(
            f"move {move_id!r} is {rollout.status} already, at offset {rollout.finished_offset} "
            f"by {rollout.decided_by}"
        )
    return Ok(rollout)


def withdraw(
    configuration: Configuration, offset: int, at_ms: int, record: WithdrawRollout
) -> Result[Configuration, str]:
    """End an active rollout by an operator's order; the old version stays in force."""
    return _active_rollout(configuration, record.move_id).map(
        lambda rollout: _with_rollout(
            configuration,
            msgspec.structs.replace(
                rollout,
                status=RolloutStatus.WITHDRAWN,
                finished_at_ms=at_ms,
                finished_offset=offset,
                reason=record.reason or "withdrawn by an operator",
                decided_by=record.operator,
            ),
        )
    )


def step(
    configuration: Configuration, offset: int, at_ms: int, record: RecordRolloutStep
) -> Result[Configuration, str]:
    """Add a step to an active rollout."""
    entry = RolloutStep(
        offset, at_ms, record.share_permille, record.rule, record.evidence, record.node_id
    )
    return _active_rollout(configuration, record.move_id).map(
        lambda rollout: _with_rollout(
            configuration, msgspec.structs.replace(rollout, steps=(*rollout.steps, entry))
        )
    )


def finish(
    configuration: Configuration, offset: int, at_ms: int, record: FinishRollout
) -> Result[Configuration, str]:
    """End an active rollout as its driver decided; a completed one puts its version in force."""
    match _active_rollout(configuration, record.move_id):
        case Err(reason):
            return Err(reason)
        case Ok(rollout):
            pass
    finished = msgspec.structs.replace(
        rollout,
        status=RolloutStatus.ROLLED_BACK if record.taken_back else RolloutStatus.COMPLETED,
        finished_at_ms=at_ms,
        finished_offset=offset,
        reason=record.reason,
        evidence=record.evidence,
        decided_by=record.node_id,
    )
    changed = _with_rollout(configuration, finished)
    if record.taken_back:
        return Ok(changed)
    service = Service(rollout.service, rollout.to_version, offset)
    services = {**changed.services_by_name, rollout.service: service}
    return Ok(msgspec.structs.replace(changed, services_by_name=services))
