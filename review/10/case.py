"""Machines that reach the store serve a stale configuration, since another machine doesn't.

All machines of a data centre have the store's records from one of them. That one is partitioned
from the store; until it notices, the others take its silence for the lack of news.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness_2 as h

APPLY_S = 2.0  # bound configApply
STABLE_S = 3.0  # bound stableWindow
CUT_S = 5.5  # core_cut, for_s in the site file
KEEP_ALIVE_S = 3.0
"""Time after which the sidecar's TCP keep-alive ends a connection without acknowledgements: 1 s idle
and two probes, 1 s apart. The proxy's side acknowledges them, so it ends the connection then."""
HOST, PATH = "dues.example", "/history/"


def configuration(version: int, service: str) -> bytes:
    route = {"name": "r1", "host": HOST, "prefix": PATH, "service": service}
    return h.configuration(version, [route], ["statements", "archive", "plots"])


async def case(record: h.Record, stack) -> int:
    store = h.Store(record)
    await store.start()
    stack.push_async_callback(store.stop)
    store.put("keyed.op", "config", configuration(1, "statements"))
    backends, sidecars, paths = [], [], []
    for number, service in enumerate(("statements", "archive", "plots", "plots", "plots"), 1):
        backend = h.Backend(record, service, number, "")
        backend.port = h.free_port(backend.host)
        path = h.Path(record, f"sidecar-z1-{number}", store.address)
        await path.start()
        stack.push_async_callback(path.stop)
        app = f"{backend.host}:{backend.port}"
        sidecar = h.Sidecar(record, number, service, app, path.address)
        backend.control = sidecar.control
        await sidecar.start()
        stack.push_async_callback(sidecar.stop)
        await backend.listen()
        backend.begin_pings()
        stack.push_async_callback(backend.stop)
        backends.append(backend)
        sidecars.append(sidecar)
        paths.append(path)
    for sidecar in sidecars:
        if not await sidecar.wait_ready():
            return h.NOT_RUN
    await asyncio.sleep(8.0)
    since = record.now() - 6.0
    reads = [sum(at > since for at in path.reads) for path in paths]
    record(f"reads of the operator's topic in the last 6 s, by machine: {reads}")
    reader = max(range(len(paths)), key=reads.__getitem__)
    requesters = [
        h.Requester(record, sidecar.outbound)
        for number, sidecar in enumerate(sidecars)
        if number != reader
    ]
    before = len(paths[reader].reads)
    while len(paths[reader].reads) == before:
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.5)

    # One machine is partitioned from the store. All others, and the operator, reach it.
    if h.TROUBLE:
        paths[reader].cut()
    cut_at = record.now()
    await asyncio.sleep(0.1)
    store.put("keyed.op", "config", configuration(2, "archive"))
    acknowledged = record.now()
    ended = healed = not h.TROUBLE
    while record.now() < acknowledged + 7.0:
        if not ended and record.now() >= cut_at + KEEP_ALIVE_S:
            ended = True
            await paths[reader].refuse()
        if not healed and record.now() >= cut_at + CUT_S:
            healed = True
            await paths[reader].heal()
        await asyncio.gather(*(r.send(HOST, PATH + "x") for r in requesters))
        await asyncio.sleep(0.1)
    sent = {attempt: at for r in requesters for attempt, at in r.sent.items()}
    stale = [at - acknowledged for i, _ in backends[0].runs if (at := sent.get(i, 0.0)) > acknowledged]
    late = [seconds for seconds in stale if seconds > APPLY_S]
    record(f"{len(sent)} requests by the {len(requesters)} machines that reach the store")
    record(f"the last one that the old service ran was sent {max(stale, default=0):.2f} s after the ack")
    record(f"requests sent later than {APPLY_S} s after the ack that the old service ran: {len(late)}")
    return h.BROKEN if late else h.HELD


h.run(case, pathlib.Path(__file__).resolve().with_name("record.txt"))
