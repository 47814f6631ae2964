"""A small fleet of real processes: the log, and nodes with a target beside each."""

import asyncio
import contextlib
import pathlib
import signal
import tempfile
import typing as t
import unittest

import aiohttp
import msgspec

from bulrushflow.configuration import Configure
from bulrushflow.configuration import Record
from bulrushflow.configuration import RouteBody
from bulrushflow.configuration import ServiceBody
from bulrushflow.configuration import Verdict
from bulrushflow.operators.client import OperatorClient
from bulrushflow.operators.endpoint import NodeStatus
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
"""Two services in two data centres, a target of each in each."""
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
    """Return a change that adds one route."""
    return Configure(1, publish_id, "ana", routes={f"/{publish_id}": RouteBody("plots")})


class FleetNode:
    """One node and its ports; the target beside it outlives a replaced node."""

    def __init__(self, name: str, program: Program, ports: t.Sequence[int]) -> None:
        self.name = name
        self.program = program
        self.caller_port, self.peer_port, self.target_port, self.operator_port = ports
        self.caller_url = f"http://127.0.0.1:{self.caller_port}"
        self.operator_url = f"http://127.0.0.1:{self.operator_port}"

    def pause(self) -> None:
        """Stop the process where it stands."""
        self.program.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let the process go on."""
        self.program.signal(signal.SIGCONT)


class Fleet:
    """Starts the programs, and stops every one of them in :meth:`close`."""

    def __init__(self) -> None:
        self.nodes_by_name: dict[str, FleetNode] = {}
        self.target_urls_by_name: dict[str, str] = {}
        self.log_url = ""
        self._programs: list[Program] = []
        self._loads = 0
        self._cleanup = contextlib.ExitStack()
        directory = self._cleanup.enter_context(tempfile.TemporaryDirectory())
        self._directory = pathlib.Path(directory)
        self._session: aiohttp.ClientSession | None = None

    @property
    def nodes(self) -> list[FleetNode]:
        """The nodes that were not taken out."""
        return list(self.nodes_by_name.values())

    async def close(self) -> None:
        """End every process that this fleet started."""
        if self._session is not None:
            await self._session.close()
        for program in self._programs:
            await program.kill()
        self._cleanup.close()

    async def start_program(
        self,
        program: str,
        name: str,
        *arguments: str,
        variables: t.Mapping[str, str] | None = None,
    ) -> Program:
        """Start a program whose log is kept under ``name``.

        :param variables: environment variables besides those of the tests.
        """
        log = self._directory / f"{name}.log"
        started = await Program.start(program, arguments, log, variables or {})
        self._programs.append(started)
        return started

    async def start(self, *placements: tuple[str, str]) -> None:
        """Start the log, and a node and a target for each data centre and service."""
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
        """Start as :meth:`start` does, with the services and routes in force everywhere."""
        await self.start(*placements)
        verdict = await self.publish(PLOTS_AND_PAYMENTS)
        await self.wait_converged(verdict.offset)

    async def start_pair(
        self, name: str, data_centre: str, service: str, version: str = "v1"
    ) -> None:
        """Start a node and the target beside it."""
        node = await self.start_node(name, data_centre)
        await self.start_target(name, service, version, node.target_port)

    async def start_node(
        self, name: str, data_centre: str, target_port: int = 0, log_url: str | None = None
    ) -> FleetNode:
        """Start a node; the system picks the ports that are 0."""
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
        }
        file = self._directory / f"{name}.json"
        file.write_bytes(msgspec.json.encode(settings))
        program = await self.start_program("bulrushflow-node", name, str(file))
        ports = await program.wait_for_log(
            r"listens on \S+ callers (\d+), nodes (\d+), target (\d+), operators (\d+)"
        )
        node = FleetNode(name, program, [int(port) for port in ports.groups()])
        self.nodes_by_name[name] = node
        return node

    async def start_target(
        self, name: str, service: str, version: str, announce_port: int, *arguments: str
    ) -> None:
        """Start a target that announces itself at a port of this machine."""
        target = await self.start_program(
            "bulrushflow-standin-target",
            f"target-{name}",
            *("--service", service, "--version", version, "--cold-s", "0.1"),
            *("--node", f"http://127.0.0.1:{announce_port}", *arguments),
        )
        address = (await target.wait_for_log(r"listens on (127\S+:\d+)"))[1]
        self.target_urls_by_name[name] = f"http://{address}"

    async def kill(self, node: FleetNode) -> None:
        """Kill a node and take it out of the fleet."""
        del self.nodes_by_name[node.name]
        await node.program.kill()

    async def status(self, node: FleetNode) -> NodeStatus:
        """Ask a node for its status."""
        return msgspec.json.decode(await self.get(node.operator_url + "/status"), type=NodeStatus)

    async def get(self, url: str, timeout_s: float = WAIT_TIMEOUT_S) -> bytes:
        """Return the body at a URL, whatever the status.

        :raises TimeoutError: when no answer came in time.
        """
        assert self._session is not None
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        async with self._session.get(url, timeout=timeout) as response:
            return await response.read()

    async def post(self, url: str, body: t.Any) -> int:
        """Post JSON; return the status."""
        assert self._session is not None
        async with self._session.post(url, data=msgspec.json.encode(body)) as response:
            return response.status

    async def set_log_faults(self, **faults: t.Any) -> None:
        """Replace the log's faults."""
        await self.post(self.log_url + "/faults", faults)

    async def wait_ready(self, targets: int) -> None:
        """Wait until every node takes calls and knows so many ready targets and no others."""

        async def ready() -> bool:
            statuses = await asyncio.gather(*(self.status(node) for node in self.nodes))
            return all(s.ready and _ready_targets(s) == targets for s in statuses)

        await until(ready, f"{targets} ready targets known to every node")

    async def wait_converged(self, offset: int) -> NodeStatus:
        """Wait until all nodes hold one digest at a version or a later one."""
        statuses: list[NodeStatus] = []

        async def converged() -> bool:
            statuses[:] = await asyncio.gather(*(self.status(node) for node in self.nodes))
            return len({s.digest for s in statuses}) == 1 and statuses[0].offset >= offset

        await until(converged, f"one digest at version {offset} or later")
        return statuses[0]

    async def publish(self, record: Record, via: FleetNode | None = None) -> Verdict:
        """Publish as the operators' command does; return the verdict."""
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
        """Start seeded calls; the targets' records of runs are compared at the end."""
        # Request ids follow from the seed, and targets count runs over all loads.
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
    """Gives each test a fleet that ends with it."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        self.addAsyncCleanup(self.fleet.close)

    async def assert_calls_intact(self, load: Program) -> dict[str, t.Any]:
        """Check that no call was lost, doubled, crossed, cut or falsely said not to have run."""
        summary = await load_summary(load)
        violations = {name: summary[name] for name in VIOLATIONS if summary[name]}
        self.assertFalse(violations, summary)
        self.assertGreater(summary["answered"], 0, summary)
        return summary


def _ready_targets(status: NodeStatus) -> int:
    return sum(1 for m in status.members if m.status == "alive" and m.state == "ready")
