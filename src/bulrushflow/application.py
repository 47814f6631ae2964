"""The node: constructs, starts and stops the components of one process."""

import asyncio
import gc
import os
import pathlib
import random
import signal
import sys
import typing as t

from aiohttp import web
from loguru import logger
from mode import Service
from result import Err
from result import Ok

from bulrushflow.callers import CallerServer
from bulrushflow.callers import Dispatcher
from bulrushflow.configuration import Configuration
from bulrushflow.configuration import ConfigurationStore
from bulrushflow.configuration import SnapshotPolicy
from bulrushflow.exceptions import InvariantError
from bulrushflow.exit_statuses import EXIT_INVARIANT_ERROR
from bulrushflow.exit_statuses import EXIT_SETTINGS
from bulrushflow.logs import configure_logs
from bulrushflow.membership import Member
from bulrushflow.membership import MemberTable
from bulrushflow.membership import Target
from bulrushflow.metrics import Metrics
from bulrushflow.nodes import Forwarding
from bulrushflow.nodes import Gossip
from bulrushflow.nodes import RecordDissemination
from bulrushflow.nodes import RolloutDriver
from bulrushflow.nodes import SeedDiscovery
from bulrushflow.operators.endpoint import OperatorEndpoint
from bulrushflow.recording import HttpLog
from bulrushflow.recording import Recorder
from bulrushflow.recording import SnapshotWriter
from bulrushflow.rollouts import SharedRollouts
from bulrushflow.routing import ByteBudget
from bulrushflow.settings import NODE_VARIABLES
from bulrushflow.settings import Settings
from bulrushflow.settings import load_settings
from bulrushflow.targets import AdmissionController
from bulrushflow.targets import target_application
from bulrushflow.timers import SystemClock
from bulrushflow.timers import Timers
from bulrushflow.wire import Links

CONNECTION_GRACE_S = 0.2
GC_THRESHOLD = 5_000
"""Net number of new objects that starts a collection of the youngest generation."""
GC_GENERATIONS = 10
LEAVE_DISSEMINATION_S = 1.0
"""Seconds between announcing that this node leaves and refusing callers.

In this time the announcement reaches the other nodes, which then send no more calls here.
"""


