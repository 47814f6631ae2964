"""Probes of other nodes: direct and indirect pings, and the matching of their acks."""

import asyncio
import itertools
import typing as t

import msgspec

from bulrushflow.membership import Member
from bulrushflow.membership import Status
from bulrushflow.nodes.anti_entropy import SendDatagram
from bulrushflow.wire import messages
from bulrushflow.wire.links import Endpoint

MAX_RELAYS = 32
"""Most pings on behalf of other nodes in flight at a time."""


class Ack(msgspec.Struct, frozen=True):
    """The node that answered a probe, and its configuration version."""

    node_id: str
    offset: int


class Prober:
    """Sends probes and waits for their acks."""

    def __init__(self, send: SendDatagram, relay_timeout_s: float) -> None:
        self._send = send
        self._relay_timeout_s = relay_timeout_s
        self._sequences = itertools.count(1)
        self._acks_by_sequence: dict[int, asyncio.Future[Ack]] = {}
        self._active_relays = 0

    async def ping(self, member: Member, timeout_s: float) -> Ack | None:
        """Ping a member; return its ack, or ``None`` after ``timeout_s``.

        An ack of another node that now uses the address does not count.
        """
        ack = await self._wait_for_ack(self.send_ping(member), timeout_s)
        return ack if ack is not None and ack.node_id == member.node_id else None

    def send_ping(self, member: Member) -> int:
        """Ping a member and return the sequence number of the ack.

        A suspect or dead member receives its recorded state with the probe, so that it can refute
        it at once.
        """
        sequence = next(self._sequences)
        to_refute = (member,) if member.status in (Status.SUSPECT, Status.DEAD) else ()
        self._send("probe", member.endpoint, to_refute, ping=messages.Ping(sequence=sequence))
        return sequence

    async def ping_indirectly(
        self, member: Member, helpers: t.Iterable[Member], timeout_s: float
    ) -> bool:
        """Have ``helpers`` ping a member; return whether one of them reported its ack."""
        sequence = next(self._sequences)
        request = messages.PingRequest(
            sequence=sequence,
            address=member.address,
            peer_port=member.peer_port,
            node_id=member.node_id,
        )
        for helper in helpers:
            self._send("indirect", helper.endpoint, ping_request=request)
        return await self._wait_for_ack(sequence, timeout_s) is not None

    def may_relay(self) -> bool:
        """Return whether fewer than :data:`MAX_RELAYS` pings for other nodes are in flight."""
        return self._active_relays < MAX_RELAYS

    async def relay(self, request: t.Any, sender: Endpoint) -> None:
        """Ping a node on behalf of ``sender``, and forward its ack."""
        self._active_relays += 1
        try:
            sequence = next(self._sequences)
            endpoint = (request.address, request.peer_port)
            self._send("indirect", endpoint, ping=messages.Ping(sequence=sequence))
            ack = await self._wait_for_ack(sequence, self._relay_timeout_s)
        finally:
            self._active_relays -= 1
        if ack is not None and request.node_id in (None, ack.node_id):
            self._send("ack", sender, ack=messages.Ack(sequence=request.sequence))

    def handle_ack(self, sequence: int, ack: Ack) -> None:
        """Match an ack with its probe; late acks are dropped."""
        future = self._acks_by_sequence.get(sequence)
        if future is not None and not future.done():
            future.set_result(ack)

    async def _wait_for_ack(self, sequence: int, timeout_s: float) -> Ack | None:
        future: asyncio.Future[Ack] = asyncio.get_running_loop().create_future()
        self._acks_by_sequence[sequence] = future
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return None
        finally:
            del self._acks_by_sequence[sequence]
