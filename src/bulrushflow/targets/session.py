"""One announced target from its first announcement until its last call has ended."""

import asyncio

from bulrushflow.routing import Call
from bulrushflow.routing import CallResult
from bulrushflow.targets.announcement import Announcement
from bulrushflow.targets.client import TargetClient
from bulrushflow.targets.slots import SlotPool


class TargetSession:
    """The connections and slots of one target process.

    A target that announces another address, service or version is another process. Its
    predecessor's session is retired: it takes no new calls and closes after its last one.
    """

    def __init__(self, announcement: Announcement, client: TargetClient) -> None:
        self.announcement = announcement
        self.slots = SlotPool(announcement.slots, announcement.connections)
        self._client = client
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def unreachable(self) -> bool:
        """Whether the target takes no connections."""
        return self._client.unreachable

    def matches(self, announcement: Announcement) -> bool:
        """Tell whether an announcement comes from the same target process."""
        current = self.announcement
        return (
            current.url == announcement.url
            and current.service == announcement.service
            and current.version == announcement.version
            and current.slots == announcement.slots
            and current.connections == announcement.connections
        )

    async def send(self, call: Call) -> CallResult:
        """Run a call on the target; the caller holds a slot for it."""
        self._idle.clear()
        try:
            return await self._client.send(call)
        finally:
            # The slot of this call is still held here.
            if self.slots.active <= 1:
                self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until no call runs."""
        await self._idle.wait()

    async def retire(self, timeout_s: float) -> None:
        """Wait for the calls in flight, then close the connections."""
        self.slots.refuse_queued("the target was replaced")
        try:
            await asyncio.wait_for(self._idle.wait(), timeout_s)
        except TimeoutError:
            pass
        await self._client.close()

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()
