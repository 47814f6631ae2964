"""An acknowledged leave is undone by an older write of the node, and by a restart.

Sidecar A acknowledges that its backend leaves. A write of A from before, whose answer the store
lost, is executed after the leave's, and A uses the backend again once it has been restarted.
"""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness_2 as h

MAX_LATE_S = 6.0  # kinds: platform_lost, how late: done 1 to 6 s later
DRAIN_S = 2.0  # bound drain
STABLE_S = 3.0  # bound stableWindow
DOWN_S = 1.0  # between the end of A's process and its start by the platform
WORK_S = 0.22  # dues-history, work_ms
HOST, PATH = "dues.example", "/history/"


async def case(record: h.Record, stack) -> int:
    store = h.Store(record)
    await store.start()
    stack.push_async_callback(store.stop)
    routes = [{"name": "r1", "host": HOST, "prefix": PATH, "service": "statements"}]
    store.put("keyed.op", "config", h.configuration(1, routes, ["statements", "plots"]))
    backends, sidecars = [], []
    for number, service in ((1, "statements"), (2, "statements"), (3, "plots")):
        backend = h.Backend(record, service, number, "", work_s=WORK_S)
        backend.port = h.free_port(backend.host)
        app = f"{backend.host}:{backend.port}"
        sidecar = h.Sidecar(record, number, service, app, store.address)
        backend.control = sidecar.control
        await sidecar.start()
        stack.push_async_callback(sidecar.stop)
        backends.append(backend)
        sidecars.append(sidecar)
    a, _, c = sidecars
    leaving, *others = backends
    for backend in backends:
        stack.push_async_callback(backend.stop)
    for backend in others:
        await backend.listen()
        backend.begin_pings()
    for sidecar in sidecars:
        if not await sidecar.wait_ready():
            return h.NOT_RUN
    await asyncio.sleep(2.0)
    requester = h.Requester(record, c.outbound)

    # A backend starts beside A, and A writes its entry. This write's answer is lost.
    own_key = f"node/{a.ip}"

    executed = asyncio.Event()

    def lose_first(topic, records):
        if h.TROUBLE and not store.lost and topic == "keyed.nodes" and records[0][0] == own_key:
            return executed
        return None

    store.lose_late = lose_first
    await leaving.listen()
    leaving.begin_pings()
    started = record.now()
    await asyncio.sleep(2.2)
    await asyncio.gather(*(requester.send(HOST, PATH + "before") for _ in range(10)))
    # It leaves: DELETE first, then it goes on serving, as some backends do.
    leaving.end_pings()
    leaving.leaving = True
    if await leaving.leave() != 200:
        return h.NOT_RUN
    acknowledged = record.now()
    record("the leave is acknowledged")
    await asyncio.sleep(0.1)
    # Planned work: A's process is stopped and started again, its backend runs on.
    a.signal(signal.SIGTERM)
    await a.wait_ended()
    ended = record.now()
    await asyncio.sleep(DOWN_S / 2)
    executed.set()
    if h.TROUBLE and record.now() > started + MAX_LATE_S:
        record("A's process ended too late for a write that is done 6 s later at most")
        return h.NOT_RUN
    await asyncio.sleep(DOWN_S / 2)
    await a.start()
    record(f"A was down from {ended:.2f} to {record.now():.2f}")
    if not await a.wait_ready():
        return h.NOT_RUN
    # All machines are in touch again stableWindow after the last of: A's start, the late write.
    await asyncio.sleep(max(0.0, a.started_at + STABLE_S + 0.5 - record.now()))
    in_touch = record.now()
    record("all machines are in touch")
    for _ in range(5):
        await asyncio.gather(*(requester.send(HOST, PATH + "after") for _ in range(40)))
        await asyncio.sleep(0.1)
    late = [
        attempt
        for attempt, at in leaving.runs
        if requester.sent[attempt] >= in_touch and at > acknowledged + DRAIN_S
    ]
    answered = sum(1 for i, (status, _) in requester.answers.items() if status == 200)
    record(f"{len(requester.sent)} requests, {answered} answered with 200")
    record(
        f"requests that reached the backend later than {DRAIN_S} s after its leave was "
        f"acknowledged, with all machines in touch: {len(late)}"
    )
    return h.BROKEN if late else h.HELD


h.run(case, pathlib.Path(__file__).resolve().with_name("record.txt"))
