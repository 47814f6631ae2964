"""A stand-in for a target, with slots, cold start, draining, load shedding and fault injection."""

import asyncio
import hashlib
import random
import time
import typing as t
from dataclasses import dataclass

import aiohttp
import cappa
import msgspec
from aiohttp import web
from loguru import logger

from bulrushflow.logs import configure_logs
from bulrushflow.standins.serving import serve
from bulrushflow.targets.client import NOT_RUN_VALUE
from bulrushflow.targets.client import OUTCOME_HEADER
from bulrushflow.targets.client import REQUEST_ID_HEADER
from bulrushflow.targets.client import TENANT_HEADER

ANNOUNCE_PERIOD_S = 0.5
MIN_RESPONSE_BYTES = 300
MAX_RUNS = 200_000
DRAIN_POLL_S = 0.05
MAX_DRAIN_POLLS = 200


class Behaviour(msgspec.Struct, forbid_unknown_fields=True):
    """How the target handles calls; replaced by ``POST /control/behaviour``."""

    work_ms: float = 1.0
    error_share: float = 0.0
    """Fraction of calls that fail with status 500."""
    slow_share: float = 0.0
    """Fraction of calls that take ``slow_ms`` longer."""
    slow_ms: float = 0.0
    faulty_path: str = ""
    """Prefix of the paths that the faults apply to."""
    faulty_after_s: float = 0.0
    """Seconds from the start until faults apply."""
    faulty_above_in_flight: int = 0
    """Faults apply only while more calls than this are in flight."""
    lose_answer_share: float = 0.0
    """Fraction of calls that run but whose connection is aborted before the response."""
    queue_beyond_slots: bool = False
    """Whether calls beyond the slots wait in an unbounded queue instead of being shed."""


@dataclass(frozen=True, slots=True)
class Run:
    """One execution of a request, for the load tool's comparison with the callers' responses."""

    request_id: str
    body_digest: str
    answer_digest: str


def digest(data: bytes) -> str:
    """Return an 8-byte digest of a body, in hexadecimal."""
    return hashlib.blake2b(data, digest_size=8).hexdigest()


