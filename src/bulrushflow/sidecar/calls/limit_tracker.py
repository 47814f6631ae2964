"""The rate limit that the target beside this node names in its responses."""

from bulrushflow.sidecar.calls.target_signals import TargetSignals
from bulrushflow.sidecar.decisions import DecisionLog


class LimitTracker:
    """Keeps the limit of one target process, and counts the calls sent to it under the limit.

    Before the first response, as after a restart of this node, it takes over what the target said
    to other nodes.

    The limit holds until the response to a call that was sent after the limit was last named
    doesn't name it. Responses to earlier calls may have been on their way before.

    :param target_id: target that the log lines name.
    """

    __slots__ = (
        "_decisions",
        "_named_at",
        "_repeated",
        "_responded",
        "_sent",
        "_since",
        "_target_id",
        "limit_per_s",
    )

    def __init__(self, target_id: str, decisions: DecisionLog) -> None:
        self._target_id = target_id
        self._decisions = decisions
        self.limit_per_s: float | None = None
        """Calls per second that the target accepts; ``None`` without a limit."""
        self._named_at = 0.0
        self._since = 0.0
        """Time at which the limit took its value."""
        self._sent = 0
        """Calls sent to the target since then."""
        self._repeated = 0
        """Those of them that another target may have received before."""
        self._responded = False

    def count_sent(self, repeated: bool) -> None:
        """Count a call that is sent to the target."""
        self._sent += 1
        self._repeated += repeated

    def take_over(self, limit_per_s: float, now: float) -> bool:
        """Apply the limit that the target named to another node; return whether it changed."""
        if self._responded or self.limit_per_s is not None:
            return False
        self._named_at = now
        self._change(limit_per_s, now, "another node")
        return True

    def apply(self, signals: TargetSignals, sent_at: float, now: float) -> bool:
        """Apply the signals in a response; return whether the limit changed.

        :param sent_at: event loop time at which the call was sent.
        """
        self._responded = True
        if signals.invalid_limit is not None:
            self._decisions.event(
                "target limit unreadable", target=self._target_id, text=signals.invalid_limit[:64]
            )
            return False
        if signals.limit_per_s is not None:
            self._named_at = now
        elif self.limit_per_s is None or sent_at < self._named_at:
            return False
        if signals.limit_per_s == self.limit_per_s:
            return False
        self._change(signals.limit_per_s, now, "a response")
        return True

    def _change(self, limit_per_s: float | None, now: float, source: str) -> None:
        self._decisions.event(
            "target limit",
            target=self._target_id,
            limit_per_s=limit_per_s,
            before=self.limit_per_s,
            source=source,
            seconds=round(now - self._since, 3) if self._since else None,
            sent=self._sent,
            repeated=self._repeated,
        )
        self.limit_per_s = limit_per_s
        self._since = now
        self._sent = 0
        self._repeated = 0
