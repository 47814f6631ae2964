"""Measures the processor time of sidecars over a long series of configuration changes.

Usage: ``python -m benchmarks.long_day [--nodes N] [--changes N] [--routes N] [--seed N]``. Real
sidecar processes read a stand-in of the store, and each passes calls to a target. The processor
time is that of the middle node, in milliseconds: of its start, of a second without work, of each
change in each third of the series, and of each call that callers send to it. With
``--forwarded`` only the first node has a target, so the figures of a call are those of the nodes
that forward it, and the most is that of the first node, divided by the calls of one other node.
``--profile DIRECTORY`` has the nodes write profiles, whose own cost is then in the figures.
"""

import argparse
import asyncio
import compileall
import contextlib
import json
import os
import pathlib
import random
import signal
import statistics
import sys
import tempfile
import typing as t

import aiohttp
from aiohttp import web

from bulrushflow.platform.configuration import CONFIGURATION_KEY
from bulrushflow.platform.headers import HEADER_NAMES
from tests.platform.standin import StoreStandIn
from tests.sidecar.servers import free_port

SOURCE = pathlib.Path(__file__).resolve().parents[1] / "src"
HOST = "host-0.example"
SERVICE = "service-0"
PATH = "/prefix-0/1"
HOSTS = 3
SERVICES = 40
ORGANISATIONS = 12
TIMEOUT_S = 30.0
POLL_S = 0.01
IDLE_S = 5.0
CALLS_IN_FLIGHT = 2
SETTINGS = """
nodeName = "sidecar-{number}"
ip = "{address}"
zone = "celje"
internalPortRange = [{ports[0]}, {ports[1]}]
appAddr = "{target}"
service = "service-0"
[listen]
outbound = "{address}:{ports[2]}"
ready = "{address}:{ports[3]}"
control = "{address}:{ports[4]}"
[platform]
address = "{store}"
[limits]
linkMbps = {link_mbps}
"""


class Document:
    """The operator's configuration, of which each version changes one route."""

    def __init__(self, routes: int, rng: random.Random) -> None:
        self._rng = rng
        self._rules = [_rule(number) for number in range(routes)]
        self._document: dict[str, t.Any] = {
            "version": 0,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864},
            "tenants": [_organisation(number) for number in range(ORGANISATIONS)],
            "listeners": [
                {"host": f"host-{number}.example", "ruleSet": self._rules[number::HOSTS]}
                for number in range(HOSTS)
            ],
            "clusters": [
                {"name": f"service-{number}", "maxConnections": 470} for number in range(SERVICES)
            ],
        }

    @property
    def version(self) -> int:
        """Version of the latest document."""
        version: int = self._document["version"]
        return version

    def next(self) -> bytes:
        """Return the next version, with the timeout of one route changed."""
        self._document["version"] += 1
        action = self._rng.choice(self._rules)["action"]
        action["timeout"] = f"{self._rng.randrange(5000, 9000)}ms"
        return json.dumps(self._document, separators=(",", ":")).encode()


def _rule(number: int) -> dict[str, t.Any]:
    return {
        "name": f"route-{number}",
        "kind": "safe",
        "targetLatency": "893ms",
        "priority": 1,
        "allowAnonymous": True,
        "match": {"pathPrefix": f"/prefix-{number}/"},
        "action": {
            "service": f"service-{number % SERVICES}",
            "timeout": "5000ms",
            "maxAttempts": 2,
        },
    }


def _organisation(number: int) -> dict[str, t.Any]:
    keys = [f"key-{number}-{part}-of-an-organisation" for part in range(2)]
    return {
        "name": f"organisation-{number}",
        "apiKeys": keys,
        "priority": 1,
        "ratePerS": 331,
        "burst": 331,
    }


