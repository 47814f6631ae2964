"""Exit status and output of the operators' commands on valid and invalid input."""

import asyncio
import pathlib
import tempfile
import zlib

from tests.processes.fleet import FleetTestCase
from tests.processes.programs import Program

DOCUMENT = """{
    // Two services.
    "services": {"plots": {"version": "v1"}, "payments": {"version": "v1"}},
    "routes": {"/plots": {"service": "plots"}, "/payments": {"service": "payments"}},
}"""
FILES = {
    "good.json": DOCUMENT,
    "dangling.json": '{"routes": {"/dues": {"service": "dues"}}}',
    "schema.json": '{"schema": 99, "services": {}}',
    "level.json": '{"schema": 2}',
    "broken.json": '{"services": ',
    "typed.json": '{"services": {"plots": {"version": 1}}}',
    "more.json": '{"services": {"dues": {"version": "v1"}}}',
}
SETTINGS = """{
    "node_id": "celje-a-1", "data_centre": "celje-a", "address": "127.0.0.1",
    "caller_port": 0, "peer_port": 0, "target_port": 0, "operator_port": 0,
    "platform": {"url": "http://127.0.0.1:9"},
}"""
UNREACHABLE = "http://127.0.0.1:9"

STEPS: tuple[tuple[tuple[str, int, str], ...], ...] = (
    # Commands of one step run concurrently: arguments, exit status, a part of the output.
    (
        ("--help", 0, "Exit status: 0 done"),
        ("publish --help", 0, "--publish-id"),
        ("publish", 2, ""),
        ("nonsense", 2, ""),
        ("check good.json", 0, "well-formed"),
        ("check broken.json", 2, "broken.json: not JSON with comments"),
        ("check typed.json", 2, "$.services"),
        ("check missing.json", 2, "cannot be read"),
        ("check dangling.json --node NODE", 2, "points at unknown service 'dues'"),
    ),
    (
        ("publish good.json --dry-run", 0, "+ service plots"),
        ("status --json", 0, '"offset": -1'),
        (f"status --node {UNREACHABLE}", 1, "could not be asked"),
        (f"status --node {UNREACHABLE},NODE", 0, "node celje-a-0"),
        (f"publish good.json --log {UNREACHABLE} --timeout-s 0.1", 1, "repeat the same command"),
    ),
    (("publish dangling.json", 2, "rejected at offset 0: route '/dues' points at unknown"),),
    (("publish schema.json", 2, "schema 99 is above the supported schema"),),
    (("publish level.json", 2, "unknown schema 2: level 1 is enabled"),),
    (("publish good.json --publish-id first --operator ana", 0, "in force on 1 nodes"),),
    (("publish good.json --publish-id first --operator ana", 0, "version 2 in force"),),
    (
        ("diff more.json", 0, "+ service dues"),
        ("get", 0, '"service/plots": 2'),
        ("move plots --to v2 --by 10s", 2, "'10s' is neither"),
        ("move plots --to v1 --by +1h", 2, "at version 'v1' already"),
    ),
    (("move plots --to v2 --by +1h --publish-id m1", 0, "move m1 stated"),),
    (
        ("move plots --to v3 --by +1h", 2, "active move"),
        ("why m1", 0, "stated by"),
        ("why m2", 1, "unknown move"),
    ),
    (("withdraw m1 --reason mistaken --operator bor", 0, "move m1 withdrawn"),),
    (
        ("withdraw m1", 2, "withdrawn already"),
        ("status --fleet", 0, "in force on 1 of 1 nodes"),
        ("history --since 1h", 0, "became: withdrawn: mistaken, at offset"),
        ("history --since yesterday", 2, "neither 30s"),
        ("watch --seconds 0.5", 0, "watching from version"),
    ),
)


class CommandLineTests(FleetTestCase):
    async def test_commands_exit_with_status_and_message(self) -> None:
        await self.fleet.start(("celje-a", "plots"))
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)
        for name, text in FILES.items():
            (self.directory / name).write_text(text, encoding="utf-8")
        for step in STEPS:
            started = await asyncio.gather(*(self.start_command(line) for line, _, _ in step))
            for program, (line, status, part) in zip(started, step, strict=True):
                with self.subTest(line):
                    await self.assert_exit(program, status, part)

    async def start_command(self, line: str) -> Program:
        node_url = self.fleet.nodes[0].operator_url
        words = [
            str(self.directory / word) if word.endswith(".json") else word
            for word in line.replace("NODE", node_url).split()
        ]
        variables = {"BULRUSHFLOW_LOG": self.fleet.log_url, "BULRUSHFLOW_NODE": node_url}
        name = f"command-{zlib.crc32(line.encode())}"
        return await self.fleet.start_program("bulrushflow", name, *words, variables=variables)

    async def assert_exit(self, program: Program, status: int, part: str) -> None:
        ended, output = await program.output()
        printed = output + program.errors()
        self.assertEqual(ended, status, printed)
        self.assertIn(part, printed)
        if status:
            self.assertEqual(output, "", printed)


class NodeCommandTests(FleetTestCase):
    async def test_settings_are_validated_without_starting_the_node(self) -> None:
        cases: tuple[tuple[str, list[str], int, str], ...] = (
            (SETTINGS, ["--check-settings"], 0, "sound"),
            (SETTINGS, ["--check-settings", "--address", "here"], 2, "$.address: 'here' is not"),
            (
                SETTINGS.replace('"peer_port": 0', '"peer_port": "x"'),
                [],
                2,
                "$.peer_port: Expected",
            ),
            (SETTINGS, ["--check-settings", "--nonsense"], 2, ""),
            ("{", [], 2, "$: not JSON"),
        )
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        for i, (text, options, status, part) in enumerate(cases):
            file = pathlib.Path(directory.name) / f"{i}.json"
            file.write_text(text, encoding="utf-8")
            with self.subTest(part):
                program = await self.fleet.start_program(
                    "bulrushflow-node", f"node-{i}", str(file), *options
                )
                ended, output = await program.output()
                self.assertEqual(ended, status, program.errors())
                self.assertIn(part, output + program.errors())
