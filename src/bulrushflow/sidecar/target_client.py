"""Calls to the target beside this node, over a small pool of connections."""

import asyncio
import socket

from bulrushflow.routing import Call
from bulrushflow.routing import CallResult
from bulrushflow.routing import Response
from bulrushflow.routing import not_run
from bulrushflow.routing import unknown
from bulrushflow.sidecar.exchange import ExchangeError
from bulrushflow.sidecar.exchange import RawResponse
from bulrushflow.sidecar.exchange import TargetConnection
from bulrushflow.sidecar.headers import HOP_BY_HOP_HEADERS
from bulrushflow.sidecar.headers import HeaderNames
from bulrushflow.sidecar.settings import Endpoint

CONNECT_TIMEOUT_S = 0.5
TCP_USER_TIMEOUT_MS = 1_000
"""A connection whose packets the target doesn't acknowledge is given up after so long."""
DEFAULT_IDLE_TIMEOUT_S = 4.0
"""Idle time after which a connection isn't used again, if the target told nothing."""
IDLE_TIMEOUT_MARGIN_S = 1.0
"""How much earlier than the target's own timeout; a call that crosses the close is lost."""
MAX_RESPONSE_BYTES = 15 << 20
"""Bound on one response's body; a frame between nodes holds it whole."""
REFUSAL_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that tell callers that a call did not run."""
SUCCESS_STATUSES = range(200, 300)
_DROPPED_HEADERS = HOP_BY_HOP_HEADERS | {"server", "date"}


class TargetClient:
    """The connections to one target process.

    :param target_id: any other target that has the address by now refuses the calls.
    """

    def __init__(self, endpoint: Endpoint, target_id: str, names: HeaderNames) -> None:
        self._endpoint = endpoint
        self._target_id = target_id
        self._header_names = names
        self._id_header = names.request_id.lower()
        self._signature_header = names.signature.lower()
        self._not_run_header = names.not_run.lower()
        self._idle: list[TargetConnection] = []
        self.unreachable = False
        """Whether the last attempt to connect failed."""
        self.replaced = False
        """Whether another target answered at the address."""

    def close(self) -> None:
        """Close the idle connections; those in use end with their calls."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    async def send(self, call: Call) -> CallResult:
        """Run a call on the target within its deadline.

        A cancelled call closes its connection, which tells the target.
        """
        loop = asyncio.get_running_loop()
        connection = self._acquire_idle(loop.time())
        if connection is None:
            connection = await self._connect(call.deadline)
        if connection is None:
            return not_run(f"no connection to the target at {self._endpoint}")
        remaining_ms = int((call.deadline - loop.time()) * 1000)
        if remaining_ms < 1:
            self._release(connection)
            return not_run("no time left")
        try:
            async with asyncio.timeout_at(call.deadline):
                response = await connection.exchange(
                    call.method,
                    call.path,
                    self._headers(call, remaining_ms),
                    call.body,
                    call.request_id,
                )
        except TimeoutError:
            return unknown("the target did not answer in time")
        except ExchangeError as exc:
            return unknown(f"the target's connection failed: {exc}")
        self._release(connection)
        return self._classify(call, response)

    def _classify(self, call: Call, response: RawResponse) -> CallResult:
        """Tell a refusal and an unproved success from an response that may be passed on."""
        if response.status == 421:
            self.replaced = True
            return not_run("another target has the address", reached_target=True)
        if response.header(self._not_run_header) is not None:
            return not_run(
                f"the target refused the call with {response.status}", reached_target=True
            )
        if response.status in SUCCESS_STATUSES:
            if response.header(self._signature_header) is None:
                return unknown("a success without the target's signature")
            if response.header(self._id_header) != call.request_id:
                return unknown("a success without the call's id")
            if response.header("content-encoding") is not None:
                return unknown("a success with an encoded body")
        if response.status in REFUSAL_STATUSES and not call.idempotent:
            # Passed on it would say that the call didn't run.
            return unknown(f"the target ran the call and answered {response.status}")
        headers = tuple(item for item in response.headers if item[0] not in _DROPPED_HEADERS)
        return Response(response.status, headers, response.body).as_result()

    def _headers(self, call: Call, remaining_ms: int) -> list[tuple[str, str]]:
        names = self._header_names
        headers = [
            *call.headers,
            (names.request_id, call.request_id),
            (names.caller_service, call.tenant),
            (names.timeout_ms, str(remaining_ms)),
            (names.expected_target, self._target_id),
        ]
        if call.body or call.method not in {"GET", "HEAD", "DELETE", "OPTIONS"}:
            headers.append(("Content-Length", str(len(call.body))))
        return headers

    def _acquire_idle(self, now: float) -> TargetConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if not connection.reusable:
                continue
            limit_s = DEFAULT_IDLE_TIMEOUT_S
            if connection.keep_alive_s is not None:
                limit_s = max(0.0, connection.keep_alive_s - IDLE_TIMEOUT_MARGIN_S)
            if now - connection.idle_since < limit_s:
                return connection
            connection.close()
        return None

    def _release(self, connection: TargetConnection) -> None:
        if connection.reusable:
            connection.idle_since = asyncio.get_running_loop().time()
            self._idle.append(connection)

    async def _connect(self, deadline: float) -> TargetConnection | None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout_at(min(deadline, loop.time() + CONNECT_TIMEOUT_S)):
                transport, connection = await loop.create_connection(
                    lambda: TargetConnection(self._id_header, MAX_RESPONSE_BYTES),
                    self._endpoint.address,
                    self._endpoint.port,
                )
        except (OSError, TimeoutError):
            self.unreachable = True
            return None
        self.unreachable = False
        raw = transport.get_extra_info("socket")
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        return connection
