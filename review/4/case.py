"""A backend leaves while the store is down, and its node is restarted before the store is back."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import harness as h  # noqa: E402

HOST = "h1.example"
PATH = "/a/1"
STORE_DOWN_S = 4.5
KILL_AFTER_S = 0.5
RESTART_PAUSE_S = 0.5
TOGETHER = 10
"""Requests sent at the same time, so that both backends of the service get some."""
SERVES_ON_S = 12.0
"""Time after the ack for which the backend serves on."""


async def case(record: h.Record) -> int:
    async with h.Deployment(record, ["members", "members", "office"]) as d:
        leaving_node, _, calling_node = d.nodes
        routes = [h.route("r1", "/a/", {"members": 1.0})]
        d.store.put("keyed.op", "config", h.configuration(3, HOST, routes, ["members", "office"]))
        await d.start()
        requester = h.Requester(record, calling_node)
        backend = leaving_node.backends[0]
        await asyncio.sleep(h.STABLE_WINDOW_S + 0.5)
        await send_together(requester)
        if not backend.runs:
            raise h.CannotRun("the backend got no request before it left")
        if h.TROUBLE:
            d.store.down = True
            record("the store is down")
        down_at = record.now()
        await asyncio.sleep(0.5)
        if await backend.send_delete() != 200:
            record("the leave was not acknowledged, so nothing binds")
            return h.HELD
        acked_at = record.now()
        if h.TROUBLE:
            await asyncio.sleep(KILL_AFTER_S)
            await leaving_node.kill()
            await asyncio.sleep(RESTART_PAUSE_S)
            await leaving_node.start()
        await asyncio.sleep(down_at + STORE_DOWN_S - record.now())
        d.store.down = False
        back_at = record.now()
        record("the store is back")
        # Nobody asks for this service until the machines have been calm for the stable window.
        calm_from = max(back_at, leaving_node.started_at) + h.STABLE_WINDOW_S + 0.2
        await asyncio.sleep(calm_from - record.now())
        while record.now() < acked_at + SERVES_ON_S:
            await send_together(requester)
            await asyncio.sleep(0.5)
        return judge(record, backend, acked_at, calm_from, requester)


async def send_together(requester: h.Requester) -> None:
    await asyncio.gather(*(requester.get(HOST, PATH) for _ in range(TOGETHER)))


def judge(
    record: h.Record, backend: h.Backend, acked_at: float, calm_from: float, requester: h.Requester
) -> int:
    """DRAIN: no request reaches the backend later than `drain` after the ack, by calm machines."""
    late = [run for run in backend.runs if run.at > max(calm_from, acked_at + h.DRAIN_S)]
    record(f"leave acked at {acked_at:.3f}, all calm from {calm_from:.3f}; late: {len(late)}")
    for run in late:
        sent_at = requester.sent_at_by_id[run.request_id]
        record(f"  {run.request_id} sent at {sent_at:.3f}, ran at {run.at:.3f}")
    return h.BROKEN if late else h.HELD


if __name__ == "__main__":
    h.main(case, pathlib.Path(__file__).resolve().with_name("record.txt"))
