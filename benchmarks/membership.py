"""Measures membership: ``costs`` of its operations at full size, or a ``fleet`` of processes."""

import asyncio
import json
import pathlib
import signal
import statistics
import tempfile
import time
import typing as t
from dataclasses import dataclass

import cappa

from benchmarks import membership_costs
from benchmarks.membership_fleet import DATA_CENTRES
from benchmarks.membership_fleet import Fleet
from benchmarks.membership_fleet import ParticipantProcess

NOTE = "the machine was shared with other work"
IDLE_S = 8.0
CHURN_S = 8.0
PAUSE_S = 5.0
LOSS_S = 25.0
SETTLE_S = 3.0
DISSEMINATION_S = 8.0
"""Pause after the start, so that updates from the start do not count as idle traffic."""


@cappa.command(name="costs")
@dataclass
class Costs:
    """Measure processor time and memory of membership operations."""

    members: t.Annotated[int, cappa.Arg(long=True)] = 4800
    services: t.Annotated[int, cappa.Arg(long=True)] = 500
    seed: t.Annotated[int, cappa.Arg(long=True)] = 1
    json: t.Annotated[pathlib.Path | None, cappa.Arg(long=True)] = None

    def __call__(self) -> None:
        results = membership_costs.run(self.members, self.services, self.seed)
        settings = {"members": self.members, "services": self.services, "seed": self.seed}
        report(self.json, settings, results)


