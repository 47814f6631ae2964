"""The connections between this node and others.

Outbound connections are opened on demand, limited in number, checked and replaced when lost.
"""

import asyncio
import socket
import typing as t

from loguru import logger
from mode import Service
from result import Err
from result import Ok
from result import Result

from bulrushflow.timeouts import SilenceTimeout
from bulrushflow.timers import PauseDetector
from bulrushflow.timers import Timers
from bulrushflow.wire.chunks import ChunkSender
from bulrushflow.wire.chunks import Pacer
from bulrushflow.wire.chunks import UnpacedLink
from bulrushflow.wire.link import Handler
from bulrushflow.wire.link import Link
from bulrushflow.wire.link import LinkError

CONNECT_TIMEOUT_S = 1.0
RECONNECT_BACKOFF_S = 0.2
"""Seconds after a failed connection attempt in which further ones to the same node fail at once."""
USER_TIMEOUT_MS = 1_500
"""TCP_USER_TIMEOUT: unacknowledged data older than this makes the system close the connection."""
CHECK_PERIOD_S = 0.5
PAUSE_THRESHOLD_S = 1.5
"""Time between two checks, three of their periods, from which on this node counts as paused."""
MAX_LINKS = 64
"""Bound on outbound connections; beyond it the one unused for longest is closed."""
IDLE_TIMEOUT_S = 30.0
"""Seconds without use after which an outbound connection is closed."""
DRAIN_POLL_S = 0.01

Endpoint = tuple[str, int]


