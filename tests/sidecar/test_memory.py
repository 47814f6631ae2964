import asyncio
import gc
import unittest
from unittest import mock

from bulrushflow.sidecar import memory
from bulrushflow.sidecar.memory import MAX_GROWTH_BYTES
from bulrushflow.sidecar.memory import MemoryWatch
from tests.sidecar.fleet import FleetTestCase
from tests.waiting import until

BASE_BYTES = 50 << 20
PAYLOAD_BYTES = 64 << 10
"""Small enough for the allocator's heap; larger blocks have a mapping of their own."""
KEPT_BYTES = 1 << 10
"""Too large for the interpreter's own pools, so that the block lies between the freed ones."""


class MemoryWatchTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.resident: int | None = BASE_BYTES
        self.watch = MemoryWatch(lambda: self.resident)
        collect = mock.patch.object(gc, "collect", side_effect=self.collect)
        self.collections = collect.start()
        self.addCleanup(collect.stop)
        await self.watch.check()

    def collect(self) -> int:
        self.resident = BASE_BYTES + (8 << 20)
        return 7

    async def test_garbage_is_collected_once_the_process_has_grown(self) -> None:
        self.resident = BASE_BYTES + MAX_GROWTH_BYTES - 1
        await self.watch.check()
        self.collections.assert_not_called()
        self.resident += 1
        await self.watch.check()
        self.collections.assert_called_once()

    async def test_the_growth_counts_from_the_last_collection(self) -> None:
        self.resident = BASE_BYTES + MAX_GROWTH_BYTES
        await self.watch.check()
        self.resident = BASE_BYTES + MAX_GROWTH_BYTES
        await self.watch.check()
        self.collections.assert_called_once()

    # A node whose first check came after the garbage took it for its usual memory.
    async def test_the_growth_before_the_first_check_counts(self) -> None:
        watch = MemoryWatch(lambda: self.resident)
        self.resident = BASE_BYTES + MAX_GROWTH_BYTES
        await watch.check()
        self.collections.assert_called_once()

    async def test_the_growth_counts_from_the_least_memory_since(self) -> None:
        self.resident = BASE_BYTES - (8 << 20)
        await self.watch.check()
        self.resident += MAX_GROWTH_BYTES
        await self.watch.check()
        self.collections.assert_called_once()

    async def test_without_a_figure_nothing_is_collected(self) -> None:
        self.resident = None
        await self.watch.check()
        self.collections.assert_not_called()

    def test_the_system_tells_the_resident_memory(self) -> None:
        resident = memory.resident_bytes()
        assert resident is not None
        self.assertGreater(resident, 1 << 20)


class _Cycle:
    def __init__(self, payload: bytes) -> None:
        self.payload = payload
        self.itself = self


class ReleaseTests(unittest.IsolatedAsyncioTestCase):
    # The allocator kept what a collection had freed, so that a node stayed as large as before.
    async def test_what_a_collection_frees_goes_back_to_the_system(self) -> None:
        resident = 0
        watch = MemoryWatch(lambda: resident)
        kept = []
        gc.disable()
        self.addCleanup(gc.enable)
        for _ in range(3 * MAX_GROWTH_BYTES // PAYLOAD_BYTES):
            _Cycle(bytes(PAYLOAD_BYTES))
            kept.append(bytes(KEPT_BYTES))
        resident = memory.resident_bytes() or 0
        await watch.check()
        returned = resident - (memory.resident_bytes() or 0)
        self.assertGreater(returned, 2 * MAX_GROWTH_BYTES)


class GarbageTests(FleetTestCase):
    node_count = 1

    # A node kept what connections without HTTP had sent, until it had more memory than it may have.
    async def test_what_malformed_connections_sent_is_not_kept(self) -> None:
        endpoint = self.instances[0].sidecar.listeners.bound_by_setting["announcements"]
        self.addCleanup(gc.set_threshold, *gc.get_threshold())
        gc.set_threshold(20_000, 10, 10)
        kept = (memory.resident_bytes() or 0) + 3 * MAX_GROWTH_BYTES

        async def send_garbage() -> None:
            _, writer = await asyncio.open_connection(endpoint.address, endpoint.port)
            try:
                writer.write(b"\x00\xfe" * (1 << 18))
                await writer.drain()
                await asyncio.sleep(0.05)
            except OSError:
                pass
            writer.transport.abort()

        for _ in range(8):
            await asyncio.gather(*(send_garbage() for _ in range(20)))
        await until(lambda: (memory.resident_bytes() or 0) < kept)
