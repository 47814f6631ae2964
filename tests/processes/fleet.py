"""A small fleet of real processes: the log stand-in, and nodes with a target each."""

import asyncio
import contextlib
import pathlib
import signal
import tempfile
import typing as t
import unittest
from collections import Counter

import aiohttp
import msgspec

from bulrushflow.configuration import Configure
from bulrushflow.configuration import Record
from bulrushflow.configuration import RouteBody
from bulrushflow.configuration import ServiceBody
from bulrushflow.configuration import Verdict
from bulrushflow.operators.client import OperatorClient
from bulrushflow.operators.endpoint import NodeStatus
from tests.processes.programs import SOURCE
from tests.processes.programs import WAIT_TIMEOUT_S
from tests.processes.programs import Program
from tests.processes.programs import load_summary
from tests.processes.programs import until

GOSSIP = {"period_s": 0.2, "ack_timeout_s": 0.3, "suspicion_s": 1.5}
PLACEMENTS = (
    ("celje-a", "plots"),
    ("celje-a", "payments"),
    ("velenje", "plots"),
    ("velenje", "payments"),
)
"""Data centre and service of each pair of node and target: two services in two data centres."""
FIRST_SEED = 10
PATHS = ("/plots/7", "/payments/7")
VIOLATIONS = ("lost", "doubled", "crossed", "cut", "false_not_run")

IDEMPOTENT_PATHS = ("/plots",)
PLOTS_AND_PAYMENTS = Configure(
    1,
    "first",
    "ana",
    services={"plots": ServiceBody("v1"), "payments": ServiceBody("v1")},
    routes={
        "/plots": RouteBody("plots", idempotent=True),
        "/payments": RouteBody("payments"),
    },
)


def extra_route(publish_id: str) -> Configure:
    """Return a record that adds one route."""
    return Configure(1, publish_id, "ana", routes={f"/{publish_id}": RouteBody("plots")})


