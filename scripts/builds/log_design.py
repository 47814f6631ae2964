"""Nodes of both builds on one stand-in log: publishes, moves, reading commands and a swap."""

import asyncio
import json
import os
import pathlib
import sys
import typing as t

from bulrushflow.operators.client import OperatorClient
from bulrushflow.operators.reports import NodeStatus
from bulrushflow.recording import CONFIGURATION_STREAM
from scripts.builds.reporting import Build
from scripts.builds.reporting import Builds
from scripts.builds.reporting import Report
from tests.processes.fleet import VIOLATIONS
from tests.processes.fleet import Fleet
from tests.processes.fleet import FleetNode
from tests.processes.programs import Program
from tests.processes.programs import load_summary
from tests.sidecar.servers import free_port

ADDRESS = "127.0.0.1"
PLACEMENTS = (
    ("celje", "plots", "v1"),
    ("celje", "plots", "v1"),
    ("velenje", "payments", "v1"),
    ("velenje", "payments", "v1"),
    ("velenje", "plots", "v2"),
    ("celje", "plots", "v3"),
)
"""Data centre, service and version of each pair of node and target, from number 1 on."""
FAULTY_VERSION = "v3"
MOVE_TIME = "+20s"
MOVES_LOAD_S = 33.0
SWAP_LOAD_S = 8.0
CALLS_PER_S = 90.0
GOSSIP = {"period_s": 0.5, "ack_timeout_s": 1.0, "suspicion_s": 3.0}
"""A probe for ``status --fleet`` and ``history`` has one attempt, and four commands that start at
once can delay its acknowledgement by more than the 0.3 s of the tests."""
PATHS = ("/plots/7", "/payments/7")
DOCUMENT_BY_ID: t.Mapping[str, t.Any] = {
    "first": {
        "services": {"plots": {"version": "v1"}, "payments": {"version": "v1"}},
        "routes": {
            "/plots": {"service": "plots", "idempotent": True},
            "/payments": {"service": "payments"},
        },
    },
    "second": {"routes": {"/gardens": {"service": "plots"}}},
}
READING_COMMANDS = ("status --fleet", "get", "history", "history --json", "why good", "why bad")
SNAPSHOT_CODE = """
import sys
from bulrushflow.configuration import SUPPORTED_SCHEMA, decode_configuration, encode_record
from bulrushflow.configuration import make_snapshot
configuration = decode_configuration(sys.stdin.buffer.read(), SUPPORTED_SCHEMA).unwrap()
sys.stdout.buffer.write(encode_record(make_snapshot(configuration)))
"""
"""Writes the snapshot record of a configuration. Nodes append theirs after long random waits."""


