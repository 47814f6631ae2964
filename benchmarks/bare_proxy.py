"""A proxy that only forwards: the minimum cost of a hop with aiohttp as server and client.

Run by ``python -m benchmarks.bare_proxy PORT TARGET_URL`` for :mod:`benchmarks.calls`.
"""

import asyncio
import signal
import sys

import aiohttp
from aiohttp import web

FORWARDED_HEADERS = ("x-request-id", "x-tenant")


async def serve(port: int, target_url: str) -> None:
    """Forward every request to one target until SIGTERM."""
    async with aiohttp.ClientSession(auto_decompress=False) as session:

        async def handle(request: web.BaseRequest) -> web.Response:
            body = await request.read()
            headers = {name: request.headers[name] for name in FORWARDED_HEADERS}
            url = target_url + request.raw_path
            async with session.request(request.method, url, headers=headers, data=body) as response:
                return web.Response(status=response.status, body=await response.read())

        stop_requested = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop_requested.set)
        runner = web.ServerRunner(web.Server(handle, access_log=None))
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        await stop_requested.wait()
        await runner.cleanup()


if __name__ == "__main__":
    asyncio.run(serve(int(sys.argv[1]), sys.argv[2]))
