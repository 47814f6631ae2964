"""Starts the programs as processes and reads their output and logs."""

import asyncio
import os
import pathlib
import re
import signal
import sys
import typing as t

import msgspec

WAIT_TIMEOUT_S = 60.0
"""Ends a test that would otherwise wait forever; no assertion depends on the value."""
POLL_S = 0.05
SOURCE = pathlib.Path(__file__).resolve().parents[2] / "src"

ENTRY_BY_PROGRAM = {
    "bulrushflow": "bulrushflow.operators.commands",
    "bulrushflow-node": "bulrushflow.application",
    "bulrushflow-standin-log": "bulrushflow.standins.log",
    "bulrushflow-standin-target": "bulrushflow.standins.target",
    "bulrushflow-load": "bulrushflow.standins.load",
    "bulrushflow-sidecar": "bulrushflow_sidecar",
}


async def until(
    condition: t.Callable[[], t.Awaitable[bool]], what: str, poll_s: float = POLL_S
) -> None:
    """Wait until a condition holds.

    :param what: description of the condition for the failure.
    :raises AssertionError: when the condition does not hold within ``WAIT_TIMEOUT_S``.
    """
    try:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                if await condition():
                    return
                await asyncio.sleep(poll_s)
    except TimeoutError:
        raise AssertionError(f"not within {WAIT_TIMEOUT_S} s: {what}") from None


class Program:
    """A started program whose standard output and log are written to files."""

    def __init__(self, process: asyncio.subprocess.Process, log: pathlib.Path) -> None:
        self._process = process
        self._log = log

    @classmethod
    async def start(
        cls,
        program: str,
        arguments: t.Sequence[str],
        log: pathlib.Path,
        variables: t.Mapping[str, str],
        source: pathlib.Path = SOURCE,
    ) -> "Program":
        """Start a program with the interpreter of the tests.

        :param source: directory of the packages, which may be that of another build.
        """
        entry = ENTRY_BY_PROGRAM[program]
        code = f"import sys; sys.argv[0] = {program!r}; from {entry} import main; main()"
        paths = [str(source), os.environ.get("PYTHONPATH", "")]
        environment = {
            **os.environ,
            **variables,
            "PYTHONPATH": os.pathsep.join(filter(None, paths)),
        }
        with log.open("wb") as errors, log.with_suffix(".out").open("wb") as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-c",
                code,
                *arguments,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=errors,
            )
        return cls(process, log)

    @property
    def ended(self) -> bool:
        """Whether the process has ended."""
        return self._process.returncode is not None

    def errors(self) -> str:
        """Return what the program has written to standard error."""
        return self._log.read_text(encoding="utf-8", errors="replace")

    def printed(self) -> str:
        """Return what the program has written to standard output."""
        return self._log.with_suffix(".out").read_text(encoding="utf-8")

    async def wait_for_log(self, pattern: str) -> re.Match[str]:
        """Wait for the first match in the log and return it.

        :raises AssertionError: when the program exits or ``WAIT_TIMEOUT_S`` passes before.
        """
        found: list[re.Match[str]] = []

        async def seen() -> bool:
            if self.ended:
                raise AssertionError(
                    f"{self._log.name}: exited with status {self._process.returncode} before it "
                    f"logged {pattern!r}: {self.errors()}"
                )
            match = re.search(pattern, self.errors())
            if match is not None:
                found.append(match)
            return match is not None

        try:
            await until(seen, f"{pattern!r} in {self._log.name}")
        except AssertionError as exc:
            raise AssertionError(f"{exc}; the log has: {self.errors()!r}") from exc
        return found[0]

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if not self.ended:
            self._process.send_signal(number)

    async def output(self) -> tuple[int, str]:
        """Wait for the exit; return the exit status and the standard output."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            status = await self._process.wait()
        return status, self.printed()

    async def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.signal(signal.SIGKILL)
        await self._process.wait()

    async def terminate(self) -> int:
        """Send SIGTERM, wait for the exit and return the exit status."""
        self.signal(signal.SIGTERM)
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            return await self._process.wait()


async def load_summary(load: Program) -> dict[str, t.Any]:
    """Wait for the load tool to exit and return its summary.

    :raises AssertionError: when it printed none.
    """
    _, output = await load.output()
    if not output.strip():
        raise AssertionError(f"the load tool printed no summary; its log: {load.errors()}")
    return msgspec.json.decode(output, type=dict[str, t.Any])
