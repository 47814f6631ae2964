"""A planned stop resets connections of pipelining requesters before they have their answer.

A stopping sidecar closes a connection as soon as it has written an answer. A further request that
the requester has sent meanwhile is never read, so the close resets the connection, and what the
requester hasn't received of the answer is lost.
"""

import asyncio
import pathlib
import signal
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness_2 as h
from aiohttp import web

HOST, PATH = "plots.example", "/balance/"
BYTES_PER_S = 100_000
"""Bandwidth of a requester's link: 0.8 Mbit/s."""
SIZE = 30_000  # plot-balance, resp_bytes max in the site file
WORK_S = 0.088  # plot-balance, work_ms
DEADLINE_S = 1.2  # plot-balance
NEXT_S = 0.2
"""Time after which a requester sends its next request, without waiting for the answer."""
REQUESTERS = 5
HEAD_END = b"\r\n\r\n"


async def run_balance(backend: h.Backend, request, attempt: str, body: bytes) -> web.Response:
    await asyncio.sleep(WORK_S)
    backend.record(f"backend {backend.id} has answered {attempt}")
    headers = {h.ID: attempt, h.SIGNATURE: f"{attempt}.{backend.id}"}
    return web.Response(headers=headers, body=b"p" * SIZE)


class Pipeline:
    """A requester that sends a second safe request before it has the answer to the first."""

    def __init__(self, record: h.Record, outbound: str, number: int) -> None:
        self.record = record
        host, _, port = outbound.rpartition(":")
        self.address = (host, int(port))
        self.ids = [f"{number:08x}{i:08x}" for i in (1, 2)]

    async def run(self) -> bool:
        """Return whether the first answer was complete."""
        loop = asyncio.get_running_loop()
        with socket.socket() as sock:
            # Segments and windows as on a network; those of the loopback interface are far larger.
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            await loop.sock_connect(sock, self.address)
            started = time.monotonic()
            await self._send(sock, self.ids[0])
            sending = asyncio.create_task(self._send_next(sock))
            received = b""
            end = "complete"
            while len(received.partition(HEAD_END)[2]) < SIZE:
                try:
                    data = await loop.sock_recv(sock, 2048)
                except OSError as exc:
                    end = repr(exc)
                    break
                if not data:
                    end = "closed"
                    break
                received += data
                at = started + WORK_S + len(received) / BYTES_PER_S
                await asyncio.sleep(max(0.0, at - time.monotonic()))
            await sending
        seconds = time.monotonic() - started
        body = received.partition(HEAD_END)[2][:SIZE]
        status = received.partition(HEAD_END[:2])[0].decode()
        self.record(
            f"requester got {self.ids[0]}: {status}, "
            f"{len(body)} of {SIZE} bytes, after {seconds:.2f} s: {end}"
        )
        return len(body) == SIZE and seconds < DEADLINE_S

    async def _send(self, sock: socket.socket, attempt: str) -> None:
        head = (
            f"GET {PATH}a HTTP/1.1\r\nHost: {HOST}\r\n{h.ID}: {attempt}\r\n"
            f"{h.DEADLINE}: {int(DEADLINE_S * 1000)}\r\n\r\n"
        )
        self.record(f"requester sends {attempt}")
        await asyncio.get_running_loop().sock_sendall(sock, head.encode())

    async def _send_next(self, sock: socket.socket) -> None:
        await asyncio.sleep(NEXT_S)
        try:
            await self._send(sock, self.ids[1])
        except OSError as exc:
            self.record(f"{self.ids[1]} can't be sent: {exc!r}")


async def case(record: h.Record, stack) -> int:
    store = h.Store(record)
    await store.start()
    stack.push_async_callback(store.stop)
    route = {"name": "r1", "host": HOST, "prefix": PATH, "service": "plots", "aim": "300ms"}
    store.put("keyed.op", "config", h.configuration(1, [route], ["plots", "payments"]))
    sidecars = []
    for number, service in ((1, "plots"), (2, "payments")):
        backend = h.Backend(record, service, number, "")
        backend.port = h.free_port(backend.host)
        backend.behave = run_balance
        app = f"{backend.host}:{backend.port}"
        sidecar = h.Sidecar(record, number, service, app, store.address)
        backend.control = sidecar.control
        await sidecar.start()
        stack.push_async_callback(sidecar.stop)
        await backend.listen()
        backend.begin_pings()
        stack.push_async_callback(backend.stop)
        sidecars.append(sidecar)
    for sidecar in sidecars:
        if not await sidecar.wait_ready():
            return h.NOT_RUN
    taking = sidecars[1]
    await asyncio.sleep(5.0)
    if h.TROUBLE:
        taking.signal(signal.SIGTERM)
    # Requesters see that the machine isn't ready after two questions, a second apart.
    await asyncio.sleep(0.5)
    pipelines = [Pipeline(record, taking.outbound, number) for number in range(REQUESTERS)]
    complete = await asyncio.gather(*(pipeline.run() for pipeline in pipelines))
    record(f"{sum(complete)} of {len(complete)} first requests had their complete answer in time")
    if h.TROUBLE:
        await taking.wait_ended()
    return h.HELD if all(complete) else h.BROKEN


h.run(case, pathlib.Path(__file__).resolve().with_name("record.txt"))