class FleetNode:
    """One node process and its ports; its target keeps running when the node is replaced."""

    def __init__(self, name: str, program: Program, ports: t.Sequence[int]) -> None:
        self.name = name
        self.program = program
        self.caller_port, self.peer_port, self.target_port, self.operator_port = ports
        self.caller_url = f"http://127.0.0.1:{self.caller_port}"
        self.operator_url = f"http://127.0.0.1:{self.operator_port}"

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.program.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue the suspended process."""
        self.program.signal(signal.SIGCONT)


class Fleet:
    """Starts the programs; :meth:`close` kills all of them."""

    def __init__(self) -> None:
        self.nodes_by_name: dict[str, FleetNode] = {}
        self.target_urls_by_name: dict[str, str] = {}
        self.log_url = ""
        self._programs: list[Program] = []
        self._loads = 0
        self._starts_by_name: Counter[str] = Counter()
        self._cleanup = contextlib.ExitStack()
        directory = self._cleanup.enter_context(tempfile.TemporaryDirectory())
        self._directory = pathlib.Path(directory)
        self._session: aiohttp.ClientSession | None = None

    @property
    def nodes(self) -> list[FleetNode]:
        """The nodes that were not killed or removed."""
        return list(self.nodes_by_name.values())

    async def close(self) -> None:
        """Kill every process that this fleet started and remove their files."""
        if self._session is not None:
            await self._session.close()
        for program in self._programs:
            await program.kill()
        self._cleanup.close()

    def source_of(self, name: str) -> pathlib.Path:
        """Return the directory of the packages that the program ``name`` runs from."""
        return SOURCE

    async def start_program(
        self,
        program: str,
        name: str,
        *arguments: str,
        variables: t.Mapping[str, str] | None = None,
    ) -> Program:
        """Start a program that writes its log to the file ``name.log``.

        :param variables: environment variables in addition to those of the test process.
        """
        log = self._directory / f"{name}.log"
        started = await Program.start(
            program, arguments, log, variables or {}, self.source_of(name)
        )
        self._programs.append(started)
        return started

    async def start(self, *placements: tuple[str, str]) -> None:
        """Start the log and a node and target for each placement, and wait until they are ready."""
        self._session = aiohttp.ClientSession()
        log = await self.start_program("bulrushflow-standin-log", "log")
        self.log_url = "http://" + (await log.wait_for_log(r"listens on (127\S+:\d+)"))[1]
        await asyncio.gather(
            *(
                self.start_pair(f"{dc}-{i}", dc, service)
                for i, (dc, service) in enumerate(placements)
            )
        )
        await self.wait_ready(len(placements))

    async def start_serving(self, *placements: tuple[str, str]) -> None:
        """Start like :meth:`start`, with services and routes in force on every node."""
        await self.start(*placements)
        verdict = await self.publish(PLOTS_AND_PAYMENTS)
        await self.wait_converged(verdict.offset)

    async def start_pair(
        self, name: str, data_centre: str, service: str, version: str = "v1"
    ) -> None:
        """Start a node and the target that announces itself to it."""
        node = await self.start_node(name, data_centre)
        await self.start_target(name, service, version, node.target_port)

    async def start_node(
        self,
        name: str,
        data_centre: str,
        target_port: int = 0,
        log_url: str | None = None,
        **others: t.Any,
    ) -> FleetNode:
        """Start a node; a port of 0 is assigned by the system.

        :param others: top-level settings that override those of the tests.
        """
        settings = {
            "node_id": name,
            "data_centre": data_centre,
            "address": "127.0.0.1",
            "caller_port": 0,
            "peer_port": 0,
            "target_port": target_port,
            "operator_port": 0,
            "platform": {"url": log_url or self.log_url, "request_timeout_s": 1, "long_poll_s": 2},
            "gossip": GOSSIP,
            **others,
        }
        self._settings_file(name).write_bytes(msgspec.json.encode(settings))
        return await self.start_again(name)

    async def stop_node(self, node: FleetNode) -> None:
        """Stop a node gracefully and remove it from the fleet.

        :raises AssertionError: when its exit status isn't 0.
        """
        del self.nodes_by_name[node.name]
        status = await node.program.terminate()
        assert status == 0, f"{node.name} ended with status {status}: {node.program.errors()}"

    async def start_again(self, name: str) -> FleetNode:
        """Start a stopped node with the settings file that it had, and with a log of its own."""
        self._starts_by_name[name] += 1
        starts = self._starts_by_name[name]
        program_name = name if starts == 1 else f"{name}-start-{starts}"
        file = self._settings_file(name)
        program = await self.start_program("bulrushflow-node", program_name, str(file))
        ports = await program.wait_for_log(
            r"listens on \S+ callers (\d+), nodes (\d+), target (\d+), operators (\d+)"
        )
        node = FleetNode(name, program, [int(port) for port in ports.groups()])
        self.nodes_by_name[name] = node
        return node

    def _settings_file(self, name: str) -> pathlib.Path:
        return self._directory / f"{name}.json"

    async def start_target(
        self, name: str, service: str, version: str, announce_port: int, *arguments: str
    ) -> None:
        """Start a target that announces itself to a local port."""
        target = await self.start_program(
            "bulrushflow-standin-target",
            f"target-{name}",
            *("--service", service, "--version", version, "--cold-s", "0.1"),
            *("--node", f"http://127.0.0.1:{announce_port}", *arguments),
        )
        address = (await target.wait_for_log(r"listens on (127\S+:\d+)"))[1]
        self.target_urls_by_name[name] = f"http://{address}"

    async def kill(self, node: FleetNode) -> None:
        """Kill a node and remove it from the fleet."""
        del self.nodes_by_name[node.name]
        await node.program.kill()

    async def status(self, node: FleetNode) -> NodeStatus:
        """Return a node's status."""
        return msgspec.json.decode(await self.get(node.operator_url + "/status"), type=NodeStatus)

    async def get(self, url: str, timeout_s: float = WAIT_TIMEOUT_S) -> bytes:
        """Return the body of a response, whatever its status.

        :raises TimeoutError: when there is no response within ``timeout_s``.
        """
        assert self._session is not None
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        async with self._session.get(url, timeout=timeout) as response:
            return await response.read()

    async def post(self, url: str, body: t.Any) -> int:
        """Post a JSON body and return the status of the response."""
        assert self._session is not None
        async with self._session.post(url, data=msgspec.json.encode(body)) as response:
            return response.status

    async def set_log_faults(self, **faults: t.Any) -> None:
        """Replace the injected faults of the log stand-in; without arguments there are none."""
        await self.post(self.log_url + "/faults", faults)

    async def wait_ready(self, targets: int) -> None:
        """Wait until every node is ready and has exactly ``targets`` ready targets in its table."""

        async def ready() -> bool:
            statuses = await asyncio.gather(*(self.status(node) for node in self.nodes))
            return all(s.ready and _ready_targets(s) == targets for s in statuses)

        await until(ready, f"{targets} ready targets on each of {len(self.nodes)} nodes")

    async def wait_converged(self, offset: int) -> NodeStatus:
        """Wait until all nodes have the same digest, at version ``offset`` or later."""
        statuses: list[NodeStatus] = []

        async def converged() -> bool:
            statuses[:] = await asyncio.gather(*(self.status(node) for node in self.nodes))
            return len({s.digest for s in statuses}) == 1 and statuses[0].offset >= offset

        await until(converged, f"the same digest on all nodes at version {offset} or later")
        return statuses[0]

    async def publish(self, record: Record, via: FleetNode | None = None) -> Verdict:
        """Publish a record like the operators' command, and return the verdict."""
        node = via or self.nodes[0]
        async with OperatorClient(self.log_url, node.operator_url, WAIT_TIMEOUT_S) as client:
            return (await client.publish(record)).unwrap()

    async def verdicts(self, publish_id: str) -> list[Verdict]:
        """Return every node's verdict on a publish id."""
        urls = [f"{node.operator_url}/verdicts/{publish_id}" for node in self.nodes]
        bodies = await asyncio.gather(*(self.get(url) for url in urls))
        return [msgspec.json.decode(body, type=Verdict) for body in bodies]

    async def start_load(
        self,
        name: str,
        caller_urls: t.Sequence[str],
        seconds: float,
        paths: t.Sequence[str] = PATHS,
        rate: float = 60.0,
    ) -> Program:
        """Start the load tool, which checks its calls against the runs that targets recorded."""
        # Request ids are derived from the seed, and targets count runs across all loads, so each
        # load needs a seed of its own.
        self._loads += 1
        seed = FIRST_SEED + self._loads
        arguments = ["--rate", str(rate), "--seconds", str(seconds), "--seed", str(seed)]
        for path in IDEMPOTENT_PATHS:
            arguments += ["--idempotent-path", path]
        for url in caller_urls:
            arguments += ["--node", url]
        for path in paths:
            arguments += ["--path", path]
        for url in self.target_urls_by_name.values():
            arguments += ["--target", url]
        return await self.start_program("bulrushflow-load", f"load-{name}", *arguments)


class FleetTestCase(unittest.IsolatedAsyncioTestCase):
    """Provides each test with a fleet that is closed after it."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        self.addAsyncCleanup(self.fleet.close)

    async def assert_calls_intact(self, load: Program) -> dict[str, t.Any]:
        """Check that no call was lost, doubled, crossed, cut or falsely reported as not run."""
        summary = await load_summary(load)
        violations = {name: summary[name] for name in VIOLATIONS if summary[name]}
        self.assertFalse(violations, summary)
        self.assertGreater(summary["answered"], 0, summary)
        return summary


def _ready_targets(status: NodeStatus) -> int:
    return sum(1 for m in status.members if m.status == "alive" and m.state == "ready")
