"""Access to the platform's append-only log: reading, appending, snapshots and recovery."""

from bulrushflow.recording.http import HttpLog
from bulrushflow.recording.log import CONFIGURATION_STREAM
from bulrushflow.recording.log import SEED_RECORD_STREAM
from bulrushflow.recording.log import Log
from bulrushflow.recording.log import LogError
from bulrushflow.recording.log import LogErrorKind
from bulrushflow.recording.log import LogPage
from bulrushflow.recording.recorder import Recorder
from bulrushflow.recording.recovery import Recovery
from bulrushflow.recording.recovery import recover_from_snapshot
from bulrushflow.recording.snapshots import SnapshotWriter

__all__ = [
    "CONFIGURATION_STREAM",
    "SEED_RECORD_STREAM",
    "HttpLog",
    "Log",
    "LogError",
    "LogErrorKind",
    "LogPage",
    "Recorder",
    "Recovery",
    "SnapshotWriter",
    "recover_from_snapshot",
]
