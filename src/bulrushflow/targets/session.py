"""The session of one target process, from its first announcement to its last call."""

import asyncio

from bulrushflow.routing import Call
from bulrushflow.routing import CallResult
from bulrushflow.targets.announcement import Announcement
from bulrushflow.targets.client import TargetClient
from bulrushflow.targets.slots import SlotPool


class TargetSession:
    """The connections and slots of one target process.

    An announcement with another address, service, version, or number of slots or connections
    starts a new session. The previous one is retired: it gets no new calls and closes after its
    last one.
    """

    def __init__(self, announcement: Announcement, client: TargetClient) -> None:
        self.announcement = announcement
        self.slots = SlotPool(announcement.slots, announcement.connections)
        self._client = client
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def unreachable(self) -> bool:
        """Whether the last attempt to connect failed and no response arrived since."""
        return self._client.unreachable

    def matches(self, announcement: Announcement) -> bool:
        """Return whether an announcement belongs to this session."""
        current = self.announcement
        return (
            current.url == announcement.url
            and current.service == announcement.service
            and current.version == announcement.version
            and current.slots == announcement.slots
            and current.connections == announcement.connections
        )

    async def send(self, call: Call) -> CallResult:
        """Send a call to the target; the caller must have acquired a slot."""
        self._idle.clear()
        try:
            return await self._client.send(call)
        finally:
            # This call is still counted: its slot is released after this method returns.
            if self.slots.active <= 1:
                self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until no call is in flight."""
        await self._idle.wait()

    async def retire(self, timeout_s: float) -> None:
        """Refuse queued calls, wait for those in flight, and close the connections.

        :param timeout_s: time after which the connections are closed in any case.
        """
        self.slots.refuse_queued("the target was replaced")
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        except TimeoutError:
            pass
        await self._client.close()

    async def close(self) -> None:
        """Close the connections without waiting for calls."""
        await self._client.close()
