"""Tests of the turns and the pace of large bodies, on a virtual clock without a network."""

import functools
import heapq
import itertools
import typing as t
import unittest

from bulrushflow.placement import LinkPacer
from bulrushflow.wire.chunks import MAX_UNSENT_BYTES
from bulrushflow.wire.chunks import ChunkSender
from bulrushflow.wire.chunks import OutgoingBody
from bulrushflow.wire.chunks import UnpacedLink

LINK_MBPS = 5.0
LINK_BYTES_PER_S = LINK_MBPS * 1e6 / 8
NO_WINDOW_LIMIT = 1 << 30


class VirtualTimers:
    """An event loop's timers on a clock that only :meth:`run_until` moves."""

    def __init__(self) -> None:
        self.now = 0.0
        self._numbers = itertools.count()
        self._due: list[tuple[float, int, VirtualHandle]] = []

    def time(self) -> float:
        return self.now

    def call_at(self, when: float, callback: t.Callable[[], object], /) -> t.Any:
        handle = VirtualHandle(callback)
        heapq.heappush(self._due, (when, next(self._numbers), handle))
        return handle

    def run_until(self, end: float) -> None:
        while self._due and self._due[0][0] <= end:
            when, _, handle = heapq.heappop(self._due)
            self.now = max(self.now, when)
            if not handle.cancelled:
                handle.callback()
        self.now = max(self.now, end)


class VirtualHandle:
    def __init__(self, callback: t.Callable[[], object]) -> None:
        self.callback = callback
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class VirtualUplink:
    """A node's link: a first-in-first-out queue that all connections share."""

    def __init__(self, timers: VirtualTimers) -> None:
        self._timers = timers
        self._free_at = 0.0
        self.pacer = LinkPacer(LINK_MBPS)
        self.sender = ChunkSender(self.pacer, timers)

    def transmit(self, size: int) -> float:
        """Add bytes to the queue; return when the last of them has passed the link."""
        self.sender.record_written(size)
        self._free_at = max(self._free_at, self._timers.now) + size / LINK_BYTES_PER_S
        return self._free_at


class VirtualConnection:
    """Records the exchange of each chunk that is written."""

    def __init__(self, uplink: VirtualUplink | None = None) -> None:
        self._uplink = uplink
        self.unsent_bytes = 0
        self.exchanges: list[int] = []
        self.received_by_exchange: dict[int, bytes] = {}

    def send(self, exchange: int = 0, **body: t.Any) -> bool:
        data = body["body_chunk"].data
        self.exchanges.append(exchange)
        self.received_by_exchange[exchange] = self.received_by_exchange.get(exchange, b"") + data
        if self._uplink is not None:
            self._uplink.transmit(len(data) + 40)
        return True


