"""The sidecar process: wires its components together, and starts and stops them in order."""

import asyncio
import random

from loguru import logger
from mode import Service
from msgspec.structs import fields

from bulrushflow.metrics import Metrics
from bulrushflow.organisations import limits_by_organisation
from bulrushflow.overload import OVERLOAD_RULES
from bulrushflow.overload import PLAIN_RULES
from bulrushflow.overload import OriginLimits
from bulrushflow.placement import ColdStart
from bulrushflow.placement import LinkPacer
from bulrushflow.placement import WorkChoice
from bulrushflow.placement import cold_start
from bulrushflow.rollouts import ExposureLimits
from bulrushflow.sidecar.adapter import Adapter
from bulrushflow.sidecar.calls.admission_controller import AdmissionController
from bulrushflow.sidecar.calls.allowances import AllowanceService
from bulrushflow.sidecar.calls.balancer import Balancer
from bulrushflow.sidecar.calls.callers import CallerServer
from bulrushflow.sidecar.calls.dispatcher import Dispatcher
from bulrushflow.sidecar.calls.explanation import Explainer
from bulrushflow.sidecar.calls.forwarding import PeerForwarder
from bulrushflow.sidecar.calls.quarantine import Quarantine
from bulrushflow.sidecar.calls.retry_budget import TargetRetryBudget
from bulrushflow.sidecar.calls.target_signals import SignalReader
from bulrushflow.sidecar.calls.transfers import ResponseTransfers
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.diagnostics import diagnostics_server
from bulrushflow.sidecar.endpoints import AnnouncementChecks
from bulrushflow.sidecar.endpoints import ReadinessReport
from bulrushflow.sidecar.endpoints import announcement_application
from bulrushflow.sidecar.endpoints import readiness_application
from bulrushflow.sidecar.evacuations import EvacuationOrders
from bulrushflow.sidecar.listeners import Listeners
from bulrushflow.sidecar.memory import CHECK_PERIOD_S as MEMORY_CHECK_S
from bulrushflow.sidecar.memory import MemoryWatch
from bulrushflow.sidecar.memory import resident_bytes
from bulrushflow.sidecar.model import NodeEntry
from bulrushflow.sidecar.model import RolloutStatus
from bulrushflow.sidecar.model import Routing
from bulrushflow.sidecar.model import TargetEntry
from bulrushflow.sidecar.operator_orders import OperatorOrders
from bulrushflow.sidecar.own_records import OwnRecordReconciler
from bulrushflow.sidecar.records.codec import node_key
from bulrushflow.sidecar.records.directory import Directory
from bulrushflow.sidecar.records.feed import RecordFeed
from bulrushflow.sidecar.records.freshness import FreshnessBound
from bulrushflow.sidecar.records.handlers import NodeEntryHandler
from bulrushflow.sidecar.records.handlers import RolloutStatusHandler
from bulrushflow.sidecar.records.registration import Registration
from bulrushflow.sidecar.records.replica import Replica
from bulrushflow.sidecar.records.storage import Store
from bulrushflow.sidecar.records.upstreams import Upstreams
from bulrushflow.sidecar.rollouts.call_evidence import CallEvidence
from bulrushflow.sidecar.rollouts.driver import RolloutDriver
from bulrushflow.sidecar.rollouts.statuses import StatusLog
from bulrushflow.sidecar.rollouts.tracker import Rollouts
from bulrushflow.sidecar.settings import Bounds
from bulrushflow.sidecar.settings import Endpoint
from bulrushflow.sidecar.settings import SidecarSettings
from bulrushflow.sidecar.startup import StartupReads
from bulrushflow.sidecar.state_metrics import observe_records
from bulrushflow.sidecar.state_metrics import observe_target
from bulrushflow.timers import SystemClock
from bulrushflow.timers import Timers
from bulrushflow.wire.links import Links

MAX_ROUTE_LABELS = 64
RETRY_BUDGET_UPDATE_S = 0.5
STATE_METRICS_S = 1.0
READINESS_PROPAGATION_S = 2.8
"""Time within which callers see that a stopping node isn't ready; until then it serves calls."""
SHUTDOWN_MARGIN_S = 0.6
"""Time reserved before the kill for closing connections."""
ANSWER_MARGIN_S = 0.1
"""Time before the end of the drain by which the callers' calls are answered."""
DRAIN_POLL_S = 0.05
DEFAULT_LINK_MBPS = 1.0
"""Bandwidth by which a node whose settings don't state it is ranked among others."""


