"""Checks that tests detect a disabled mechanism, in a mutated copy of the source tree.

``python -m benchmarks.mechanisms`` runs the tests of each mechanism twice: with the mechanism
enabled, when they must pass, and with it disabled, when at least one must fail.
"""

import asyncio
import json
import os
import pathlib
import shutil
import sys
import tempfile
import typing as t
from dataclasses import asdict
from dataclasses import dataclass

import cappa

ROOT = pathlib.Path(__file__).parent.parent
RUN_TIMEOUT_S = 150.0
COPIED = ("src", "tests", "benchmarks", "scripts", "docs")


@dataclass(frozen=True, slots=True)
class Edit:
    """Replaces ``code`` by ``off`` in a file, whose path is relative to ``src/bulrushflow``."""

    file: str
    code: str
    off: str


@dataclass(frozen=True, slots=True)
class Mechanism:
    """The edits that disable a mechanism, and the test modules that must then fail."""

    name: str
    edits: tuple[Edit, ...]
    tests: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Finding:
    """Whether the tests of one mechanism pass with it enabled and fail with it disabled."""

    name: str
    tests: tuple[str, ...]
    passes_on: bool
    fails_off: bool


MECHANISMS = (
    Mechanism(
        "an older snapshot is ignored",
        (Edit("configuration/store.py", "if snapshot.offset <= self.current.offset or ", "if "),),
        ("tests.configuration.test_store",),
    ),
    Mechanism(
        "a dangling route is rejected",
        (Edit("configuration/rules.py", "    if dangling:", "    if False:"),),
        (
            "tests.configuration.test_fold",
            "tests.configuration.test_fold_properties",
        ),
    ),
    Mechanism(
        "a rejected record changes a copy",
        (
            Edit(
                "configuration/rules.py",
                "services = dict(configuration.services_by_name)",
                "services = configuration.services_by_name",
            ),
        ),
        (
            "tests.configuration.test_fold",
            "tests.configuration.test_fold_properties",
        ),
    ),
    Mechanism(
        "a repeated publish id is not applied again",
        (
            Edit(
                "configuration/fold.py",
                "if header.publish_id in configuration.verdicts_by_publish_id:",
                "if False:",
            ),
        ),
        ("tests.configuration.test_fold",),
    ),
    Mechanism(
        "differing snapshots stop the node",
        (
            Edit(
                "configuration/store.py",
                "if local_digest is not None and local_digest != mark.digest:",
                "if False:",
            ),
        ),
        (
            "tests.recording.test_recovery",
            "tests.recording.test_snapshots",
            "tests.configuration.test_snapshots",
        ),
    ),
    Mechanism(
        "records are pushed and pulled",
        (
            Edit(
                "nodes/dissemination.py",
                "self.add_future(self._links.send(member.endpoint, records_push=push))",
                "pass",
            ),
            Edit(
                "nodes/dissemination.py",
                "        if self._puller.set_goal(endpoint, offset):",
                "        if False:",
            ),
        ),
        ("tests.nodes.test_dissemination",),
    ),
    Mechanism(
        "a pause restarts the check for the newest version",
        (Edit("configuration/freshness.py", "PAUSE_THRESHOLD_S = 2.0", "PAUSE_THRESHOLD_S = 1e9"),),
        (
            "tests.configuration.test_freshness",
            "tests.nodes.test_dissemination",
        ),
    ),
    Mechanism(
        "a faulty version is rolled back",
        (
            Edit(
                "nodes/rollout_driver.py",
                "if result.outcome is AnalysisOutcome.FAULTY:",
                "if False:",
            ),
        ),
        ("tests.nodes.test_rollout_driver",),
    ),
    Mechanism(
        "a rollback prevails in every merge",
        (
            Edit(
                "rollouts/shared.py",
                "rolled_back = self.rolled_back or other.rolled_back",
                "rolled_back = self.rolled_back and other.rolled_back",
            ),
        ),
        ("tests.rollouts.test_shared",),
    ),
    Mechanism(
        "admission control refuses a version that was rolled back",
        (
            Edit(
                "targets/admission_controller.py",
                "if self._is_forbidden(call.service, call.version):",
                "if False:",
            ),
        ),
        ("tests.targets.test_admission_controller",),
    ),
    Mechanism(
        "an outdated decision is not appended to the log",
        (
            Edit(
                "nodes/rollout_driver.py",
                "self._clock.monotonic() - decided_at < COMPLETION_VALID_S",
                "True",
            ),
            Edit(
                "nodes/rollout_driver.py",
                "        if self._shared_rollouts.is_rolled_back(offset):\n"
                "            return False\n",
                "",
            ),
        ),
        ("tests.nodes.test_rollout_driver",),
    ),
    Mechanism(
        "a response resolves only its own exchange",
        (
            Edit(
                "wire/link.py",
                "future = self._pending.get(frame.exchange)",
                "future = next(iter(self._pending.values()), None)",
            ),
        ),
        ("tests.wire.test_link",),
    ),
    Mechanism(
        "a connection that failed after the send leaves the outcome unknown",
        (
            Edit(
                "targets/client.py",
                "return unknown(f\"the target's connection failed",
                "return not_run(f\"the target's connection failed",
            ),
        ),
        ("tests.targets.test_client",),
    ),
    Mechanism(
        "an attempt with unknown outcome leaves the outcome of the call unknown",
        (
            Edit(
                "callers/dispatcher.py", "return earlier if uncertain else latest", "return latest"
            ),
        ),
        ("tests.callers.test_dispatcher",),
    ),
    Mechanism(
        "a call that may have run is retried only if it is idempotent",
        (Edit("routing/retries.py", " and call.idempotent and call.attempt == 0", ""),),
        ("tests.callers.test_dispatcher",),
    ),
    Mechanism(
        "a draining target gets no new calls",
        (
            Edit(
                "targets/admission_controller.py",
                'if self._draining or announcement.state != "ready":',
                "if False:",
            ),
        ),
        ("tests.targets.test_admission_controller",),
    ),
    Mechanism(
        "a stopping node drains its calls and leaves the fleet",
        (
            Edit("application.py", "await self.caller_server.drain(drain_s),", "True,"),
            Edit("application.py", "await self.admission_controller.drain(drain_s),", "True,"),
            Edit("application.py", "await self.links.drain(drain_s),", "True,"),
            Edit("application.py", "await self.gossip.leave()", "pass"),
            Edit("application.py", "await asyncio.sleep(LEAVE_DISSEMINATION_S)", "pass"),
        ),
        ("tests.processes.test_graceful_stops",),
    ),
    Mechanism(
        "a silent connection is closed",
        (
            Edit(
                "wire/link.py",
                "if now - self._ping.waiting_since >= PONG_TIMEOUT_S:",
                "if False:",
            ),
        ),
        ("tests.wire.test_link",),
    ),
    Mechanism(
        "a slow transfer that makes progress is not cut off",
        (Edit("wire/keepalive.py", "if acknowledged > self.acknowledged:", "if False:"),),
        ("tests.wire.test_link",),
    ),
    Mechanism(
        "bytes behind a ping do not keep a silent connection open",
        (Edit("wire/keepalive.py", "acknowledged = min(acknowledged, self.offset)", "pass"),),
        ("tests.wire.test_link",),
    ),
    Mechanism(
        "a node refutes reports of its death",
        (
            Edit(
                "membership/table.py",
                "self._put(replace(own, incarnation=update.incarnation + 1))",
                "pass",
            ),
        ),
        ("tests.membership.test_table",),
    ),
    Mechanism(
        "removed members are not restored by old updates",
        (
            Edit(
                "membership/table.py",
                "if self.tombstones.covering(update.node_id, update.incarnation) is not None:",
                "if False:",
            ),
        ),
        ("tests.membership.test_table",),
    ),
    Mechanism(
        "probe rounds interrupted by a pause of the node are ignored",
        (Edit("nodes/detector.py", "if self._timers.paused_since(began):", "if False:"),),
        ("tests.nodes.test_detector",),
    ),
)


