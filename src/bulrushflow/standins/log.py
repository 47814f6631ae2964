"""A stand-in for the platform's append-only log, with fault injection."""

import asyncio
import base64
import bisect
import time
import typing as t
from dataclasses import dataclass
from dataclasses import field

import cappa
import msgspec
from aiohttp import web

from bulrushflow.logs import configure_logs
from bulrushflow.standins.serving import serve

MAX_WAIT_MS = 30_000
MAX_PAGE_RECORDS = 500


@dataclass(slots=True)
class StoredRecord:
    """A record, with the time of its append in epoch milliseconds."""

    offset: int
    appended_at_ms: int
    body: bytes


@dataclass(slots=True)
class Stream:
    """One stream's retained records; ``changed`` is set by the next append."""

    first_offset: int = 0
    records: list[StoredRecord] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def next_offset(self) -> int:
        """The offset that the next append will get."""
        return self.first_offset + len(self.records)


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Injected faults: an outage, added delay, and responses lost after the write."""

    down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    lose_stream: str = ""
    """The only stream whose responses are lost; empty for all."""


class StandinLog:
    """Streams in memory, with an append rate limit, retention bounds and fault injection."""

    def __init__(
        self, appends_per_s: float, retained_records: int, retained_s: float = float("inf")
    ) -> None:
        self.faults = Faults()
        self.reads = 0
        self.appends = 0
        self._appends_per_s = appends_per_s
        self._retained_records = retained_records
        self._retained_s = retained_s
        self._streams_by_name: dict[str, Stream] = {}
        self._tokens = appends_per_s
        self._refilled_at = time.monotonic()

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_post("/streams/{name}", self.append)
        app.router.add_get("/streams/{name}", self.read)
        app.router.add_post("/faults", self.set_faults)
        app.router.add_post("/trim/{name}", self.trim)
        app.router.add_get("/counts", self.counts)
        return app

    async def append(self, request: web.Request) -> web.Response:
        """Append the body as one record; 503 when down, 429 above the append rate limit."""
        body = await request.read()
        if await self._is_down():
            return _error(503, "unavailable")
        if not self._consume_token():
            return _error(429, f"more than {self._appends_per_s:g} appends/s")
        self.appends += 1
        stream = self._stream(request)
        record = StoredRecord(stream.next_offset, time.time_ns() // 1_000_000, body)
        stream.records.append(record)
        _retain_newest(stream, self._retained_records)
        changed, stream.changed = stream.changed, asyncio.Event()
        changed.set()
        if self.faults.lose_answers > 0 and self.faults.lose_stream in (
            "",
            request.match_info["name"],
        ):
            self.faults.lose_answers -= 1
            if request.transport is not None:
                request.transport.abort()
            return _error(503, "answer lost")
        return web.json_response({"offset": record.offset})

    async def read(self, request: web.Request) -> web.Response:
        """Return a page of records from an offset or from the tail; 410 for trimmed offsets.

        With ``wait_ms``, a read at the end of the stream waits up to that time for an append.
        """
        if await self._is_down():
            return _error(503, "unavailable")
        self.reads += 1
        stream = self._stream(request)
        if "tail" in request.query:
            return _page(stream, max(0, len(stream.records) - int(request.query["tail"])))
        from_offset = int(request.query.get("from", "0"))
        wait_ms = min(int(request.query.get("wait_ms", "0")), MAX_WAIT_MS)
        if from_offset >= stream.next_offset and wait_ms > 0:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await stream.changed.wait()
            except TimeoutError:
                pass
            if await self._is_down():
                return _error(503, "unavailable")
        if from_offset < stream.first_offset:
            return web.json_response(
                {"error": "trimmed", "first_offset": stream.first_offset}, status=410
            )
        return _page(stream, from_offset - stream.first_offset)

    async def set_faults(self, request: web.Request) -> web.Response:
        """Replace the injected faults."""
        try:
            self.faults = msgspec.json.decode(await request.read(), type=Faults)
        except msgspec.DecodeError as exc:
            return _error(400, str(exc))
        return web.json_response({})

    async def trim(self, request: web.Request) -> web.Response:
        """Drop all but the newest ``keep`` records, or those older than ``older_ms``.

        ``older_ms`` is an age in milliseconds, and is used when both are given.
        """
        stream = self._stream(request)
        if "older_ms" in request.query:
            _drop_older(stream, int(request.query["older_ms"]) / 1000)
        else:
            _retain_newest(stream, int(request.query.get("keep", "0")))
        return web.json_response({})

    async def counts(self, request: web.Request) -> web.Response:
        """Return how many reads and appends were served."""
        return web.json_response({"reads": self.reads, "appends": self.appends})

    def _stream(self, request: web.Request) -> Stream:
        stream = self._streams_by_name.setdefault(request.match_info["name"], Stream())
        _drop_older(stream, self._retained_s)
        return stream

    async def _is_down(self) -> bool:
        """Wait for the injected delay, and return whether an outage is injected."""
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        return self.faults.down

    def _consume_token(self) -> bool:
        now = time.monotonic()
        replenished = (now - self._refilled_at) * self._appends_per_s
        self._tokens = min(self._appends_per_s, self._tokens + replenished)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def _retain_newest(stream: Stream, count: int) -> None:
    excess = len(stream.records) - count
    if excess > 0:
        del stream.records[:excess]
        stream.first_offset += excess


def _drop_older(stream: Stream, age_s: float) -> None:
    cutoff_ms = time.time_ns() / 1_000_000 - age_s * 1000
    start = bisect.bisect_left(stream.records, cutoff_ms, key=lambda r: r.appended_at_ms)
    _retain_newest(stream, len(stream.records) - start)


def _page(stream: Stream, start: int) -> web.Response:
    page = stream.records[max(0, start) : max(0, start) + MAX_PAGE_RECORDS]
    records: list[dict[str, t.Any]] = [
        {
            "offset": r.offset,
            "appended_at_ms": r.appended_at_ms,
            "body": base64.b64encode(r.body).decode(),
        }
        for r in page
    ]
    return web.json_response({"records": records, "next_offset": stream.next_offset})


def _error(status: int, message: str) -> web.Response:
    return web.json_response({"error": message}, status=status)


@cappa.command(name="bulrushflow-standin-log")
@dataclass
class LogCommand:
    """Run a stand-in for the platform's append-only log."""

    port: t.Annotated[int, cappa.Arg(long=True, help="TCP port; 0 lets the system pick one")] = 0
    address: t.Annotated[str, cappa.Arg(long=True, help="IP address to listen on")] = "127.0.0.1"
    appends_per_s: t.Annotated[float, cappa.Arg(long=True, help="appends accepted per second")] = (
        300.0
    )
    retained_records: t.Annotated[int, cappa.Arg(long=True, help="records retained per stream")] = (
        100_000
    )
    retained_s: t.Annotated[
        float, cappa.Arg(long=True, help="seconds that a record is retained")
    ] = float("inf")

    def __call__(self) -> None:
        configure_logs("standin-log")
        standin = StandinLog(self.appends_per_s, self.retained_records, self.retained_s)
        serve(standin.application(), self.address, self.port, "standin-log")


def main() -> None:
    """Run the ``bulrushflow-standin-log`` program."""
    cappa.invoke(LogCommand)
