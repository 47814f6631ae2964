"""The records that nodes append to the log for a rollout's steps and its end.

Publish ids depend on the rollout and the event alone, so an event that two nodes record, or that
one node retries, takes effect once.
"""

import typing as t

from bulrushflow.configuration import FinishRollout
from bulrushflow.configuration import Record
from bulrushflow.configuration import RecordRolloutStep
from bulrushflow.configuration import Rollout
from bulrushflow.rollouts import SharedRollout

RECORD_SCHEMA = 1


class Submitter(t.Protocol):
    """Appends records to the log."""

    def submit(self, record: Record, is_current: t.Callable[[], bool] | None = None) -> None:
        """Queue a record for appending, which is dropped once ``is_current`` returns false."""


class RolloutRecords:
    """Submits the records of a rollout's steps and end."""

    __slots__ = ("_own_id", "_recorder")

    def __init__(self, recorder: Submitter, own_id: str) -> None:
        self._recorder = recorder
        self._own_id = own_id

    def record_step(self, rollout: Rollout, share_permille: int, rule: str, evidence: str) -> None:
        """Record that the traffic share was raised."""
        self._step(rollout, f"step/{share_permille}", share_permille, rule, evidence)

    def record_at_risk(
        self, rollout: Rollout, share_permille: int, reason: str, evidence: str
    ) -> None:
        """Record, once per rollout, that its deadline may not be met safely."""
        self._step(rollout, "at-risk", share_permille, f"at risk: {reason}", evidence)

    def record_rollback(self, rollout: Rollout, state: SharedRollout) -> None:
        """Record a rollback; its reason contains the figures of the evidence."""
        self._recorder.submit(
            FinishRollout(
                RECORD_SCHEMA,
                f"{rollout.move_id}/taken-back",
                rollout.move_id,
                True,
                state.reason,
                f"recorded by {self._own_id}",
                state.decided_by,
            )
        )

    def record_completion(
        self, rollout: Rollout, rule: str, evidence: str, is_current: t.Callable[[], bool]
    ) -> None:
        """Record that the rollout is completed, unless ``is_current`` returns false first."""
        record = FinishRollout(
            RECORD_SCHEMA,
            f"{rollout.move_id}/done",
            rollout.move_id,
            False,
            rule,
            evidence,
            self._own_id,
        )
        self._recorder.submit(record, is_current)

    def _step(
        self, rollout: Rollout, event: str, share_permille: int, rule: str, evidence: str
    ) -> None:
        self._recorder.submit(
            RecordRolloutStep(
                RECORD_SCHEMA,
                f"{rollout.move_id}/{event}",
                rollout.move_id,
                share_permille,
                rule,
                evidence,
                self._own_id,
            )
        )
