"""A test case with a real node and a stand-in log in the test's event loop."""

import typing as t
import unittest

import aiohttp
import msgspec
from aiohttp import web
from loguru import logger

from bulrushflow.application import Node
from bulrushflow.operators.client import OperatorClient
from bulrushflow.settings import parse_settings
from bulrushflow.standins.log import StandinLog

APPENDS_PER_S = 1000.0
RETAINED_RECORDS = 10_000
GUARD_S = 30.0


class NodeTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts a log and one node for each test, on ports that the system picks."""

    log_down_at_start = False

    async def asyncSetUp(self) -> None:
        logger.disable("bulrushflow")
        self.addCleanup(logger.enable, "bulrushflow")
        self.log = StandinLog(APPENDS_PER_S, RETAINED_RECORDS)
        self.log.faults.down = self.log_down_at_start
        runner = web.AppRunner(self.log.application(), access_log=None, shutdown_timeout=0)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self.log_url = f"http://127.0.0.1:{runner.addresses[0][1]}"
        settings = {
            "node_id": "celje-a-1",
            "data_centre": "celje-a",
            "address": "127.0.0.1",
            "caller_port": 0,
            "peer_port": 0,
            "target_port": 0,
            "operator_port": 0,
            "platform": {"url": self.log_url, "request_timeout_s": 1, "long_poll_s": 1},
            "log": {"level": "ERROR"},
        }
        self.node = Node(parse_settings(msgspec.json.encode(settings).decode()).unwrap())
        await self.node.start()
        self.addAsyncCleanup(self.node.stop)
        self.operator_url = f"http://127.0.0.1:{self.node.operator_port}"
        self.client = OperatorClient(self.log_url, self.operator_url, GUARD_S)
        self.addAsyncCleanup(self.client.__aexit__)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def get(self, path: str) -> tuple[int, str]:
        """Return the status and the body of the node's response."""
        async with self.session.get(self.operator_url + path) as response:
            return response.status, await response.text()

    async def get_json(self, path: str) -> t.Any:
        """Return the decoded JSON body of the node's response."""
        _, body = await self.get(path)
        return msgspec.json.decode(body)
