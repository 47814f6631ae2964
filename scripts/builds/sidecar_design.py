"""Sidecars of both builds on one stand-in of the store: rollouts, configurations and a swap."""

import contextlib
import json
import pathlib
import typing as t
from collections import Counter

import aiohttp
import msgspec

from bulrushflow.platform.documents import CONFIGURATION_KEY
from bulrushflow.platform.documents import ROLLOUT_KEY_PREFIX
from bulrushflow.sidecar.settings import Endpoint
from scripts.builds.reporting import Build
from scripts.builds.reporting import Builds
from scripts.builds.reporting import Report
from scripts.builds.sidecar_standins import ADDED_PATH
from scripts.builds.sidecar_standins import HOST
from scripts.builds.sidecar_standins import SAFE_PATH
from scripts.builds.sidecar_standins import Callers
from scripts.builds.sidecar_standins import Target
from tests.platform.standin import StoreStandIn
from tests.processes.programs import Program
from tests.processes.programs import until
from tests.sidecar.servers import free_port

SERVICE = "plots"
VERSIONS = ("v1", "v2", "v1")
ROLLOUT_DURATION = "20s"
PROBE_CALLS = 10
SETTINGS = """
nodeName = "sidecar-{number}"
ip = "{address}"
zone = "celje"
internalPortRange = [{ports[0]}, {ports[1]}]
appAddr = "{target}"
service = "{service}"
[listen]
outbound = "{address}:{ports[2]}"
ready = "{address}:{ports[3]}"
control = "{address}:{ports[4]}"
[platform]
address = "{store}"
"""


class Instance:
    """One sidecar process with its target, on a loopback address of its own."""

    def __init__(self, number: int, directory: pathlib.Path, runs_by_id: Counter[str]) -> None:
        self.number = number
        self.address = f"127.0.0.{number}"
        self.target = Target(VERSIONS[number - 1], runs_by_id)
        self.programs: list[tuple[Build, Program]] = []
        ports = [free_port(self.address) for _ in range(5)]
        self._ports = ports
        self.caller_url, self.ready_url, self.announcement_url = (
            f"http://{self.address}:{port}" for port in ports[2:]
        )
        self._directory = directory
        self._target_endpoint = ""

    @property
    def name(self) -> str:
        """Name of the instance with the build that it runs."""
        return f"sidecar {self.number} ({self.programs[-1][0].name})"

    async def write_settings(self, store: Endpoint) -> None:
        """Start the target and write the settings file, which both builds read."""
        self._target_endpoint = str(await self.target.start(self.address))
        text = SETTINGS.format(
            number=self.number,
            address=self.address,
            ports=self._ports,
            target=self._target_endpoint,
            service=SERVICE,
            store=store,
        )
        self._settings_file.write_text(text, encoding="utf-8")

    async def run(self, build: Build) -> None:
        """Start the sidecar of a build with the same settings file each time."""
        variables = {"BULRUSHFLOW_NODE_FILE": str(self._settings_file)}
        log = self._directory / f"sidecar-{self.number}-{build.name}.log"
        program = await Program.start("bulrushflow-sidecar", [], log, variables, build.source)
        self.programs.append((build, program))

    async def announce(self, session: aiohttp.ClientSession, target_id: str, born: int) -> bool:
        """Announce the target to the sidecar; return whether it was accepted."""
        announcement = {
            "service": SERVICE,
            "address": self._target_endpoint,
            "zone": "celje",
            "version": self.target.version,
            "slots": 20,
            "state": "ready",
            "seq": 1,
            "born": born,
        }
        url = f"{self.announcement_url}/-/instances/{target_id}"
        try:
            async with session.put(url, json=announcement) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def is_ready(self, session: aiohttp.ClientSession) -> bool:
        """Return whether the sidecar is ready for callers."""
        try:
            async with session.get(f"{self.ready_url}/-/ready") as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    @property
    def _settings_file(self) -> pathlib.Path:
        return self._directory / f"sidecar-{self.number}.toml"