@cappa.command(name="fleet")
@dataclass
class FleetCommand:
    """Run participants as processes: idle, join, drain, kill, pause, churn and half restarted.

    :param loss: share of datagrams dropped; when not 0, only false suspicions are counted.
    """

    nodes: t.Annotated[int, cappa.Arg(long=True)] = 10
    loss: t.Annotated[float, cappa.Arg(long=True)] = 0.0
    churn_period_s: t.Annotated[float, cappa.Arg(long=True)] = 1.0
    json: t.Annotated[pathlib.Path | None, cappa.Arg(long=True)] = None

    def __call__(self) -> None:
        results = asyncio.run(self._run())
        settings = {
            "nodes": self.nodes,
            "data centres": len(DATA_CENTRES),
            "loss": self.loss,
            "seed": "each participant's id",
        }
        report(self.json, settings, results)

    async def _run(self) -> dict[str, t.Any]:
        with tempfile.TemporaryDirectory() as directory:
            fleet = Fleet(pathlib.Path(directory), self.loss)
            await fleet.start_log()
            try:
                return await (self._run_lossy(fleet) if self.loss else self._run_all(fleet))
            finally:
                await fleet.stop()

    async def _run_all(self, fleet: Fleet) -> dict[str, t.Any]:
        results = await self._measure_start(fleet)
        await asyncio.sleep(DISSEMINATION_S)
        results["idle"] = await fleet.traffic(IDLE_S)
        results["join known by all, s"] = await self._measure_join(fleet)
        results["drain known by all, s"] = await self._measure_drain(fleet)
        results.update(await self._measure_kill(fleet))
        results.update(await self._measure_pause(fleet))
        results["churn"] = await self._measure_churn(fleet)
        results.update(await self._measure_half_restart(fleet))
        return results

    async def _run_lossy(self, fleet: Fleet) -> dict[str, t.Any]:
        results = await self._measure_start(fleet)
        since = time.monotonic()
        await asyncio.sleep(LOSS_S)
        results["false doubts"] = fleet.count_suspicions(since, set(fleet.by_id))
        results["seconds observed"] = LOSS_S
        return results

    async def _measure_start(self, fleet: Fleet) -> dict[str, t.Any]:
        added = await fleet.add(self.nodes)
        complete_at = await fleet.wait_complete()
        last = max(p.ready_at for p in added)
        counts = await fleet.log_counts()
        return {
            "all start, whole after the last one, s": _delay(complete_at, last),
            "all start, log reads": counts["reads"],
            "all start, log appends": counts["appends"],
        }

    async def _measure_join(self, fleet: Fleet) -> dict[str, float]:
        (joiner,) = await fleet.add(1)
        delays = await fleet.wait_recorded(joiner.node_id, {"ALIVE"}, joiner.ready_at)
        return _distribution(delays)

    async def _measure_drain(self, fleet: Fleet) -> dict[str, float]:
        delays = []
        for process in list(fleet.by_id.values())[:3]:
            process.send_command("drain")
            await fleet.wait_for(lambda p=process: p.draining_at > 0)  # type: ignore[misc]
            delays += await fleet.wait_recorded(
                process.node_id, {"DRAINING"}, process.draining_at, 1
            )
        return _distribution(delays)

    async def _measure_kill(self, fleet: Fleet) -> dict[str, t.Any]:
        killed = list(fleet.by_id.values())[-1]
        killed_at = time.monotonic()
        others = set(fleet.by_id) - {killed.node_id}
        await fleet.remove(killed, signal.SIGKILL)
        suspected_delays = await fleet.wait_recorded(killed.node_id, {"SUSPECT", "DEAD"}, killed_at)
        dead_delays = await fleet.wait_recorded(killed.node_id, {"DEAD"}, killed_at)
        return {
            "kill out of routing on all, s": _distribution(suspected_delays),
            "kill held dead by all, s": _distribution(dead_delays),
            "kill, doubts of others": fleet.count_suspicions(killed_at, others),
        }

    async def _measure_pause(self, fleet: Fleet) -> dict[str, t.Any]:
        paused = next(iter(fleet.by_id.values()))
        paused_at = time.monotonic()
        paused.send_signal(signal.SIGSTOP)
        await asyncio.sleep(PAUSE_S)
        paused.send_signal(signal.SIGCONT)
        resumed_at = time.monotonic()
        complete_at = await fleet.wait_complete()
        await asyncio.sleep(SETTLE_S)
        return {
            "pause, whole again after, s": _delay(complete_at, resumed_at),
            "pause, doubts of the paused one": fleet.count_suspicions(paused_at, {paused.node_id}),
            "pause, doubts of others": fleet.count_suspicions(
                paused_at, set(fleet.by_id) - {paused.node_id}
            ),
        }

    async def _measure_churn(self, fleet: Fleet) -> dict[str, t.Any]:
        async def replace_one(process: ParticipantProcess) -> None:
            await fleet.remove(process, "leave")
            await fleet.add(1)

        async def replace_some() -> None:
            leaving = list(fleet.by_id.values())[: int(CHURN_S / self.churn_period_s)]
            tasks = []
            for process in leaving[: max(1, len(fleet.by_id) // 2)]:
                tasks.append(asyncio.create_task(replace_one(process)))
                await asyncio.sleep(self.churn_period_s)
            await asyncio.gather(*tasks)

        churn = asyncio.create_task(replace_some())
        traffic = await fleet.traffic(CHURN_S)
        await churn
        await fleet.wait_complete()
        return traffic

    async def _measure_half_restart(self, fleet: Fleet) -> dict[str, t.Any]:
        before = await fleet.log_counts()
        killed = list(fleet.by_id.values())[: len(fleet.by_id) // 2]
        traffic = asyncio.create_task(fleet.traffic(IDLE_S))
        await asyncio.sleep(0.5)
        await asyncio.gather(*(fleet.remove(p, signal.SIGKILL) for p in killed))
        added = await fleet.add(len(killed))
        complete_at = await fleet.wait_complete()
        after = await fleet.log_counts()
        alive_changes = [at for p in added for at, i, s in p.history if s[0] == "ALIVE"]
        return {
            "half restarted": await traffic,
            "half restarted, whole after, s": _delay(complete_at, max(p.ready_at for p in added)),
            "half restarted, log reads": after["reads"] - before["reads"],
            "half restarted, log appends": after["appends"] - before["appends"],
            "half restarted, beliefs of the new ones": len(alive_changes),
        }


@cappa.command(name="benchmarks.membership")
@dataclass
class Command:
    """Measure membership."""

    kind: cappa.Subcommands[Costs | FleetCommand]


def report(
    path: pathlib.Path | None, settings: dict[str, t.Any], results: dict[str, t.Any]
) -> None:
    """Print the results as a table, and write them as JSON when a path is given."""
    print(", ".join(f"{k} {v}" for k, v in settings.items()), f"({NOTE})")
    for name, value in results.items():
        if isinstance(value, dict):
            value = ", ".join(f"{k} {_rounded(v)}" for k, v in value.items())
        print(f"  {name:45} {_rounded(value)}")
    if path is not None:
        document = {"settings": settings, "note": NOTE, "results": results}
        path.write_text(json.dumps(document, indent=2) + "\n", encoding="utf-8")


def _rounded(value: t.Any) -> t.Any:
    return round(value, 2) if isinstance(value, float) else value


def _delay(at: float | None, since: float) -> float | None:
    return None if at is None else at - since


def _distribution(delays: list[float]) -> dict[str, float]:
    if not delays:
        return {"count": 0}
    return {
        "count": len(delays),
        "median": statistics.median(delays),
        "max": max(delays),
    }


if __name__ == "__main__":
    cappa.invoke(Command)
