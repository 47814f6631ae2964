"""Tests of publishing to a real node: lost responses, reused ids, unconfirmed records."""

from bulrushflow.configuration import Configure
from bulrushflow.configuration import ServiceBody
from bulrushflow.operators.client import OperatorClient
from bulrushflow.recording import CONFIGURATION_STREAM
from bulrushflow.recording import SEED_RECORD_STREAM
from tests.operators.nodes import NodeTestCase
from tests.processes.programs import until

PLOTS = Configure(1, "p1", "ana", services={"plots": ServiceBody("v1")})
OTHER = Configure(1, "p1", "bor", services={"plots": ServiceBody("v2")})
UNREACHABLE = "http://127.0.0.1:9"


class PublishTests(NodeTestCase):
    async def has_seed_record(self) -> bool:
        return bool((await self.client.log.tail(SEED_RECORD_STREAM, 1)).unwrap().records)

    async def test_a_record_counts_once_however_many_responses_are_lost(self) -> None:
        await until(self.has_seed_record, "the node's seed record, the only other append")
        self.log.faults.lose_answers = 2
        self.log.faults.lose_stream = CONFIGURATION_STREAM
        first = (await self.client.publish(PLOTS)).unwrap()
        self.assertEqual((first.accepted, first.offset), (True, 0))
        page = (await self.client.log.read(CONFIGURATION_STREAM, 0)).unwrap()
        self.assertEqual(page.next_offset, 3)
        self.assertEqual((await self.client.publish(PLOTS)).unwrap(), first)
        with self.subTest("another record under the same id"):
            reason = (await self.client.publish(OTHER)).unwrap_err()
            self.assertIn("was used for another record, at offset 0", reason)
        with self.subTest("no response from the log"):
            self.log.faults.down = True
            async with OperatorClient(self.log_url, self.operator_url, 0.1) as client:
                reason = (await client.publish(OTHER)).unwrap_err()
            self.assertIn("may take effect all the same", reason)
            self.assertRegex(reason, r"--publish-id p1 --made-at \d+ ")
        with self.subTest("no reachable node"):
            self.log.faults.down = False
            async with OperatorClient(self.log_url, UNREACHABLE, 0.1) as client:
                reason = (await client.publish(PLOTS)).unwrap_err()
            self.assertIn("no node returned its verdict", reason)
        with self.subTest("the first node that responds is used"):
            urls = f"{UNREACHABLE},{self.operator_url}"
            async with OperatorClient(self.log_url, urls, 5.0) as client:
                self.assertEqual((await client.publish(PLOTS)).unwrap(), first)
