"""A backend leaves, its node is restarted, and a ping from before its leave arrives late."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import harness as h  # noqa: E402

HOST = "h1.example"
PATH = "/a/1"
PER_S = 20.0
RESTART_PAUSE_S = 0.5
PING_DELAY_S = 4.0
"""How late the last ping before the leave arrives."""
SERVES_ON_S = 9.0
"""Time after the ack for which the backend serves on."""


async def case(record: h.Record) -> int:
    async with h.Deployment(record, ["members", "members", "office"]) as d:
        leaving_node, _, calling_node = d.nodes
        routes = [h.route("r1", "/a/", {"members": 1.0})]
        d.store.put("keyed.op", "config", h.configuration(3, HOST, routes, ["members", "office"]))
        await d.start()
        requester = h.Requester(record, calling_node)
        sending = asyncio.create_task(requester.send_steadily(HOST, PATH, PER_S))
        await asyncio.sleep(h.STABLE_WINDOW_S + 1.5)
        backend = leaving_node.backends[0]
        if not backend.runs:
            raise h.CannotRun("the backend got no request before it left")
        delayed = backend.announcement()  # sent now, arrives late
        record(f"{backend.id} sends a ping with seq={delayed['seq']}, which is delayed")
        if await backend.send_delete() != 200:
            raise h.CannotRun("the leave was not acknowledged")
        acked_at = record.now()
        if h.TROUBLE:
            await leaving_node.kill()
            await asyncio.sleep(RESTART_PAUSE_S)
            await leaving_node.start()
        await asyncio.sleep(acked_at + PING_DELAY_S - record.now())
        await backend.send_ping(delayed)
        await asyncio.sleep(acked_at + SERVES_ON_S - record.now())
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        return judge(record, backend, acked_at, leaving_node, requester)


def judge(
    record: h.Record, backend: h.Backend, acked_at: float, node: h.Node, requester: h.Requester
) -> int:
    """DRAIN: no request reaches the backend later than `drain` after the ack, by calm machines."""
    calm_from = max(acked_at + h.DRAIN_S, node.started_at + h.STABLE_WINDOW_S + 0.1)
    late = [run for run in backend.runs if run.at > calm_from]
    record(
        f"leave acked at {acked_at:.3f}, {node.name} started at {node.started_at:.3f}; "
        f"requests that reached {backend.id} after {calm_from:.3f}: {len(late)}"
    )
    for run in late:
        sent_at = requester.sent_at_by_id[run.request_id]
        record(f"  {run.request_id} sent at {sent_at:.3f}, ran at {run.at:.3f}")
    statuses = list(requester.answers_by_id.values())
    record(f"answers: {({s: statuses.count(s) for s in sorted(set(statuses))})}")
    return h.BROKEN if late else h.HELD


if __name__ == "__main__":
    h.main(case, pathlib.Path(__file__).resolve().with_name("record.txt"))
