"""Tests of the HTTP client: the log's contract against the stand-in, and malformed responses."""

import typing as t
import unittest

import aiohttp
from aiohttp import web

from bulrushflow.recording import HttpLog
from bulrushflow.recording import LogErrorKind
from bulrushflow.standins.log import StandinLog
from tests.recording.contract import STREAM
from tests.recording.contract import LogContract


class StandinFixture:
    """A stand-in log in this process, on a port that the system picks."""

    def __init__(self, appends_per_s: float, timeout_s: float) -> None:
        self.standin = StandinLog(appends_per_s, 10_000)
        self._timeout_s = timeout_s

    async def start(self) -> None:
        """Start the stand-in and its client."""
        self._runner = web.AppRunner(self.standin.application(), shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        self.url = f"http://127.0.0.1:{self._runner.addresses[0][1]}"
        self.log = HttpLog(self.url, self._timeout_s)

    async def set_faults(self, down: bool = False, delay_ms: int = 0, lose: int = 0) -> None:
        """See :meth:`LogFixture.set_faults`."""
        await self._post("/faults", {"down": down, "delay_ms": delay_ms, "lose_answers": lose})

    async def trim(self, keep: int) -> None:
        """See :meth:`LogFixture.trim`."""
        await self._post(f"/trim/{STREAM}?keep={keep}")

    async def trim_older(self, age_ms: int) -> None:
        """See :meth:`LogFixture.trim_older`."""
        await self._post(f"/trim/{STREAM}?older_ms={age_ms}")

    async def stop(self) -> None:
        """Close the client and stop the stand-in."""
        await self.log.close()
        await self._runner.cleanup()

    async def _post(self, path: str, body: t.Any = None) -> None:
        async with aiohttp.request("POST", self.url + path, json=body) as response:
            response.raise_for_status()


class HttpLogTests(LogContract, unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        fixture = StandinFixture(self.appends_per_s, 1.0)
        await fixture.start()
        self.addAsyncCleanup(fixture.stop)
        self.fixture = fixture

    async def test_malformed_responses_are_errors(self) -> None:
        bodies_by_stream = {
            "no JSON": "<html>",
            "no object": "[]",
            "no records": "{}",
            "no base64": '{"records":[{"offset":0,"appended_at_ms":1,"body":"!"}],"next_offset":1}',
        }
        app = web.Application()
        app.router.add_route(
            "*", "/streams/{name}", lambda r: _text(bodies_by_stream[r.match_info["name"]])
        )
        runner = web.AppRunner(app)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        log = HttpLog(f"http://127.0.0.1:{runner.addresses[0][1]}", 5.0)
        self.addAsyncCleanup(log.close)
        for name in bodies_by_stream:
            with self.subTest(name):
                for error in (await log.read(name, 0), await log.append(name, b"")):
                    self.assertEqual(error.unwrap_err().kind, LogErrorKind.UNAVAILABLE)


async def _text(text: str) -> web.Response:
    return web.Response(text=text)
