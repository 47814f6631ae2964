"""The UDP socket between nodes, behind a protocol that tests can implement."""

import asyncio
import typing as t

from loguru import logger

from bulrushflow.wire.links import Endpoint

DatagramHandler = t.Callable[[bytes, Endpoint], None]


class DatagramTransport(t.Protocol):
    """Sends datagrams."""

    def sendto(self, data: bytes, endpoint: Endpoint) -> None:
        """Send one datagram; its loss is not reported."""

    def close(self) -> None:
        """Close the socket."""


OpenTransport = t.Callable[[Endpoint, DatagramHandler], t.Awaitable[DatagramTransport]]


class UdpTransport(asyncio.DatagramProtocol):
    """Sends and receives datagrams on one UDP socket."""

    def __init__(self, receive: DatagramHandler) -> None:
        self._receive = receive
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = t.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: t.Any) -> None:
        self._receive(data, (addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        # The failure detector notices a refused port by the missing ack.
        logger.debug("UDP socket error: {}", exc)

    def sendto(self, data: bytes, endpoint: Endpoint) -> None:
        """See :meth:`DatagramTransport.sendto`."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, endpoint)

    def close(self) -> None:
        """See :meth:`DatagramTransport.close`."""
        if self._transport is not None:
            self._transport.close()


async def open_udp(endpoint: Endpoint, receive: DatagramHandler) -> DatagramTransport:
    """Bind a UDP socket that passes each datagram and its sender to ``receive``."""
    loop = asyncio.get_running_loop()
    _, transport = await loop.create_datagram_endpoint(
        lambda: UdpTransport(receive), local_addr=endpoint
    )
    return transport
