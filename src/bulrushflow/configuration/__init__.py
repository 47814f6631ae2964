"""Event-sourced configuration: records, the pure fold to the state, snapshots and the store."""

from bulrushflow.configuration.fold import MAX_VERDICTS
from bulrushflow.configuration.fold import FoldResult
from bulrushflow.configuration.fold import LogRecord
from bulrushflow.configuration.fold import fold
from bulrushflow.configuration.fold import fold_records
from bulrushflow.configuration.freshness import Freshness
from bulrushflow.configuration.freshness import Peer
from bulrushflow.configuration.model import EMPTY_CONFIGURATION
from bulrushflow.configuration.model import Configuration
from bulrushflow.configuration.model import Rollout
from bulrushflow.configuration.model import RolloutStatus
from bulrushflow.configuration.model import RolloutStep
from bulrushflow.configuration.model import Route
from bulrushflow.configuration.model import Service
from bulrushflow.configuration.model import SnapshotMark
from bulrushflow.configuration.model import Verdict
from bulrushflow.configuration.model import decode_configuration
from bulrushflow.configuration.model import digest
from bulrushflow.configuration.model import encode_configuration
from bulrushflow.configuration.records import BaseRecord
from bulrushflow.configuration.records import Configure
from bulrushflow.configuration.records import EnableSchema
from bulrushflow.configuration.records import FinishRollout
from bulrushflow.configuration.records import RecordHeader
from bulrushflow.configuration.records import RecordRolloutStep
from bulrushflow.configuration.records import RouteBody
from bulrushflow.configuration.records import ServiceBody
from bulrushflow.configuration.records import Snapshot
from bulrushflow.configuration.records import StartRollout
from bulrushflow.configuration.records import WithdrawRollout
from bulrushflow.configuration.records import encode_record
from bulrushflow.configuration.records import record_digest
from bulrushflow.configuration.schemas import SUPPORTED_SCHEMA
from bulrushflow.configuration.schemas import ConfigureV2
from bulrushflow.configuration.schemas import Record
from bulrushflow.configuration.schemas import RouteBodyV2
from bulrushflow.configuration.schemas import decode_header
from bulrushflow.configuration.schemas import decode_record
from bulrushflow.configuration.snapshots import SnapshotPolicy
from bulrushflow.configuration.snapshots import is_snapshot_due
from bulrushflow.configuration.snapshots import make_snapshot
from bulrushflow.configuration.snapshots import open_snapshot
from bulrushflow.configuration.store import ConfigurationStore

__all__ = [
    "EMPTY_CONFIGURATION",
    "MAX_VERDICTS",
    "SUPPORTED_SCHEMA",
    "BaseRecord",
    "Configuration",
    "ConfigurationStore",
    "Configure",
    "ConfigureV2",
    "EnableSchema",
    "FinishRollout",
    "FoldResult",
    "Freshness",
    "LogRecord",
    "Peer",
    "Record",
    "RecordHeader",
    "RecordRolloutStep",
    "Rollout",
    "RolloutStatus",
    "RolloutStep",
    "Route",
    "RouteBody",
    "RouteBodyV2",
    "Service",
    "ServiceBody",
    "Snapshot",
    "SnapshotMark",
    "SnapshotPolicy",
    "StartRollout",
    "Verdict",
    "WithdrawRollout",
    "decode_configuration",
    "decode_header",
    "decode_record",
    "digest",
    "encode_configuration",
    "encode_record",
    "fold",
    "fold_records",
    "is_snapshot_due",
    "make_snapshot",
    "open_snapshot",
    "record_digest",
]