class Node:
    """One sidecar process on a loopback address of its own, with its settings file."""

    def __init__(
        self, number: int, directory: pathlib.Path, target: str, store: str, link_mbps: float
    ) -> None:
        self.number = number
        self.address = f"127.0.1.{number}"
        ports = [free_port(self.address) for _ in range(5)]
        self.caller_url, self.ready_url, self.announcement_url = (
            f"http://{self.address}:{port}" for port in ports[2:]
        )
        self._settings_file = directory / f"sidecar-{number}.toml"
        self._settings_file.write_text(
            SETTINGS.format(
                number=number,
                address=self.address,
                ports=ports,
                target=target,
                store=store,
                link_mbps=link_mbps,
            )
        )
        self._process: asyncio.subprocess.Process | None = None

    async def start(self, profiles: pathlib.Path | None) -> None:
        """Start the process."""
        profiler: list[str] = []
        if profiles is not None:
            profiler = ["-m", "cProfile", "-o", str(profiles / f"sidecar-{self.number}.prof")]
        variables = {
            "BULRUSHFLOW_NODE_FILE": str(self._settings_file),
            "PYTHONPATH": str(SOURCE),
            "SSL_CERT_FILE": os.devnull,  # As in deploy/system.toml.
        }
        with self._settings_file.with_suffix(".log").open("wb") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                *profiler,
                str(SOURCE / "bulrushflow_sidecar.py"),
                env={**os.environ, **variables},
                stdout=log,
                stderr=log,
            )

    async def stop(self) -> None:
        """Terminate the process, and kill it if it doesn't end in time."""
        if self._process is None or self._process.returncode is not None:
            return
        self._process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self._process.wait(), TIMEOUT_S)
        except TimeoutError:
            self._process.kill()

    def processor_ms(self) -> float:
        """Return the user and system time that the process has used, in milliseconds."""
        assert self._process is not None
        schedule = pathlib.Path(f"/proc/{self._process.pid}/schedstat").read_text()
        return int(schedule.split()[0]) / 1e6


