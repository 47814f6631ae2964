"""Rollouts of new versions: shared state, evidence, analysis and steps, without I/O."""

from bulrushflow.rollouts.analysis import AnalysisOutcome
from bulrushflow.rollouts.analysis import AnalysisResult
from bulrushflow.rollouts.analysis import CanaryAnalysis
from bulrushflow.rollouts.controller import RolloutController
from bulrushflow.rollouts.controller import RolloutTimes
from bulrushflow.rollouts.evidence import Evidence
from bulrushflow.rollouts.evidence import FailureKind
from bulrushflow.rollouts.evidence import RouteCounts
from bulrushflow.rollouts.evidence import VersionRoute
from bulrushflow.rollouts.evidence import empty_buckets
from bulrushflow.rollouts.evidence_store import EvidenceStore
from bulrushflow.rollouts.exposure import ExposureBudget
from bulrushflow.rollouts.exposure import ExposureLimits
from bulrushflow.rollouts.schedule import RolloutSchedule
from bulrushflow.rollouts.shared import SharedRollout
from bulrushflow.rollouts.shared import SharedRollouts
from bulrushflow.rollouts.steps import StepDecision
from bulrushflow.rollouts.steps import decide_step
from bulrushflow.rollouts.versions import ServiceVersions
from bulrushflow.rollouts.warmup import ColdPeriod
from bulrushflow.rollouts.warmup import WarmUp
from bulrushflow.rollouts.watch import CompletedRolloutWatch

__all__ = [
    "AnalysisOutcome",
    "AnalysisResult",
    "CanaryAnalysis",
    "ColdPeriod",
    "CompletedRolloutWatch",
    "Evidence",
    "EvidenceStore",
    "ExposureBudget",
    "ExposureLimits",
    "FailureKind",
    "RolloutController",
    "RolloutSchedule",
    "RolloutTimes",
    "RouteCounts",
    "ServiceVersions",
    "SharedRollout",
    "SharedRollouts",
    "StepDecision",
    "VersionRoute",
    "WarmUp",
    "decide_step",
    "empty_buckets",
]
