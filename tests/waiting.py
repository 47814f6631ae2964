"""Waiting for conditions in tests."""

import asyncio
import typing as t

GUARD_S = 30.0
"""Timeout in seconds that only ends a hanging test; no test depends on the duration of a wait."""


async def until(condition: t.Callable[[], bool]) -> None:
    """Return once a condition holds.

    :raises TimeoutError: if it does not hold within :data:`GUARD_S` seconds.
    """
    async with asyncio.timeout(GUARD_S):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.001)
