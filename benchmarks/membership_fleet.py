"""Runs participants as processes and measures their traffic and the delays of updates."""

import asyncio
import json
import os
import pathlib
import signal
import statistics
import sys
import time
import typing as t

import aiohttp

from benchmarks import processes

DATA_CENTRES = ("celje-a", "celje-b", "velenje")
WAIT_TIMEOUT_S = 60.0
READY_TIMEOUT_S = 60.0
REPORT_TIMEOUT_S = 3.0
ROOT = pathlib.Path(__file__).parent.parent

RecordedState = tuple[str, str]
"""Status and target state that a participant has recorded for a member."""


class ParticipantProcess:
    """One participant process and the events that it printed."""

    def __init__(self, node_id: str, process: asyncio.subprocess.Process) -> None:
        self.node_id = node_id
        self.process = process
        self.ready_at = 0.0
        self.draining_at = 0.0
        self.states_by_id: dict[str, tuple[float, RecordedState]] = {}
        self.history: list[tuple[float, str, RecordedState]] = []
        self.report: dict[str, t.Any] = {}
        self._reported = asyncio.Event()
        self._ready = asyncio.Event()
        self.reader = asyncio.create_task(self._read())

    async def wait_ready(self) -> None:
        """Wait until the participant's sockets are open.

        :raises TimeoutError: when they are not within ``READY_TIMEOUT_S``.
        """
        await asyncio.wait_for(self._ready.wait(), READY_TIMEOUT_S)

    async def fetch_report(self) -> dict[str, t.Any]:
        """Return the participant's current counts.

        :raises TimeoutError: when none arrive within ``REPORT_TIMEOUT_S``.
        """
        self._reported.clear()
        self.send_command("report")
        await asyncio.wait_for(self._reported.wait(), REPORT_TIMEOUT_S)
        return self.report

    def send_command(self, command: str) -> None:
        """Write a command to the participant's standard input."""
        assert self.process.stdin is not None
        self.process.stdin.write(f"{command}\n".encode())

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        os.kill(self.process.pid, number)

    async def _read(self) -> None:
        assert self.process.stdout is not None
        while line := await self.process.stdout.readline():
            event = json.loads(line)
            match event["event"]:
                case "ready":
                    self.ready_at = event["at"]
                    self._ready.set()
                case "draining":
                    self.draining_at = event["at"]
                case "report":
                    self.report = event
                    self._reported.set()
                case _:
                    state = (event["belief"][0], event["belief"][1])
                    self.states_by_id[event["id"]] = (event["at"], state)
                    self.history.append((event["at"], event["id"], state))


