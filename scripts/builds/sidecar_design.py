"""Sidecars of both builds on one stand-in of the store: rollouts, configurations and a swap."""

import json
import pathlib
import typing as t

import aiohttp

from bulrushflow.platform.configuration import CONFIGURATION_KEY
from bulrushflow.platform.documents import ROLLOUT_KEY_PREFIX
from scripts.builds.reporting import Build
from scripts.builds.reporting import Builds
from scripts.builds.reporting import Report
from scripts.builds.sidecar_standins import HOST
from scripts.builds.sidecar_standins import SAFE_PATH
from scripts.builds.sidecar_standins import Callers
from scripts.builds.sidecar_standins import Target
from tests.platform.standin import StoreStandIn
from tests.processes.programs import Program
from tests.processes.programs import until
from tests.sidecar.servers import free_port

VERSIONS = ("v1", "v2", "v1")
"""Version of each instance's target, from instance 1 on; the third is replaced by v3 later."""
PREFIXES = ("/safe/", "/unsafe/")
ADDED_PATH = "/added/1"
"""Routed by the second configuration only."""
ROLLOUT_DURATION = "20s"
PROBE_CALLS = 10
READY_POLL_S = 0.002
"""Callers may notice at any moment that a sidecar is ready, also at once."""
SETTINGS = """
nodeName = "sidecar-{number}"
ip = "{address}"
zone = "celje"
internalPortRange = [{ports[0]}, {ports[1]}]
appAddr = "{target}"
service = "plots"
[listen]
outbound = "{address}:{ports[2]}"
ready = "{address}:{ports[3]}"
control = "{address}:{ports[4]}"
[platform]
address = "{store}"
"""


class Instance:
    """One sidecar process with its target, on a loopback address of its own."""

    def __init__(self, number: int, directory: pathlib.Path, target: Target) -> None:
        self.number = number
        self.address = f"127.0.0.{number}"
        self.target = target
        self.target_endpoint = ""
        self.ports = [free_port(self.address) for _ in range(5)]
        self.urls = [f"http://{self.address}:{port}" for port in self.ports[2:]]
        self.caller_url, self.ready_url, self.announcement_url = self.urls
        self.settings_file = directory / f"sidecar-{number}.toml"
        self.programs: list[tuple[Build, Program]] = []

    async def start(self, build: Build) -> None:
        """Start the sidecar of a build, with the same settings file each time."""
        variables = {"BULRUSHFLOW_NODE_FILE": str(self.settings_file)}
        log = self.settings_file.with_name(f"sidecar-{self.number}-{build.name}.log")
        program = await Program.start("bulrushflow-sidecar", [], log, variables, build.source)
        self.programs.append((build, program))

    def announcement(self, born: int) -> dict[str, t.Any]:
        """Return the announcement of the target, as of its start."""
        fields = {"service": "plots", "address": self.target_endpoint, "zone": "celje"}
        state = {"slots": 20, "state": "ready", "seq": 1, "born": born}
        return {**fields, "version": self.target.version, **state}