async def run_tests(tree: pathlib.Path, tests: t.Sequence[str]) -> bool:
    """Run test modules in a tree.

    Returns whether all tests passed within ``RUN_TIMEOUT_S``.
    """
    environment = {**os.environ, "PYTHONPATH": f"{tree / 'src'}:{tree}"}
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "unittest",
        *tests,
        cwd=tree,
        env=environment,
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.DEVNULL,
    )
    try:
        return await asyncio.wait_for(process.wait(), RUN_TIMEOUT_S) == 0
    except TimeoutError:
        process.kill()
        await process.wait()
        return False


def switch_off(tree: pathlib.Path, edit: Edit) -> None:
    """Apply an edit to a copy of the source tree.

    :raises ValueError: when the file does not contain the code exactly once.
    """
    path = tree / "src" / "bulrushflow" / edit.file
    text = path.read_text(encoding="utf-8")
    if text.count(edit.code) != 1:
        raise ValueError(
            f"{edit.file}: expected one occurrence of {edit.code!r}, found {text.count(edit.code)}"
        )
    path.write_text(text.replace(edit.code, edit.off), encoding="utf-8")


async def check(mechanism: Mechanism) -> Finding:
    """Run the tests of a mechanism with it enabled and then disabled, in a temporary copy."""
    with tempfile.TemporaryDirectory() as directory:
        tree = pathlib.Path(directory)
        for name in COPIED:
            shutil.copytree(ROOT / name, tree / name, ignore=shutil.ignore_patterns("__pycache__"))
        passes_on = await run_tests(tree, mechanism.tests)
        for edit in mechanism.edits:
            switch_off(tree, edit)
        fails_off = not await run_tests(tree, mechanism.tests)
    return Finding(mechanism.name, mechanism.tests, passes_on, fails_off)


async def check_all(mechanisms: t.Sequence[Mechanism], at_once: int) -> list[Finding]:
    """Check mechanisms, ``at_once`` of them concurrently."""
    semaphore = asyncio.Semaphore(at_once)

    async def check_one(mechanism: Mechanism) -> Finding:
        async with semaphore:
            return await check(mechanism)

    return await asyncio.gather(*map(check_one, mechanisms))


@cappa.command(name="mechanisms")
@dataclass
class MechanismsCommand:
    """Disable each mechanism in a copy of the tree; exit 1 unless its tests then fail."""

    at_once: t.Annotated[int, cappa.Arg(long=True, help="mechanisms checked concurrently")] = 4
    only: t.Annotated[
        str, cappa.Arg(long=True, help="check only mechanisms whose name contains this")
    ] = ""
    json: t.Annotated[
        pathlib.Path | None, cappa.Arg(long=True, help="write findings to this file")
    ] = None

    def __call__(self) -> None:
        chosen = [m for m in MECHANISMS if self.only in m.name]
        findings = asyncio.run(check_all(chosen, self.at_once))
        for finding in findings:
            on = "pass" if finding.passes_on else "FAIL"
            off = "fail" if finding.fails_off else "PASS"
            print(f"on: {on}  off: {off}  {finding.name}: {', '.join(finding.tests)}")
        if self.json is not None:
            self.json.write_text(json.dumps([asdict(finding) for finding in findings], indent=2))
        if not all(finding.passes_on and finding.fails_off for finding in findings):
            raise cappa.Exit(code=1)


if __name__ == "__main__":
    cappa.invoke(MechanismsCommand)
