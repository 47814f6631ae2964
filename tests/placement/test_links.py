"""Tests of what a link can carry."""

import unittest

from bulrushflow.placement.links import BURST_S
from bulrushflow.placement.links import LARGE_RESPONSE_BYTES
from bulrushflow.placement.links import MAX_CHUNK_BYTES
from bulrushflow.placement.links import MAX_ROUTES
from bulrushflow.placement.links import MAX_WINDOW_BYTES
from bulrushflow.placement.links import MIN_CHUNK_BYTES
from bulrushflow.placement.links import MIN_WINDOW_BYTES
from bulrushflow.placement.links import PACED_FRACTION
from bulrushflow.placement.links import LinkPacer
from bulrushflow.placement.links import ResponseSizes

PACED_BYTES_PER_S = 5e6 / 8 * PACED_FRACTION


class LinkPacerTests(unittest.TestCase):
    def setUp(self) -> None:
        self.pacer = LinkPacer(5.0)

    def test_chunks_grow_with_the_bandwidth_within_bounds(self) -> None:
        for mbps, expected in ((0.1, MIN_CHUNK_BYTES), (10.0, 12_500), (100.0, MAX_CHUNK_BYTES)):
            with self.subTest(mbps):
                self.assertEqual(LinkPacer(mbps).chunk_bytes, expected)

    def test_windows_grow_with_the_bandwidth_within_bounds(self) -> None:
        for mbps, expected in ((5.0, MIN_WINDOW_BYTES), (10.0, 62_500), (100.0, MAX_WINDOW_BYTES)):
            with self.subTest(mbps):
                self.assertEqual(LinkPacer(mbps).window_bytes, expected)

    def test_a_chunk_waits_until_the_link_has_nearly_sent_what_was_written(self) -> None:
        self.assertLessEqual(self.pacer.next_chunk_at(7.0), 7.0)
        self.pacer.record_written(int(PACED_BYTES_PER_S), 7.0)
        self.assertAlmostEqual(self.pacer.next_chunk_at(7.0), 8.0 - BURST_S, places=4)

    def test_an_idle_link_saves_no_credit(self) -> None:
        """Saved credit would let a burst of chunks fill the link's queue after a pause."""
        self.pacer.record_written(100, 0.0)
        self.pacer.record_written(int(PACED_BYTES_PER_S), 50.0)
        self.assertAlmostEqual(self.pacer.next_chunk_at(50.0), 51.0 - BURST_S, places=4)

    def test_written_waiting_and_expected_bytes_are_the_backlog(self) -> None:
        second = int(PACED_BYTES_PER_S)
        self.pacer.record_written(second, 1.0)
        self.pacer.add_waiting(second)
        self.pacer.expect("a", second)
        self.assertAlmostEqual(self.pacer.backlog_s(1.5), 2.5, places=4)
        self.pacer.settle("a")
        self.pacer.settle("never expected")
        self.pacer.add_waiting(-second)
        self.assertAlmostEqual(self.pacer.backlog_s(1.5), 0.5, places=4)
        self.assertEqual(self.pacer.backlog_s(60.0), 0.0)

    def test_accepted_responses_leave_less_for_the_next(self) -> None:
        """Without the expected ones, calls that arrive together would all be accepted."""
        accepted = 0
        for i in range(20):
            if self.pacer.can_deliver(90_000, 1.0, 0.0):
                self.pacer.expect(i, 90_000)
                accepted += 1
        self.assertEqual(accepted, int(PACED_BYTES_PER_S / 90_000))


class ResponseSizesTests(unittest.TestCase):
    def test_only_a_route_of_large_responses_has_a_size(self) -> None:
        sizes = ResponseSizes()
        for _ in range(10):
            sizes.record("large", 90_000)
            sizes.record("small", LARGE_RESPONSE_BYTES)
        self.assertAlmostEqual(sizes.large_bytes("large"), 90_000)
        self.assertEqual(sizes.large_bytes("small"), 0.0)
        self.assertEqual(sizes.large_bytes("unknown"), 0.0)

    def test_the_number_of_routes_is_bounded(self) -> None:
        """Names of routes come from other nodes, and would take memory without end."""
        sizes = ResponseSizes()
        for i in range(MAX_ROUTES + 1):
            sizes.record(f"r-{i}", 90_000)
        self.assertEqual(sizes.large_bytes(f"r-{MAX_ROUTES}"), 0.0)
        self.assertAlmostEqual(sizes.large_bytes("r-0"), 90_000)