class SidecarDesign:
    """Three sidecars, their targets and callers, and the store."""

    def __init__(self, builds: Builds, report: Report, session: aiohttp.ClientSession) -> None:
        self._builds = builds
        self._report = report
        self._session = session
        self._store = StoreStandIn()
        self._callers = Callers(session)
        self._refusals: list[str] = []
        self._instances = [
            Instance(number, report.scratch, Target(version, self._callers.runs_by_id))
            for number, version in enumerate(VERSIONS, 1)
        ]

    async def close(self) -> None:
        """Kill the processes that are left, and stop the stand-ins."""
        for instance in self._instances:
            for _, program in instance.programs:
                await program.kill()
            await instance.target.stop()
        await self._store.stop()

    async def run(self) -> None:
        """Run all checks in order, under calls."""
        await self._start()
        async with self._callers.calling():
            await self._check_rollout("v2", "completed")
            await self._check_versions("after the completed rollout", {"v2"})
            await self._swap()
            await self._check_versions("after the swap", {"v2"})
            await self._check_new_configuration()
            await self._replace_target()
            await self._check_rollout("v3", "rolled_back")
            await self._check_versions("after the rollback", {"v1", "v2"})
        violations = self._callers.violations()
        name = "sidecars: no call lost, doubled, crossed, unknown or falsely refused"
        self._report.add_differences(name, violations)
        self._report.lines.append(f"        calls: {dict(self._callers.counts)}")
        name = "sidecars: one that says it is ready accepts connections of callers"
        self._report.add_differences(name, self._refusals)
        await self._stop()

    async def _start(self) -> None:
        """Start the store and the sidecars, and wait until calls reach every target."""
        store = await self._store.start()
        self._configure(1, PREFIXES)
        for instance in self._instances:
            instance.target_endpoint = str(await instance.target.start(instance.address))
            settings = SETTINGS.format(
                number=instance.number,
                address=instance.address,
                ports=instance.ports,
                target=instance.target_endpoint,
                store=store,
            )
            instance.settings_file.write_text(settings, encoding="utf-8")
            await instance.start(self._builds.of(instance.number))
        for instance in self._instances:
            await self._wait_ready(instance)
            assert await self._announce(instance, born=1), f"no target at {instance.address}"
            self._callers.urls.append(instance.caller_url)
        for instance in self._instances:
            await self._wait_answered(instance, SAFE_PATH, set(VERSIONS))

    def _configure(self, version: int, prefixes: t.Sequence[str]) -> None:
        action = {"service": "plots", "timeout": "9s", "maxAttempts": 3}
        rules = [
            {
                "name": prefix.strip("/"),
                "kind": "unsafe" if prefix == "/unsafe/" else "safe",
                "targetLatency": "5s",
                "match": {"pathPrefix": prefix},
                "action": action,
            }
            for prefix in prefixes
        ]
        listeners = [{"host": HOST, "ruleSet": rules}]
        document = {"version": version, "listeners": listeners, "clusters": [{"name": "plots"}]}
        self._store.put("keyed.op", CONFIGURATION_KEY, json.dumps(document).encode())

    async def _announce(self, instance: Instance, born: int) -> bool:
        url = f"{instance.announcement_url}/-/instances/target-{instance.number}-{born}"
        async with self._session.put(url, json=instance.announcement(born)) as response:
            return response.status == 200

    async def _check_rollout(self, version: str, expected: str) -> None:
        """Order a rollout, wait for its end, and compare its state."""
        order = {"service": "plots", "targetVersion": version, "duration": ROLLOUT_DURATION}
        key = ROLLOUT_KEY_PREFIX + "plots"
        self._store.put("keyed.op", key, json.dumps(order).encode())
        status: dict[str, t.Any] = {}

        async def ended() -> bool:
            status.update(json.loads(self._store.newest("keyed.status").get(key, b"{}")))
            return status.get("targetVersion") == version and status["state"] != "running"

        await until(ended, f"the end of the rollout to {version}")
        details = f"by {status['move']['decided_by']}: {status['move']['reason']}"
        name = f"sidecars: the rollout to {version} is {expected}"
        self._report.add(name, status["state"] == expected, f"{status['state']} {details}")

    async def _check_versions(self, when: str, allowed: set[str]) -> None:
        """Check that every sidecar sends calls to the allowed versions only."""
        wrong = []
        for instance in self._instances:
            for _ in range(PROBE_CALLS):
                status, version = await self._callers.call(instance.caller_url, SAFE_PATH)
                if status != 200 or version not in allowed:
                    wrong.append(f"sidecar {instance.number}: {status} {version}")
        name = f"sidecars: calls at each sidecar {when} reach {' or '.join(sorted(allowed))}"
        self._report.add_differences(name, wrong)

    async def _swap(self) -> None:
        """Restart each sidecar with the other build, while the others serve."""
        statuses = []
        for instance in self._instances:
            self._callers.urls.remove(instance.caller_url)
            statuses.append(await instance.programs[-1][1].terminate())
            await instance.start(self._builds.of(instance.number, swapped=True))
            await self._wait_ready(instance)
            await self._wait_answered(instance, SAFE_PATH, {"v2"})
            self._callers.urls.append(instance.caller_url)
        name = "sidecars: each is restarted with the other build on the same store and settings"
        self._report.add(name, not any(statuses), f"exit statuses {statuses}")

    async def _check_new_configuration(self) -> None:
        before = [(await self._callers.call(i.caller_url, ADDED_PATH))[0] for i in self._instances]
        self._configure(2, (*PREFIXES, "/added/"))
        for instance in self._instances:
            await self._wait_answered(instance, ADDED_PATH, {"v2"})
        name = "sidecars: a new configuration comes into force at both builds"
        self._report.add(name, set(before) == {404}, f"statuses of its route before: {before}")

    async def _replace_target(self) -> None:
        """Replace the third target by one of a faulty version."""
        instance = self._instances[2]
        instance.target.version = "v3"
        instance.target.faulty = True
        accepted = await self._announce(instance, born=2)
        self._report.add("sidecars: a replaced target is accepted", accepted)

    async def _wait_ready(self, instance: Instance) -> None:
        """Wait until a sidecar says that it is ready, and then until it accepts connections."""

        async def ready() -> bool:
            program = instance.programs[-1][1]
            assert not program.ended, f"sidecar {instance.number} ended: {program.errors()}"
            return await self._status(f"{instance.ready_url}/-/ready") == 200

        async def accepts() -> bool:
            return await self._status(instance.caller_url) is not None

        await until(ready, f"sidecar {instance.number} ready", READY_POLL_S)
        if not await accepts():
            build = instance.programs[-1][0].name
            self._refusals.append(f"sidecar {instance.number} of the {build} build refused")
        await until(accepts, f"connections to sidecar {instance.number}")

    async def _status(self, url: str) -> int | None:
        """Return a response's status; ``None`` when there is no connection."""
        try:
            async with self._session.get(url) as response:
                return response.status
        except aiohttp.ClientError:
            return None

    async def _wait_answered(self, instance: Instance, path: str, versions: set[str]) -> None:
        """Wait until calls at a sidecar were answered by each of the versions."""
        missing = set(versions)

        async def answered() -> bool:
            missing.discard((await self._callers.call(instance.caller_url, path))[1])
            return not missing

        await until(answered, f"calls to {path} at sidecar {instance.number} reach {versions}")

    async def _stop(self) -> None:
        """Stop the sidecars and check their logs; keep those of the old build."""
        statuses = [await instance.programs[-1][1].terminate() for instance in self._instances]
        self._report.add("sidecars: all stop", not any(statuses), f"exit statuses {statuses}")
        logs = {}
        for instance in self._instances:
            for build, program in instance.programs:
                name = f"sidecar-{instance.number}-{build.name}"
                logs[name] = program.printed() + program.errors()
                if build is self._builds.old:
                    self._report.old_logs.append(self._report.scratch / f"{name}.out")
        self._report.add_logs("sidecars: nothing unreadable, no traceback", logs)


async def check_sidecar_design(builds: Builds, report: Report) -> None:
    """Run the checks of the sidecar design."""
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=20)) as session:
        design = SidecarDesign(builds, report, session)
        try:
            await design.run()
        finally:
            await design.close()
