"""Tests of the HTTP client: the log's contract against the stand-in, and malformed responses."""

import asyncio
import functools
import typing as t
import unittest
from unittest import mock

import aiohttp
from aiohttp import web

from bulrushflow.recording import HttpLog
from bulrushflow.recording import LogErrorKind
from bulrushflow.recording import http as http_module
from bulrushflow.standins.log import StandinLog
from tests.recording.contract import STREAM
from tests.recording.contract import LogContract
from tests.skipped_time import PieceServer
from tests.skipped_time import SkippedTime
from tests.skipped_time import settle

TIMEOUT_S = 5.0
LONG_PAGE = b'{"records":[],"next_offset":7}' + b" " * 200


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


class TransferTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.time = SkippedTime(self)
        self.stopped = asyncio.Event()

    async def test_a_response_that_keeps_arriving_is_not_given_up(self) -> None:
        log = await self._log(lambda _: self.time.skip(0.4))
        self.assertEqual((await log.read(STREAM, 0)).unwrap().next_offset, 7)
        self.assertGreater(self.time.skipped_s, TIMEOUT_S)

    async def test_a_response_that_stops_arriving_is_given_up(self) -> None:
        log = await self._log(lambda _: self._wait())
        reading = asyncio.create_task(log.read(STREAM, 0))
        while not reading.done():
            await self.time.skip(0.4)
        self.stopped.set()
        self.assertEqual((await reading).unwrap_err().kind, LogErrorKind.UNAVAILABLE)

    async def test_a_response_without_end_is_given_up(self) -> None:
        for name, bound in (("MAX_TRANSFER_S", 1.0), ("MAX_RESPONSE_BYTES", 100)):
            log = await self._log(lambda _: self.time.skip(0.4))
            with self.subTest(name), mock.patch.object(http_module, name, bound):
                error = (await log.read(STREAM, 0)).unwrap_err()
                self.assertEqual(error.kind, LogErrorKind.UNAVAILABLE)

    async def test_a_pause_of_the_process_is_not_the_silence_of_the_log(self) -> None:
        cases = {
            "longer than the timeout": (TIMEOUT_S + 1.0,),
            "then a wait": (TIMEOUT_S - 0.3, 0.4),
        }
        for name, skips_s in cases.items():
            with self.subTest(name):
                log = await self._log(functools.partial(self._skip_once, skips_s))
                page = await log.read(STREAM, 0)
                self.assertEqual(page.unwrap().next_offset, 7)

    async def test_a_pause_before_the_response_begins_is_not_the_silence_of_the_log(self) -> None:
        log = await self._log(lambda _: settle(), before=lambda: self.time.skip(TIMEOUT_S + 1.0))
        self.assertEqual((await log.read(STREAM, 0)).unwrap().next_offset, 7)

    async def _skip_once(self, skips_s: t.Iterable[float], piece: int) -> None:
        for seconds in skips_s if piece == 0 else ():
            await self.time.skip(seconds)

    async def _log(
        self,
        after_piece: t.Callable[[int], t.Awaitable[None]],
        before: t.Callable[[], t.Awaitable[None]] = settle,
    ) -> HttpLog:
        server = PieceServer(LONG_PAGE, after_piece, before)
        log = HttpLog(await server.start(self), TIMEOUT_S)
        self.addAsyncCleanup(log.close)
        return log

    async def _wait(self) -> None:
        await self.stopped.wait()


async def _text(text: str) -> web.Response:
    return web.Response(text=text)
