"""Tests of the failure detector's probe rounds, with a fake clock and fake probes."""

import random
import typing as t
import unittest

from msgspec.structs import replace

from bulrushflow.membership import Member
from bulrushflow.membership import MemberTable
from bulrushflow.membership import Status
from bulrushflow.nodes.detector import MAX_POST_PAUSE_GRACE_S
from bulrushflow.nodes.detector import FailureDetector
from bulrushflow.settings import GossipSettings
from bulrushflow.timers import Timers

STEPS = 100
PEER = Member("peer", "celje-a", "127.0.0.1", 2, 1)


class FakePinger:
    """Returns the configured results; each probe takes its timeout, plus ``pause_s``."""

    def __init__(self) -> None:
        self.now = 100.0
        self.timers = Timers(random.Random(1), lambda: self.now)
        self.direct = False
        self.indirect = False
        self.pause_s = 0.0
        self.timeouts: list[float] = []
        self.refreshed = 0
        self.received = False

    async def ping(self, member: Member, timeout_s: float) -> bool:
        self.timeouts.append(timeout_s)
        self.run_for(timeout_s)
        self.now += self.pause_s
        return self.direct

    async def ping_indirectly(self, member: Member, timeout_s: float) -> bool:
        return self.indirect

    def received_since(self, instant: float) -> bool:
        return self.received

    def probe_random_members(self) -> None:
        self.refreshed += 1

    def run_for(self, seconds: float) -> None:
        """Advance the clock in steps too short to count as a pause."""
        for _ in range(STEPS):
            self.now += seconds / STEPS
            self.timers.check_pause()


class FailureDetectorTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.pinger = FakePinger()
        self.timers = self.pinger.timers
        self.timers.check_pause()
        self.table = MemberTable(Member("own", "celje-a", "127.0.0.1", 1, 1))
        self.table.merge(PEER, 0.0)
        self.changed: list[Member] = []
        self.detector = FailureDetector(
            self.table,
            self.timers,
            GossipSettings(),
            random.Random(1),
            self.pinger,
            self.changed.append,
        )
        self.timers.subscribe_pause(self.detector._handle_pause)

    async def test_status_after_one_probe_round(self) -> None:
        cases: dict[str, tuple[dict[str, t.Any], Status]] = {
            "no ack": ({}, Status.SUSPECT),
            "a direct ack": ({"direct": True}, Status.ALIVE),
            "an indirect ack": ({"indirect": True}, Status.ALIVE),
            "no ack, with a pause of this process": ({"pause_s": 5.0}, Status.ALIVE),
        }
        for name, (behaviour, expected) in cases.items():
            with self.subTest(name):
                self.setUp()
                for attribute, value in behaviour.items():
                    setattr(self.pinger, attribute, value)
                await self.detector.probe_next()
                self.assertIs(self.table.by_id["peer"].status, expected)

    async def test_after_a_pause_no_status_is_raised_before_a_member_answers(self) -> None:
        self.table.raise_status("peer", Status.SUSPECT, self.pinger.now)
        self.pinger.now += 60.0
        await self.detector.expire_suspects()
        self.assertEqual(self.pinger.refreshed, 1)
        self.pinger.now += 0.4
        await self.detector.expire_suspects()
        self.assertIs(self.table.by_id["peer"].status, Status.SUSPECT)
        self.pinger.direct = True
        await self.detector.probe_next()
        await self.detector.expire_suspects()
        self.assertIs(self.table.by_id["peer"].status, Status.SUSPECT)
        self.pinger.run_for(3.0)
        await self.detector.expire_suspects()
        self.assertIs(self.table.by_id["peer"].status, Status.DEAD)

    async def test_without_answers_after_a_pause_members_are_suspected_after_the_grace_period(
        self,
    ) -> None:
        self.pinger.pause_s = 5.0
        await self.detector.probe_next()
        self.pinger.pause_s = 0.0
        self.pinger.run_for(MAX_POST_PAUSE_GRACE_S)
        await self.detector.probe_next()
        self.assertIs(self.table.by_id["peer"].status, Status.SUSPECT)

    async def test_probe_timeouts_grow_only_while_no_datagram_is_received(self) -> None:
        for received in (False, False, True, True, False, False):
            self.pinger.received = received
            await self.detector.probe_next()
        first = GossipSettings().ack_timeout_s
        self.assertEqual([round(x / first) for x in self.pinger.timeouts], [1, 2, 3, 3, 3, 4])

    async def test_dead_members_are_probed_while_they_answer(self) -> None:
        for i in range(3):
            self.table.merge(replace(PEER, node_id=f"dead{i}"), 0.0)
            self.table.raise_status(f"dead{i}", Status.DEAD, 0.0)
        await self.detector.reconnect()
        self.assertEqual(len(self.pinger.timeouts), 1)
        self.pinger.direct = True
        await self.detector.reconnect()
        self.assertGreater(len(self.pinger.timeouts), 2)
