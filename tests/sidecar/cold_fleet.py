"""A replay without a network: targets that turn cold, behind the real choice and admission."""

import asyncio
import random
import typing as t

from msgspec.structs import replace

from bulrushflow.metrics import Metrics
from bulrushflow.placement import Evacuations
from bulrushflow.placement import cold_start
from bulrushflow.routing import Call
from bulrushflow.routing import CallResult
from bulrushflow.routing import Response
from bulrushflow.sidecar.calls.admission_controller import AdmissionController
from bulrushflow.sidecar.calls.balancer import Balancer
from bulrushflow.sidecar.calls.dispatcher import Dispatcher
from bulrushflow.sidecar.calls.forwarding import PeerReport
from bulrushflow.sidecar.calls.retry_budget import TargetRetryBudget
from bulrushflow.sidecar.calls.target_signals import SignalReader
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.model import NodeEntry
from bulrushflow.sidecar.model import Route
from bulrushflow.sidecar.model import TargetEntry
from bulrushflow.sidecar.model import WeightedService
from bulrushflow.sidecar.records.directory import Directory
from bulrushflow.sidecar.records.directory import Peer
from bulrushflow.sidecar.settings import Endpoint
from tests.sidecar.samples import NAMES
from tests.sidecar.samples import call
from tests.sidecar.samples import quarantine
from tests.sidecar.samples import target
from tests.virtual_time import VirtualClock

COLD = cold_start(per_s=9.0, start_s=3.0, over=1.5, slack=8)
SLOTS = 4
SERVICE_TIME_S = 0.05
HEARTBEAT_S = 1.5
PUBLISHING_S = 0.4
"""Time until a node's entry reaches the other nodes."""
OBJECTIVE_S = 0.6
TIMEOUT_S = 1.2
ADDRESS = Endpoint("127.0.0.1", 1)


class Client:
    """Stands in for the connections to one target, which runs each call for a fixed time."""

    unreachable = False
    replaced = False

    def __init__(self) -> None:
        self.received_at: list[float] = []

    async def send(self, sent: Call) -> CallResult:
        self.received_at.append(asyncio.get_running_loop().time())
        await asyncio.sleep(SERVICE_TIME_S)
        return Response(200, (), b"").as_result()

    def close(self) -> None:
        pass


class ColdTarget:
    """A target with the admission control beside it; announces itself at each heartbeat."""

    def __init__(self, number: int, data_centre: str, fleet: "ColdFleet") -> None:
        self.client = Client()
        self.cold_until = 0.0
        self.entry = target(f"t-{number}", slots=SLOTS)
        self._node = NodeEntry(f"n-{number}", data_centre, f"10.0.0.{number}", 7000, None)
        self._fleet = fleet
        self.admission = AdmissionController(
            NAMES,
            lambda service, version: False,
            lambda sent: None,
            lambda sent, result, seconds: None,
            self._publish,
            TargetRetryBudget(0.2, 60.0, 10.0),
            quarantine(),
            DecisionLog(),
            VirtualClock(),
            suspension=self._suspension,
            cold_start=lambda service: COLD,
        )
        self.announce()

    @property
    def key(self) -> str:
        return f"node/{self._node.address}"

    @property
    def data_centre(self) -> str:
        return self._node.data_centre

    def announce(self) -> None:
        """Announce how long the target is cold, as its program does at each heartbeat."""
        cold = self.cold_until > asyncio.get_running_loop().time()
        warm_at_ms = int(self.cold_until * 1000) if cold else 0
        self.entry = replace(self.entry, sequence=self.entry.sequence + 1, warm_at_ms=warm_at_ms)
        self.admission.apply_announcement(self.entry, ADDRESS)
        self.admission._client = t.cast(t.Any, self.client)

    def turn_cold(self, seconds: float) -> None:
        """Turn cold, and announce it."""
        self.cold_until = asyncio.get_running_loop().time() + seconds
        self.announce()

    def received_since(self, since: float) -> list[float]:
        return [at for at in self.client.received_at if at >= since]

    def _suspension(self) -> str | None:
        return self._fleet.evacuations.refusal(self._node.data_centre)

    def _publish(self, entry: TargetEntry | None) -> None:
        if self._fleet.store_down:
            return
        node = replace(self._node, target=entry)
        loop = asyncio.get_running_loop()
        for origin in self._fleet.origins:
            loop.call_later(PUBLISHING_S, origin.directory.update, self.key, node)


