"""Finding the first other nodes: introduction records on the log, and hints from settings."""

import asyncio
import random
import time
import typing as t

import msgspec
from loguru import logger
from result import Err
from result import Ok
from result import Result

from bulrushflow.membership import MemberTable
from bulrushflow.membership import is_top_ranked
from bulrushflow.recording import SEED_RECORD_STREAM
from bulrushflow.recording import Log
from bulrushflow.recording import LogError
from bulrushflow.settings import parse_endpoint
from bulrushflow.timers import Timers
from bulrushflow.wire.links import Endpoint

TAIL_RECORDS = 128
FRESH_MS = 10 * 60 * 1000
RENEW_MS = FRESH_MS // 2
WANTED_PER_DATA_CENTRE = 2
TICK_S = 0.25
FIRST_WAIT_S = 1.0
"""Nodes that start together read the log spread over so long."""
RECHECK_S = 1.0
MAX_RECHECK_S = 60.0
MIN_BACKOFF_S = 0.5
MAX_BACKOFF_S = 10.0
MAX_WAIT_S = 1.0
"""Longest random wait before an append, in which another node may append instead."""
ASKED_AT_ONCE = 3
MAX_ASKED = 9
PASSED_OVER_S = 30.0
"""Time for which an address that did not answer is asked last."""


class SeedRecord(msgspec.Struct, frozen=True):
    """A node that joiners may ask."""

    node_id: str
    data_centre: str
    address: str
    peer_port: int

    @property
    def endpoint(self) -> Endpoint:
        """Address and port of the node's peer protocol."""
        return self.address, self.peer_port


class LoggedSeedRecord(msgspec.Struct, frozen=True):
    """An introduction and its age on the log, in milliseconds."""

    introduction: SeedRecord
    age_ms: int


class Joiner(t.Protocol):
    """What fetches the member table from another node."""

    async def join(self, *endpoints: Endpoint) -> bool:
        """Fetch it from the first of a few nodes that answers; return whether one did."""