class StandinTarget:
    """The target's HTTP application, and its announcements to its node."""

    def __init__(
        self,
        service: str,
        version: str,
        address: str,
        node_url: str,
        slots: int,
        connections: int,
        cold_s: float,
        seed: int,
        behaviour: Behaviour,
    ) -> None:
        self.behaviour = behaviour
        self.in_flight = 0
        self.runs: list[Run] = []
        self.cancelled = 0
        self._service = service
        self._version = version
        self._address = address
        self._node_url = node_url.rstrip("/")
        self._slots = slots
        self._connections = connections
        self._cold_s = cold_s
        self._rng = random.Random(seed)
        self._started_at = time.monotonic()
        self._draining = False
        self._slot = asyncio.Semaphore(slots)
        self._port = 0
        self._announce_task: asyncio.Task[None] | None = None

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_get("/control/runs", self.list_runs)
        app.router.add_post("/control/behaviour", self.set_behaviour)
        app.router.add_post("/control/drain", self.start_drain)
        app.router.add_get("/health", self.health)
        app.router.add_route("*", "/{path:.*}", self.call)
        return app

    async def call(self, request: web.Request) -> web.StreamResponse:
        """Run one call; 503 with the outcome "not run" when the slots are full or draining."""
        body = await request.read()
        full = self.in_flight >= self._slots and not self.behaviour.queue_beyond_slots
        if full or self._draining:
            return web.json_response(
                {"error": "shed"}, status=503, headers={OUTCOME_HEADER: NOT_RUN_VALUE}
            )
        async with self._slot:
            return await self._run_counted(request, body)

    async def list_runs(self, _: web.Request) -> web.Response:
        """Return all recorded runs."""
        return web.Response(body=msgspec.json.encode(self.runs), content_type="application/json")

    async def set_behaviour(self, request: web.Request) -> web.Response:
        """Replace the behaviour."""
        try:
            self.behaviour = msgspec.json.decode(await request.read(), type=Behaviour)
        except msgspec.DecodeError as exc:
            return web.json_response({"error": str(exc)}, status=400)
        return web.json_response({})

    async def start_drain(self, _: web.Request) -> web.Response:
        """Start draining: announce it to the node, and shed new calls."""
        self._draining = True
        await self._announce()
        return web.json_response({})

    async def health(self, _: web.Request) -> web.Response:
        """Report the target as healthy, whatever its faults."""
        return web.json_response({"healthy": True, "in_flight": 0})

    async def on_listening(self, port: int) -> None:
        """Start the periodic announcements."""
        self._port = port
        self._announce_task = asyncio.get_running_loop().create_task(self._announce_periodically())

    async def on_stopping(self) -> None:
        """Announce the drain, then wait until the node has no call in flight to this target.

        The wait ends after ``MAX_DRAIN_POLLS`` polls.
        """
        self._draining = True
        for _ in range(MAX_DRAIN_POLLS):
            if await self._announce() == 0:
                break
            await asyncio.sleep(DRAIN_POLL_S)
        if self._announce_task is not None:
            self._announce_task.cancel()

    async def _run_counted(self, request: web.Request, body: bytes) -> web.StreamResponse:
        self.in_flight += 1
        try:
            return await self._run(request, body)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.in_flight -= 1

    async def _run(self, request: web.Request, body: bytes) -> web.StreamResponse:
        behaviour = self.behaviour
        faulty = self._is_faulty(request.path)
        request_id = request.headers.get(REQUEST_ID_HEADER, "")
        delay_ms = behaviour.work_ms
        if faulty and self._rng.random() < behaviour.slow_share:
            delay_ms += behaviour.slow_ms
        response_body = self._response_body(request, request_id, body)
        self._record_run(Run(request_id, digest(body), digest(response_body)))
        await asyncio.sleep(delay_ms / 1000)
        lost = faulty and self._rng.random() < behaviour.lose_answer_share
        if lost and request.transport is not None:
            request.transport.abort()
        status = 500 if faulty and self._rng.random() < behaviour.error_share else 200
        return web.Response(status=status, body=response_body, content_type="application/json")

    def _response_body(self, request: web.Request, request_id: str, body: bytes) -> bytes:
        fields = {
            "request_id": request_id,
            "tenant": request.headers.get(TENANT_HEADER, ""),
            "service": self._service,
            "version": self._version,
            "path": request.path,
            "body_digest": digest(body),
        }
        encoded = msgspec.json.encode(fields)
        return encoded + b" " * max(0, MIN_RESPONSE_BYTES - len(encoded))

    def _record_run(self, run: Run) -> None:
        if len(self.runs) < MAX_RUNS:
            self.runs.append(run)

    def _is_faulty(self, path: str) -> bool:
        behaviour = self.behaviour
        if not path.startswith(behaviour.faulty_path):
            return False
        if time.monotonic() - self._started_at < behaviour.faulty_after_s:
            return False
        return self.in_flight > behaviour.faulty_above_in_flight

    def _state(self) -> str:
        if self._draining:
            return "draining"
        cold = time.monotonic() - self._started_at < self._cold_s
        return "cold" if cold else "ready"

    async def _announce_periodically(self) -> None:
        while True:
            await self._announce()
            await asyncio.sleep(ANNOUNCE_PERIOD_S)

    async def _announce(self) -> int | None:
        """Send an announcement; return the calls in flight to this target, ``None`` on failure."""
        announcement = {
            "service": self._service,
            "version": self._version,
            "address": self._address,
            "port": self._port,
            "state": self._state(),
            "slots": self._slots,
            "connections": self._connections,
        }
        timeout = aiohttp.ClientTimeout(total=1)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.post(self._node_url + "/announce", json=announcement) as response,
            ):
                if response.status == 200:
                    return int((await response.json())["in_flight"])
                logger.warning("announcement refused: {}", await response.text())
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            logger.debug("announcement failed: {!r}", exc)
        return None


@cappa.command(name="bulrushflow-standin-target")
@dataclass
class TargetCommand:
    """Run a stand-in for one target of a service."""

    service: t.Annotated[str, cappa.Arg(long=True, help="service name")]
    version: t.Annotated[str, cappa.Arg(long=True, help="target version")]
    node_url: t.Annotated[str, cappa.Arg(long="--node", help="URL of the target's node")]
    port: t.Annotated[int, cappa.Arg(long=True, help="TCP port; 0 lets the system pick one")] = 0
    address: t.Annotated[str, cappa.Arg(long=True, help="IP address to listen on")] = "127.0.0.1"
    slots: t.Annotated[int, cappa.Arg(long=True, help="concurrent calls")] = 20
    connections: t.Annotated[int, cappa.Arg(long=True, help="concurrent connections")] = 120
    cold_s: t.Annotated[
        float, cappa.Arg(long=True, help="duration of the cold start in seconds")
    ] = 0.5
    seed: t.Annotated[int, cappa.Arg(long=True, help="seed of the random faults")] = 1
    behaviour: t.Annotated[str, cappa.Arg(long=True, help="initial behaviour, as JSON")] = "{}"

    def __call__(self) -> None:
        configure_logs(f"{self.service}-{self.version}")
        try:
            behaviour = msgspec.json.decode(self.behaviour, type=Behaviour)
        except msgspec.DecodeError as exc:
            raise cappa.Exit(f"--behaviour: {exc}", code=2) from exc
        standin = StandinTarget(
            self.service,
            self.version,
            self.address,
            self.node_url,
            self.slots,
            self.connections,
            self.cold_s,
            self.seed,
            behaviour,
        )
        serve(
            standin.application(),
            self.address,
            self.port,
            "standin-target",
            standin.on_listening,
            standin.on_stopping,
            handler_cancellation=True,
        )


def main() -> None:
    """Run the ``bulrushflow-standin-target`` program."""
    cappa.invoke(TargetCommand)