class MixedFleet(Fleet):
    """A fleet whose programs each run the build that was chosen for them."""

    def __init__(self, builds: Builds) -> None:
        super().__init__()
        self.programs_by_name: dict[str, Program] = {}
        self.builds = builds
        self.build_by_program: dict[str, Build] = {}
        self._commands = 0

    def source_of(self, name: str) -> pathlib.Path:
        """See :meth:`Fleet.source_of`; stand-ins and the load tool run the new build."""
        program = name.partition("-start-")[0]
        return self.build_by_program.get(program, self.builds.new).source

    async def start_program(
        self, program: str, name: str, *arguments: str, **others: t.Any
    ) -> Program:
        """See :meth:`Fleet.start_program`; keeps the program for the search of its log."""
        started = await super().start_program(program, name, *arguments, **others)
        self.programs_by_name[name] = started
        return started

    async def start_mixed(self) -> None:
        """Start the log, the nodes and the targets, and wait until all targets are ready."""
        await self.start()
        for number, (data_centre, service, version) in enumerate(PLACEMENTS, 1):
            name = f"node-{number}"
            self.build_by_program[name] = self.builds.of(number)
            # The ports stay when the node is restarted.
            others: dict[str, t.Any] = {
                f"{kind}_port": free_port(ADDRESS) for kind in ("caller", "peer", "operator")
            }
            others["gossip"] = GOSSIP
            node = await self.start_node(name, data_centre, free_port(ADDRESS), **others)
            faulty = ("--behaviour", '{"error_share": 1.0}') if version == FAULTY_VERSION else ()
            await self.start_target(name, service, version, node.target_port, *faulty)
        await self.wait_ready(len(PLACEMENTS))

    async def command(self, build: Build, node: FleetNode, *arguments: str) -> tuple[int, str, str]:
        """Run a command line of a build at a node; return its status, output and errors."""
        self._commands += 1
        name = f"command-{self._commands}"
        self.build_by_program[name] = build
        variables = {"BULRUSHFLOW_LOG": self.log_url, "BULRUSHFLOW_NODE": node.operator_url}
        program = await self.start_program("bulrushflow", name, *arguments, variables=variables)
        status, output = await program.output()
        return status, output, program.errors()

    async def restart_swapped(self, node: FleetNode) -> None:
        """Restart a node with the other build, and wait until all targets are ready."""
        await self.stop_node(node)
        is_old = self.build_by_program[node.name] is self.builds.old
        self.build_by_program[node.name] = self.builds.new if is_old else self.builds.old
        await self.start_again(node.name)
        await self.wait_ready(len(PLACEMENTS))

    async def read_alone(self, name: str, build: Build, offset: int) -> tuple[bytes, bool]:
        """Run one node of a build, the only one, until it has read the log up to an offset.

        :return: its configuration, and whether it restored a snapshot.
        """
        self.build_by_program[name] = build
        node = await self.start_again(name)
        await self.wait_converged(offset)
        configuration = await self.get(node.operator_url + "/configuration")
        await self.stop_node(node)
        return configuration, "restored from a snapshot" in node.program.errors()

    async def replace_records_by_snapshot(self, build: Build, configuration: bytes) -> int:
        """Append the snapshot that a build makes, trim all before it, and return its offset."""
        writer = await asyncio.create_subprocess_exec(
            *(sys.executable, "-c", SNAPSHOT_CODE),
            env={**os.environ, "PYTHONPATH": str(build.source)},
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        record, _ = await writer.communicate(configuration)
        assert writer.returncode == 0, f"the {build.name} build made no snapshot"
        async with OperatorClient(self.log_url, "", 0.0) as client:
            offset = (await client.log.append(CONFIGURATION_STREAM, record)).unwrap()
        await self.post(f"{self.log_url}/trim/{CONFIGURATION_STREAM}?keep=1", {})
        return offset


class LogDesign:
    """The checks on one fleet; nodes 1 and 2 start with the old and the new build."""

    def __init__(self, builds: Builds, report: Report, fleet: MixedFleet) -> None:
        self._builds = builds
        self._report = report
        self._fleet = fleet

    async def run(self) -> None:
        """Run all checks in order."""
        old, new = self._builds.old, self._builds.new
        await self._fleet.start_mixed()
        await self._check_publish(old, "node-2", "first")
        load = await self._start_load("moves", self._fleet.nodes, MOVES_LOAD_S)
        await self._check_publish(new, "node-1", "second")
        await self._check_move(old, "node-2", "good", "v2", "v1 to v2: done")
        await self._check_move(new, "node-1", "bad", "v3", "v2 to v3: taken back")
        await self._check_load("calls during publish and moves", load)
        await self._check_digests("before the swap")
        await self._check_reading_commands("before the swap")
        half = len(PLACEMENTS) // 2
        await self._check_swap_under_calls(self._fleet.nodes[:half], self._fleet.nodes[half:])
        await self._check_swap_under_calls(self._fleet.nodes[:half], self._fleet.nodes[half:])
        status = await self._check_digests("after the swap")
        await self._check_reading_commands("after the swap")
        node = self._fleet.nodes_by_name["node-1"]
        configuration = await self._fleet.get(node.operator_url + "/configuration")
        await self._stop()
        await self._check_readers("the records of both builds", configuration, status.offset)
        for build in (old, new):
            offset = await self._fleet.replace_records_by_snapshot(build, configuration)
            source = f"a snapshot of the {build.name} build"
            configuration = await self._check_readers(source, configuration, offset, True)
        logs = {n: program.errors() for n, program in self._fleet.programs_by_name.items()}
        self._report.add_logs("log: nothing unreadable, no traceback", logs)

    async def _check_publish(self, build: Build, node_name: str, publish_id: str) -> None:
        file = self._report.scratch / f"{publish_id}.json"
        file.write_text(json.dumps(DOCUMENT_BY_ID[publish_id]), encoding="utf-8")
        arguments = ("publish", str(file), "--publish-id", publish_id)
        node = self._fleet.nodes_by_name[node_name]
        status, output, errors = await self._fleet.command(build, node, *arguments)
        passed = status == 0 and f"in force on {len(PLACEMENTS)} nodes" in output
        name = f"log: publish by the {build.name} command line at a node of the other build"
        self._report.add(name, passed, output + errors)

    async def _check_move(
        self, build: Build, node_name: str, move_id: str, version: str, expected: str
    ) -> None:
        arguments = ("--to", version, "--by", MOVE_TIME, "--wait", "--publish-id", move_id)
        node = self._fleet.nodes_by_name[node_name]
        result = await self._fleet.command(build, node, "move", "plots", *arguments)
        passed = result[0] == 0 and expected in result[1]
        name = f"log: {move_id} move by the {build.name} command line at a node of the other build"
        decision = f"{expected};{result[1].rstrip().rpartition(chr(10))[2]}"
        self._report.add(name, passed, decision if passed else result)

    async def _start_load(self, name: str, nodes: t.Sequence[FleetNode], seconds: float) -> Program:
        urls = [node.caller_url for node in nodes]
        return await self._fleet.start_load(name, urls, seconds, PATHS, CALLS_PER_S)

    async def _check_load(self, name: str, load: Program) -> None:
        """Check that no call was lost, doubled, crossed, cut or falsely refused."""
        summary = await load_summary(load)
        passed = summary["answered"] > 0 and not any(summary[count] for count in VIOLATIONS)
        counts = ("calls", "answered", "errors", "not_run", "unknown", *VIOLATIONS)
        details = ", ".join(f"{count} {summary[count]}" for count in counts)
        self._report.add(f"log: {name} are intact", passed, details)

    async def _check_digests(self, when: str) -> NodeStatus:
        await self._fleet.wait_converged(0)
        statuses = [await self._fleet.status(node) for node in self._fleet.nodes]
        digests = {(status.offset, status.digest) for status in statuses}
        name = f"log: all nodes have the same version and digest {when}"
        self._report.add(name, len(digests) == 1, f"{len(statuses)} nodes: {digests}")
        return statuses[0]

    async def _check_reading_commands(self, when: str) -> None:
        """Compare the output of both command lines at a node of each build."""
        nodes = self._fleet.nodes_by_name["node-1"], self._fleet.nodes_by_name["node-2"]
        builds = (self._builds.old, self._builds.new)
        for line in READING_COMMANDS:
            commands = [self._fleet.command(b, n, *line.split()) for n in nodes for b in builds]
            results = await asyncio.gather(*commands)
            differences = [
                f"at {node.name}: old {old}, new {new}"
                for node, old, new in zip(nodes, results[::2], results[1::2], strict=True)
                if old[0] or new[0] or _stable(old[1]) != _stable(new[1])
            ]
            name = f"log: `{line}` {when} is the same by either command line at either build"
            self._report.add_differences(name, differences)

    async def _check_swap_under_calls(
        self, leaving: t.Sequence[FleetNode], staying: t.Sequence[FleetNode]
    ) -> None:
        """Restart nodes with the other build, while others serve and send them the state."""
        names = ", ".join(node.name for node in leaving)
        load = await self._start_load(f"swap-{names}", staying, SWAP_LOAD_S)
        for node in leaving:
            await self._fleet.restart_swapped(node)
        await self._check_load(f"calls while {names} restart with the other build", load)

    async def _check_readers(
        self, source: str, configuration: bytes, offset: int, snapshot: bool = False
    ) -> bytes:
        """Let a node of each build read the log while no other runs; compare and return the state.

        :param configuration: the state that was written to the log.
        :param snapshot: whether the log starts with a snapshot, which has to be restored.
        """
        results = [
            await self._fleet.read_alone("node-1", build, offset)
            for build in (self._builds.old, self._builds.new)
        ]
        (old, old_restored), (new, new_restored) = results
        kept = _without_version(old) == _without_version(configuration)
        passed = old == new and kept and old_restored == new_restored == snapshot
        name = f"log: a node of either build alone reads {source}, with equal results"
        details = f"{len(old)} and {len(new)} bytes, equal: {old == new}, kept: {kept}"
        self._report.add(name, passed, details)
        return old

    async def _stop(self) -> None:
        nodes = self._fleet.nodes
        await asyncio.gather(*(self._fleet.stop_node(node) for node in nodes))
        self._report.add("log: all nodes stop with status 0", True, f"{len(nodes)} nodes")


def _without_version(configuration: bytes) -> dict[str, t.Any]:
    fields = json.loads(configuration).items()
    return {key: value for key, value in fields if key not in ("offset", "newest_snapshot")}


def _stable(output: str) -> str:
    """Return a command's output without the times of asking, which differ from run to run."""
    try:
        report = json.loads(output)
    except ValueError:
        lines = output.splitlines()
        return "\n".join(line for line in lines if not line.startswith("account since"))
    return json.dumps({k: v for k, v in report.items() if k not in ("asked_at_ms", "since_ms")})


async def check_log_design(builds: Builds, report: Report) -> None:
    """Run the checks of the log design."""
    fleet = MixedFleet(builds)
    try:
        await LogDesign(builds, report, fleet).run()
    finally:
        await fleet.close()
