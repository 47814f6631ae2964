import asyncio
import random
import unittest
from unittest import mock

from bulrushflow.sidecar.records.lag_monitor import STALE_AFTER_S
from bulrushflow.sidecar.records.lag_monitor import LagMonitor
from bulrushflow.sidecar.records.lag_monitor import Position
from bulrushflow.sidecar.records.replica import Replica
from bulrushflow.sidecar.records.storage import StorePage
from tests.clocks import stopped_loop_clock
from tests.sidecar.samples import RecordingDecisions


class LagMonitorTests(unittest.TestCase):
    def test_a_position_that_is_reached_in_time_leaves_no_staleness(self) -> None:
        lag = LagMonitor()
        self.assertTrue(lag.await_position(Position(1, 5), 0.0))
        self.assertFalse(lag.await_position(Position(1, 9), 0.1))
        self.assertFalse(lag.reach(Position(1, 4)))
        self.assertTrue(lag.reach(Position(1, 5)))
        self.assertFalse(lag.is_stale(10.0))
        self.assertEqual(lag.catch_up(0.4), 0.4)

    def test_a_replica_is_stale_at_the_end_of_its_time_whenever_it_began(self) -> None:
        # The difference of two clock readings may be below the time that lies between them.
        rng = random.Random(3)
        for now in [rng.uniform(0, 1e6) for _ in range(200)]:
            lag = LagMonitor()
            lag.await_position(Position(1, 5), now)
            self.assertTrue(lag.is_stale(now + STALE_AFTER_S), now)

    def test_a_position_that_is_not_reached_in_time_makes_stale_until_it_is(self) -> None:
        lag = LagMonitor()
        lag.await_position(Position(1, 5), 0.0)
        self.assertFalse(lag.is_stale(STALE_AFTER_S - 0.01))
        self.assertTrue(lag.is_stale(STALE_AFTER_S))
        lag.reach(Position(2, 0))
        self.assertFalse(lag.is_stale(STALE_AFTER_S))


class SteadyRecordsTests(unittest.IsolatedAsyncioTestCase):
    def replica(self) -> Replica:
        replica = Replica("x", mock.Mock(), RecordingDecisions())
        replica.apply_state(StorePage((), 0, 0, 1))
        return replica

    async def test_a_replica_that_keeps_reading_is_not_stale_though_records_keep_arriving(
        self,
    ) -> None:
        # Other nodes named a later offset all the time, so readers counted as stale after 0.5 s.
        replica = self.replica()
        with stopped_loop_clock() as clock:
            for i in range(1, 40):
                replica.note_peer_offset(10 * i, 1)
                clock.advance(0.25)
                await asyncio.sleep(0)
                # It always reads what was named half a second ago.
                replica.apply_page(StorePage((), max(0, 10 * (i - 1)), 10 * i, 1))
                self.assertFalse(replica.stale, i)
                self.assertTrue(replica.records_behind)

    async def test_a_replica_that_stops_reading_is_stale_and_says_so(self) -> None:
        replica = self.replica()
        observer = mock.Mock()
        with stopped_loop_clock() as clock:
            replica.note_peer_offset(10, 1)
            replica.subscribe(observer)
            clock.advance(STALE_AFTER_S)
            for _ in range(3):
                await asyncio.sleep(0)
            self.assertTrue(replica.stale)
            observer.assert_called()
            replica.apply_page(StorePage((), 10, 10, 1))
            self.assertFalse(replica.stale)