class SidecarDesign:
    """Three sidecars, their targets and callers, and the store."""

    def __init__(
        self, builds: Builds, report: Report, session: aiohttp.ClientSession, runs: Counter[str]
    ) -> None:
        self._builds = builds
        self._report = report
        self._session = session
        self._store = StoreStandIn()
        self._callers = Callers(session, runs)
        self._instances = [Instance(n, report.scratch, runs) for n in (1, 2, 3)]

    async def close(self) -> None:
        """Kill the processes that are left, and stop the stand-ins."""
        for instance in self._instances:
            for _, program in instance.programs:
                await program.kill()
            await instance.target.stop()
        await self._store.stop()

    async def start(self) -> None:
        """Start the store and the sidecars, and wait until calls reach every target."""
        store = await self._store.start()
        self._configure(1, [SAFE_PATH, "/unsafe/"])
        for instance in self._instances:
            await instance.write_settings(store)
            await instance.run(self._builds.of(instance.number))
        for instance in self._instances:
            await self._wait_ready(instance)
            target_id = f"target-{instance.number}"
            await instance.announce(self._session, target_id, born=1)
            self._callers.urls.append(instance.caller_url)
        for instance in self._instances:
            await self._wait_answered(instance, SAFE_PATH, set(VERSIONS))

    async def run(self) -> None:
        """Run all checks in order, under calls."""
        async with self._callers.calling():
            await self._check_rollout("v2", "completed")
            await self._check_versions("after the completed rollout", {"v2"})
            await self._swap()
            await self._check_versions("after the swap", {"v2"})
            await self._check_new_configuration()
            await self._check_faulty_rollout()
        violations = self._callers.violations()
        name = "sidecars: no call lost, doubled, crossed, unknown or falsely refused"
        self._report.add(
            name, not violations, f"{dict(self._callers.counts)} {self._callers.notes}"
        )
        await self._stop()

    def _configure(self, version: int, prefixes: t.Sequence[str]) -> None:
        rules = [
            {
                "name": prefix.strip("/").partition("/")[0],
                "kind": "unsafe" if prefix.startswith("/unsafe") else "safe",
                "targetLatency": "5s",
                "match": {"pathPrefix": prefix.removesuffix("1")},
                "action": {"service": SERVICE, "timeout": "9s", "maxAttempts": 3},
            }
            for prefix in prefixes
        ]
        listeners = [{"host": HOST, "ruleSet": rules}]
        document = {"version": version, "listeners": listeners, "clusters": [{"name": SERVICE}]}
        self._store.put("keyed.op", CONFIGURATION_KEY, json.dumps(document).encode())

    async def _check_rollout(self, version: str, expected_state: str) -> None:
        order = {"service": SERVICE, "targetVersion": version, "duration": ROLLOUT_DURATION}
        key = ROLLOUT_KEY_PREFIX + SERVICE
        self._store.put("keyed.op", key, json.dumps(order).encode())
        status: dict[str, t.Any] = {}

        async def ended() -> bool:
            status.update(msgspec.json.decode(self._store.newest("keyed.status").get(key, b"{}")))
            return status.get("targetVersion") == version and status["state"] != "running"

        await until(ended, f"the end of the rollout to {version}; status {status}")
        move = status["move"]
        details = f"{status['state']} by {move['decided_by']}: {move['reason']}"
        name = f"sidecars: rollout to {version} is {expected_state}"
        self._report.add(name, status["state"] == expected_state, details)

    async def _check_faulty_rollout(self) -> None:
        """Replace the third target by a faulty version, and order its rollout."""
        instance = self._instances[2]
        instance.target.version = "v3"
        instance.target.faulty = True
        accepted = await instance.announce(self._session, "target-3b", born=2)
        self._report.add("sidecars: a replaced target is accepted", accepted)
        await self._check_rollout("v3", "rolled_back")
        await self._check_versions("after the rollback", {"v1", "v2"})

    async def _check_versions(self, when: str, allowed: set[str]) -> None:
        """Check that every sidecar sends calls to the allowed versions only."""
        wrong = []
        for instance in self._instances:
            for _ in range(PROBE_CALLS):
                status, version = await self._callers.call(instance.caller_url, SAFE_PATH)
                if status != 200 or version not in allowed:
                    wrong.append(f"{instance.name}: {status} {version}")
        name = f"sidecars: calls at each sidecar {when} reach {' or '.join(sorted(allowed))}"
        self._report.add(name, not wrong, "\n".join(wrong[:5]))

    async def _swap(self) -> None:
        """Restart each sidecar with the other build, while the others serve."""
        statuses = []
        for instance in self._instances:
            build, program = instance.programs[-1]
            self._callers.urls.remove(instance.caller_url)
            statuses.append(await program.terminate())
            await instance.run(self._builds.other(build))
            await self._wait_ready(instance)
            await self._wait_answered(instance, SAFE_PATH, {"v2"})
            self._callers.urls.append(instance.caller_url)
        name = "sidecars: each is restarted with the other build on the same store and settings"
        self._report.add(name, not any(statuses), f"exit statuses {statuses}")

    async def _check_new_configuration(self) -> None:
        before = [(await self._callers.call(i.caller_url, ADDED_PATH))[0] for i in self._instances]
        self._configure(2, [SAFE_PATH, "/unsafe/", ADDED_PATH])
        for instance in self._instances:
            await self._wait_answered(instance, ADDED_PATH, {"v2"})
        name = "sidecars: a new configuration is in force at both builds"
        self._report.add(name, set(before) == {404}, f"statuses of its route before: {before}")

    async def _wait_ready(self, instance: Instance) -> None:
        async def ready() -> bool:
            _, program = instance.programs[-1]
            assert not program.ended, f"{instance.name} ended: {program.errors()}"
            return await instance.is_ready(self._session)

        await until(ready, f"{instance.name} ready")

    async def _wait_answered(self, instance: Instance, path: str, versions: set[str]) -> None:
        """Wait until calls at a sidecar were answered by each of the versions."""
        missing = set(versions)

        async def answered() -> bool:
            missing.discard((await self._callers.call(instance.caller_url, path))[1])
            return not missing

        await until(answered, f"calls to {path} at {instance.name} answered by {versions}")

    async def _stop(self) -> None:
        """Stop the sidecars, check their logs, and keep those of the old build."""
        for instance in self._instances:
            status = await instance.programs[-1][1].terminate()
            self._report.add(f"sidecars: {instance.name} stops", status == 0, f"status {status}")
        logs = {}
        for instance in self._instances:
            for build, program in instance.programs:
                name = f"sidecar-{instance.number}-{build.name}"
                logs[name] = program.printed() + program.errors()
                if build is self._builds.old:
                    self._report.keep_old_log(f"old-{name}", program.printed())
        self._report.add_log_check("sidecars: nothing unreadable, no traceback", logs)


async def check_sidecar_design(builds: Builds, report: Report) -> None:
    """Run the checks of the sidecar design."""
    async with contextlib.AsyncExitStack() as stack:
        timeout = aiohttp.ClientTimeout(total=10)
        session = await stack.enter_async_context(aiohttp.ClientSession(timeout=timeout))
        design = SidecarDesign(builds, report, session, Counter())
        stack.push_async_callback(design.close)
        await design.start()
        await design.run()
