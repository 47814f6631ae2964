"""The load: calls at a constant rate, over connections that stay in use until they are closed."""

import asyncio
import collections
import math
import random
import typing as t

from benchmarks.soak.connections import Connection
from benchmarks.soak.events import Call
from benchmarks.soak.routes import RouteLoad
from benchmarks.soak.schedule import Plan
from benchmarks.soak.sidecars import CALLER_PORT
from benchmarks.soak.sidecars import SidecarNode

IDLE_CONNECTIONS = 8
"""Connections that callers keep open to each node in rotation."""
KEEPER_PERIOD_S = 0.1
RETRIES = 2
RETRIED_PROMISES = frozenset({408, 421, 429, 503})
"""Statuses after which an unsafe call is sent again: they say that it didn't run."""
FINAL_STATUSES = frozenset({400, 401, 404, 413, 431})
MIN_LEFT_S = 0.1
WORK_SPREAD = 0.5
"""Standard deviation of the logarithm of the work."""
NODE_CHOICES = 4


class Callers:
    """Sends calls to all nodes, and retries refused ones as the rules allow.

    A stopping node gets calls on its open connections until it closes them, and new connections
    until the readiness polls have taken it out of rotation.
    """

    def __init__(
        self,
        nodes: t.Sequence[SidecarNode],
        calls: list[Call],
        rng: random.Random,
        plan: Plan,
        now: t.Callable[[], float],
    ) -> None:
        self._nodes = nodes
        self._calls = calls
        self._rng = rng
        self._plan = plan
        self._now = now
        self._idle_by_node: dict[str, collections.deque[Connection]] = {
            node.name: collections.deque() for node in nodes
        }
        self._tasks: set[asyncio.Task[None]] = set()
        self._keeper: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Open the idle connections, and keep their number."""
        self._keeper = asyncio.create_task(self._keep_connections())

    async def send(self, routes: t.Sequence[tuple[RouteLoad, float]], seconds: float) -> None:
        """Send calls for a time, then wait for their responses.

        :param routes: each with its calls per second.
        """
        loads = [self._send_route(route, rate, seconds) for route, rate in routes if rate]
        await asyncio.gather(*loads)
        await asyncio.gather(*self._tasks)

    async def close(self) -> None:
        """Close all connections."""
        tasks = [*self._tasks, *filter(None, [self._keeper])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for idle in self._idle_by_node.values():
            for connection in idle:
                connection.close()

    async def _send_route(self, route: RouteLoad, rate: float, seconds: float) -> None:
        at = self._now()
        end = at + seconds
        while (at := at + self._rng.expovariate(rate)) < end:
            await asyncio.sleep(max(0.0, at - self._now()))
            task = asyncio.create_task(self._serve(route))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve(self, route: RouteLoad) -> None:
        """Send one call, and send it again after a failure, within the caller's deadline."""
        deadline = self._now() + route.deadline_s
        path = self._draw_path(route)
        for attempt in range(1 + RETRIES):
            connection, node = await self._connect(fresh=attempt > 0)
            left_s = deadline - self._now()
            if connection is None or left_s < MIN_LEFT_S:
                return
            call = Call(
                f"{len(self._calls):06d}-{route.name}-{attempt}",
                route.name,
                route.unsafe,
                node,
                self._now(),
                left_s,
                connection.used,
            )
            self._calls.append(call)
            await connection.exchange(call, path, self._now)
            if connection.usable:
                self._idle_by_node[node].append(connection)
            else:
                connection.close()
            if not self._may_retry(call):
                return
            wait_s = min(connection.retry_after_s or 0.0, (deadline - self._now()) / 3)
            await asyncio.sleep(max(0.0, wait_s))

    def _may_retry(self, call: Call) -> bool:
        if call.complete and (call.status < 300 or call.status in FINAL_STATUSES):
            return False
        return not call.unsafe or (call.complete and call.status in RETRIED_PROMISES)

    def _draw_path(self, route: RouteLoad) -> str:
        work_ms = min(5 * route.work_s, self._draw(route.work_s, WORK_SPREAD)) * 1000
        size = min(route.max_bytes, self._draw(route.mean_bytes, self._plan.size_spread))
        return f"/{route.name}/{work_ms:.0f}/{size:.0f}"

    def _draw(self, mean: float, spread: float) -> float:
        return self._rng.lognormvariate(math.log(mean) - spread * spread / 2, spread)

    async def _connect(self, fresh: bool) -> tuple[Connection | None, str]:
        """Return a connection to a random node, an open one unless ``fresh``, and its node."""
        for _ in range(NODE_CHOICES):
            node = self._rng.choice(self._nodes)
            connection = None if fresh else self._take_idle(node.name)
            if connection is None and node.in_rotation:
                connection = await self._open(node)
            if connection is not None:
                return connection, node.name
        return None, ""

    def _take_idle(self, node: str) -> Connection | None:
        """Return the connection that was idle for longest."""
        idle = self._idle_by_node[node]
        while idle:
            connection = idle.popleft()
            if connection.usable:
                connection.used = True
                return connection
            connection.close()
        return None

    async def _open(self, node: SidecarNode) -> Connection | None:
        slow = self._rng.random() < self._plan.slow_share
        try:
            return await Connection.open(node.address, CALLER_PORT, slow)
        except (OSError, TimeoutError):
            return None

    async def _keep_connections(self) -> None:
        while True:
            for node in self._nodes:
                idle = self._idle_by_node[node.name]
                if node.in_rotation and len(idle) < IDLE_CONNECTIONS:
                    connection = await self._open(node)
                    if connection is not None:
                        idle.append(connection)
            await asyncio.sleep(KEEPER_PERIOD_S)
