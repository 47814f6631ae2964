"""Starting the programs as processes, and learning their ports from their logs."""

import asyncio
import os
import pathlib
import re
import signal
import sys
import typing as t

import msgspec

WAIT_TIMEOUT_S = 60.0
"""Only ends a test that would wait for ever; no verdict depends on it."""
POLL_S = 0.05
SOURCE = pathlib.Path(__file__).resolve().parents[2] / "src"

ENTRY_BY_PROGRAM = {
    "bulrushflow": "bulrushflow.operators.commands",
    "bulrushflow-node": "bulrushflow.application",
    "bulrushflow-standin-log": "bulrushflow.standins.log",
    "bulrushflow-standin-target": "bulrushflow.standins.target",
    "bulrushflow-load": "bulrushflow.standins.load",
}


async def until(
    condition: t.Callable[[], t.Awaitable[bool]], what: str, poll_s: float = POLL_S
) -> None:
    """Wait until a condition holds.

    :param what: said in the failure when it never does.
    """
    try:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                if await condition():
                    return
                await asyncio.sleep(poll_s)
    except TimeoutError:
        raise AssertionError(f"never came true: {what}") from None


class Program:
    """One started program; its output and its log go to files."""

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
    ) -> "Program":
        """Start a program with this interpreter."""
        entry = ENTRY_BY_PROGRAM[program]
        code = f"import sys; sys.argv[0] = {program!r}; from {entry} import main; main()"
        paths = [str(SOURCE), os.environ.get("PYTHONPATH", "")]
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

    async def wait_for_log(self, pattern: str) -> re.Match[str]:
        """Wait for a line of the log that matches."""
        found: list[re.Match[str]] = []

        async def seen() -> bool:
            if self.ended:
                raise AssertionError(f"{self._log.name} ended early: {self.errors()}")
            match = re.search(pattern, self.errors())
            if match is not None:
                found.append(match)
            return match is not None

        await until(seen, f"{pattern!r} in {self._log.name}")
        return found[0]

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if not self.ended:
            self._process.send_signal(number)

    async def output(self) -> tuple[int, str]:
        """Wait for the end; return the exit status and the standard output."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            status = await self._process.wait()
        return status, self._log.with_suffix(".out").read_text(encoding="utf-8")

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        await self._process.wait()

    async def terminate(self) -> int:
        """Ask the process to stop; return its exit status."""
        self.signal(signal.SIGTERM)
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            return await self._process.wait()


async def load_summary(load: Program) -> dict[str, t.Any]:
    """Wait for the load tool's end and return its summary."""
    _, output = await load.output()
    if not output.strip():
        raise AssertionError(f"the load tool printed nothing: {load.errors()}")
    return msgspec.json.decode(output, type=dict[str, t.Any])
