"""Stand-ins for the targets and callers of sidecars; each call's runs and response are counted."""

import asyncio
import contextlib
import time
import typing as t
from collections import Counter

import aiohttp
from aiohttp import web

from bulrushflow.platform.headers import HEADER_NAMES
from bulrushflow.sidecar.settings import Endpoint

HOST = "mixed.test"
CALLS_PER_S = 60.0
CALL_TIMEOUT_S = 15.0
DEADLINE_MS = 9000
SAFE_PATH = "/safe/1"
UNSAFE_PATH = "/unsafe/1"
ADDED_PATH = "/added/1"
"""Routed by the second configuration only."""
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that its call did not run."""
UNKNOWN_STATUSES = frozenset({502, 504})
MAX_NOTES = 10
VIOLATIONS = ("lost", "doubled", "crossed", "unknown", "false_not_run")


class Target:
    """Responds with the call's id and this target's version, and counts the runs of each id."""

    def __init__(self, version: str, runs_by_id: Counter[str]) -> None:
        self.version = version
        self.faulty = False
        self._runs_by_id = runs_by_id
        self._runner: web.ServerRunner | None = None

    async def start(self, address: str) -> Endpoint:
        """Listen on a free port of an address."""
        self._runner = web.ServerRunner(web.Server(self._handle, access_log=None))
        await self._runner.setup()
        await web.TCPSite(self._runner, address, 0).start()
        return Endpoint(*self._runner.addresses[0][:2])

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        call_id = request.headers[HEADER_NAMES.request_id]
        self._runs_by_id[call_id] += 1
        await request.read()
        await asyncio.sleep(0.001)
        headers = {HEADER_NAMES.request_id: call_id, HEADER_NAMES.signature: "signed"}
        status = 500 if self.faulty else 200
        return web.Response(status=status, headers=headers, text=f"{call_id} {self.version}")


class Callers:
    """Sends calls to the sidecars in ``urls`` in turn, and classifies the responses."""

    def __init__(self, session: aiohttp.ClientSession, runs_by_id: Counter[str]) -> None:
        self.urls: list[str] = []
        self.counts: Counter[str] = Counter()
        self.notes: list[str] = []
        """The first calls that were lost or have an unknown outcome."""
        self._session = session
        self._runs_by_id = runs_by_id
        self._unsafe_ids: set[str] = set()
        self._not_run_ids: set[str] = set()
        self._sent = 0
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
        """Send one call and count it; return the status and the version that responded.

        The status is 0 when there was no response.
        """
        self._sent += 1
        call_id = f"call-{self._sent}"
        self.counts["calls"] += 1
        method = "POST" if path == UNSAFE_PATH else "GET"
        if method == "POST":
            self._unsafe_ids.add(call_id)
        headers = {
            "Host": HOST,
            HEADER_NAMES.request_id: call_id,
            HEADER_NAMES.timeout_ms: str(DEADLINE_MS),
        }
        try:
            async with (
                asyncio.timeout(CALL_TIMEOUT_S),
                self._session.request(method, url + path, headers=headers) as response,
            ):
                text = await response.text()
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            self.counts["lost"] += 1
            self._note(call_id, method, url, repr(exc))
            return 0, ""
        own = response.headers.get(HEADER_NAMES.request_id) == call_id
        if response.status in UNKNOWN_STATUSES:
            self._note(call_id, method, url, f"{response.status} {text}")
        return response.status, self._classify(call_id, response.status, text, own)

    def violations(self) -> dict[str, int]:
        """Compare responses and runs; return the counts that should be 0 and aren't."""
        self.counts["doubled"] = sum(self._runs_by_id[i] > 1 for i in self._unsafe_ids)
        self.counts["false_not_run"] = sum(i in self._runs_by_id for i in self._not_run_ids)
        return {name: self.counts[name] for name in VIOLATIONS if self.counts[name]}

    def _classify(self, call_id: str, status: int, text: str, own: bool) -> str:
        if status in NOT_RUN_STATUSES:
            self.counts["not_run"] += 1
            self._not_run_ids.add(call_id)
            return ""
        if status in UNKNOWN_STATUSES:
            self.counts["unknown"] += 1
            return ""
        answered_id, _, version = text.partition(" ")
        if status == 404:
            self.counts["no_route"] += 1
        elif not own or answered_id != call_id:
            self.counts["crossed"] += 1
        else:
            self.counts["answered" if status == 200 else "errors"] += 1
        return version

    def _note(self, call_id: str, method: str, url: str, outcome: str) -> None:
        if len(self.notes) < MAX_NOTES:
            at = time.strftime("%H:%M:%S")
            self.notes.append(f"{at} {call_id} {method} {url}: {outcome}")

    async def _send_periodically(self) -> None:
        while True:
            url = self.urls[self._sent % len(self.urls)]
            path = UNSAFE_PATH if self._sent % 3 == 0 else SAFE_PATH
            call = asyncio.create_task(self.call(url, path))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)
            await asyncio.sleep(1 / CALLS_PER_S)