class Day:
    """The store, the target, the nodes and the session of their callers."""

    def __init__(self, arguments: argparse.Namespace, session: aiohttp.ClientSession) -> None:
        self._arguments = arguments
        self._session = session
        self._store = StoreStandIn()
        self._body = b"r" * arguments.response_bytes
        self._target = web.ServerRunner(web.Server(self._respond, access_log=None))
        self._document = Document(arguments.routes, random.Random(arguments.seed))
        self._nodes: list[Node] = []
        self._calls = 0

    async def run(self, directory: pathlib.Path) -> None:
        """Start the nodes one after another, then measure each kind of work by itself."""
        store = await self._store.start()
        await self._target.setup()
        await web.TCPSite(self._target, "127.0.0.1", 0).start()
        host, port = self._target.addresses[0][:2]
        self._publish()
        for number in range(1, self._arguments.nodes + 1):
            link_mbps = self._arguments.link_mbps
            node = Node(number, directory, f"{host}:{port}", str(store), link_mbps)
            await node.start(self._arguments.profile)
            self._nodes.append(node)
            await self._wait_in_force(node)
            if number == 1 or not self._arguments.forwarded:
                await self._announce(node, f"{host}:{port}")
        _print("start", [node.processor_ms() for node in self._nodes])
        idle_ms = await self._measure_idle()
        await self._measure_changes(idle_ms)
        await self._measure_calls()

    async def close(self) -> None:
        """Stop the nodes, the target and the store."""
        await asyncio.gather(*(node.stop() for node in self._nodes))
        await self._target.cleanup()
        await self._store.stop()

    def _publish(self) -> None:
        self._store.put("keyed.op", CONFIGURATION_KEY, self._document.next())

    async def _wait_in_force(self, node: Node) -> None:
        """Wait until a node is ready with the latest configuration in force."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    async with self._session.get(f"{node.ready_url}/-/ready") as response:
                        if (await response.json())["configuration"] == self._document.version:
                            return
                await asyncio.sleep(POLL_S)

    async def _announce(self, node: Node, target: str) -> None:
        announcement = {
            "service": SERVICE,
            "address": target,
            "zone": "celje",
            "version": "v1",
            "slots": 20,
            "state": "ready",
            "seq": 1,
            "born": 1,
        }
        url = f"{node.announcement_url}/-/instances/target-{node.number}"
        async with self._session.put(url, json=announcement) as response:
            response.raise_for_status()

    async def _measure_idle(self) -> float:
        """Return the median of the nodes' processor time for a second without work."""
        await asyncio.sleep(IDLE_S)
        before = self._processor_ms()
        await asyncio.sleep(IDLE_S)
        return _print("idle second", self._since(before, IDLE_S))

    async def _measure_changes(self, idle_ms: float) -> None:
        changes = max(1, self._arguments.changes // 3)
        period_s = self._arguments.period_s
        for part in ("first", "second", "last"):
            before = self._processor_ms()
            for _ in range(changes):
                self._publish()
                await asyncio.sleep(period_s)
            for node in self._nodes:
                await self._wait_in_force(node)
            each = [spent - idle_ms * period_s for spent in self._since(before, changes)]
            _print(f"change, {part} third", each)

    async def _measure_calls(self) -> None:
        before = self._processor_ms()
        calls = self._arguments.calls
        called = self._nodes[1:] if self._arguments.forwarded else self._nodes
        await asyncio.gather(*(self._call_node(node, calls) for node in called))
        _print("call", self._since(before, calls))

    async def _call_node(self, node: Node, count: int) -> None:
        async def call(times: int) -> None:
            for _ in range(times):
                self._calls += 1
                headers = {
                    "Host": HOST,
                    HEADER_NAMES.request_id: f"call-{self._calls}",
                    HEADER_NAMES.timeout_ms: "5000",
                }
                async with self._session.get(node.caller_url + PATH, headers=headers) as response:
                    await response.read()
                    response.raise_for_status()

        await asyncio.gather(*(call(count // CALLS_IN_FLIGHT) for _ in range(CALLS_IN_FLIGHT)))

    async def _respond(self, request: web.BaseRequest) -> web.Response:
        headers = {
            HEADER_NAMES.request_id: request.headers[HEADER_NAMES.request_id],
            HEADER_NAMES.signature: "signed",
        }
        return web.Response(headers=headers, body=self._body)

    def _processor_ms(self) -> list[float]:
        return [node.processor_ms() for node in self._nodes]

    def _since(self, before: t.Sequence[float], divisor: float) -> list[float]:
        spent = zip(self._processor_ms(), before, strict=True)
        return [(now - earlier) / divisor for now, earlier in spent]


def _print(name: str, values: t.Sequence[float]) -> float:
    """Print the figures of all nodes and return their median."""
    median = statistics.median(values)
    print(
        f"{name:20} {median:8.2f} ms (least {min(values):.2f}, most {max(values):.2f})", flush=True
    )
    return median


async def measure(arguments: argparse.Namespace) -> None:
    """Run the benchmark and print its figures."""
    # A deployment has the bytecode too; without it, a start would take 0.16 s more.
    compileall.compile_dir(str(SOURCE), quiet=1)
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    with tempfile.TemporaryDirectory(prefix="long-day-") as directory:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            day = Day(arguments, session)
            try:
                await day.run(pathlib.Path(directory))
            finally:
                await day.close()


def main() -> None:
    """Run the program."""
    parser = argparse.ArgumentParser(prog="long_day", description=__doc__)
    parser.add_argument("--nodes", type=int, default=4)
    parser.add_argument("--changes", type=int, default=300)
    parser.add_argument("--period-s", type=float, default=0.25, help="time between changes")
    parser.add_argument("--routes", type=int, default=800)
    parser.add_argument("--calls", type=int, default=1000, help="calls to each node")
    parser.add_argument("--forwarded", action="store_true", help="only one node has a target")
    parser.add_argument("--response-bytes", type=int, default=10)
    parser.add_argument("--link-mbps", type=float, default=100.0, help="bandwidth of each node")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--profile", type=pathlib.Path, help="directory for the nodes' profiles")
    asyncio.run(measure(parser.parse_args()))


if __name__ == "__main__":
    main()