class Origin:
    """A node that sends its callers' calls to the targets."""

    def __init__(self, data_centre: str, fleet: "ColdFleet") -> None:
        self.directory = Directory()
        self._fleet = fleet
        rng = fleet.rng
        self.dispatcher = Dispatcher(
            "10.0.1.1",
            self.directory,
            t.cast(t.Any, None),
            t.cast(t.Any, self),
            Balancer(data_centre, rng, VirtualClock().wall_ms),
            lambda service, candidates: candidates,
            quarantine(),
            SignalReader(NAMES),
            Metrics(4),
            DecisionLog(),
            rng,
            cold_start=lambda service: COLD,
        )

    async def send(self, peer: Peer, sent: Call) -> tuple[CallResult, PeerReport]:
        """Stands in for the forwarder."""
        admission = self._fleet.targets_by_address[peer.entry.address].admission
        result = await admission.run(sent)
        capacity = admission.capacity
        load = admission.load / capacity if capacity else None
        return result, PeerReport(True, load, admission.cold_ms)


class ColdFleet:
    """Targets and origin nodes in two data centres."""

    def __init__(self, seed: int, per_data_centre: int = 3) -> None:
        self.rng = random.Random(seed)
        self.evacuations = Evacuations()
        self.store_down = False
        """Whether entries reach no other node."""
        self.origins = [Origin(data_centre, self) for data_centre in "ab"]
        self.targets = [
            ColdTarget(number, "ab"[number % 2], self) for number in range(2 * per_data_centre)
        ]
        self.targets_by_address = {
            target.key.removeprefix("node/"): target for target in self.targets
        }
        self.results: list[CallResult] = []
        self._route = Route(
            "r",
            "h",
            "/",
            (WeightedService("statements", 1.0),),
            False,
            TIMEOUT_S,
            OBJECTIVE_S,
            2,
            0,
        )
        loop = asyncio.get_running_loop()
        for one in self.targets:
            loop.call_later(self.rng.uniform(0, HEARTBEAT_S), self._heartbeat, one)

    def in_data_centre(self, data_centre: str) -> list[ColdTarget]:
        return [target for target in self.targets if target.data_centre == data_centre]

    def evacuate(self, *data_centres: str) -> None:
        """Put an order in force on all nodes."""
        before = self.evacuations
        self.evacuations = Evacuations(frozenset(data_centres))
        for origin in self.origins:
            origin.directory.apply_evacuations(self.evacuations, VirtualClock().wall_ms())
        for one in self.targets:
            reason = self.evacuations.refusal(one.data_centre)
            if reason is not None:
                one.admission.suspend(reason)
            elif before.refusal(one.data_centre) is not None:
                one.admission.await_warmth("end of an evacuation")

    async def until_listed(self) -> None:
        """Wait until the origin nodes list all targets."""
        await asyncio.sleep(2 * PUBLISHING_S)

    async def press(self, calls_per_s: float, seconds: float) -> float:
        """Send calls at random times, evenly to the origin nodes.

        :return: the fraction that was answered.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        running: list[asyncio.Task[CallResult]] = []
        while loop.time() < end:
            origin = self.rng.choice(self.origins)
            sent = replace(
                call(f"r-{len(running)}", idempotent=False, version="", timeout_s=TIMEOUT_S),
                late_after=loop.time() + OBJECTIVE_S,
            )
            running.append(loop.create_task(origin.dispatcher.dispatch(self._route, sent)))
            await asyncio.sleep(self.rng.expovariate(calls_per_s))
        results = await asyncio.gather(*running)
        return sum(result.is_ok() for result in results) / len(results)

    def _heartbeat(self, one: ColdTarget) -> None:
        one.announce()
        asyncio.get_running_loop().call_later(HEARTBEAT_S, self._heartbeat, one)
