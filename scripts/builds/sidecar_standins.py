"""Stand-ins for the targets and callers of sidecars, which count each call's runs and responses."""

import asyncio
import contextlib
import typing as t
from collections import Counter

import aiohttp
from aiohttp import web

from bulrushflow.platform.headers import HEADER_NAMES
from bulrushflow.sidecar.settings import Endpoint

HOST = "mixed.test"
SAFE_PATH = "/safe/1"
UNSAFE_PATH = "/unsafe/1"
CALLS_PER_S = 60.0
CALL_TIMEOUT_S = 15.0
DEADLINE_MS = "9000"
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that its call did not run."""
UNKNOWN_STATUSES = frozenset({502, 504})
VIOLATIONS = ("lost", "doubled", "crossed", "unknown", "false_not_run")


class Target:
    """Responds with the call's id and this target's version."""

    def __init__(self, version: str, runs_by_id: Counter[str]) -> None:
        self.version = version
        self.faulty = False
        self._runs_by_id = runs_by_id
        self._runner = web.ServerRunner(web.Server(self._handle, access_log=None))

    async def start(self, address: str) -> Endpoint:
        """Listen on a free port of an address."""
        await self._runner.setup()
        await web.TCPSite(self._runner, address, 0).start()
        return Endpoint(*self._runner.addresses[0][:2])

    async def stop(self) -> None:
        """Close the listener and all connections."""
        await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        call_id = request.headers[HEADER_NAMES.request_id]
        self._runs_by_id[call_id] += 1
        headers = {HEADER_NAMES.request_id: call_id, HEADER_NAMES.signature: "signed"}
        status = 500 if self.faulty else 200
        return web.Response(status=status, headers=headers, text=f"{call_id} {self.version}")


class Callers:
    """Sends calls to the sidecars at ``urls`` in turn, and compares responses with the runs."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.urls: list[str] = []
        self.runs_by_id: Counter[str] = Counter()
        self.counts: Counter[str] = Counter()
        self.unanswered: list[str] = []
        """The calls that were lost or whose outcome is unknown."""
        self._session = session
        self._unsafe_ids: set[str] = set()
        self._not_run_ids: set[str] = set()
        self._calls: set[asyncio.Task[tuple[int, str]]] = set()

    @contextlib.asynccontextmanager
    async def calling(self) -> t.AsyncIterator[None]:
        """Send calls at a constant rate while the block runs, then wait for their responses."""
        sending = asyncio.create_task(self._send_periodically())
        try:
            yield
        finally:
            sending.cancel()
            await asyncio.gather(sending, *self._calls, return_exceptions=True)

    async def call(self, url: str, path: str) -> tuple[int, str]:
        """Send one call; return the status and the version that responded, else ``0`` and text."""
        self.counts["calls"] += 1
        call_id = f"call-{self.counts['calls']}"
        if path == UNSAFE_PATH:
            self._unsafe_ids.add(call_id)
        method = "POST" if path == UNSAFE_PATH else "GET"
        names = HEADER_NAMES
        headers = {"Host": HOST, names.request_id: call_id, names.timeout_ms: DEADLINE_MS}
        try:
            async with (
                asyncio.timeout(CALL_TIMEOUT_S),
                self._session.request(method, url + path, headers=headers) as response,
            ):
                text = await response.text()
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            self.counts["lost"] += 1
            self.unanswered.append(f"{call_id} {method} {url}: {exc!r}")
            return 0, ""
        answered_id, _, version = text.partition(" ")
        kind = _classify(response.status, answered_id == call_id)
        self.counts[kind] += 1
        if kind == "not_run":
            self._not_run_ids.add(call_id)
        if kind == "unknown":
            self.unanswered.append(f"{call_id} {method} {url}: {response.status} {text}")
        return response.status, version

    def violations(self) -> list[str]:
        """Compare responses and runs; return the counts that should be 0 and aren't."""
        self.counts["doubled"] = sum(self.runs_by_id[i] > 1 for i in self._unsafe_ids)
        self.counts["false_not_run"] = sum(i in self.runs_by_id for i in self._not_run_ids)
        found = [f"{name} {self.counts[name]}" for name in VIOLATIONS if self.counts[name]]
        return found + self.unanswered

    async def _send_periodically(self) -> None:
        while True:
            number = self.counts["calls"]
            path = SAFE_PATH if number % 4 else UNSAFE_PATH
            call = asyncio.create_task(self.call(self.urls[number % len(self.urls)], path))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)
            await asyncio.sleep(1 / CALLS_PER_S)


def _classify(status: int, own: bool) -> str:
    if status in NOT_RUN_STATUSES:
        return "not_run"
    if status in UNKNOWN_STATUSES:
        return "unknown"
    if status == 404:
        return "no_route"
    if not own:
        return "crossed"
    return "answered" if status == 200 else "errors"
