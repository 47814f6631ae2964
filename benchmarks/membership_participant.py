"""Runs the membership of one node as a process that reads commands from standard input.

Prints one JSON line for each change of a member's recorded state, and its counts on request.
"""

import asyncio
import json
import random
import sys
import time
import typing as t
from dataclasses import dataclass

import cappa

from bulrushflow.logs import configure_logs
from bulrushflow.membership import Member
from bulrushflow.membership import MemberTable
from bulrushflow.membership import Target
from bulrushflow.membership import TargetState
from bulrushflow.nodes import Gossip
from bulrushflow.nodes import SeedDiscovery
from bulrushflow.nodes.datagrams import DatagramHandler
from bulrushflow.nodes.datagrams import DatagramTransport
from bulrushflow.nodes.datagrams import open_udp
from bulrushflow.recording import HttpLog
from bulrushflow.rollouts import SharedRollouts
from bulrushflow.settings import GossipSettings
from bulrushflow.timers import Timers
from bulrushflow.wire import Links
from bulrushflow.wire.links import Endpoint

MAX_PORT_ATTEMPTS = 20


class LossyTransport:
    """Drops a share of the sent datagrams at random."""

    def __init__(self, inner: DatagramTransport, loss: float, rng: random.Random) -> None:
        self._inner = inner
        self._loss = loss
        self._rng = rng

    def sendto(self, data: bytes, endpoint: Endpoint) -> None:
        """Send a datagram, or drop it."""
        if self._rng.random() >= self._loss:
            self._inner.sendto(data, endpoint)

    def close(self) -> None:
        """Close the socket."""
        self._inner.close()


class Participant:
    """Membership as a node sets it up, without a real target or configuration."""

    def __init__(self, node_id: str, data_centre: str, log_url: str, loss: float) -> None:
        self.node_id = node_id
        self.data_centre = data_centre
        self.loss = loss
        self.rng = random.Random(node_id)
        self.log = HttpLog(log_url, 5.0)
        self.bytes_by_kind: dict[str, int] = {}
        self._reported_states: dict[str, tuple[str, str]] = {}

    async def start(self) -> None:
        """Start on a port that is free for TCP and UDP, and print the event ``ready``."""
        for _ in range(MAX_PORT_ATTEMPTS):
            self.timers = Timers(self.rng)
            await self.timers.start()
            self.links = Links("127.0.0.1", 0, self.timers)
            await self.links.start()
            try:
                await self._start_gossip()
                break
            except OSError:
                await self.timers.stop()
                await self.links.stop()
        self.seed_discovery = SeedDiscovery(
            self.table, self.gossip, self.log, self.timers, (), self.rng
        )
        emit({"event": "ready", "at": time.monotonic()})

    async def _start_gossip(self) -> None:
        target = Target("statements", "v1", TargetState.READY, 20)
        own = Member(
            self.node_id,
            self.data_centre,
            "127.0.0.1",
            self.links.port,
            time.time_ns() // 1_000_000,
            target=target,
        )
        self.table = MemberTable(own)
        self.gossip = Gossip(
            self.table,
            SharedRollouts(),
            self.links,
            self.timers,
            GossipSettings(),
            self.rng,
            lambda: 0,
            lambda endpoint, offset: None,
            self._count,
            self._open,
        )
        self.gossip.subscribe(self._observe)
        await self.gossip.start()

    async def serve(self) -> None:
        """Process commands until ``leave`` or the end of the input, then stop."""
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        while line := (await reader.readline()).decode().strip():
            if line == "drain":
                self._drain()
            elif line == "report":
                self._report()
            elif line == "leave":
                await self.gossip.leave()
                await asyncio.sleep(1.0)
                break
        await self.gossip.stop()
        await self.timers.stop()
        await self.links.stop()
        await self.log.close()

    async def _open(self, endpoint: Endpoint, receive: DatagramHandler) -> DatagramTransport:
        inner = await open_udp(endpoint, receive)
        return LossyTransport(inner, self.loss, self.rng) if self.loss else inner

    def _drain(self) -> None:
        target = Target("statements", "v1", TargetState.DRAINING, 20)
        emit({"event": "draining", "at": time.monotonic()})
        self.gossip.announce_own(target=target)

    def _report(self) -> None:
        emit(
            {
                "event": "report",
                "at": time.monotonic(),
                "cpu_s": time.process_time(),
                "bytes_by_kind": self.bytes_by_kind,
                "members": len(self.table.live_members()),
            }
        )

    def _observe(self) -> None:
        now = time.monotonic()
        for member in self.table.by_id.values():
            target_state = member.target.state.name if member.target is not None else ""
            state = (member.status.name, target_state)
            if self._reported_states.get(member.node_id) != state:
                self._reported_states[member.node_id] = state
                emit({"event": "belief", "at": now, "id": member.node_id, "belief": state})

    def _count(self, direction: str, kind: str, count: int) -> None:
        key = f"{direction} {kind}"
        self.bytes_by_kind[key] = self.bytes_by_kind.get(key, 0) + count


def emit(event: dict[str, t.Any]) -> None:
    """Print one event as a JSON line."""
    sys.stdout.write(json.dumps(event) + "\n")
    sys.stdout.flush()


@cappa.command(name="benchmarks.membership_participant")
@dataclass
class ParticipantCommand:
    """Run one participant."""

    node_id: t.Annotated[str, cappa.Arg(long=True)]
    data_centre: t.Annotated[str, cappa.Arg(long=True)]
    log_url: t.Annotated[str, cappa.Arg(long=True)]
    loss: t.Annotated[float, cappa.Arg(long=True)] = 0.0

    def __call__(self) -> None:
        configure_logs(self.node_id, "ERROR", "text")
        asyncio.run(self._run())

    async def _run(self) -> None:
        participant = Participant(self.node_id, self.data_centre, self.log_url, self.loss)
        await participant.start()
        await participant.serve()


if __name__ == "__main__":
    cappa.invoke(ParticipantCommand)