class Links(Service):
    """Accepts connections from other nodes and opens outbound connections to them.

    :param pacer: paces large bodies by the bandwidth of the node's link, if that is known.
    """

    def __init__(self, address: str, port: int, timers: Timers, pacer: Pacer | None = None) -> None:
        super().__init__()
        self._address = address
        self.port = port
        self._timers = timers
        self.sender = ChunkSender(pacer or UnpacedLink())
        """Sends the large bodies of all connections."""
        self._handlers: dict[str, Handler] = {}
        self._server: asyncio.Server | None = None
        self._accepted: set[Link] = set()
        self._outbound_by_endpoint: dict[Endpoint, Link] = {}
        self._connecting_by_endpoint: dict[Endpoint, asyncio.Task[Result[Link, LinkError]]] = {}
        self._retry_at_by_endpoint: dict[Endpoint, float] = {}
        self._pause_detector = PauseDetector(PAUSE_THRESHOLD_S)

    def handle(self, request: str, handler: Handler) -> None:
        """Register the handler of one kind of request.

        :param request: the request's field in the frame.
        :param handler: returns the response by its field in the frame; ``None`` sends none.
        """
        self._handlers[request] = handler

    async def on_start(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, self._address, self.port, start_serving=False
        )
        for listener in self._server.sockets:
            # Accepted sockets inherit the option.
            listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        self.port = self._server.sockets[0].getsockname()[1]
        await self._server.start_serving()
        self._pause_detector.check(loop.time())
        self._timers.subscribe("link-silence", CHECK_PERIOD_S, self._check)

    async def on_stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for connecting in self._connecting_by_endpoint.values():
            connecting.cancel()
        for link in self._all_links():
            link.close()

    def limit_deadlines(self, deadline: float) -> None:
        """Move the deadlines of all responses, sent and received, to a time if they are later.

        :param deadline: event loop time at which this node stops.
        """
        self.sender.limit_deadlines(deadline)
        timeout_s = deadline - asyncio.get_running_loop().time()
        for link in self._all_links():
            link.limit_deadlines(timeout_s)

    async def drain(self, timeout_s: float) -> bool:
        """Accept no new connections, ask peers to send no new requests, and finish open exchanges.

        Requests that peers send before they receive the notice are still answered.

        :return: whether all accepted connections became idle within ``timeout_s``.
        """
        if self._server is not None:
            self._server.close()
        for link in self._all_links():
            link.send_goodbye()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while any(link.busy for link in self._accepted):
            if loop.time() >= deadline:
                return False
            await asyncio.sleep(DRAIN_POLL_S)
        return True

    async def connect(self, endpoint: Endpoint, timeout_s: float) -> Result[Link, LinkError]:
        """Return the open connection to another node, or open one.

        :param timeout_s: bound on the wait, which begins once more after a pause of this process:
            what the other node answered meanwhile has arrived. The attempt goes on after it, for
            later callers.
        """
        link = self._outbound_by_endpoint.get(endpoint)
        if link is not None and link.usable:
            return Ok(link)
        loop = asyncio.get_running_loop()
        if loop.time() < self._retry_at_by_endpoint.get(endpoint, 0.0):
            return Err(
                LinkError(
                    False,
                    f"no connection to {endpoint}: failed less than {RECONNECT_BACKOFF_S} s ago",
                )
            )
        connecting = self._connecting_by_endpoint.get(endpoint)
        if connecting is None:
            connecting = loop.create_task(self._open(endpoint))
            self._connecting_by_endpoint[endpoint] = connecting
            connecting.add_done_callback(lambda _: self._connecting_by_endpoint.pop(endpoint, None))
        try:
            # asyncio.wait_for would lose a cancellation at the moment at which the attempt ends.
            async with SilenceTimeout(timeout_s):
                # Other callers share the attempt, so the end of one wait must not cancel it.
                return await asyncio.shield(connecting)
        except TimeoutError:
            return Err(
                LinkError(False, f"no connection to {endpoint} in time: waited {timeout_s:.3f} s")
            )

    async def ensure_connected(self, endpoint: Endpoint) -> bool:
        """Open a connection unless one is open; return whether one is open now."""
        return (await self.connect(endpoint, CONNECT_TIMEOUT_S)).is_ok()

    async def exchange(
        self, endpoint: Endpoint, timeout_s: float, **body: t.Any
    ) -> Result[t.Any, LinkError]:
        """Send a request to another node, over a new connection if none is open.

        :param timeout_s: bound on the whole exchange, the wait for a connection included.
        :param body: the request, by its field in the frame.
        """
        started_at = asyncio.get_running_loop().time()
        match await self.connect(endpoint, timeout_s):
            case Err(error):
                return Err(error)
            case Ok(link):
                timeout_s -= asyncio.get_running_loop().time() - started_at
        if timeout_s <= 0:
            return Err(LinkError(False, f"no time left: {timeout_s:.3f} s"))
        return await link.exchange(timeout_s, **body)

    async def send(self, endpoint: Endpoint, **body: t.Any) -> None:
        """Send a one-way message; it is dropped if no connection can be opened."""
        match await self.connect(endpoint, CONNECT_TIMEOUT_S):
            case Ok(link):
                link.send(**body)
            case Err(_):
                return

    def _all_links(self) -> list[Link]:
        return [*self._accepted, *self._outbound_by_endpoint.values()]

    def _accept(self) -> Link:
        link = Link(self._handlers, self._accepted.discard, self.sender)
        self._accepted.add(link)
        return link

    async def _open(self, endpoint: Endpoint) -> Result[Link, LinkError]:
        loop = asyncio.get_running_loop()
        try:
            async with SilenceTimeout(CONNECT_TIMEOUT_S):
                transport, link = await loop.create_connection(
                    lambda: Link(self._handlers, self._remove, self.sender), *endpoint
                )
        except (OSError, TimeoutError) as exc:
            self._retry_at_by_endpoint[endpoint] = loop.time() + RECONNECT_BACKOFF_S
            return Err(LinkError(False, f"no connection to {endpoint}: {exc!r}"))
        raw = transport.get_extra_info("socket")
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        self._outbound_by_endpoint[endpoint] = link
        self._evict_idle_link()
        return Ok(link)

    def _remove(self, link: Link) -> None:
        for endpoint, outbound in list(self._outbound_by_endpoint.items()):
            if outbound is link:
                del self._outbound_by_endpoint[endpoint]

    def _evict_idle_link(self) -> None:
        if len(self._outbound_by_endpoint) <= MAX_LINKS:
            return
        idle = [item for item in self._outbound_by_endpoint.items() if not item[1].busy]
        if not idle:
            return
        endpoint, link = min(idle, key=lambda item: item[1].last_used_at)
        del self._outbound_by_endpoint[endpoint]
        link.close()

    async def _check(self) -> None:
        now = asyncio.get_running_loop().time()
        paused = self._pause_detector.check(now) is not None
        if paused:
            logger.info(
                "this node was paused for over {} s; restarting the keep-alive of {} connections",
                PAUSE_THRESHOLD_S,
                len(self._all_links()),
            )
        for link in self._all_links():
            if paused:
                link.reset_keepalive(now)
            link.check_keepalive(now)
        self._close_idle(now)
        for endpoint, retry_at in list(self._retry_at_by_endpoint.items()):
            if retry_at <= now:
                del self._retry_at_by_endpoint[endpoint]

    def _close_idle(self, now: float) -> None:
        for endpoint, link in list(self._outbound_by_endpoint.items()):
            if not link.busy and (now - link.last_used_at >= IDLE_TIMEOUT_S or link.peer_closing):
                del self._outbound_by_endpoint[endpoint]
                link.close()
