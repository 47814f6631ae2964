"""HTTP client for the target beside this node, with a pool of persistent connections."""

import asyncio
import socket
import typing as t

from bulrushflow.routing import Call
from bulrushflow.routing import CallResult
from bulrushflow.routing import Response
from bulrushflow.routing import not_run
from bulrushflow.routing import unknown
from bulrushflow.sidecar.calls.body_buffers import BodyBuffers
from bulrushflow.sidecar.calls.exchange import ExchangeError
from bulrushflow.sidecar.calls.exchange import RawResponse
from bulrushflow.sidecar.calls.exchange import TargetConnection
from bulrushflow.sidecar.calls.headers import HOP_BY_HOP_HEADERS
from bulrushflow.sidecar.calls.headers import HeaderNames
from bulrushflow.sidecar.calls.target_signals import SignalReader
from bulrushflow.sidecar.calls.target_signals import TargetSignals
from bulrushflow.sidecar.settings import Endpoint
from bulrushflow.timeouts import SilenceTimeout

CONNECT_TIMEOUT_S = 0.5
TCP_USER_TIMEOUT_MS = 1_000
"""Time after which a connection with unacknowledged data is closed (``TCP_USER_TIMEOUT``)."""
DEFAULT_IDLE_TIMEOUT_S = 4.0
"""Idle time after which a connection isn't reused, if the target sent no ``Keep-Alive`` timeout."""
IDLE_TIMEOUT_MARGIN_S = 1.0
"""How long before the target's keep-alive timeout a connection is no longer reused. A call sent
while the target closes the connection would be lost."""
MAX_RESPONSE_BYTES = 15 << 20
"""Bound on a response body, which has to fit into one frame between nodes."""
MAX_BUFFERED_BODY_BYTES = 48 << 20
"""Bound on the bodies that are received at the same time. Instances have as little as 200 MB."""
REFUSAL_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that callers take to mean that a call did not run."""
SUCCESS_STATUSES = range(200, 300)
_DROPPED_HEADERS = HOP_BY_HOP_HEADERS | {"server", "date"}

SignalCallback = t.Callable[[TargetSignals, float], None]


class TargetClient:
    """Sends calls to one target process.

    :param target_id: sent with each call; another process that took over the address refuses it.
    :param on_signals: called with what the target says of itself in each response, and the event
        loop time at which the call was sent.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        target_id: str,
        header_names: HeaderNames,
        on_signals: SignalCallback,
    ) -> None:
        self._endpoint = endpoint
        self._target_id = target_id
        self._header_names = header_names
        self._signals = SignalReader(header_names)
        self._on_signals = on_signals
        self._id_header = header_names.request_id.lower()
        self._signature_header = header_names.signature.lower()
        self._not_run_header = header_names.not_run.lower()
        self._body_buffers = BodyBuffers(MAX_BUFFERED_BODY_BYTES)
        self._idle: list[TargetConnection] = []
        self.unreachable = False
        """Whether the latest attempt to connect failed."""
        self.replaced = False
        """Whether another target responded at the address."""

    def close(self) -> None:
        """Close the idle connections; calls in progress keep theirs."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    async def check_reachable(self) -> bool:
        """Return whether the target takes connections now; the one opened for it is kept."""
        connection = await self._connect(asyncio.get_running_loop().time() + CONNECT_TIMEOUT_S)
        if connection is None:
            return False
        self._release(connection)
        return True

    async def send(self, call: Call) -> CallResult:
        """Run a call on the target within its deadline.

        A cancelled call closes its connection, so that the target can stop working on it.
        """
        loop = asyncio.get_running_loop()
        connection = self._acquire_idle(loop.time(), call.request_id)
        if connection is None:
            connection = await self._connect(call.deadline)
        if connection is None:
            return not_run(f"no connection to the target at {self._endpoint}")
        sent_at = loop.time()
        remaining_ms = int((call.deadline - sent_at) * 1000)
        if remaining_ms < 1:
            self._release(connection)
            return not_run(f"no time left: {remaining_ms} ms until the deadline")
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
            return unknown(f"the target's connection failed: {exc}", connection_lost=True)
        self._release(connection)
        if connection.exchange_count > 1 and response.header(self._id_header) is None:
            # It may be an earlier one, written once more, while the target runs this call.
            return unknown(
                f"a response of status {response.status} without the call's id, on a connection "
                f"that carried {connection.exchange_count - 1} other calls"
            )
        if response.status != 421:
            # A 421 comes from another target at the address.
            self._on_signals(self._signals.read(response.headers), sent_at)
        return self._classify(call, response)

    def _classify(self, call: Call, response: RawResponse) -> CallResult:
        """Return the call's outcome for the target's response.

        A success counts only if it carries the target's signature and the call's id.
        """
        if response.status == 421:
            self.replaced = True
            return not_run(f"another target answers at {self._endpoint}", reached_target=True)
        if response.header(self._not_run_header) is not None:
            return not_run(
                f"the target refused the call with {response.status}", reached_target=True
            )
        if response.status in SUCCESS_STATUSES:
            if response.header(self._signature_header) is None:
                return unknown("a success without the target's signature")
            if response.header(self._id_header) != call.request_id:
                return unknown(
                    f"a success without the call's id: got {response.header(self._id_header)}"
                )
            if response.header("content-encoding") is not None:
                return unknown(
                    f"a success with an encoded body: {response.header('content-encoding')}"
                )
        if response.status in REFUSAL_STATUSES and not call.idempotent:
            # Forwarded, it would tell the caller that the call did not run.
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
        if call.organisation:
            headers.append((names.organisation, call.organisation))
        if call.body or call.method not in {"GET", "HEAD", "DELETE", "OPTIONS"}:
            headers.append(("Content-Length", str(len(call.body))))
        return headers

    def _acquire_idle(self, now: float, call_id: str) -> TargetConnection | None:
        """Return an idle connection for a call, or ``None``.

        A call that was refused on a connection isn't sent on it again: if the target wrote the
        refusal once more, it would have the id of the call that runs.
        """
        while self._idle:
            connection = self._idle.pop()
            if not connection.reusable:
                continue
            if connection.last_call_id == call_id:
                connection.close()
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
        """Open a connection by a call's deadline, which alone says nothing of the target."""
        try:
            async with asyncio.timeout_at(deadline):
                return await self._open()
        except TimeoutError:
            return None

    async def _open(self) -> TargetConnection | None:
        loop = asyncio.get_running_loop()
        try:
            async with SilenceTimeout(CONNECT_TIMEOUT_S):
                transport, connection = await loop.create_connection(
                    lambda: TargetConnection(
                        self._id_header, MAX_RESPONSE_BYTES, self._body_buffers
                    ),
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
