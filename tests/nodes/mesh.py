"""The rollout drivers of a few nodes in one process, over fake links that tests can cut."""

import asyncio
import random
import typing as t

from bulrushflow.configuration import Configuration
from bulrushflow.configuration import ConfigurationStore
from bulrushflow.configuration import Configure
from bulrushflow.configuration import LogRecord
from bulrushflow.configuration import Record
from bulrushflow.configuration import RouteBody
from bulrushflow.configuration import ServiceBody
from bulrushflow.configuration import StartRollout
from bulrushflow.configuration import encode_record
from bulrushflow.membership import Member
from bulrushflow.membership import MemberTable
from bulrushflow.membership import Status
from bulrushflow.membership import Target
from bulrushflow.membership import TargetState
from bulrushflow.membership import rank_members
from bulrushflow.nodes.rollout_driver import TICK_S
from bulrushflow.nodes.rollout_driver import RolloutDriver
from bulrushflow.rollouts import SharedRollouts
from bulrushflow.routing import Call

OLD, NEW = "v1", "v2"
ROLLOUT_DURATION_S = 40
ROLLOUT_OFFSET = 1
CALLS_PER_TICK = 40
FAILING_LATENCY_S = 0.010

Message = tuple[tuple[str, int], t.Any]


class FakeClock:
    """A clock that :meth:`Mesh.run` advances."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def monotonic(self) -> float:
        return self.now_s

    def wall_ms(self) -> int:
        return int(self.now_s * 1000)


class FakeNode:
    """One node's driver, configuration store and shared state; fakes the driver's collaborators."""

    def __init__(self, mesh: "Mesh", node_id: str, version: str, port: int) -> None:
        self.mesh = mesh
        self.version = version
        self.paused = False
        self.cut_off = False
        self.submitted: dict[str, tuple[Record, t.Callable[[], bool] | None]] = {}
        self.inbox: list[t.Any] = []
        self.store = ConfigurationStore()
        target = Target("plots", version, TargetState.READY, 20)
        own = Member(node_id, "celje-a", "127.0.0.1", port, 1, Status.ALIVE, target)
        self.table = MemberTable(own)
        self.shared_rollouts = SharedRollouts()
        self.driver = RolloutDriver(
            self.store,
            self.table,
            self.shared_rollouts,
            self,
            self,
            self,
            self,
            mesh.clock,
            random.Random(port),
        )

    def handle(self, request: str, handler: t.Any) -> None:
        self.handler = handler

    def subscribe(self, name: str, period_s: float, callback: t.Any) -> None:
        self.tick = callback

    async def send(self, endpoint: tuple[str, int], **body: t.Any) -> None:
        self.mesh.deliver(self, endpoint, body["evidence_report"])

    def disseminate_now(self) -> None:
        self.mesh.disseminate(self)

    def submit(self, record: Record, is_current: t.Callable[[], bool] | None = None) -> None:
        if record.publish_id not in self.store.current.verdicts_by_publish_id:
            self.submitted.setdefault(record.publish_id, (record, is_current))

    def observe_call(self, version: str, failed: bool) -> None:
        call = Call("r", "t", "plots", version, "/plots", "GET", "/plots", (), b"", 0.0, True)
        self.driver.observe(call, failed, FAILING_LATENCY_S)


class Mesh:
    """Nodes with targets of both versions, a log that can be down, and calls by traffic share."""

    def __init__(self, old_nodes: int = 3, new_nodes: int = 2) -> None:
        self.clock = FakeClock()
        self.log_down = False
        self.records: list[LogRecord] = []
        self.new_version_fails = False
        self.new_calls = 0
        self.nodes = [FakeNode(self, f"old-{i}", OLD, 1 + i) for i in range(old_nodes)]
        self.nodes += [FakeNode(self, f"new-{i}", NEW, 100 + i) for i in range(new_nodes)]
        for node in self.nodes:
            for other in self.nodes:
                node.table.merge(other.table.own, 0.0)
        services: dict[str, ServiceBody | None] = {"plots": ServiceBody(OLD)}
        routes: dict[str, RouteBody | None] = {"/plots": RouteBody("plots")}
        self.append(Configure(1, "c", "ana", services=services, routes=routes))
        finish_by_ms = self.clock.wall_ms() + 1000 * ROLLOUT_DURATION_S
        self.append(StartRollout(1, "m", "ana", "plots", NEW, finish_by_ms))

    @property
    def driver(self) -> FakeNode:
        """The node that drives the rollout while all are live."""
        first = rank_members([node.table.own for node in self.nodes], f"move/{ROLLOUT_OFFSET}")[0]
        return next(node for node in self.nodes if node.table.own_id == first.node_id)

    @property
    def configuration(self) -> Configuration:
        """The latest configuration of any node."""
        return max((n.store.current for n in self.nodes), key=lambda c: c.offset)

    def traffic_share(self) -> int:
        """Return the highest traffic share on any node, in permille."""
        return max(node.shared_rollouts.share_permille(ROLLOUT_OFFSET) for node in self.nodes)

    def append(self, record: Record) -> None:
        """Append a record to the log and deliver it to all nodes that aren't paused."""
        body = encode_record(record)
        self.records.append(LogRecord(len(self.records), self.clock.wall_ms(), body))
        self._deliver_log()

    def deliver(self, sender: FakeNode, endpoint: tuple[str, int], message: t.Any) -> None:
        for node in self.nodes:
            if node.table.own.endpoint == endpoint and not (sender.cut_off or node.cut_off):
                node.inbox.append(message)

    def disseminate(self, sender: FakeNode) -> None:
        for node in self.nodes:
            if not (sender.cut_off or node.cut_off or node.paused):
                for state in list(sender.shared_rollouts.by_offset.values()):
                    node.shared_rollouts.merge(state)

    async def run(self, seconds: float) -> None:
        """Simulate calls, ticks, messages and the log for a time on the fake clock."""
        for _ in range(int(seconds / TICK_S)):
            self.clock.now_s += TICK_S
            self._deliver_log()
            self._make_calls()
            for node in self.nodes:
                if node.paused:
                    continue
                for message in node.inbox:
                    await node.handler(message)
                node.inbox.clear()
                await node.tick()
            for node in self.nodes:
                self.disseminate(node)
            # Sent reports are delivered by tasks of the event loop.
            await _settle()
            self._append_submitted()

    def _make_calls(self) -> None:
        old = [node for node in self.nodes if node.version == OLD]
        new = [node for node in self.nodes if node.version == NEW]
        for i in range(CALLS_PER_TICK):
            # A fixed pattern instead of random choices, so that every run is the same.
            to_new = (i * 389 + int(self.clock.now_s / TICK_S) * 97) % 1000 < self.traffic_share()
            node = (new if to_new else old)[i % len(new if to_new else old)]
            version = NEW if to_new else OLD
            if node.paused or node.driver.is_forbidden("plots", version):
                continue
            self.new_calls += to_new
            node.observe_call(version, to_new and self.new_version_fails)

    def _append_submitted(self) -> None:
        if self.log_down:
            return
        for node in self.nodes:
            if node.paused:
                continue
            for record, is_current in list(node.submitted.values()):
                if is_current is None or is_current():
                    self.append(record)
            node.submitted.clear()

    def _deliver_log(self) -> None:
        for node in self.nodes:
            if not node.paused:
                node.store.apply(self.records)


async def _settle() -> None:
    for _ in range(3):
        await asyncio.sleep(0)
