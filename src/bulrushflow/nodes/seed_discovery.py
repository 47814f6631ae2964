"""Discovery of the first other nodes: seed records on the log, and seeds from the settings."""

import asyncio
import random
import time
import typing as t

import msgspec
from loguru import logger
from result import Err
from result import Ok
from result import Result

from bulrushflow.addresses import parse_address
from bulrushflow.documents import Port
from bulrushflow.documents import decode_document
from bulrushflow.membership import MemberTable
from bulrushflow.membership import is_top_ranked
from bulrushflow.recording import SEED_RECORD_STREAM
from bulrushflow.recording import Log
from bulrushflow.recording import LogError
from bulrushflow.timers import Timers
from bulrushflow.wire.links import Endpoint

TAIL_RECORDS = 128
MAX_AGE_MS = 10 * 60 * 1000
"""Age beyond which seed records are ignored."""
RENEWAL_AGE_MS = MAX_AGE_MS // 2
"""Age beyond which a seed record is due to be replaced."""
RECORDS_PER_DATA_CENTRE = 2
TICK_S = 0.25
MAX_START_DELAY_S = 1.0
"""Longest random delay of the first read, so that nodes that start together don't read at once."""
RECHECK_S = 1.0
MAX_RECHECK_S = 60.0
MIN_BACKOFF_S = 0.5
MAX_BACKOFF_S = 10.0
MAX_APPEND_DELAY_S = 1.0
"""Longest random delay before an append, during which another node may append instead."""
JOIN_CONCURRENCY = 3
MAX_JOIN_ADDRESSES = 9
UNRESPONSIVE_S = 30.0
"""Time for which an address that did not respond is tried last."""


class SeedRecord(msgspec.Struct, frozen=True):
    """A node through which others can join, as stored on the log."""

    node_id: str
    data_centre: str
    address: str
    peer_port: Port

    @property
    def endpoint(self) -> Endpoint:
        """Address and port of the node's peer protocol."""
        return self.address, self.peer_port


class LoggedSeedRecord(msgspec.Struct, frozen=True):
    """A seed record and its age on the log, in milliseconds."""

    introduction: SeedRecord
    age_ms: int


class Joiner(t.Protocol):
    """Fetches the member table from another node."""

    async def join(self, *endpoints: Endpoint) -> bool:
        """Fetch it from the first of a few nodes that responds; return whether one did."""


