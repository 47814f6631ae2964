"""Reading of HTTP responses, timed out by the pause between their bytes instead of in total."""

import asyncio

import aiohttp
import msgspec

from bulrushflow.timeouts import SilenceTimeout


class BodyLimits(msgspec.Struct, frozen=True):
    """Bounds on the body of a response, counted from its head on."""

    idle_timeout_s: float
    """Time without a byte after which the response is given up. A response that keeps arriving is
    not: begun anew, it would take as long again on a slow link."""
    max_transfer_s: float
    """Bound on the whole duration, for a response that trickles without end."""
    max_bytes: int


async def read_body(
    response: aiohttp.ClientResponse, timeout: SilenceTimeout, limits: BodyLimits
) -> bytes:
    """Read the body of a response, and restart the timeout with each part of it.

    :param timeout: the timeout around the request; its bound until the response begins is replaced.
    :raises TimeoutError: if the body takes longer than ``limits.max_transfer_s``.
    :raises aiohttp.ClientPayloadError: if the body exceeds ``limits.max_bytes``.
    """
    loop = asyncio.get_running_loop()
    transfer_s = 0.0
    body = bytearray()
    while True:
        timeout.restart(limits.idle_timeout_s)
        waiting_since = loop.time()
        chunk = await response.content.readany()
        if not chunk:
            return bytes(body)
        body += chunk
        if len(body) > limits.max_bytes:
            raise aiohttp.ClientPayloadError(f"the response exceeds {limits.max_bytes} bytes")
        # A pause of this process does not count in full.
        transfer_s += min(limits.idle_timeout_s, loop.time() - waiting_since)
        if transfer_s > limits.max_transfer_s:
            raise TimeoutError(f"the response takes longer than {limits.max_transfer_s} s")
