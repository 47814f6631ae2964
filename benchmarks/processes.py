"""Starts the programs for a benchmark and reads their logs from standard error."""

import asyncio
import datetime
import json
import os
import pathlib
import re
import signal
import sys
import time
import typing as t
from dataclasses import dataclass

START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 30.0
POLL_S = 0.1

_PORTS = re.compile(r"callers (\d+), nodes (\d+), target (\d+), operators (\d+)")
_VERSION = re.compile(r"configuration version (\d+) in force")


@dataclass(slots=True)
class Program:
    """A running program and the file with its standard error."""

    process: asyncio.subprocess.Process
    output: pathlib.Path

    async def wait_for_output(self, pattern: re.Pattern[str]) -> re.Match[str]:
        """Wait for the first match in the output and return it.

        :raises TimeoutError: when nothing matches within ``START_TIMEOUT_S``.
        """
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                match = pattern.search(self.output.read_text())
                if match:
                    return match
                await asyncio.sleep(POLL_S)

    async def stop(self) -> None:
        """Terminate the program, and kill it if it is still running after ``STOP_TIMEOUT_S``."""
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            self.process.kill()

    def resident_bytes(self) -> int:
        """Return the resident memory in bytes."""
        fields = pathlib.Path(f"/proc/{self.process.pid}/statm").read_text().split()
        return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")

    def processor_s(self) -> float:
        """Return the user and system time used so far, in seconds."""
        fields = (
            pathlib.Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        )
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def start(program: str, output: pathlib.Path, *arguments: str) -> Program:
    """Start one of the installed programs of this package."""
    path = pathlib.Path(sys.executable).with_name(program)
    with output.open("wb") as file:
        process = await asyncio.create_subprocess_exec(str(path), *arguments, stderr=file)
    return Program(process, output)


async def start_log(directory: pathlib.Path) -> tuple[Program, str]:
    """Start the log stand-in and return it with its URL."""
    program = await start("bulrushflow-standin-log", directory / "log.err")
    match = await program.wait_for_output(re.compile(r"listens on 127\.0\.0\.1:(\d+)"))
    return program, f"http://127.0.0.1:{match[1]}"


async def start_node(
    directory: pathlib.Path, node_id: str, data_centre: str, log_url: str
) -> Program:
    """Start a node on ports assigned by the system."""
    settings = {
        "node_id": node_id,
        "data_centre": data_centre,
        "address": "127.0.0.1",
        "caller_port": 0,
        "peer_port": 0,
        "target_port": 0,
        "operator_port": 0,
        "platform": {"url": log_url},
        "log": {"format": "json"},
    }
    path = directory / f"{node_id}.json"
    path.write_text(json.dumps(settings))
    return await start("bulrushflow-node", directory / f"{node_id}.err", str(path))


async def operator_url(node: Program) -> str:
    """Wait until a node listens and return the URL of its operator endpoint."""
    match = await node.wait_for_output(_PORTS)
    return f"http://127.0.0.1:{match[4]}"


def in_force_at(node: Program, offset: int) -> float | None:
    """Return when a version or a later one came into force on a node, in epoch seconds.

    Returns ``None`` while the node has an older version.
    """
    for line in node.output.read_text().splitlines():
        match = _VERSION.search(line)
        if match and int(match[1]) >= offset:
            return datetime.datetime.fromisoformat(json.loads(line)["time"]).timestamp()
    return None


async def wait_in_force(
    nodes: t.Sequence[Program], offset: int, timeout_s: float
) -> list[float | None]:
    """Wait until a version or a later one is in force on all nodes, for ``timeout_s`` at most.

    Returns the time for each node in epoch seconds, ``None`` for those that did not reach it.
    """
    deadline = time.monotonic() + timeout_s
    times: list[float | None] = [None] * len(nodes)
    while True:
        for i, node in enumerate(nodes):
            if times[i] is None:
                times[i] = in_force_at(node, offset)
        if all(at is not None for at in times) or time.monotonic() >= deadline:
            return times
        await asyncio.sleep(POLL_S)
