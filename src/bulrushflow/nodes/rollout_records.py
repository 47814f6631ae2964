"""The records by which the nodes account for a move on the log.

Publish ids depend on the move and the event alone, so two nodes that record the same event, or one
that retries, add one entry to the account.
"""

import typing as t

from bulrushflow.configuration import FinishRollout
from bulrushflow.configuration import Record
from bulrushflow.configuration import RecordRolloutStep
from bulrushflow.configuration import Rollout
from bulrushflow.rollouts import SharedRollout

RECORD_SCHEMA = 1


class Submitter(t.Protocol):
    """What brings records to the log."""

    def submit(self, record: Record, is_current: t.Callable[[], bool] | None = None) -> None:
        """Have a record appended, as long as it is current."""


class RolloutRecords:
    """Submits a move's steps and final records."""

    __slots__ = ("_own_id", "_recorder")

    def __init__(self, recorder: Submitter, own_id: str) -> None:
        self._recorder = recorder
        self._own_id = own_id

    def record_step(self, rollout: Rollout, share_permille: int, rule: str, evidence: str) -> None:
        """Record that the share was raised."""
        self._step(rollout, f"step/{share_permille}", share_permille, rule, evidence)

    def record_at_risk(
        self, rollout: Rollout, share_permille: int, reason: str, evidence: str
    ) -> None:
        """Record, once a move, that its deadline may not be met safely."""
        self._step(rollout, "at-risk", share_permille, f"at risk: {reason}", evidence)

    def record_rollback(self, rollout: Rollout, state: SharedRollout) -> None:
        """Record the take-back that the nodes agreed on; its reason holds the figures."""
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
        """Record that the move is done, as long as ``is_current`` says that it still is."""
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