class Node(Service):
    """One node.

    :param settings: checked settings.
    """

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self.settings = settings
        self.clock = SystemClock()
        self.rng = random.Random()
        self.stopping = asyncio.Event()
        self.failure: InvariantError | None = None
        self.metrics = Metrics(settings.calls.max_tenant_labels)
        self.store = ConfigurationStore()
        self.shared_rollouts = SharedRollouts()
        self.timers = Timers(self.rng)
        self.platform_log = HttpLog(settings.platform.url, settings.platform.request_timeout_s)
        self.links = Links(settings.address, settings.peer_port, self.timers)
        self.caller_port = settings.caller_port
        self.target_port = settings.target_port
        self.operator_port = settings.operator_port
        self._runners: list[web.AppRunner | web.ServerRunner] = []
        self.store.subscribe(self._update_offset_metric)

    async def on_start(self) -> None:
        await self.timers.start()
        await self.links.start()
        self._create_components()
        await self.recorder.start()
        await self.gossip.start()
        await self.dissemination.start()
        self.target_port = await self._serve_application(
            target_application(self.admission_controller), self.target_port
        )
        self.operator_port = await self._serve_application(
            self.operator_endpoint.application(), self.operator_port
        )
        caller_runner = web.ServerRunner(
            self.caller_server.server(), shutdown_timeout=self.settings.calls.drain_s
        )
        self.caller_port = await self._serve(caller_runner, self.caller_port)
        logger.info(
            "node listens on {}: callers {}, nodes {}, target {}, operators {}",
            self.settings.address,
            self.caller_port,
            self.links.port,
            self.target_port,
            self.operator_port,
        )

    async def on_stop(self) -> None:
        """Announce the leave, finish calls in flight, then close all components."""
        drain_s = self.settings.calls.drain_s
        await self.gossip.leave()
        await asyncio.sleep(LEAVE_DISSEMINATION_S)
        drained = [
            await self.caller_server.drain(drain_s),
            await self.admission_controller.drain(drain_s),
            await self.links.drain(drain_s),
        ]
        if not all(drained):
            logger.error("calls were still in flight after the drain period of {} s", drain_s)
        await asyncio.sleep(CONNECTION_GRACE_S)
        for runner in reversed(self._runners):
            await runner.cleanup()
        await self.dissemination.stop()
        await self.recorder.stop()
        await self.gossip.stop()
        await self.timers.stop()
        await self.links.stop()
        await self.admission_controller.close()
        await self.platform_log.close()

    def is_ready(self) -> bool:
        """Return whether this node has a current configuration and accepts calls."""
        return self.dissemination.caught_up

    def _create_components(self) -> None:
        """Construct the components that need the peer port or the running event loop."""
        settings = self.settings
        own_member = Member(
            settings.node_id,
            settings.data_centre,
            settings.address,
            self.links.port,
            self.clock.wall_ms(),
        )
        self.table = MemberTable(own_member)
        self.gossip = Gossip(
            self.table,
            self.shared_rollouts,
            self.links,
            self.timers,
            settings.gossip,
            self.rng,
            lambda: self.store.current.offset,
            lambda endpoint, offset: self.dissemination.note_peer_offset(endpoint, offset),
            self.metrics.count_control_bytes,
        )
        self.dissemination = RecordDissemination(
            self.store,
            self.table,
            self.platform_log,
            self.links,
            self.timers,
            settings.platform,
            self.rng,
            self.metrics,
            self._fail,
        )
        self.snapshots = SnapshotWriter(
            self.platform_log,
            self.store,
            SnapshotPolicy(
                settings.platform.snapshot_every_records,
                int(settings.platform.snapshot_every_s * 1000),
            ),
            self.timers,
            self.clock,
            self.rng,
            self.dissemination.is_reader,
        )
        self.seed_discovery = SeedDiscovery(
            self.table, self.gossip, self.platform_log, self.timers, settings.seeds, self.rng
        )
        self.recorder = Recorder(
            self.platform_log,
            self.store,
            settings.platform.append_rate_per_s,
            self.rng,
            lambda: self.driver.potential_writer_count(),
        )
        self.driver = RolloutDriver(
            self.store,
            self.table,
            self.shared_rollouts,
            self.links,
            self.gossip,
            self.recorder,
            self.timers,
            self.clock,
            self.rng,
            self.metrics.count_control_bytes,
        )
        byte_budget = ByteBudget(settings.calls.max_buffered_bytes)
        self.admission_controller = AdmissionController(
            self.timers,
            self.driver.is_forbidden,
            self.driver.observe,
            self._announce_target,
            self.metrics,
            byte_budget,
            settings.calls.max_body_bytes,
        )
        self.forwarding = Forwarding(self.links, self.admission_controller)
        self.dispatcher = Dispatcher(
            self.table,
            self.shared_rollouts,
            self.admission_controller,
            self.forwarding,
            self.metrics,
            self.rng,
        )
        self.caller_server = CallerServer(
            self.store, self.dispatcher, self.metrics, settings.calls, byte_budget, self.is_ready
        )
        self.operator_endpoint = OperatorEndpoint(
            self.store,
            self.table,
            self.shared_rollouts,
            self.gossip,
            self.recorder,
            self.metrics,
            self.is_ready,
        )

    def _fail(self, error: InvariantError) -> None:
        logger.critical("the node stops: {}", error)
        self.failure = error
        self.stopping.set()

    def _announce_target(self, target: Target | None) -> None:
        if self.table.own.target != target:
            self.gossip.announce_own(target=target)

    def _update_offset_metric(self, configuration: Configuration) -> None:
        self.metrics.applied_offset.set({}, configuration.offset)

    async def _serve_application(self, app: web.Application, port: int) -> int:
        return await self._serve(web.AppRunner(app, access_log=None), port)

    async def _serve(self, runner: web.AppRunner | web.ServerRunner, port: int) -> int:
        await runner.setup()
        self._runners.append(runner)
        site = web.TCPSite(runner, self.settings.address, port)
        await site.start()
        bound: int = runner.addresses[0][1]
        return bound


async def run_until_signal(node: Node) -> None:
    """Start a node, and stop it upon SIGTERM, SIGINT or a broken invariant."""
    stopping = node.stopping
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    await node.start()
    _limit_garbage_collection()
    await stopping.wait()
    await node.stop()


def _limit_garbage_collection() -> None:
    # A full collection that traverses the libraries' objects delays every call by milliseconds, so
    # these objects are excluded and full collections are made rare.
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, GC_GENERATIONS, GC_GENERATIONS)


def run_node(
    path: pathlib.Path, overrides: t.Mapping[str, str | None], check_only: bool = False
) -> int:
    """Run a node until a signal or a broken invariant stops it, and return the exit status.

    :param overrides: values that override the environment and the file, by the setting's key.
    :param check_only: check the settings without starting the node.
    """
    values = {key: os.environ.get(name) for key, name in NODE_VARIABLES.items()}
    values.update({key: value for key, value in overrides.items() if value is not None})
    match load_settings(path, values):
        case Err(faults):
            for fault in faults:
                print(f"{path}: {fault}", file=sys.stderr)
            return EXIT_SETTINGS
        case Ok(settings):
            pass
    if check_only:
        print(f"{path}: sound")
        return 0
    configure_logs(settings.node_id, settings.log.level, settings.log.format)
    return asyncio.run(_run(settings))


async def _run(settings: Settings) -> int:
    node = Node(settings)
    await run_until_signal(node)
    if node.failure is None:
        return 0
    print(f"broken invariant: {node.failure}", file=sys.stderr)
    return EXIT_INVARIANT_ERROR


def main() -> None:
    """Run the ``bulrushflow-node`` program."""
    arguments = sys.argv[1:]
    if len(arguments) == 1 and not arguments[0].startswith("-"):
        # A single file needs no argument parser, whose library would stay in memory.
        sys.exit(run_node(pathlib.Path(arguments[0]), {}))
    from bulrushflow.node_command import parse_command

    command = parse_command()
    sys.exit(run_node(command.settings, command.overrides, command.check_settings))