class Sidecar(Service):
    """One sidecar process, constructed from checked settings."""

    def __init__(self, settings: SidecarSettings, store: Store, adapter: Adapter) -> None:
        super().__init__()
        self.settings = settings
        self._adapter = adapter
        self._store = store
        self._clock = SystemClock()
        self._rng = random.Random()
        self._decisions = DecisionLog()
        self._metrics = Metrics(MAX_ROUTE_LABELS)
        self._own_node_key = node_key(settings.address)
        self._stopping = False
        self.listeners = Listeners()
        self.timers = Timers(self._rng)
        self._pacer = LinkPacer(settings.link_mbps) if settings.link_mbps else None
        self._links = Links(settings.address, settings.peer_port, self.timers, self._pacer)
        self.directory = Directory()
        self._rollouts = Rollouts(
            settings.node_id,
            self._clock.wall_ms(),
            self._decisions,
            self._rng,
            _exposure_limits(settings.bounds),
        )
        self._registration = Registration(store, adapter.topics.nodes, self._decisions, self._rng)
        bounds = settings.bounds
        self._retry_budget = TargetRetryBudget(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s
        )
        self._quarantine = Quarantine(
            settings.node_id,
            lambda: self._publish_target(self._admission.entry),
            self._decisions,
            self._clock,
        )
        self._evacuations = EvacuationOrders(
            lambda: self.settings.data_centre,
            self.directory,
            lambda: self._admission,
            self._decisions,
            self._clock,
        )
        self._orders = OperatorOrders(
            self._rollouts,
            self._evacuations,
            lambda: self.records.source,
            lambda: self.records.orders_age_s(),
            self._apply_configuration,
            self._decisions,
        )
        startup = StartupReads(
            lambda: {
                "operator's orders": self.records.orders,
                "rollout statuses": self.records.statuses,
            },
            self._clock,
        )
        evidence = CallEvidence(
            self._rollouts,
            lambda: self._admission.entry,
            lambda: self._callers.outcomes.last_failure_at,
            self._clock,
        )
        self._admission = AdmissionController(
            adapter.header_names,
            self._rollouts.is_forbidden,
            evidence.record_sent,
            evidence.record_result,
            self._publish_target,
            self._retry_budget,
            self._quarantine,
            self._decisions,
            self._clock,
            lambda: startup.suspension() or self._evacuations.suspension(),
            OVERLOAD_RULES if settings.limits_waits else PLAIN_RULES,
            self._cold_start,
            settings.places_by_work,
            startup.wait,
        )
        self.records = self._build_records(adapter, store)
        self._transfers = ResponseTransfers(self._pacer, self._metrics, self._decisions)
        self._forwarder = PeerForwarder(
            self._links,
            self._admission,
            self.records.orders,
            self.directory.is_current,
            self._transfers,
            self._decisions,
        )
        limits = OriginLimits(self._rng) if settings.limits_waits else None
        work_choice = WorkChoice(settings.data_centre, self._rng, self._clock.wall_ms)
        self._dispatcher = Dispatcher(
            settings.address,
            self.directory,
            self._admission,
            self._forwarder,
            Balancer(settings.data_centre, self._rng, self._clock.wall_ms),
            self._rollouts.filter_peers,
            self._quarantine,
            SignalReader(adapter.header_names),
            self._metrics,
            self._decisions,
            self._rng,
            self._cold_start,
            work_choice if settings.places_by_work else None,
            limits,
        )
        self._allowances = AllowanceService(
            self._own_node_key,
            self._links,
            self.directory,
            self._forwarder.mark_unreachable,
            self._metrics,
            self._decisions,
            self._clock,
        )
        self._callers = CallerServer(
            adapter.header_names,
            lambda: self.routing,
            lambda: self._orders.rejected_configuration,
            self.records.orders,
            lambda: self.settings.own_service,
            self._dispatcher,
            self._allowances,
            self._metrics,
            self._decisions,
            self._rng,
            limits,
        )
        self._explainer = Explainer(
            settings.node_id,
            settings.data_centre,
            lambda: self.settings.own_service,
            lambda: self.routing,
            self._callers,
            self._allowances,
            self._dispatcher,
            self._rollouts,
            self.directory,
            self._quarantine,
            limits,
        )

    def _build_records(self, adapter: Adapter, store: Store) -> RecordFeed:
        topics = adapter.topics
        own_records = OwnRecordReconciler(
            self._registration,
            self._admission,
            self._quarantine,
            lambda: self.records.nodes.loaded,
            lambda: self.settings.target,
            self._publish_target,
        )
        nodes = NodeEntryHandler(
            self.directory,
            self.settings.address,
            own_records,
            self._quarantine.merge,
            self._decisions,
        )
        statuses = RolloutStatusHandler(
            adapter.decode_status, self._apply_status, self._rollouts.reconcile, self._decisions
        )
        freshness = FreshnessBound(lambda: self.settings.bounds.config_apply_s)
        orders = adapter.operator_record_handler(self._orders)
        upstreams = Upstreams(
            self._own_node_key, self.settings.data_centre, self.directory.peers_by_key
        )
        return RecordFeed(
            store,
            Replica(topics.orders, orders, self._decisions, freshness),
            Replica(topics.nodes, nodes, self._decisions),
            Replica(topics.statuses, statuses, self._decisions),
            freshness,
            upstreams,
            self.directory,
            self._links,
            self.timers,
            self._decisions,
            self._rng,
        )

    async def on_start(self) -> None:
        await self.timers.start()
        await self._links.start()
        self._driver = RolloutDriver(
            self._own_node_key,
            self.settings.node_id,
            lambda: self.settings.own_service,
            self._rollouts,
            self.directory,
            self._links,
            StatusLog(
                self._store,
                self._adapter.topics.statuses,
                self.records.statuses,
                self._adapter.encode_status,
            ),
            self.timers,
            self._clock,
            self._decisions,
        )
        await self._registration.start()
        await self.records.start()
        application = announcement_application(
            self._adapter.paths,
            self._adapter.decode_announcement,
            self._admission,
            self._registration,
            AnnouncementChecks(self.records.nodes.wait_loaded, self._is_known_service),
            self._decisions,
        )
        serve = self.listeners.serve
        await serve("announcements", application, self.settings.announcements)
        # Callers may connect at the moment at which they see that this node is ready.
        await serve("callers", self._callers.server(), self.settings.callers)
        readiness = readiness_application(self._adapter.paths.readiness, self._readiness_report)
        await serve("readiness", readiness, self.settings.readiness)
        metrics = Endpoint(self.settings.address, self.settings.metrics_port)
        diagnostics = diagnostics_server(self._metrics, self._explainer, self._decisions)
        await serve("metrics", diagnostics, metrics)
        self._allowances.start(self.timers)
        self.timers.subscribe("repeats", RETRY_BUDGET_UPDATE_S, self._update_retry_budget)
        self.timers.subscribe("state metrics", STATE_METRICS_S, self._observe_state)
        memory = MemoryWatch(resident_bytes)
        self.timers.subscribe("memory", MEMORY_CHECK_S, memory.check)
        logger.bind(node=self.settings.node_id, service=self.settings.own_service).info("started")

    async def on_stop(self) -> None:
        """Shut down gracefully.

        Serves calls until callers see that this node isn't ready, then drains the calls in flight
        and closes everything, within the grace period less :data:`SHUTDOWN_MARGIN_S`.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        deadline = started_at + self.settings.bounds.grace_s - SHUTDOWN_MARGIN_S
        self._stopping = True
        self._callers.begin_stop(deadline - ANSWER_MARGIN_S)
        self._forwarder.begin_stop(deadline - ANSWER_MARGIN_S)
        self.records.begin_stop()
        logger.bind(in_flight=self._callers.in_flight).info("stopping")
        await asyncio.sleep(READINESS_PROPAGATION_S)
        # Callers with too few other nodes keep sending; reject them while there is time left.
        self._callers.closed = True
        # Other nodes are notified as late as possible, since until then they use the target.
        if not await self._links.drain(deadline - loop.time()):
            logger.warning("calls of other nodes were still in flight when the drain period ended")
        while self._callers.busy or self._admission.in_flight:
            if loop.time() >= deadline:
                logger.warning(
                    "calls were still in flight when the drain period ended: "
                    "{} of callers, {} at the target; closing their connections",
                    self._callers.in_flight,
                    self._admission.in_flight,
                )
                break
            await asyncio.sleep(DRAIN_POLL_S)
        await self.listeners.close()
        await self.records.stop()
        await self._registration.stop()
        await self.timers.stop()
        self._forwarder.close()
        self._allowances.close()
        await self._links.stop()
        self._admission.close()
        await self._store.close()
        logger.bind(seconds=round(loop.time() - started_at, 2)).info("stopped")

    @property
    def routing(self) -> Routing:
        """The configuration in force."""
        return self._orders.routing

    @property
    def rejected_configuration(self) -> str | None:
        """Why the newest configuration was rejected; ``None`` if it is in force."""
        return self._orders.rejected_configuration

    def is_ready(self) -> bool:
        """Return whether callers should use this node."""
        return not self._stopping and bool(self.routing.version) and self.records.nodes.loaded

    def _is_known_service(self, service: str) -> bool:
        """Return whether a service is this instance's own, or one of the configuration."""
        return service == self.settings.own_service or service in self.routing.services_by_name

    def _readiness_report(self) -> ReadinessReport:
        return ReadinessReport(self.is_ready(), self.routing.version, self.rejected_configuration)

    def is_configuration_current(self) -> bool:
        """Return whether the store responds and no newer configuration is known to exist."""
        return self.records.orders.is_current

    def reload(self, settings: SidecarSettings) -> None:
        """Apply changed settings; listening addresses change only on a restart."""
        before = self.settings
        if settings == before:
            return
        self.settings = settings
        bounds = settings.bounds
        self._retry_budget.configure(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s)
        self._rollouts.configure(_exposure_limits(bounds))
        self._admission.refresh_cold_limit()
        if bounds.allowances != before.bounds.allowances:
            self._configure_allowances()
        changed = [
            f.name for f in fields(settings) if getattr(settings, f.name) != getattr(before, f.name)
        ]
        logger.bind(changed=changed, service=settings.own_service).info("settings reloaded")

    def _apply_configuration(self, organisations_changed: bool) -> None:
        self._admission.refresh_cold_limit()
        if organisations_changed:
            self._configure_allowances()

    def _configure_allowances(self) -> None:
        bounds = self.settings.bounds.allowances
        self._allowances.configure(limits_by_organisation(self.routing.organisations, bounds))

    def _apply_status(self, status: RolloutStatus) -> None:
        self._rollouts.apply_status(status, asyncio.get_running_loop().time(), recorded=True)

    def _cold_start(self, service: str) -> ColdStart | None:
        """Return the limits for the cold targets of a service; ``None`` if it has none."""
        found = self.routing.services_by_name.get(service)
        if found is None:
            return None
        bounds = self.settings.bounds
        return cold_start(found.cold_per_s, found.cold_start_s, bounds.cold_over, bounds.cold_slack)

    def _publish_target(self, entry: TargetEntry | None) -> None:
        settings = self.settings
        own = NodeEntry(
            settings.node_id,
            settings.data_centre,
            settings.address,
            self._links.port,
            entry,
            relays_records=True,
            answers_admission=True,
            link_mbps=settings.link_mbps or DEFAULT_LINK_MBPS,
            crash_reports=self._quarantine.own_reports,
            cleared_requests=self._quarantine.own_cleared,
            divides_allowances=True,
        )
        self.directory.update(self._own_node_key, own)
        self._registration.publish(own, self._admission.departed.recent())

    async def _update_retry_budget(self) -> None:
        service = self.settings.own_service
        self._retry_budget.target_count = max(1, len(self.directory.ready_peers(service)))

    async def _observe_state(self) -> None:
        observe_target(self._metrics, self._admission)
        observe_records(self._metrics, self.records.replicas, self.records.relay)
        self._metrics.observe_configuration(
            self.routing.version, self.rejected_configuration is not None
        )
        self._metrics.observe_evacuations(
            len(self.directory.evacuations.data_centres), self._admission.suspended_count
        )
        self._metrics.observe_quarantine(self._quarantine.size)
        self._metrics.observe_link(self._transfers.backlog_s, self._transfers.budget.used_bytes)
        service = self.settings.own_service
        withdrawn = self._rollouts.versions(service).withdrawn
        self._metrics.observe_versions(len(withdrawn), self._rollouts.own_given(service))


def _exposure_limits(bounds: Bounds) -> ExposureLimits:
    return ExposureLimits(bounds.unproved_share, bounds.unproved_slack)