class Fleet:
    """The log stand-in and all participants.

    :param directory: for the log's output.
    """

    def __init__(self, directory: pathlib.Path, loss: float) -> None:
        self._directory = directory
        self.loss = loss
        self.by_id: dict[str, ParticipantProcess] = {}
        self.started = 0

    async def start_log(self) -> None:
        """Start the log stand-in.

        :raises TimeoutError: when it does not listen within :data:`processes.START_TIMEOUT_S`.
        """
        self.log_program, self.log_url = await processes.start_log(self._directory)

    async def log_counts(self) -> dict[str, int]:
        """Return the numbers of reads and appends that the log has served."""
        url = self.log_url + "/counts"
        async with aiohttp.ClientSession() as session, session.get(url) as response:
            counts: dict[str, int] = await response.json()
            return counts

    async def add(self, count: int) -> list[ParticipantProcess]:
        """Start participants and wait until their sockets are open."""
        added = []
        for _ in range(count):
            number = self.started
            self.started += 1
            node_id = f"node-{number:04}"
            arguments = ["--node-id", node_id, "--log-url", self.log_url]
            arguments += ["--data-centre", DATA_CENTRES[number % len(DATA_CENTRES)]]
            arguments += ["--loss", str(self.loss)]
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "benchmarks.membership_participant",
                *arguments,
                cwd=ROOT,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
            )
            self.by_id[node_id] = ParticipantProcess(node_id, process)
            added.append(self.by_id[node_id])
        await asyncio.gather(*(p.wait_ready() for p in added))
        return added

    async def remove(self, process: ParticipantProcess, command: str | int) -> None:
        """Stop a participant by a command or a signal and wait for its exit."""
        del self.by_id[process.node_id]
        if isinstance(command, int):
            process.send_signal(command)
        else:
            process.send_command(command)
        await process.process.wait()
        await process.reader

    async def stop(self) -> None:
        """Kill the participants and stop the log stand-in."""
        for process in self.by_id.values():
            process.send_signal(signal.SIGKILL)
        await asyncio.gather(*(p.process.wait() for p in self.by_id.values()))
        await self.log_program.stop()

    async def wait_for(self, condition: t.Callable[[], bool]) -> bool:
        """Wait until a condition holds; return whether it did within ``WAIT_TIMEOUT_S``."""
        end = time.monotonic() + WAIT_TIMEOUT_S
        while time.monotonic() < end:
            if condition():
                return True
            await asyncio.sleep(0.05)
        return False

    async def wait_complete(self) -> float | None:
        """Wait until each participant records exactly the others as alive.

        Returns the monotonic time of the last state change, ``None`` on a timeout.
        """
        ids = set(self.by_id)

        def complete() -> bool:
            return all(
                {i for i, (_, s) in p.states_by_id.items() if s[0] == "ALIVE"} | {p.node_id} == ids
                for p in self.by_id.values()
            )

        if not await self.wait_for(complete):
            return None
        return max(at for p in self.by_id.values() for at, _ in p.states_by_id.values())

    async def wait_recorded(
        self, node_id: str, states: t.Collection[str], since: float, index: int = 0
    ) -> list[float]:
        """Wait until all other participants record one of the given states for a node.

        :param since: monotonic time from which the delays count.
        :param index: 0 to compare the member's status, 1 to compare its target's state.
        :return: the delays in seconds of those that recorded it within ``WAIT_TIMEOUT_S``.
        """
        others = [p for p in self.by_id.values() if p.node_id != node_id]

        def recorded(process: ParticipantProcess) -> bool:
            return (
                node_id in process.states_by_id
                and process.states_by_id[node_id][1][index] in states
            )

        await self.wait_for(lambda: all(recorded(p) for p in others))
        return [
            min(at for at, i, s in p.history if i == node_id and s[index] in states) - since
            for p in others
            if recorded(p)
        ]

    async def traffic(self, seconds: float) -> dict[str, t.Any]:
        """Return bytes per second and processor use of the participants over a period.

        Only participants that reported at its start and at its end are counted.
        """
        before = await self._reports()
        await asyncio.sleep(seconds)
        after = await self._reports()
        surviving = [i for i in after if i in before]
        rates: dict[str, list[float]] = {"sent": [], "received": [], "cpu": []}
        kinds: dict[str, float] = {}
        for node_id in surviving:
            first, last = before[node_id], after[node_id]
            span_s = last["at"] - first["at"]
            totals = {"sent": 0.0, "received": 0.0}
            for kind, count in last["bytes_by_kind"].items():
                rate = (count - first["bytes_by_kind"].get(kind, 0)) / span_s
                totals[kind.split()[0]] += rate
                kinds[kind] = kinds.get(kind, 0.0) + rate / len(surviving)
            rates["sent"].append(totals["sent"])
            rates["received"].append(totals["received"])
            rates["cpu"].append((last["cpu_s"] - first["cpu_s"]) / span_s * 100)
        return {
            "sent_mean": statistics.mean(rates["sent"]),
            "sent_max": max(rates["sent"]),
            "received_mean": statistics.mean(rates["received"]),
            "received_max": max(rates["received"]),
            "cpu_percent_mean": statistics.mean(rates["cpu"]),
            "by_kind": {k: round(v, 1) for k, v in sorted(kinds.items())},
        }

    async def _reports(self) -> dict[str, dict[str, t.Any]]:
        """Return the counts by id of all participants that responded."""
        participants = list(self.by_id.values())
        reports = await asyncio.gather(
            *(p.fetch_report() for p in participants), return_exceptions=True
        )
        pairs = zip(participants, reports, strict=True)
        return {p.node_id: r for p, r in pairs if isinstance(r, dict)}

    def count_suspicions(self, since: float, node_ids: t.Collection[str]) -> dict[str, int]:
        """Count how often one of the nodes was recorded as suspect or dead since ``since``."""
        counts = {"SUSPECT": 0, "DEAD": 0}
        for process in self.by_id.values():
            for at, node_id, state in process.history:
                if at >= since and node_id in node_ids and state[0] in counts:
                    counts[state[0]] += 1
        return counts
