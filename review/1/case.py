"""The next version is ordered right after a bad one was rolled back."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import harness as h  # noqa: E402

HOST = "h1.example"
PATH = "/a/1"
PER_S = 100.0
DURATION_S = 14.0
DRAIN_AFTER_S = 5.0
"""Time from `rolled_back` until the backends of the bad version report that they drain."""
FAILING_SHARE = 0.2
CANARY_SHARE = 0.1
CANARY_SLACK = 50
ROLLBACK_S = 5.0


async def case(record: h.Record) -> int:
    async with h.Deployment(record, ["members"] * 4 + ["office"] + ["members"] * 2) as d:
        old, bad, office, new = d.nodes[:2], d.nodes[2:4], d.nodes[4], d.nodes[5:]
        routes = [h.route("r1", "/a/", {"members": 1.0})]
        d.store.put("keyed.op", "config", h.configuration(3, HOST, routes, ["members", "office"]))
        await d.start([*old, office])
        requester = h.Requester(record, office)
        sending = asyncio.create_task(requester.send_steadily(HOST, PATH, PER_S))
        await asyncio.sleep(h.STABLE_WINDOW_S + 3)
        ordered_at = record.now()
        order(d, "v2")
        await start_version(d, bad, "v2", FAILING_SHARE)
        while state(d) != "rolled_back":
            if record.now() > ordered_at + DURATION_S + 5:
                raise h.CannotRun("the bad version was not rolled back")
            await asyncio.sleep(0.1)
        rolled_back_at = record.now()
        record("the operator sees rolled_back")
        await asyncio.sleep(0.5)
        if h.TROUBLE:
            order(d, "v3")
            await start_version(d, new, "v3", 0.0)
        await asyncio.sleep(rolled_back_at + DRAIN_AFTER_S - record.now())
        drained_at = record.now()
        for node in bad:
            node.backends[0].state = "draining"
            node.backends[0].leaving = True
            await node.backends[0].send_ping(node.backends[0].announcement())
        await asyncio.sleep(ordered_at + DURATION_S + 1 - record.now())
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        return judge(record, d, ordered_at, drained_at)


def order(d: h.Deployment, version: str) -> None:
    document = {"service": "members", "targetVersion": version, "duration": f"{DURATION_S:g}s"}
    d.store.put("keyed.op", "rollout/members", document)


def state(d: h.Deployment) -> str:
    status = d.store.newest("keyed.status", "rollout/members")
    return status["state"] if status else ""


async def start_version(
    d: h.Deployment, nodes: list[h.Node], version: str, failing_share: float
) -> None:
    await asyncio.gather(*(node.start() for node in nodes))
    for node in nodes:
        backend = await d.add_backend(node, version)
        backend.failing_share = failing_share


def judge(record: h.Record, d: h.Deployment, ordered_at: float, drained_at: float) -> int:
    """EXPOSURE, both parts; all machines that send on are calm."""
    backends = [backend for node in d.nodes for backend in node.backends]
    runs = [run for backend in backends for run in backend.runs]
    bad = {backend.id for backend in backends if backend.version == "v2"}
    until = ordered_at + DURATION_S
    total = [run for run in runs if ordered_at <= run.at <= until]
    exposed = sorted(run for run in total if run.backend_id in bad)
    allowed = CANARY_SHARE * len(total) + CANARY_SLACK
    record(f"{len(total)} requests from order to deadline, v2 got {len(exposed)} of {allowed:.0f}")
    failed = sorted(at for backend in backends if backend.id in bad for at in backend.failed_at)
    late = []
    if len(failed) >= 50:
        late = [run for run in exposed if run.at > failed[49] + ROLLBACK_S + 0.2]
        record(f"50th bad answer at {failed[49]:.3f}, {len(late)} requests {ROLLBACK_S} s later")
    return h.BROKEN if len(exposed) > allowed or late else h.HELD


if __name__ == "__main__":
    h.main(case, pathlib.Path(__file__).resolve().with_name("record.txt"))
