"""Sidecar processes with their settings, planned stops and restarts."""

import asyncio
import pathlib
import signal
import time
import typing as t

import aiohttp

from benchmarks.soak.events import Record
from benchmarks.soak.events import Reload
from benchmarks.soak.events import Stop
from benchmarks.soak.targets import SLOTS
from benchmarks.soak.targets import Target
from bulrushflow.sidecar.settings import Endpoint
from tests.processes.programs import Program

PEER_PORT, METRICS_PORT = 17620, 17621
CALLER_PORT, READINESS_PORT, ANNOUNCEMENT_PORT, TARGET_PORT = 17622, 17623, 17624, 17625
WIDE_LINK_MBPS = 12.0
READINESS_POLL_S = 1.0
READINESS_TIMEOUT_S = 1.0
FAILED_POLLS = 2
"""Polls in a row that take a node out of the callers' rotation."""
HEARTBEAT_S = 1.5
EXIT_POLL_S = 0.02
RESTART_DELAY_S = 0.2
SETTINGS = """
nodeName = "{name}"
ip = "{address}"
zone = "{zone}"
internalPortRange = [{peer_port}, {metrics_port}]
appAddr = "{address}:{target_port}"
service = "{service}"
contracts = ["base", "drain", "config", "retry", "pool"]
[listen]
outbound = "{address}:{caller_port}"
ready = "{address}:{readiness_port}"
control = "{address}:{announcement_port}"
[limits]
linkMbps = {link_mbps}
[bounds]
grace = "{grace_ms}ms"
retryBudgetSlack = {retry_slack}
[platform]
address = "{store}"
"""


class SidecarNode:
    """One sidecar on an address of its own, beside a target that keeps running."""

    def __init__(
        self,
        name: str,
        address: str,
        zone: str,
        target: Target,
        link_mbps: float,
        store: Endpoint,
        directory: pathlib.Path,
        record: Record,
        session: aiohttp.ClientSession,
        now: t.Callable[[], float],
    ) -> None:
        self.name = name
        self.address = address
        self.in_rotation = False
        """Whether callers open connections to this node."""
        self._target = target
        self._zone = zone
        self._link_mbps = link_mbps
        self._store = store
        self._directory = directory
        self._record = record
        self._session = session
        self._now = now
        self._reloads = 0
        self._starts = 0
        self._program: Program | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._stop: Stop | None = None
        """The stop under way."""

    async def start(self) -> None:
        """Start the process, and keep it running until :meth:`close`."""
        self._write_settings()
        await self._start_program()
        for coroutine in (self._supervise(), self._poll_readiness(), self._announce()):
            self._tasks.append(asyncio.create_task(coroutine))

    async def close(self) -> None:
        """Kill the process."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._program is not None:
            await self._program.kill()

    def stop(self) -> bool:
        """Send SIGTERM, unless the node is starting or stopping; return whether it was sent."""
        if self._stop is not None or not self.in_rotation or self._program is None:
            return False
        self._stop = Stop(self.name, self._now())
        self._record.stops.append(self._stop)
        self._program.signal(signal.SIGTERM)
        return True

    def reload(self) -> bool:
        """Change the settings and send SIGHUP, unless the node is starting."""
        if not self.in_rotation or self._program is None:
            return False
        self._reloads += 1
        self._write_settings()
        self._record.reloads.append(Reload(self.name, self._now()))
        self._program.signal(signal.SIGHUP)
        return True

    @property
    def _settings_file(self) -> pathlib.Path:
        return self._directory / f"{self.name}.toml"

    def _write_settings(self) -> None:
        text = SETTINGS.format(
            name=self.name,
            address=self.address,
            zone=self._zone,
            service=self._target.service,
            peer_port=PEER_PORT,
            metrics_port=METRICS_PORT,
            caller_port=CALLER_PORT,
            readiness_port=READINESS_PORT,
            announcement_port=ANNOUNCEMENT_PORT,
            target_port=TARGET_PORT,
            link_mbps=self._link_mbps,
            grace_ms=round(self._record.grace_s * 1000),
            retry_slack=60 + self._reloads,
            store=self._store,
        )
        # Replaced at once: the node may read it at any moment.
        changed = self._settings_file.with_suffix(".new")
        changed.write_text(text, encoding="utf-8")
        changed.replace(self._settings_file)

    async def _start_program(self) -> None:
        self._starts += 1
        variables = {"BULRUSHFLOW_NODE_FILE": str(self._settings_file)}
        log = self._directory / f"{self.name}-{self._starts}.log"
        self._program = await Program.start("bulrushflow-sidecar", [], log, variables)

    async def _supervise(self) -> None:
        """Kill the process at the end of its grace period, and start it again once it ended."""
        while True:
            await asyncio.sleep(EXIT_POLL_S)
            assert self._program is not None
            stop = self._stop
            if not self._program.ended:
                if stop is not None and self._now() - stop.at >= self._record.grace_s:
                    await self._program.kill()
                continue
            exit_status = await self._program.terminate()
            if stop is None:
                exited = f"{self.name}-{self._starts} ended with status {exit_status}"
                self._record.unplanned_exits.append(f"{exited} at {self._now():.3f} s")
            else:
                stop.ended_at = self._now()
                stop.exit_status = exit_status
                # It may have ended at the same moment.
                stop.killed = exit_status == -signal.SIGKILL
            self.in_rotation = False
            self._stop = None
            await asyncio.sleep(RESTART_DELAY_S)
            await self._start_program()

    async def _poll_readiness(self) -> None:
        url = f"http://{self.address}:{READINESS_PORT}/-/ready"
        failed = 0
        while True:
            if await self._status("GET", url) == 200:
                failed = 0
                self.in_rotation = True
            else:
                failed += 1
                if failed >= FAILED_POLLS:
                    self.in_rotation = False
            await asyncio.sleep(READINESS_POLL_S)

    async def _announce(self) -> None:
        """Announce the target to this node, as the target does."""
        url = f"http://{self.address}:{ANNOUNCEMENT_PORT}/-/instances/{self._target.name}"
        born = round(time.time() * 1000)
        sequence = 0
        while True:
            sequence += 1
            document = {
                "service": self._target.service,
                "address": f"{self.address}:{TARGET_PORT}",
                "zone": self._zone,
                "version": "v1",
                "slots": SLOTS,
                "state": "ready",
                "seq": sequence,
                "born": born,
            }
            accepted = await self._status("PUT", url, json=document) == 200
            await asyncio.sleep(HEARTBEAT_S if accepted else HEARTBEAT_S / 5)

    async def _status(self, method: str, url: str, **options: t.Any) -> int | None:
        """Return a response's status; ``None`` without one."""
        timeout = aiohttp.ClientTimeout(total=READINESS_TIMEOUT_S)
        try:
            async with self._session.request(method, url, timeout=timeout, **options) as response:
                return response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None
