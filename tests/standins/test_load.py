"""Tests of the load tool's comparison with the runs that targets recorded."""

import unittest

import msgspec
from aiohttp import web
from aiohttp.test_utils import TestServer

from bulrushflow.standins.load import Calls
from bulrushflow.standins.load import Digests
from bulrushflow.standins.load import Summary
from bulrushflow.standins.load import compare_runs
from bulrushflow.standins.target import Run

RUNS = [Run("a", "body", "answer"), Run("b", "body", "answer"), Run("b", "body", "answer")]


class CompareRunsTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        app = web.Application()
        app.router.add_get("/control/runs", self.runs)
        server = TestServer(app)
        await server.start_server()
        self.addAsyncCleanup(server.close)
        self.url = str(server.make_url("/"))

    async def runs(self, _: web.Request) -> web.Response:
        return web.Response(body=msgspec.json.encode(RUNS))

    async def compare(self, idempotent_paths: tuple[str, ...] = (), **fields: object) -> Summary:
        calls = Calls(Summary(1), None, None)
        for name, value in fields.items():
            setattr(calls, name, value)
        await compare_runs(calls, [self.url], idempotent_paths)
        return calls.summary

    async def test_a_response_of_no_recorded_run_is_crossed(self) -> None:
        cases = {
            "own": (Digests("body", "answer"), 0),
            "another response": (Digests("body", "other"), 1),
            "another body": (Digests("other", "answer"), 1),
        }
        for name, (digests, crossed) in cases.items():
            with self.subTest(name):
                summary = await self.compare(digests_by_id={"a": digests})
                self.assertEqual(summary.crossed, crossed)
        unrecorded = await self.compare(digests_by_id={"gone": Digests("body", "answer")})
        self.assertEqual(unrecorded.crossed, 0)

    async def test_a_second_run_is_doubled_unless_its_path_is_idempotent(self) -> None:
        posted = {"a": "/payments/7", "b": "/payments/7"}
        self.assertEqual((await self.compare(posted_path_by_id=posted)).doubled, 1)
        repeated = await self.compare(("/payments",), posted_path_by_id=posted)
        self.assertEqual((repeated.doubled, repeated.repeated), (0, 1))

    async def test_a_run_of_a_call_refused_as_not_run_is_counted(self) -> None:
        self.assertEqual((await self.compare(not_run_ids={"a", "c"})).false_not_run, 1)
