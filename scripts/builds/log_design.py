"""Nodes of both builds on one stand-in log: publishes, moves, reading commands and a swap."""

import asyncio
import json
import pathlib
import typing as t

from bulrushflow.operators.reports import NodeStatus
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
"""Data centre, service and version of each pair of node and target, numbered from 1."""
FAULTY = ("--behaviour", '{"error_share": 1.0}')
FAULTY_VERSION = "v3"
MOVE_TIME = "+20s"
MOVES_LOAD_S = 45.0
SWAP_LOAD_S = 15.0
CALLS_PER_S = 90.0
FIRST_DOCUMENT: dict[str, t.Any] = {
    "services": {"plots": {"version": "v1"}, "payments": {"version": "v1"}},
    "routes": {
        "/plots": {"service": "plots", "idempotent": True},
        "/payments": {"service": "payments"},
    },
}
SECOND_DOCUMENT = {"routes": {"/gardens": {"service": "plots"}}}
PATHS = ("/plots/7", "/payments/7")
READING_COMMANDS = (
    "status --fleet",
    "get",
    "history",
    "history --json",
    "why good",
    "why bad",
)


class MixedFleet(Fleet):
    """A fleet whose programs each run the build that was chosen for them."""

    def __init__(self, builds: Builds) -> None:
        super().__init__()
        self.builds = builds
        self.build_by_program: dict[str, Build] = {}
        self.programs_by_name: dict[str, Program] = {}
        self._commands = 0

    def source_of(self, name: str) -> pathlib.Path:
        """See :meth:`Fleet.source_of`; stand-ins and the load tool run the new build."""
        return self.build_by_program.get(name, self.builds.new).source

    async def start_program(
        self, program: str, name: str, *arguments: str, **others: t.Any
    ) -> Program:
        """See :meth:`Fleet.start_program`; keeps the program for the search of its log."""
        started = await super().start_program(program, name, *arguments, **others)
        self.programs_by_name[name] = started
        return started

    async def start_node(
        self,
        name: str,
        data_centre: str,
        target_port: int = 0,
        log_url: str | None = None,
        **others: t.Any,
    ) -> FleetNode:
        """See :meth:`Fleet.start_node`; the ports stay when the node is restarted."""
        ports = {f"{kind}_port": free_port(ADDRESS) for kind in ("caller", "peer", "operator")}
        log = {"format": "json"}
        target_port = target_port or free_port(ADDRESS)
        return await super().start_node(name, data_centre, target_port, log_url, log=log, **ports)

    async def start_mixed(self) -> None:
        """Start the log, the nodes and the targets, and wait until all targets are ready."""
        await self.start()
        for number, (data_centre, service, version) in enumerate(PLACEMENTS, 1):
            name = f"node-{number}"
            self.build_by_program[name] = self.builds.of(number)
            self.build_by_program[f"{name}-restarted"] = self.builds.of(number, swapped=True)
            node = await self.start_node(name, data_centre)
            arguments = FAULTY if version == FAULTY_VERSION else ()
            await self.start_target(name, service, version, node.target_port, *arguments)
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