class SeedDiscovery:
    """Keeps a few fresh introduction records per data centre, and joins through them.

    Only a node that knows no other one, and the few chosen by rendezvous in each data centre,
    read and append, so the log's load does not grow with the number of nodes.
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
        self._seeds = [e for e in map(parse_endpoint, seeds) if e is not None]
        self._rng = rng
        self._wall_ms = wall_ms
        self._next_check_at = timers.now() + rng.uniform(0, FIRST_WAIT_S)
        self._recheck_s = RECHECK_S
        self._failures = 0
        self._silent_until: dict[Endpoint, float] = {}
        timers.subscribe("introductions", TICK_S, self._tick)

    async def _tick(self) -> None:
        if self._timers.now() < self._next_check_at:
            return
        if self._is_alone() or self._is_introducer():
            await self.check()
        self._next_check_at = self._timers.now() + self._next_wait_s()

    async def check(self) -> None:
        """Read the introductions once, join through them, and append this node's if needed."""
        match await self._read():
            case Err(error):
                logger.warning("reading introductions failed: {}", error.message)
                self._failures += 1
                await self._join_seeds()
                return
            case Ok(posted):
                pass
        await self._join(posted)
        if self._is_alone():
            await self._join_seeds()
        self._failures = self._failures + 1 if self._is_alone() else 0
        if not self._lacks(posted):
            return
        # Others that started at the same time may append while this node waits.
        await asyncio.sleep(self._rng.uniform(0, MAX_WAIT_S))
        match await self._read():
            case Ok(posted):
                await self._join(posted)
                if self._lacks(posted):
                    await self._append()
            case Err(error):
                logger.warning("reading introductions again failed: {}", error.message)

    def _next_wait_s(self) -> float:
        if self._failures:
            cap_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2**self._failures)
            return self._rng.uniform(0, cap_s)
        # Often at first: nodes that start together may have met in separate groups.
        wait_s = self._recheck_s
        self._recheck_s = min(MAX_RECHECK_S, 2 * self._recheck_s)
        return wait_s * self._rng.uniform(0.8, 1.2)

    def _is_alone(self) -> bool:
        return not self._table.live_peers()

    def _is_introducer(self) -> bool:
        own = self._table.own
        near = self._table.in_data_centre(own.data_centre)
        return is_top_ranked(near, "introducer", own.node_id, WANTED_PER_DATA_CENTRE)

    async def _read(self) -> Result[list[LoggedSeedRecord], LogError]:
        result = await self._log.tail(SEED_RECORD_STREAM, TAIL_RECORDS)
        if isinstance(result, Err):
            return result
        now_ms = self._wall_ms()
        by_id: dict[str, LoggedSeedRecord] = {}
        for record in result.ok_value.records:
            age_ms = now_ms - record.appended_at_ms
            if age_ms > FRESH_MS:
                continue
            try:
                introduction = msgspec.json.decode(record.body, type=SeedRecord)
            except msgspec.DecodeError as exc:
                logger.warning("introduction at {} passed over: {}", record.offset, exc)
                continue
            by_id[introduction.node_id] = LoggedSeedRecord(introduction, age_ms)
        return Ok(list(by_id.values()))

    async def _join(self, posted: list[LoggedSeedRecord]) -> None:
        """Join through introduced nodes that are not known, several at a time and bounded.

        A node that knows nobody stops at the first answer; the others are then known from it.
        """
        unknown = [p.introduction for p in posted if self._is_unknown(p.introduction)]
        self._rng.shuffle(unknown)
        own_data_centre = self._table.own.data_centre
        unknown.sort(key=lambda i: (self._is_silent(i.endpoint), i.data_centre != own_data_centre))
        if not self._is_alone():
            unknown = [i for i in unknown if not self._is_silent(i.endpoint)]
        for start in range(0, min(MAX_ASKED, len(unknown)), ASKED_AT_ONCE):
            asked = [i for i in unknown[start : start + ASKED_AT_ONCE] if self._is_unknown(i)]
            if asked and not await self._gossip.join(*(i.endpoint for i in asked)):
                self._pass_over(asked)

    def _is_unknown(self, introduction: SeedRecord) -> bool:
        if introduction.node_id == self._table.own_id:
            return False
        held = self._table.by_id.get(introduction.node_id)
        return held is None or not held.is_live

    def _is_silent(self, endpoint: Endpoint) -> bool:
        return self._timers.now() < self._silent_until.get(endpoint, float("-inf"))

    def _pass_over(self, asked: list[SeedRecord]) -> None:
        now = self._timers.now()
        self._silent_until = {e: u for e, u in self._silent_until.items() if u > now}
        for introduction in asked:
            self._silent_until[introduction.endpoint] = now + PASSED_OVER_S

    async def _join_seeds(self) -> None:
        own = self._table.own.endpoint
        seeds = [e for e in self._rng.sample(self._seeds, len(self._seeds)) if e != own]
        for start in range(0, len(seeds), ASKED_AT_ONCE):
            if not self._is_alone():
                return
            await self._gossip.join(*seeds[start : start + ASKED_AT_ONCE])

    def _lacks(self, posted: list[LoggedSeedRecord]) -> bool:
        """Tell whether this node should append its introduction."""
        if not self._is_alone() and not self._is_introducer():
            return False
        own = self._table.own
        held = 0
        for entry in posted:
            introduction = entry.introduction
            if introduction.data_centre != own.data_centre or entry.age_ms > RENEW_MS:
                continue
            if introduction.node_id == own.node_id:
                if introduction.endpoint == own.endpoint:
                    return False
                continue
            if not self._is_unknown(introduction):
                held += 1
        return held < WANTED_PER_DATA_CENTRE

    async def _append(self) -> None:
        own = self._table.own
        introduction = SeedRecord(own.node_id, own.data_centre, own.address, own.peer_port)
        match await self._log.append(SEED_RECORD_STREAM, msgspec.json.encode(introduction)):
            case Ok(offset):
                logger.info("introduced this node at {}", offset)
            case Err(error):
                logger.warning("introducing this node failed: {}", error.message)