class SeedDiscovery:
    """Keeps a few fresh seed records per data centre on the log, and joins through them.

    Only nodes without live peers and a few publishers per data centre, chosen by rendezvous
    hashing, read and append, so the load on the log does not grow with the number of nodes.

    :param seeds: addresses from the settings, used while seed records lead to no node.
    :param wall_ms: returns the wall clock's time in milliseconds.
    """

    def __init__(
        self,
        table: MemberTable,
        gossip: Joiner,
        log: Log,
        timers: Timers,
        seeds: tuple[str, ...],
        rng: random.Random,
        wall_ms: t.Callable[[], int] = lambda: time.time_ns() // 1_000_000,
    ) -> None:
        self._table = table
        self._gossip = gossip
        self._log = log
        self._timers = timers
        self._seeds = [e for e in map(parse_address, seeds) if e is not None]
        self._rng = rng
        self._wall_ms = wall_ms
        self._next_check_at = timers.now() + rng.uniform(0, MAX_START_DELAY_S)
        self._recheck_s = RECHECK_S
        self._failures = 0
        self._unresponsive_until: dict[Endpoint, float] = {}
        timers.subscribe("introductions", TICK_S, self._tick)

    async def _tick(self) -> None:
        if self._timers.now() < self._next_check_at:
            return
        if self._has_no_peers() or self._is_publisher():
            await self.check()
        self._next_check_at = self._timers.now() + self._next_wait_s()

    async def check(self) -> None:
        """Read the seed records, join through them, and append this node's own if it is needed."""
        match await self._read():
            case Err(error):
                logger.warning("reading introductions failed: {}", error.message)
                self._failures += 1
                await self._join_seeds()
                return
            case Ok(logged):
                pass
        await self._join(logged)
        if self._has_no_peers():
            await self._join_seeds()
        self._failures = self._failures + 1 if self._has_no_peers() else 0
        if not self._should_append(logged):
            return
        # Nodes that started at the same time may append during this delay.
        await asyncio.sleep(self._rng.uniform(0, MAX_APPEND_DELAY_S))
        match await self._read():
            case Ok(logged):
                await self._join(logged)
                if self._should_append(logged):
                    await self._append()
            case Err(error):
                logger.warning(
                    "reading seed records again failed, this node's own is not appended: {}",
                    error.message,
                )

    def _next_wait_s(self) -> float:
        if self._failures:
            cap_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2**self._failures)
            return self._rng.uniform(0, cap_s)
        # Often at first: nodes that start together may have joined into separate groups.
        wait_s = self._recheck_s
        self._recheck_s = min(MAX_RECHECK_S, 2 * self._recheck_s)
        return wait_s * self._rng.uniform(0.8, 1.2)

    def _has_no_peers(self) -> bool:
        return not self._table.live_peers()

    def _is_publisher(self) -> bool:
        own = self._table.own
        local = self._table.in_data_centre(own.data_centre)
        return is_top_ranked(local, "introducer", own.node_id, RECORDS_PER_DATA_CENTRE)

    async def _read(self) -> Result[list[LoggedSeedRecord], LogError]:
        result = await self._log.tail(SEED_RECORD_STREAM, TAIL_RECORDS)
        if isinstance(result, Err):
            return result
        now_ms = self._wall_ms()
        by_id: dict[str, LoggedSeedRecord] = {}
        for record in result.ok_value.records:
            age_ms = now_ms - record.appended_at_ms
            if age_ms > MAX_AGE_MS:
                continue
            match decode_document(record.body, SeedRecord):
                case Err(reason):
                    logger.warning("seed record at offset {} ignored: {}", record.offset, reason)
                case Ok(seed):
                    by_id[seed.node_id] = LoggedSeedRecord(seed, age_ms)
        return Ok(list(by_id.values()))

    async def _join(self, logged: list[LoggedSeedRecord]) -> None:
        """Join through the nodes of seed records that are not live members yet.

        At most :data:`MAX_JOIN_ADDRESSES` are tried, nodes of this data centre and responsive
        addresses first. A node without peers needs one response, which adds the other members.
        """
        unknown = [p.introduction for p in logged if self._is_unknown(p.introduction)]
        self._rng.shuffle(unknown)
        own_data_centre = self._table.own.data_centre
        unknown.sort(
            key=lambda i: (self._is_unresponsive(i.endpoint), i.data_centre != own_data_centre)
        )
        if not self._has_no_peers():
            unknown = [i for i in unknown if not self._is_unresponsive(i.endpoint)]
        for start in range(0, min(MAX_JOIN_ADDRESSES, len(unknown)), JOIN_CONCURRENCY):
            batch = [i for i in unknown[start : start + JOIN_CONCURRENCY] if self._is_unknown(i)]
            if batch and not await self._gossip.join(*(i.endpoint for i in batch)):
                self._mark_unresponsive(batch)

    def _is_unknown(self, seed: SeedRecord) -> bool:
        if seed.node_id == self._table.own_id:
            return False
        current = self._table.by_id.get(seed.node_id)
        return current is None or not current.is_live

    def _is_unresponsive(self, endpoint: Endpoint) -> bool:
        return self._timers.now() < self._unresponsive_until.get(endpoint, float("-inf"))

    def _mark_unresponsive(self, batch: list[SeedRecord]) -> None:
        now = self._timers.now()
        self._unresponsive_until = {e: u for e, u in self._unresponsive_until.items() if u > now}
        for seed in batch:
            self._unresponsive_until[seed.endpoint] = now + UNRESPONSIVE_S

    async def _join_seeds(self) -> None:
        own = self._table.own.endpoint
        seeds = [e for e in self._rng.sample(self._seeds, len(self._seeds)) if e != own]
        for start in range(0, len(seeds), JOIN_CONCURRENCY):
            if not self._has_no_peers():
                return
            await self._gossip.join(*seeds[start : start + JOIN_CONCURRENCY])

    def _should_append(self, logged: list[LoggedSeedRecord]) -> bool:
        """Return whether this node should append its own seed record."""
        if not self._has_no_peers() and not self._is_publisher():
            return False
        own = self._table.own
        fresh_records = 0
        for entry in logged:
            seed = entry.introduction
            if seed.data_centre != own.data_centre or entry.age_ms > RENEWAL_AGE_MS:
                continue
            if seed.node_id == own.node_id:
                if seed.endpoint == own.endpoint:
                    return False
                continue
            if not self._is_unknown(seed):
                fresh_records += 1
        return fresh_records < RECORDS_PER_DATA_CENTRE

    async def _append(self) -> None:
        own = self._table.own
        seed = SeedRecord(own.node_id, own.data_centre, own.address, own.peer_port)
        match await self._log.append(SEED_RECORD_STREAM, msgspec.json.encode(seed)):
            case Ok(offset):
                logger.info("appended this node's seed record at offset {}", offset)
            case Err(error):
                logger.warning("appending this node's seed record failed: {}", error.message)
