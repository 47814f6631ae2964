"""Conflicting concurrent records: one is accepted, the other rejected, alike on every node."""

import asyncio
import time

from bulrushflow.configuration import Configure
from bulrushflow.configuration import FinishRollout
from bulrushflow.configuration import Record
from bulrushflow.configuration import ServiceBody
from bulrushflow.configuration import StartRollout
from bulrushflow.configuration import WithdrawRollout
from tests.processes.fleet import PLOTS_AND_PAYMENTS
from tests.processes.fleet import FleetTestCase

FINISH_AFTER_MS = 3_600_000


class RacingOperatorsTests(FleetTestCase):
    async def assert_one_accepted(self, reason: str, *records: Record) -> None:
        """Publish concurrently through different nodes and check that all but one are rejected."""
        fleet = self.fleet
        nodes = fleet.nodes
        verdicts = await asyncio.gather(
            *(fleet.publish(r, via=nodes[i % len(nodes)]) for i, r in enumerate(records))
        )
        await fleet.wait_converged(max(v.offset for v in verdicts))
        rejected = [v for v in verdicts if not v.accepted]
        self.assertEqual(len(rejected), len(records) - 1, verdicts)
        for verdict in rejected:
            self.assertIn(reason, verdict.reason)
        for verdict in verdicts:
            everywhere = await fleet.verdicts(verdict.publish_id)
            self.assertEqual(everywhere, [verdict] * len(nodes))

    async def test_one_of_the_conflicting_records_is_accepted_and_all_nodes_agree(self) -> None:
        fleet = self.fleet
        await fleet.start(("celje-a", "plots"), ("celje-b", "plots"), ("velenje", "payments"))
        first = await fleet.publish(PLOTS_AND_PAYMENTS)
        base = {"service/plots": first.offset}
        versions = {"ana": ServiceBody("v1"), "bor": ServiceBody("v1")}
        publishes = [
            Configure(1, f"by-{who}", who, services={"plots": body}, base=base)
            for who, body in versions.items()
        ]
        finish_by_ms = time.time_ns() // 1_000_000 + FINISH_AFTER_MS
        moves = [
            StartRollout(1, f"move-{who}", who, "plots", "v2", finish_by_ms)
            for who in ("ana", "bor")
        ]
        with self.subTest("two publishes on one base"):
            await self.assert_one_accepted("changed", *publishes)
        with self.subTest("two moves of one service"):
            await self.assert_one_accepted("has the active move", *moves)
        accepted_move = moves[0]
        if not (await fleet.verdicts(accepted_move.publish_id))[0].accepted:
            accepted_move = moves[1]
        with self.subTest("a withdrawal and the final record"):
            await self.assert_one_accepted(
                "already",
                WithdrawRollout(1, "withdrawal", "ana", accepted_move.publish_id),
                FinishRollout(
                    1, "final", accepted_move.publish_id, True, "faulty", "test", "velenje-2"
                ),
            )
