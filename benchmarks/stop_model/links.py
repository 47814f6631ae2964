"""The product's connections between nodes, opened without a network."""

import asyncio
import typing as t

from result import Err
from result import Ok
from result import Result

from benchmarks.stop_model.network import WAY_S
from benchmarks.stop_model.network import Uplink
from benchmarks.stop_model.network import join
from bulrushflow.placement import LinkPacer
from bulrushflow.timers import Timers
from bulrushflow.wire.link import Link
from bulrushflow.wire.link import LinkError
from bulrushflow.wire.links import Endpoint
from bulrushflow.wire.links import Links


class OrderedLinks(dict[Link, None]):
    """A set in the order of insertion, which is the same in each run."""

    def add(self, link: Link) -> None:
        """Add a connection."""
        self[link] = None

    def discard(self, link: Link) -> None:
        """Remove a connection, if it is there."""
        self.pop(link, None)


class ModelLinks(Links):
    """The connections of one node.

    :param find: returns the node at an address; ``None`` while none runs there.
    """

    def __init__(
        self,
        address: str,
        uplink: Uplink,
        pacer: LinkPacer,
        find: "t.Callable[[str], ModelLinks | None]",
    ) -> None:
        # The keep-alive is driven by the node, and nothing else is timed here.
        super().__init__(address, 0, t.cast(Timers, None), pacer)
        self._accepted = t.cast(set[Link], OrderedLinks())
        self._find = find
        self.uplink = uplink
        self.accepting = True

    async def drain(self, timeout_s: float) -> bool:
        self.accepting = False
        return await super().drain(timeout_s)

    async def check(self) -> None:
        """Check the keep-alive of all connections, and close those that aren't used."""
        await self._check()

    async def _open(self, endpoint: Endpoint) -> Result[Link, LinkError]:
        await asyncio.sleep(2 * WAY_S)
        peer = self._find(endpoint[0])
        if peer is None or not peer.accepting:
            return Err(LinkError(False, f"no connection to {endpoint}"))
        link = Link(self._handlers, self._remove, self.sender)
        join(link, self.uplink, peer._accept(), peer.uplink)
        self._outbound_by_endpoint[endpoint] = link
        return Ok(link)