class ChunkSenderTests(unittest.TestCase):
    def setUp(self) -> None:
        self.timers = VirtualTimers()
        self.sent: list[int] = []

    def body(
        self, link: VirtualConnection, exchange: int, data: bytes, window: int = NO_WINDOW_LIMIT
    ) -> OutgoingBody:
        return OutgoingBody(link, exchange, data, window, lambda: self.sent.append(exchange))

    # With equal shares all downloads of a busy link were late together.
    def test_bodies_that_are_due_first_are_complete_in_time(self) -> None:
        """Eight downloads of 90 KB arrive 0.1 s apart, each due 1.2 s later, at 5 Mbit/s."""
        uplink = VirtualUplink(self.timers)
        connection = VirtualConnection(uplink)
        done_at: dict[int, float] = {}

        def start(exchange: int) -> None:
            def end() -> None:
                done_at[exchange] = self.timers.now

            due_at = self.timers.now + 1.2
            body = OutgoingBody(connection, exchange, b"x" * 90_000, NO_WINDOW_LIMIT, end, due_at)
            uplink.sender.start(body)

        for exchange in range(8):
            self.timers.call_at(0.1 * exchange, functools.partial(start, exchange))
        self.timers.run_until(10.0)
        in_time = [exchange for exchange in range(8) if done_at[exchange] <= 0.1 * exchange + 1.2]
        self.assertGreaterEqual(len(in_time), 7)
        self.assertEqual(sorted(done_at, key=done_at.__getitem__)[:3], [0, 1, 2])

    def test_a_late_body_goes_after_those_in_time(self) -> None:
        uplink = VirtualUplink(self.timers)
        connection = VirtualConnection(uplink)
        self.timers.now = 5.0
        for exchange, due_at in ((1, 4.0), (2, 9.0)):
            body = self.body(connection, exchange, b"x" * 40_000)
            body.due_at = due_at
            uplink.sender.start(body)
        self.timers.run_until(20.0)
        first_of_2 = connection.exchanges.index(2)
        self.assertLessEqual(connection.exchanges[:first_of_2].count(1), 1)
        self.assertEqual(connection.exchanges[first_of_2 : first_of_2 + 4], [2, 2, 2, 2])

    # LOST: a body that was late got no turn while others arrived, and was cut at its deadline.
    def test_a_late_body_is_complete_by_its_deadline_on_a_busy_link(self) -> None:
        """Bodies of 90 KB, each in time on its arrival, ask for 1.2 times what the link carries."""
        uplink = VirtualUplink(self.timers)
        connection = VirtualConnection(uplink)
        done_at: dict[int, float] = {}

        def start(exchange: int, due_s: float, deadline_s: float) -> None:
            def end() -> None:
                done_at[exchange] = self.timers.now

            now = self.timers.now
            data = b"x" * 90_000
            uplink.sender.start(
                OutgoingBody(
                    connection, exchange, data, NO_WINDOW_LIMIT, end, now + due_s, now + deadline_s
                )
            )

        for exchange in range(1, 60):
            begin = functools.partial(start, exchange, 1.5, 9.0)
            self.timers.call_at(0.14 * exchange, begin)
        self.timers.call_at(1.0, functools.partial(start, 0, -0.1, 3.0))
        self.timers.run_until(8.0)
        self.assertLessEqual(done_at[0], 4.0)

    def test_one_body_that_is_too_large_does_not_take_others_with_it(self) -> None:
        """Sent by their deadlines alone, the large one would make all behind it miss theirs."""
        uplink = VirtualUplink(self.timers)
        connection = VirtualConnection(uplink)
        bodies = [self.body(connection, 0, bytes(700_000))]
        bodies += [self.body(connection, exchange, bytes(90_000)) for exchange in range(1, 5)]
        for body in bodies:
            body.deadline = 1.0 + 0.01 * body.exchange
            uplink.sender.start(body)
        self.timers.run_until(1.0)
        self.assertEqual(sorted(self.sent), [1, 2, 3, 4])

    # LOST: bytes that a slow caller keeps from being sent pushed another body out of the plan.
    def test_a_body_that_its_window_blocks_does_not_take_the_turns_of_another(self) -> None:
        """The large body fits before its deadline, since the blocked one sends nothing."""
        uplink = VirtualUplink(self.timers)
        connection = VirtualConnection(uplink)
        blocked = self.body(connection, 1, bytes(350_000), 8_000)
        blocked.deadline = 2.0
        large = self.body(connection, 2, bytes(900_000))
        large.deadline, large.due_at = 2.2, -0.1
        uplink.sender.start(blocked)
        uplink.sender.start(large)

        def start(exchange: int) -> None:
            body = self.body(connection, exchange, bytes(50_000))
            body.due_at, body.deadline = self.timers.now + 1.5, self.timers.now + 9.0
            uplink.sender.start(body)

        for i in range(20):
            self.timers.call_at(0.1 * i, functools.partial(start, 10 + i))
        self.timers.run_until(2.2)
        self.assertIn(2, self.sent)

    # LOST: the plan gave a body the whole link, of which small frames take a part.
    def test_a_late_body_is_complete_by_its_deadline_beside_small_frames(self) -> None:
        """Frames take a third of the link; the large body needs 2.5 s of the 3 s that it has."""
        uplink = VirtualUplink(self.timers)
        connection = VirtualConnection(uplink)
        large = self.body(connection, 0, bytes(850_000))
        large.deadline, large.due_at = 3.0, -0.1
        uplink.sender.start(large)

        def start(exchange: int) -> None:
            body = self.body(connection, exchange, bytes(50_000))
            body.due_at, body.deadline = self.timers.now + 1.5, self.timers.now + 9.0
            uplink.sender.start(body)

        for i in range(300):
            self.timers.call_at(0.01 * i, functools.partial(uplink.transmit, 1_800))
        for i in range(30):
            self.timers.call_at(0.1 * i, functools.partial(start, 10 + i))
        self.timers.run_until(3.0)
        self.assertIn(0, self.sent)

    def test_small_responses_pass_sixteen_downloads_on_a_narrow_link(self) -> None:
        """Sent as whole frames, the downloads would delay small responses by up to 2.3 s."""
        uplink = VirtualUplink(self.timers)
        connections = [VirtualConnection(uplink) for _ in range(4)]
        small_delays: list[float] = []

        def send_small() -> None:
            small_delays.append(uplink.transmit(500) - self.timers.now)
            if self.timers.now < 6.0:
                self.timers.call_at(self.timers.now + 0.01, send_small)

        send_small()
        for i in range(16):
            uplink.sender.start(self.body(connections[i % 4], i, bytes([i]) * 90_000))
        self.timers.run_until(7.0)
        chunk_s = LinkPacer(LINK_MBPS).chunk_bytes / LINK_BYTES_PER_S
        self.assertGreater(len(small_delays), 500)
        self.assertLessEqual(max(small_delays), 3 * chunk_s)
        self.assertEqual(sorted(self.sent), list(range(16)))
        for i in range(16):
            self.assertEqual(connections[i % 4].received_by_exchange[i], bytes([i]) * 90_000)

    def test_transfers_take_turns_across_connections(self) -> None:
        """One after the other, the last of many callers would wait for all others."""
        uplink = VirtualUplink(self.timers)
        connection = VirtualConnection(uplink)
        for i in range(3):
            uplink.sender.start(self.body(connection, i, bytes(90_000)))
        self.timers.run_until(0.3)
        counts = [connection.exchanges.count(i) for i in range(3)]
        # The first one was alone for a turn.
        self.assertLessEqual(max(counts) - min(counts), 2)
        self.assertEqual(uplink.sender.count, 3)

    def test_a_connection_with_unsent_bytes_is_passed_over_until_it_drains(self) -> None:
        """Else the chunks would wait in its buffer, ahead of its small responses."""
        sender = ChunkSender(UnpacedLink(), self.timers)
        slow, fast = VirtualConnection(), VirtualConnection()
        slow.unsent_bytes = MAX_UNSENT_BYTES + 1
        sender.start(self.body(slow, 1, bytes(50_000)))
        sender.start(self.body(fast, 2, bytes(50_000)))
        self.timers.run_until(1.0)
        self.assertEqual((self.sent, slow.exchanges), ([2], []))
        slow.unsent_bytes = 0
        self.timers.run_until(2.0)
        self.assertEqual(self.sent, [2, 1])

    def test_a_body_pauses_at_the_end_of_its_window(self) -> None:
        sender = ChunkSender(UnpacedLink(), self.timers)
        connection = VirtualConnection()
        body = self.body(connection, 1, bytes(range(250)) * 200, window=20_000)
        sender.start(body)
        self.timers.run_until(1.0)
        self.assertEqual(len(connection.received_by_exchange[1]), 20_000)
        sender.grant(body, 10_000)
        self.timers.run_until(2.0)
        self.assertEqual(len(connection.received_by_exchange[1]), 30_000)
        sender.grant(body, 1 << 20)
        self.timers.run_until(3.0)
        self.assertEqual(connection.received_by_exchange[1], bytes(range(250)) * 200)
        self.assertEqual((self.sent, sender.count), ([1], 0))

    def test_a_stopped_body_is_sent_no_further_and_leaves_no_backlog(self) -> None:
        """Its bytes would count as waiting for good, and admission would refuse every download."""
        uplink = VirtualUplink(self.timers)
        pacer, sender = uplink.pacer, uplink.sender
        connection = VirtualConnection(uplink)
        for window in (NO_WINDOW_LIMIT, 10):
            with self.subTest(window=window):
                body = self.body(connection, 1, bytes(500_000), window)
                sender.start(body)
                self.timers.run_until(self.timers.now + 0.1)
                self.assertGreater(pacer.backlog_s(self.timers.now), 0.5)
                sender.stop(body)
                count = len(connection.exchanges)
                sender.grant(body, 1 << 20)
                self.timers.run_until(self.timers.now + 1.0)
                self.assertEqual(len(connection.exchanges), count)
                self.assertEqual(pacer.backlog_s(self.timers.now), 0.0)
                self.assertEqual((sender.count, body.data), (0, b""))
