"""Starts and stops a log, nodes and targets on loopback for the call benchmarks."""

import asyncio
import json
import pathlib
import signal
import socket
import subprocess
import sys
import time
import typing as t

import aiohttp
import msgspec

READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1


class Pair(t.NamedTuple):
    """A node and its own target, with their URLs."""

    node: subprocess.Popen[bytes]
    target: subprocess.Popen[bytes]
    caller_url: str
    operator_url: str
    target_url: str


class Fleet:
    """A log, nodes and targets as child processes.

    :param directory: for the nodes' settings and the processes' output.
    :param base_port: the log's port; the pair of number n uses ports from ``base_port + 10 * n``.
    """

    def __init__(self, directory: pathlib.Path, base_port: int) -> None:
        self._directory = directory
        self.base_port = base_port
        self._program_directory = pathlib.Path(sys.executable).parent
        self._processes: list[subprocess.Popen[bytes]] = []
        self.pairs: list[Pair] = []
        self.log_url = f"http://127.0.0.1:{base_port}"
        self._start("log", "bulrushflow-standin-log", "--port", str(base_port))

    def add_pair(self, service: str, version: str, slots: int, behaviour: dict[str, t.Any]) -> Pair:
        """Start a node and its target.

        :param behaviour: the target's simulated behaviour, see :mod:`bulrushflow.standins.target`.
        """
        number = len(self.pairs) + 1
        port = self.base_port + 10 * number
        settings = {
            "node_id": f"celje-a-{number}",
            "data_centre": "celje-a",
            "address": "127.0.0.1",
            "caller_port": port,
            "peer_port": port + 1,
            "target_port": port + 2,
            "operator_port": port + 3,
            "platform": {"url": self.log_url},
        }
        path = self._directory / f"node-{number}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        node = self._start(f"node-{number}", "bulrushflow-node", str(path))
        target = self._start(
            f"target-{number}",
            "bulrushflow-standin-target",
            *("--service", service, "--version", version, "--slots", str(slots)),
            *("--port", str(port + 4), "--node", f"http://127.0.0.1:{port + 2}"),
            *("--behaviour", json.dumps(behaviour)),
        )
        url = "http://127.0.0.1:{}".format
        pair = Pair(node, target, url(port), url(port + 3), url(port + 4))
        self.pairs.append(pair)
        return pair

    def add_bare_proxy(self, port: int, target_url: str) -> str:
        """Start :mod:`benchmarks.bare_proxy` and return its URL."""
        command = [sys.executable, "-m", "benchmarks.bare_proxy", str(port), target_url]
        self._start_command("bare-proxy", command)
        return f"http://127.0.0.1:{port}"

    def publish(self, document: dict[str, t.Any]) -> None:
        """Publish a configuration with services and routes.

        :raises subprocess.CalledProcessError: when publishing fails.
        """
        path = self._directory / "configuration.json"
        path.write_text(json.dumps(document), encoding="utf-8")
        command = [str(self._program_directory / "bulrushflow"), "publish", str(path)]
        self._wait_for_log()
        urls = ["--log", self.log_url, "--node", self.pairs[0].operator_url]
        subprocess.run([*command, *urls], check=True, stdout=subprocess.DEVNULL)

    async def wait_until_answered(self, urls: list[str]) -> None:
        """Wait until every URL responds with status 200.

        :raises TimeoutError: when that takes longer than :data:`READY_TIMEOUT_S`.
        """
        async with aiohttp.ClientSession() as session, asyncio.timeout(READY_TIMEOUT_S):
            for url in urls:
                is_answered = await _is_answered(session, url)
                while not is_answered:
                    await asyncio.sleep(POLL_INTERVAL_S)
                    is_answered = await _is_answered(session, url)

    def stop(self) -> int:
        """Stop every process, the last started first.

        :return: number of processes that exited with an error or had to be killed.
        """
        failed = 0
        for process in reversed(self._processes):
            process.send_signal(signal.SIGTERM)
            try:
                failed += process.wait(STOP_TIMEOUT_S) != 0
            except subprocess.TimeoutExpired:
                process.kill()
                failed += 1
        return failed

    def _wait_for_log(self) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                socket.create_connection(("127.0.0.1", self.base_port), POLL_INTERVAL_S).close()
                return
            except OSError:
                time.sleep(POLL_INTERVAL_S)

    def _start(self, name: str, program: str, *arguments: str) -> subprocess.Popen[bytes]:
        return self._start_command(name, [str(self._program_directory / program), *arguments])

    def _start_command(self, name: str, command: list[str]) -> subprocess.Popen[bytes]:
        with (self._directory / f"{name}.log").open("wb") as output:
            process = subprocess.Popen(command, stdout=output, stderr=output)
        self._processes.append(process)
        return process


def cpu_seconds(process: subprocess.Popen[bytes]) -> float:
    """Return the processor time in seconds that the main thread of a process has used."""
    path = pathlib.Path(f"/proc/{process.pid}/schedstat")
    return int(path.read_text(encoding="ascii").split()[0]) / 1e9


async def _is_answered(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        headers = {"x-request-id": "ready", "x-tenant": "ready"}
        async with session.get(url, headers=headers) as response:
            return response.status == 200
    except (aiohttp.ClientError, OSError):
        return False


def print_table(rows: t.Sequence[msgspec.Struct]) -> None:
    """Print rows of one type as a table; field names are the head."""
    names = rows[0].__struct_fields__
    table = [names, *[[_format_cell(getattr(row, name)) for name in names] for row in rows]]
    widths = [max(len(cells[i]) for cells in table) for i in range(len(names))]
    for cells in table:
        print("  ".join(cell.rjust(width) for cell, width in zip(cells, widths, strict=True)))
    print()


def _format_cell(value: t.Any) -> str:
    return f"{value:.2f}" if isinstance(value, float) else str(value)
