"""Collection of garbage by the memory that the process has grown by.

Load: connections that send bytes which are no HTTP. What is kept of each is few objects of up to a
megabyte in all, in reference cycles. The collector counts objects, so that hundreds of such
connections would fill an instance's memory before a collection begins. What a collection frees lies
between blocks that are in use, and stays with the process until the allocator is told to return it.
"""

import ctypes
import gc
import os
import pathlib
import typing as t

from loguru import logger

CHECK_PERIOD_S = 0.5
MAX_GROWTH_BYTES = 32 << 20
"""Growth that begins a collection. Instances have as little as 200 MB."""
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_STATM = pathlib.Path("/proc/self/statm")
_RESIDENT_FIELD = 1


class MemoryWatch:
    """Collects garbage once the process has grown by :data:`MAX_GROWTH_BYTES`.

    The growth counts from the least memory since the last collection, or since this was made.

    :param resident_bytes: returns the resident memory of the process, ``None`` if it isn't known.
    """

    __slots__ = ("_base_bytes", "_resident_bytes")

    def __init__(self, resident_bytes: t.Callable[[], int | None]) -> None:
        self._resident_bytes = resident_bytes
        self._base_bytes = resident_bytes()

    async def check(self) -> None:
        """Compare the memory with that after the last collection."""
        resident = self._resident_bytes()
        if resident is None:
            return
        self._base_bytes = resident if self._base_bytes is None else min(self._base_bytes, resident)
        if resident - self._base_bytes < MAX_GROWTH_BYTES:
            return
        collected = gc.collect()
        _return_free_pages()
        after = self._resident_bytes() or resident
        self._base_bytes = after
        logger.bind(before=resident, after=after, objects=collected).info("garbage collected")


def _return_free_pages() -> None:
    """Return free memory to the system, where the C library has a call for it."""
    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is not None:
        trim(0)


def resident_bytes() -> int | None:
    """Return the resident memory of this process; ``None`` where the system doesn't tell."""
    try:
        return int(_STATM.read_text().split()[_RESIDENT_FIELD]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return None
