"""The rollout components of several nodes, with links and timers that tests drive."""

import asyncio
import random
import typing as t

from msgspec.structs import replace
from result import Result

from bulrushflow.rollouts import ExposureLimits
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.model import RolloutPhase
from bulrushflow.sidecar.model import RolloutStatus
from bulrushflow.sidecar.records.codec import decode_rollout_status
from bulrushflow.sidecar.records.codec import encode_rollout_status
from bulrushflow.sidecar.records.directory import Directory
from bulrushflow.sidecar.records.handlers import RolloutStatusHandler
from bulrushflow.sidecar.records.replica import Replica
from bulrushflow.sidecar.records.storage import KeyedRecord
from bulrushflow.sidecar.records.storage import StoreError
from bulrushflow.sidecar.records.storage import StorePage
from bulrushflow.sidecar.records.storage import StoreWrite
from bulrushflow.sidecar.rollouts.driver import RolloutDriver
from bulrushflow.sidecar.rollouts.statuses import StatusLog
from bulrushflow.sidecar.rollouts.tracker import Rollouts
from bulrushflow.timers import SystemClock
from tests.sidecar.samples import MemoryStore
from tests.sidecar.samples import peer

STATUS = RolloutStatus("statements", "v2", 7, 1, 100, RolloutPhase.RUNNING, 0, 15_000)


class RecordedLinks:
    """Links that only record what is sent."""

    def __init__(self) -> None:
        self.sent: list[tuple[tuple[str, int], dict[str, t.Any]]] = []
        self.handlers: dict[str, t.Any] = {}

    def handle(self, request: str, handler: t.Any) -> None:
        self.handlers[request] = handler

    async def send(self, endpoint: tuple[str, int], **body: t.Any) -> None:
        self.sent.append((endpoint, body))

    def bodies(self, kind: str) -> list[t.Any]:
        return [body[kind] for _, body in self.sent if kind in body]


class ManualSubscription:
    def __init__(self, timers: "ManualTimers", name: str) -> None:
        self._timers = timers
        self._name = name

    def cancel(self) -> None:
        self._timers.cancel(self._name)


class ManualTimers:
    """Timers that run each callback when told to, unless its last run has not ended."""

    def __init__(self) -> None:
        self._callbacks: dict[str, t.Callable[[], t.Coroutine[t.Any, t.Any, None]]] = {}
        self._runs: dict[str, asyncio.Task[None]] = {}

    def subscribe(self, name: str, period_s: float, callback: t.Any) -> ManualSubscription:
        self._callbacks[name] = callback
        return ManualSubscription(self, name)

    def cancel(self, name: str) -> None:
        del self._callbacks[name]
        run = self._runs.pop(name, None)
        if run is not None:
            run.cancel()

    async def tick(self) -> None:
        """Start the callbacks, and return after a few turns of the loop."""
        for name, callback in list(self._callbacks.items()):
            if name not in self._runs or self._runs[name].done():
                self._runs[name] = asyncio.get_running_loop().create_task(callback())
        for _ in range(10):
            await asyncio.sleep(0)

    async def finish(self) -> None:
        """Wait until the callbacks have ended."""
        await asyncio.gather(*self._runs.values())


def encode(status: RolloutStatus) -> StoreWrite:
    return StoreWrite(status.service, encode_rollout_status(status))


def decode(record: KeyedRecord) -> Result[RolloutStatus, str]:
    return decode_rollout_status(record.value)


class InterleavingStore(MemoryStore):
    """A store whose calls take effect, and return, a few turns of the loop later."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self._rng = rng

    async def _pass_turns(self) -> None:
        for _ in range(self._rng.randrange(6)):
            await asyncio.sleep(0)

    async def append_for(self, service: str, count: int) -> None:
        """Append statuses of another service, a few turns of the loop apart."""
        for _ in range(count):
            await self._pass_turns()
            self.put(service, encode_rollout_status(replace(STATUS, service=service)))

    async def read(self, *args: t.Any, **kwargs: t.Any) -> Result[StorePage, StoreError]:
        await self._pass_turns()
        result = await super().read(*args, **kwargs)
        await self._pass_turns()
        return result

    async def append(self, *args: t.Any, **kwargs: t.Any) -> Result[int, StoreError]:
        await self._pass_turns()
        result = await super().append(*args, **kwargs)
        await self._pass_turns()
        return result


class Node:
    """The rollout components of one node, on a store shared with other nodes."""

    def __init__(self, number: int, store: MemoryStore) -> None:
        decisions = DecisionLog()
        rng = random.Random(number)
        self.store = store
        self.rollouts = Rollouts(f"n-{number}", 1, decisions, rng, ExposureLimits(0.1, 50))
        self.links = RecordedLinks()
        self.timers = ManualTimers()
        directory = self.directory = Directory()
        for other in (1, 2):
            directory.update(f"node/{other}", peer(other).entry)
        directory.update("node/3", peer(3, "v2").entry)
        handler = RolloutStatusHandler(
            decode,
            lambda status: self._apply_status(status),
            lambda statuses: self.rollouts.reconcile(statuses),
            decisions,
        )
        self.replica = Replica("statuses", handler, decisions)
        self.driver = RolloutDriver(
            f"node/{number}",
            f"n-{number}",
            lambda: "statements",
            self.rollouts,
            directory,
            t.cast(t.Any, self.links),
            StatusLog(store, "statuses", self.replica, encode),
            t.cast(t.Any, self.timers),
            SystemClock(),
            decisions,
        )

    def _apply_status(self, status: RolloutStatus) -> None:
        self.rollouts.apply_status(status, 0.0)

    async def read(self) -> None:
        self.replica.offset = len(self.store.records)
        for record in self.store.records:
            self.rollouts.apply_status(
                decode_rollout_status(record.value).unwrap(), 0.0, recorded=True
            )

    @property
    def status(self) -> RolloutStatus | None:
        return self.rollouts.by_service["statements"].status
