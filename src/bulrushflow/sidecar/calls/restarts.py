"""Recognition of a target that started again with an earlier start than the known one.

Starts are times of day, which order announcements as long as the clock isn't set back. A target
that starts again under its id after that seems to be one that ended before. All times are in
seconds of one monotonic clock.
"""

from bulrushflow.sidecar.model import TargetEntry

CONFIRMATIONS = 3
"""Announcements by which a process shows that it lives. Single ones are delayed."""
SILENCE_S = 2.0
"""Time for which the known process must have announced nothing: longer than the interval of
announcements, and than delayed ones of an ended process take to arrive one after the other."""


class RestartDetector:
    """Follows the announcements of a process that seems to have ended.

    A process is confirmed if it announces itself again and again, with rising sequences, while the
    known one is silent.
    """

    __slots__ = ("_candidate", "_confirmations", "_known_at", "_replaced")

    def __init__(self) -> None:
        self._candidate: TargetEntry | None = None
        self._confirmations = 0
        self._known_at = float("-inf")
        """When the known process announced itself last."""
        self._replaced: tuple[str, int] | None = None
        """Process that was replaced by one with an earlier start."""

    def seems_ended(self, entry: TargetEntry, known: TargetEntry) -> bool:
        """Return whether an entry is of an ended process of the known target, by its start."""
        if entry.target_id != known.target_id or entry.process == known.process:
            return False
        return entry.incarnation < known.incarnation or entry.process == self._replaced

    def confirm(self, entry: TargetEntry, known: TargetEntry, now: float) -> bool:
        """Count an announcement of such a process; return whether it is the one that lives."""
        candidate = self._candidate
        if candidate is None or candidate.process != entry.process:
            self._confirmations = 1
        elif entry.sequence > candidate.sequence:
            self._confirmations += 1
        else:
            return False
        self._candidate = entry
        if self._confirmations < CONFIRMATIONS or now - self._known_at < SILENCE_S:
            return False
        self._replaced = known.process
        return True

    def note_known(self, now: float) -> None:
        """Note an announcement of the known process."""
        self._known_at = now
        self._candidate = None
