"""Gauges of a node's state, which are set at regular times rather than at each change."""

import asyncio
import typing as t

from bulrushflow.metrics import Metrics
from bulrushflow.sidecar.calls.admission_controller import AdmissionController
from bulrushflow.sidecar.records.relay import RecordRelay
from bulrushflow.sidecar.records.replica import Replica


def observe_target(metrics: Metrics, admission: AdmissionController) -> None:
    """Record the limits on the calls to the own target, and whether it leaves."""
    entry = admission.entry
    metrics.observe_target(admission.limit_per_s, entry is not None and entry.leaving)
    limit = admission.warmth.limit
    is_cold = limit.per_s(asyncio.get_running_loop().time()) is not None
    metrics.observe_cold_target(is_cold, limit.sent, limit.refused)


def observe_records(metrics: Metrics, replicas: t.Iterable[Replica], relay: RecordRelay) -> None:
    """Record how current the store's records are, and where this node has them from."""
    for replica in replicas:
        metrics.observe_replica(
            replica.topic, replica.records_behind, replica.connected, replica.confirmed_s_ago
        )
    metrics.observe_record_source(relay.source is None)