class LogDesign:
    """The checks on one fleet; nodes 1 and 2 start with the old and the new build."""

    def __init__(self, builds: Builds, report: Report, fleet: MixedFleet) -> None:
        self._builds = builds
        self._report = report
        self._fleet = fleet

    async def run(self) -> None:
        """Run all checks in order."""
        await self._fleet.start_mixed()
        await self._check_publish(self._builds.old, "node-2", "first", FIRST_DOCUMENT)
        load = await self._start_load("moves", self._fleet.nodes, MOVES_LOAD_S)
        await self._check_publish(self._builds.new, "node-1", "second", SECOND_DOCUMENT)
        await self._check_move(self._builds.old, "node-2", "good", "v2", "v1 to v2: done")
        await self._check_move(self._builds.new, "node-1", "bad", "v3", "v2 to v3: taken back")
        await self._check_load("calls during publish and moves", load)
        statuses = await self._check_digests("before the swap")
        await self._check_reading_commands("before the swap")
        await self._swap()
        after = await self._check_digests("after the swap")
        kept = (statuses[0].offset, statuses[0].digest) == (after[0].offset, after[0].digest)
        details = f"version {after[0].offset}, digest {after[0].digest}"
        self._report.add("log: the swap keeps version and digest", kept, details)
        await self._check_reading_commands("after the swap")
        await self._stop()

    async def _check_publish(
        self, build: Build, node_name: str, publish_id: str, document: t.Any
    ) -> None:
        file = self._report.scratch / f"{publish_id}.json"
        file.write_text(json.dumps(document), encoding="utf-8")
        node = self._fleet.nodes_by_name[node_name]
        status, output, errors = await self._fleet.command(
            build, node, "publish", str(file), "--publish-id", publish_id
        )
        passed = status == 0 and f"in force on {len(PLACEMENTS)} nodes" in output
        name = f"log: publish by the {build.name} command line at {self._describe(node)}"
        self._report.add(name, passed, output + errors)

    async def _check_move(
        self, build: Build, node_name: str, move_id: str, version: str, expected: str
    ) -> None:
        node = self._fleet.nodes_by_name[node_name]
        arguments = ("--to", version, "--by", MOVE_TIME, "--wait", "--publish-id", move_id)
        status, output, errors = await self._fleet.command(build, node, "move", "plots", *arguments)
        decision = output.strip().rpartition("\n")[2]
        name = (
            f"log: the {move_id} move, by the {build.name} command line at {self._describe(node)}"
        )
        passed = status == 0 and expected in output
        self._report.add(name, passed, f"{expected}; {decision}" if passed else output + errors)

    async def _start_load(self, name: str, nodes: t.Sequence[FleetNode], seconds: float) -> Program:
        urls = [node.caller_url for node in nodes]
        return await self._fleet.start_load(name, urls, seconds, PATHS, CALLS_PER_S)

    async def _check_load(self, name: str, load: Program) -> None:
        """Check that no call was lost, doubled, crossed, cut or falsely refused."""
        summary = await load_summary(load)
        passed = summary["answered"] > 0 and not any(summary[name] for name in VIOLATIONS)
        names = ("calls", "answered", "errors", "not_run", "unknown", *VIOLATIONS)
        counts = ", ".join(f"{name} {summary[name]}" for name in names)
        self._report.add(f"log: {name} are intact", passed, counts)

    async def _check_digests(self, when: str) -> list[NodeStatus]:
        """Check that all nodes get to one version and digest; return their statuses."""
        await self._fleet.wait_converged(0)
        statuses = [await self._fleet.status(node) for node in self._fleet.nodes]
        digests = {status.digest for status in statuses}
        details = f"{len(statuses)} nodes, version {statuses[0].offset}, {', '.join(digests)}"
        self._report.add(f"log: digests are equal {when}", len(digests) == 1, details)
        return statuses

    async def _check_reading_commands(self, when: str) -> None:
        """Compare the output of both command lines at a node of each build."""
        for line in READING_COMMANDS:
            failures = []
            for node in self._fleet.nodes[:2]:
                own_build = self._build_of(node)
                own, other = await asyncio.gather(
                    *(
                        self._fleet.command(build, node, *line.split())
                        for build in (own_build, self._builds.other(own_build))
                    )
                )
                if own[0] or other[0] or _stable(own[1]) != _stable(other[1]):
                    failures.append(f"{self._describe(node)}: own {own}, other {other}")
            name = f"log: `{line}` {when} is the same by either command line at either build"
            self._report.add(name, not failures, "\n".join(failures))

    async def _swap(self) -> None:
        """Restart every node with the other build; half of them serve while the others restart."""
        nodes = self._fleet.nodes
        half = len(nodes) // 2
        for name, staying, leaving in (
            ("second", nodes[:half], nodes[half:]),
            ("first", nodes[half:], nodes[:half]),
        ):
            staying = [self._fleet.nodes_by_name[node.name] for node in staying]
            load = await self._start_load(f"swap-{name}", staying, SWAP_LOAD_S)
            for node in leaving:
                await self._fleet.restart_node(node)
            await self._fleet.wait_ready(len(PLACEMENTS))
            await self._check_load(f"calls while the {name} half is restarted swapped", load)

    async def _stop(self) -> None:
        """Stop the nodes, check the logs, and keep those of the old build's nodes."""
        statuses = [await node.program.terminate() for node in self._fleet.nodes]
        self._report.add("log: all nodes stop", not any(statuses), f"exit statuses {statuses}")
        programs = self._fleet.programs_by_name
        logs = {name: program.errors() for name, program in programs.items()}
        self._report.add_log_check("log: nothing unreadable, no traceback", logs)
        for name, log in logs.items():
            is_node = name.startswith("node-")
            if is_node and self._fleet.build_by_program[name] is self._builds.old:
                self._report.keep_old_log(f"old-{name}", log)

    def _build_of(self, node: FleetNode) -> Build:
        swapped = f"{node.name}-restarted" in self._fleet.programs_by_name
        return self._builds.of(int(node.name.partition("-")[2]), swapped)

    def _describe(self, node: FleetNode) -> str:
        return f"{node.name} ({self._build_of(node).name})"


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
