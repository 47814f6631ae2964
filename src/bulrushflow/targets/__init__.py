"""The node's own target: its announcements, admission control, and calls to it."""

from bulrushflow.targets.admission_controller import AdmissionController
from bulrushflow.targets.announcement import Announcement
from bulrushflow.targets.client import TargetClient
from bulrushflow.targets.server import target_application

__all__ = ["AdmissionController", "Announcement", "TargetClient", "target_application"]
