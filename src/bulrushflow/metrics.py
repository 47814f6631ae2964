"""The node's Prometheus metrics, with a bound on the number of tenant labels."""

import math
import typing as t

from aiohttp import web
from aioprometheus import Counter
from aioprometheus import Gauge
from aioprometheus import Histogram
from aioprometheus import render
from aioprometheus.collectors import Registry

OTHER_TENANT = "other"
MAX_ORGANISATION_LABELS = 128
LATENCY_BUCKETS_S = [0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 10]


class TenantLabels:
    """Maps tenants to label values; tenants beyond the limit share :data:`OTHER_TENANT`."""

    __slots__ = ("_limit", "_seen")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._seen: set[str] = set()

    def label(self, tenant: str) -> str:
        """Return the label value for ``tenant``."""
        if tenant in self._seen:
            return tenant
        if len(self._seen) >= self._limit:
            return OTHER_TENANT
        self._seen.add(tenant)
        return tenant


class Metrics:
    """The node's metrics in a separate registry.

    :param max_tenant_labels: tenants with a label value of their own.
    """

    __slots__ = (
        "_histogram_by_labels",
        "_organisations",
        "_tenants",
        "admission",
        "allowance_refusals",
        "allowance_reports",
        "applied_offset",
        "call_seconds",
        "calls",
        "chunked_responses",
        "cold_calls",
        "cold_refusals",
        "configuration_rejected",
        "configuration_version",
        "control_bytes",
        "early_refusals",
        "evacuated_data_centres",
        "evacuation_refusals",
        "held_response_bytes",
        "key_refusals",
        "link_backlog_seconds",
        "link_refusals",
        "log_behind",
        "members",
        "quarantined_requests",
        "reads_store",
        "ready",
        "registry",
        "retries",
        "sheds",
        "store_confirmed_seconds",
        "store_connected",
        "store_records_behind",
        "target_cold",
        "target_leaving",
        "target_limit",
        "unproven_calls",
        "unrecorded",
        "withdrawn_versions",
    )

    def __init__(self, max_tenant_labels: int) -> None:
        self.registry = Registry()
        self._histogram_by_labels: dict[tuple[str, str], t.Any] = {}
        self._tenants = TenantLabels(max_tenant_labels)
        self._organisations = TenantLabels(MAX_ORGANISATION_LABELS)
        self.calls = self._counter("bulrushflow_calls_total", "Calls by outcome")
        self.retries = self._counter("bulrushflow_retries_total", "Attempts beyond the first")
        self.sheds = self._counter(
            "bulrushflow_sheds_total", "Calls refused as not run in front of the target"
        )
        self.key_refusals = self._counter(
            "bulrushflow_key_refusals_total",
            "Requests refused for a missing or unknown key, by reason and status",
        )
        self.chunked_responses = self._counter(
            "bulrushflow_chunked_responses_total",
            "Large responses sent to other nodes in chunks, by whether they were sent to their end",
        )
        self.link_refusals = self._counter(
            "bulrushflow_link_refusals_total",
            "Calls of other nodes refused as not run because this node's link could not deliver "
            "their response in time",
        )
        self.early_refusals = self._counter(
            "bulrushflow_early_refusals_total",
            "Calls refused without an attempt, since no target was expected to answer them in time",
        )
        self.allowance_refusals = self._counter(
            "bulrushflow_allowance_refusals_total",
            "Requests refused beyond their organisation's allowance, by organisation and reason",
        )
        self.allowance_reports = self._counter(
            "bulrushflow_allowance_reports_total",
            "Messages about allowances to other nodes, by outcome",
        )
        self.control_bytes = self._counter(
            "bulrushflow_control_bytes_total", "Control bytes sent and received"
        )
        self.log_behind = self._counter(
            "bulrushflow_log_behind_total",
            "Reads that showed the log to end below the version held",
        )
        self.applied_offset = Gauge(
            "bulrushflow_applied_offset", "Configuration version in force", registry=self.registry
        )
        self.configuration_version = Gauge(
            "bulrushflow_configuration_version",
            "Version of the operator's configuration in force on a sidecar; 0 for none",
            registry=self.registry,
        )
        self.configuration_rejected = Gauge(
            "bulrushflow_configuration_rejected",
            "1 if the newest configuration was rejected as invalid, so an older one or none is in "
            "force, else 0",
            registry=self.registry,
        )
        self.members = Gauge("bulrushflow_members", "Members by status", registry=self.registry)
        self.ready = Gauge(
            "bulrushflow_ready", "1 while the node takes calls, else 0", registry=self.registry
        )
        self.unrecorded = Gauge(
            "bulrushflow_unrecorded", "Own records not on the log yet", registry=self.registry
        )
        self.store_records_behind = Gauge(
            "bulrushflow_store_records_behind",
            "Records of a topic that other nodes have read and this node has not",
            registry=self.registry,
        )
        self.store_connected = Gauge(
            "bulrushflow_store_connected",
            "1 if the latest read of a topic succeeded, else 0",
            registry=self.registry,
        )
        self.store_confirmed_seconds = Gauge(
            "bulrushflow_store_confirmed_seconds",
            "Seconds since the store last confirmed the state of a topic, directly or through the "
            "node that the records come from; +Inf before the first time",
            registry=self.registry,
        )
        self.reads_store = Gauge(
            "bulrushflow_reads_store",
            "1 while this node reads the store itself, 0 while another node sends it the records",
            registry=self.registry,
        )
        self.target_limit = Gauge(
            "bulrushflow_target_limit_per_s",
            "Calls per second that this node's target says it accepts; +Inf without a limit",
            registry=self.registry,
        )
        self.target_leaving = Gauge(
            "bulrushflow_target_leaving",
            "1 if this node's target said in a response that it leaves, else 0",
            registry=self.registry,
        )
        self.target_cold = Gauge(
            "bulrushflow_target_cold",
            "1 while the calls to this node's target are limited because it is cold, else 0",
            registry=self.registry,
        )
        self.cold_calls = self._counter(
            "bulrushflow_cold_calls_total", "Calls sent to this node's target while it was cold"
        )
        self.cold_refusals = self._counter(
            "bulrushflow_cold_refusals_total",
            "Calls refused because the limit of this node's cold target admits them too late",
        )
        self.quarantined_requests = Gauge(
            "bulrushflow_quarantined_requests",
            "Requests that are refused because they crash the targets that run them",
            registry=self.registry,
        )
        self.evacuated_data_centres = Gauge(
            "bulrushflow_evacuated_data_centres",
            "Data centres that get no calls by the operator's orders that this node has read",
            registry=self.registry,
        )
        self.evacuation_refusals = self._counter(
            "bulrushflow_evacuation_refusals_total",
            "Calls refused because of an evacuation, at the node that received them or at the "
            "target's, there also those before it had read the operator's orders",
        )
        self.link_backlog_seconds = Gauge(
            "bulrushflow_link_backlog_seconds",
            "Time that this node's link needs for the responses that it has accepted; absent if "
            "the settings don't state its bandwidth",
            registry=self.registry,
        )
        self.held_response_bytes = Gauge(
            "bulrushflow_held_response_bytes",
            "Bytes of large responses that the target has delivered and the link has not",
            registry=self.registry,
        )
        self.withdrawn_versions = Gauge(
            "bulrushflow_withdrawn_versions",
            "Versions of this node's service that were rolled back and not ordered since",
            registry=self.registry,
        )
        self.unproven_calls = Gauge(
            "bulrushflow_unproven_calls",
            "Calls of the ordered version that this node has sent to its target during the rollout",
            registry=self.registry,
        )
        self.admission = Gauge(
            "bulrushflow_admission", "Calls at the target by state", registry=self.registry
        )
        self.call_seconds = Histogram(
            "bulrushflow_call_seconds",
            "Time from a call's arrival to its answer",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )

    def observe_call(self, tenant: str, service: str, outcome: str, seconds: float) -> None:
        """Record a finished call's outcome and its duration in seconds."""
        label = self._tenants.label(tenant)
        self.calls.inc({"tenant": label, "service": service, "outcome": outcome})
        histogram = self._histogram_by_labels.get((label, service))
        if histogram is not None:
            histogram.observe(seconds)
            return
        # The library encodes the labels at each observation, so the histogram is looked up once.
        labels = {"tenant": label, "service": service}
        self.call_seconds.observe(labels, seconds)
        self._histogram_by_labels[label, service] = self.call_seconds.get_value(labels)

    def observe_admission(self, queued: int, active: int, lingering: int, capacity: int) -> None:
        """Record the numbers of calls at this node's target, and its slots."""
        self.admission.set({"state": "queued"}, queued)
        self.admission.set({"state": "active"}, active)
        self.admission.set({"state": "lingering"}, lingering)
        self.admission.set({"state": "capacity"}, capacity)

    def observe_configuration(self, version: int, rejected: bool) -> None:
        """Record the configuration in force, and whether the newest one was rejected."""
        self.configuration_version.set({}, version)
        self.configuration_rejected.set({}, int(rejected))

    def observe_replica(
        self, topic: str, records_behind: int, connected: bool, confirmed_s_ago: float
    ) -> None:
        """Record how far the replica of a store topic lags, and how old what it knows may be."""
        self.store_records_behind.set({"topic": topic}, records_behind)
        self.store_connected.set({"topic": topic}, int(connected))
        self.store_confirmed_seconds.set({"topic": topic}, confirmed_s_ago)

    def observe_record_source(self, reads_store: bool) -> None:
        """Record whether this node reads the store itself."""
        self.reads_store.set({}, int(reads_store))

    def observe_link(self, backlog_s: float | None, held_bytes: int) -> None:
        """Record what this node's link has to send to other nodes."""
        if backlog_s is not None:
            self.link_backlog_seconds.set({}, round(backlog_s, 3))
        self.held_response_bytes.set({}, held_bytes)

    def count_transfer(self, complete: bool) -> None:
        """Count a response that was sent in chunks."""
        self.chunked_responses.inc({"outcome": "complete" if complete else "stopped"})

    def observe_target(self, limit_per_s: float | None, leaving: bool) -> None:
        """Record the limit that this node's target names, and whether it announced its leave."""
        self.target_leaving.set({}, int(leaving))
        self.target_limit.set({}, math.inf if limit_per_s is None else limit_per_s)

    def observe_evacuations(self, data_centre_count: int, refused_at_target: int) -> None:
        """Record the evacuated data centres, and the calls refused so far beside the target."""
        self.evacuated_data_centres.set({}, data_centre_count)
        self.evacuation_refusals.set({"at": "target"}, refused_at_target)

    def count_key_refusal(self, reason: str, status: int) -> None:
        """Count a request that was refused for its key."""
        self.key_refusals.inc({"reason": reason, "status": str(status)})

    def observe_cold_target(self, cold: bool, sent: int, refused: int) -> None:
        """Record whether this node's target is cold, and the calls sent and refused so far."""
        self.target_cold.set({}, int(cold))
        self.cold_calls.set({}, sent)
        self.cold_refusals.set({}, refused)

    def count_allowance_refusal(self, organisation: str, reason: str) -> None:
        """Count a request beyond its organisation's allowance."""
        label = self._organisations.label(organisation)
        self.allowance_refusals.inc({"organisation": label, "reason": reason})

    def count_allowance_report(self, outcome: str) -> None:
        """Count a message about allowances, by its outcome."""
        self.allowance_reports.inc({"outcome": outcome})

    def observe_quarantine(self, count: int) -> None:
        """Record how many requests are quarantined."""
        self.quarantined_requests.set({}, count)

    def observe_versions(self, withdrawn: int, unproven_calls: int) -> None:
        """Record the withdrawn versions, and the calls of the version under test, of a service."""
        self.withdrawn_versions.set({}, withdrawn)
        self.unproven_calls.set({}, unproven_calls)

    def count_control_bytes(self, direction: str, kind: str, count: int) -> None:
        """Count bytes of control messages.

        :param direction: ``sent`` or ``received``.
        :param kind: the message's purpose, such as ``probe``.
        """
        self.control_bytes.add({"direction": direction, "kind": kind}, count)

    async def serve(self, request: web.BaseRequest) -> web.Response:
        """Respond with the metrics in Prometheus's text format."""
        body, headers = render(self.registry, request.headers.getall("accept", []))
        return web.Response(body=body, headers=headers)

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(name, doc, registry=self.registry)


__all__ = ["OTHER_TENANT", "Metrics", "TenantLabels"]
