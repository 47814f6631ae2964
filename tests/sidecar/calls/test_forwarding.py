import asyncio
import random
import typing as t
import unittest
from unittest import mock

from msgspec.structs import replace
from result import Err

from bulrushflow.metrics import Metrics
from bulrushflow.placement import LinkPacer
from bulrushflow.placement import WorkReport
from bulrushflow.routing import Call
from bulrushflow.routing import CallResult
from bulrushflow.routing import Outcome
from bulrushflow.sidecar.calls import forwarding
from bulrushflow.sidecar.calls.admission_controller import AdmissionController
from bulrushflow.sidecar.calls.body_reservations import MIN_RESERVATION_S
from bulrushflow.sidecar.calls.forwarding import LARGE_BODY_BYTES
from bulrushflow.sidecar.calls.forwarding import PeerForwarder
from bulrushflow.sidecar.calls.retry_budget import TargetRetryBudget
from bulrushflow.sidecar.calls.transfers import ResponseTransfers
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.model import TargetState
from bulrushflow.sidecar.records.directory import Directory
from bulrushflow.sidecar.records.directory import Peer
from bulrushflow.sidecar.records.replica import Replica
from bulrushflow.sidecar.settings import Endpoint
from bulrushflow.timers import Timers
from bulrushflow.wire import Links
from bulrushflow.wire.link import LinkError
from bulrushflow.wire.transfers import ChunkedResponse
from tests.clocks import stopped_loop_clock
from tests.sidecar.samples import NAMES
from tests.sidecar.samples import FixedClock
from tests.sidecar.samples import call
from tests.sidecar.samples import peer
from tests.sidecar.samples import quarantine
from tests.sidecar.samples import target
from tests.sidecar.servers import FakeTarget
from tests.waiting import until

LINK_MBPS = 50.0
RESPONSE_BYTES = 90_000
ROUNDING_S = 1e-9
"""Tolerance for sums of binary fractions of seconds."""


class Node:
    """One node's connections and admission controller on loopback."""

    def __init__(self) -> None:
        decisions = DecisionLog()
        self.directory = Directory()
        self.timers = Timers(random.Random(1))
        self.pacer = LinkPacer(LINK_MBPS)
        self.links = Links("127.0.0.1", 0, self.timers, self.pacer)
        self.metrics = Metrics(4)
        self.transfers = ResponseTransfers(self.pacer, self.metrics, decisions)
        self.admission = AdmissionController(
            NAMES,
            lambda service, version: False,
            lambda call: None,
            lambda call, failed, seconds: None,
            lambda entry: None,
            TargetRetryBudget(0.2, 60.0, 10.0),
            quarantine(),
            decisions,
            FixedClock(1_000),
        )
        orders = Replica("orders", mock.Mock(), decisions)
        self.forwarder = PeerForwarder(
            self.links,
            self.admission,
            orders,
            self.directory.is_current,
            self.transfers,
            decisions,
        )

    async def start(self) -> None:
        await self.timers.start()
        await self.links.start()

    async def stop(self) -> None:
        self.forwarder.close()
        self.admission.close()
        await self.timers.stop()
        await self.links.stop()


class PeerForwarderTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.target = FakeTarget()
        endpoint = await self.target.start()
        self.addAsyncCleanup(self.target.stop)
        self.local, self.remote = Node(), Node()
        for node in (self.local, self.remote):
            await node.start()
            self.addAsyncCleanup(node.stop)
        self.remote.admission.apply_announcement(target(), endpoint)
        self.peer = self.known_peer(self.remote.links.port)

    def known_peer(self, port: int) -> Peer:
        entry = replace(peer(1).entry, address="127.0.0.1", peer_port=port, answers_admission=True)
        self.local.directory.update("node/1", entry)
        return self.local.directory.peers_by_key["node/1"]

    async def test_a_forwarded_call_returns_the_response_and_the_nodes_load(self) -> None:
        result, report = await self.local.forwarder.send(self.peer, call())
        self.assertEqual(result.unwrap().body, b"body")
        self.assertEqual((report.reached, report.load), (True, 0.0))

    # LOST: a call that was dispatched before the stop and sent after it kept its old deadline, so
    # that the sender of its response didn't know when this node stops.
    async def test_a_call_that_is_sent_during_a_stop_ends_with_it(self) -> None:
        sent = call(timeout_s=30.0)
        now = asyncio.get_running_loop().time()
        self.local.forwarder.begin_stop(now + 2.0)
        received: list[Call] = []
        run = self.remote.admission.run

        async def record_and_run(call: Call) -> CallResult:
            received.append(call)
            return await run(call)

        with mock.patch.object(self.remote.admission, "run", record_and_run):
            await self.local.forwarder.send(self.peer, sent)
        self.assertLessEqual(received[0].deadline, now + 2.5)

    # LOST: a call was accepted though its response could not arrive before the deadline, since only
    # the latency objective, which was later, was looked at.
    async def test_the_link_refuses_a_response_that_misses_the_deadline_before_its_objective(
        self,
    ) -> None:
        now = asyncio.get_running_loop().time()
        sent = call(timeout_s=30.0)
        self.remote.transfers._sizes.record(sent.route, RESPONSE_BYTES)
        self.remote.pacer.add_waiting(5_312_500)  # one second of the link
        late = replace(sent, deadline=now + 0.5, late_after=now + 3.0)
        self.assertIsNotNone(self.remote.transfers.refusal(late))

    # Cut by the deadline while it waited for a connection, a call that was never sent got 504.
    async def test_waiting_for_a_connection_ends_before_the_calls_deadline(self) -> None:
        error = Err(LinkError(False, "no connection in time"))
        connect = mock.AsyncMock(return_value=error)
        with mock.patch.object(self.local.links, "connect", connect), stopped_loop_clock():
            result, report = await self.local.forwarder.send(self.peer, call(timeout_s=0.2))
        self.assertLess(connect.call_args.args[1], 0.2)
        self.assertIs(result.unwrap_err().outcome, Outcome.NOT_RUN)
        self.assertFalse(report.reached)

    async def test_an_answer_carries_the_work_at_the_target_where_it_is_reported(self) -> None:
        _, report = await self.local.forwarder.send(self.peer, call())
        self.assertIsNone(report.work)
        self.remote.admission._reports_work = True
        _, report = await self.local.forwarder.send(self.peer, call())
        self.assertIsNotNone(report.work)
        work = t.cast(WorkReport, report.work)
        self.assertEqual((work.work_s, work.free_slots, work.wait_s), (0.0, 2, 0.0))
        self.assertGreaterEqual(work.service_s, 0.0)

    async def test_the_wait_for_a_connection_is_not_added_to_the_calls_times(self) -> None:
        received: list[Call] = []
        run = self.remote.admission.run

        async def record_and_run(call: Call) -> CallResult:
            received.append(call)
            return await run(call)

        loop = asyncio.get_running_loop()
        create_connection = loop.create_connection
        with stopped_loop_clock() as clock:

            async def connect_slowly(*args: t.Any, **options: t.Any) -> t.Any:
                clock.advance(0.2)
                return await create_connection(*args, **options)

            sent = call()
            with (
                mock.patch.object(self.remote.admission, "run", record_and_run),
                mock.patch.object(loop, "create_connection", connect_slowly),
            ):
                result, _ = await self.local.forwarder.send(self.peer, sent)
        self.assertTrue(result.is_ok(), result)
        # Whole milliseconds are sent, rounded down.
        for arrived, at_sender in (
            (received[0].deadline, sent.deadline),
            (received[0].late_after, sent.late_after),
        ):
            self.assertLessEqual(arrived, at_sender + ROUNDING_S)
            self.assertGreater(arrived, at_sender - 0.001 - ROUNDING_S)

    async def test_less_than_a_millisecond_is_not_rounded_up(self) -> None:
        with stopped_loop_clock():
            sent = call(timeout_s=0.0009)
            result, report = await self.local.forwarder.send(self.peer, sent)
        self.assertIs(result.unwrap_err().outcome, Outcome.REFUSED)
        self.assertTrue(report.reached)

    async def test_a_node_without_a_target_reports_no_load(self) -> None:
        self.remote.admission.remove_target("t-1")
        result, report = await self.local.forwarder.send(self.peer, call())
        self.assertIs(result.unwrap_err().outcome, Outcome.NOT_RUN)
        self.assertIsNone(report.load)

    async def test_a_refusal_by_the_target_is_reported_as_having_reached_it(self) -> None:
        self.target.status, self.target.not_run = 503, True
        result, _ = await self.local.forwarder.send(self.peer, call())
        self.assertTrue(result.unwrap_err().reached_target)

    async def test_an_unreachable_node_is_reconnected_without_a_call(self) -> None:
        port = self.remote.links.port
        await self.remote.links.stop()
        result, report = await self.local.forwarder.send(self.peer, call())
        self.assertIs(result.unwrap_err().outcome, Outcome.NOT_RUN)
        self.assertFalse(report.reached)
        self.local.forwarder.mark_unreachable(self.peer)
        self.assertTrue(self.peer.unreachable)
        restarted = Node()
        restarted.links = Links("127.0.0.1", port, restarted.timers)
        await restarted.start()
        self.addAsyncCleanup(restarted.stop)
        await until(lambda: not self.peer.unreachable)

    async def test_a_large_body_is_not_sent_to_a_node_that_would_refuse_its_call(self) -> None:
        self.remote.admission.apply_announcement(
            target(sequence=2, state=TargetState.DRAINING), Endpoint("127.0.0.1", 1)
        )
        large = replace(call(), body=b"x" * LARGE_BODY_BYTES)
        for answers_admission, expected_bytes in ((True, 0), (False, LARGE_BODY_BYTES)):
            with self.subTest(answers_admission=answers_admission):
                received_bytes = self.record_bodies()
                self.peer.entry = replace(self.peer.entry, answers_admission=answers_admission)
                result, report = await self.local.forwarder.send(self.peer, large)
                failure = result.unwrap_err()
                self.assertIs(failure.outcome, Outcome.NOT_RUN)
                self.assertEqual(failure.reason, "the target takes no new calls")
                self.assertEqual((report.reached, report.load), (True, None))
                self.assertEqual(sum(received_bytes), expected_bytes)

    async def test_a_large_body_is_sent_to_a_node_that_would_admit_its_call(self) -> None:
        large = replace(call(), body=b"x" * LARGE_BODY_BYTES)
        result, _ = await self.local.forwarder.send(self.peer, large)
        self.assertEqual(result.unwrap().body, b"body")
        self.assertEqual(len(self.target.received), 1)

    async def test_a_node_without_space_for_a_large_body_says_so_before_it_is_sent(self) -> None:
        received_bytes = self.record_bodies()
        self.remote.forwarder.body_budget.max_bytes = LARGE_BODY_BYTES - 1
        large = replace(call(), body=b"x" * LARGE_BODY_BYTES)
        result, _ = await self.local.forwarder.send(self.peer, large)
        self.assertIn("no buffer space", result.unwrap_err().reason)
        self.assertEqual(received_bytes, [])
        self.assertEqual(self.remote.forwarder.body_budget.used_bytes, 0)

    # Several nodes that asked at the same time found the same space free.
    async def test_the_space_for_an_admitted_body_is_reserved_until_it_arrives(self) -> None:
        self.remote.forwarder.body_budget.max_bytes = LARGE_BODY_BYTES
        first = replace(call("r-1"), body=b"x" * LARGE_BODY_BYTES)
        second = replace(call("r-2"), body=b"x" * LARGE_BODY_BYTES)
        link = (await self.local.links.connect(self.peer.entry.endpoint, 5.0)).unwrap()
        self.assertIsNone(await self.local.forwarder._request_admission(link, first))
        result, _ = await self.local.forwarder.send(self.peer, second)
        self.assertIn("no buffer space", result.unwrap_err().reason)
        result, _ = await self.local.forwarder.send(self.peer, first)
        self.assertEqual(result.unwrap().body, b"body")
        self.assertEqual(self.remote.forwarder.body_budget.used_bytes, 0)

    # Expired only by the next announcement of a body, it kept the space from bodies that need none.
    async def test_the_space_of_a_body_that_never_arrives_is_free_for_unannounced_ones(
        self,
    ) -> None:
        self.remote.forwarder.body_budget.max_bytes = LARGE_BODY_BYTES
        announced = replace(call("r-1"), body=b"x" * LARGE_BODY_BYTES)
        link = (await self.local.links.connect(self.peer.entry.endpoint, 5.0)).unwrap()
        self.assertIsNone(await self.local.forwarder._request_admission(link, announced))
        small = replace(call("r-2"), body=b"x")
        result, _ = await self.local.forwarder.send(self.peer, small)
        self.assertIn("no buffer space", result.unwrap_err().reason)
        with stopped_loop_clock() as clock:
            clock.advance(MIN_RESERVATION_S)
            later = replace(call("r-3"), body=b"x")
            result, _ = await self.local.forwarder.send(self.peer, later)
        self.assertEqual(result.unwrap().body, b"body")

    async def test_a_node_that_answers_no_admission_request_has_not_run_the_call(self) -> None:
        self.remote.links._handlers.pop("admission_request")
        large = replace(call(), body=b"x" * LARGE_BODY_BYTES)
        with mock.patch.object(forwarding, "ADMISSION_TIMEOUT_S", 0.05):
            result, report = await self.local.forwarder.send(self.peer, large)
        self.assertIs(result.unwrap_err().outcome, Outcome.NOT_RUN)
        self.assertFalse(report.reached)
        self.assertEqual(self.target.received, [])

    def learn_large_responses(self) -> None:
        """Let the remote node learn that the responses of the route are large."""
        self.remote.transfers._sizes.record("r", RESPONSE_BYTES)

    async def test_a_call_whose_response_the_link_cannot_deliver_in_time_is_not_run(self) -> None:
        """Accepted, it would run for nothing and delay the responses that are under way."""
        self.learn_large_responses()
        pacer = self.remote.pacer
        pacer.add_waiting(int(LINK_MBPS * 1e6 / 8 * 4))
        for body in (b"", b"x" * LARGE_BODY_BYTES):
            with self.subTest(size=len(body)):
                sent = replace(call(timeout_s=1.0), body=body)
                result, report = await self.local.forwarder.send(self.peer, sent)
                failure = result.unwrap_err()
                self.assertIs(failure.outcome, Outcome.NOT_RUN)
                self.assertIn("the link would deliver a response of 90000 bytes", failure.reason)
                self.assertEqual((report.reached, report.load, report.link_full), (True, 0.0, True))
                self.assertGreater(report.link_backlog_s, 4.0)
                self.assertEqual(self.target.received, [])
        self.assertEqual(self.remote.forwarder.body_budget.used_bytes, 0)
        self.assertEqual(self.remote.metrics.link_refusals.get({"service": "statements"}), 2)
        result, report = await self.local.forwarder.send(self.peer, call(timeout_s=9.0))
        self.assertTrue(result.is_ok(), result)
        self.assertEqual((report.link_reported, report.link_full), (True, False))

    # A stop of the origin node ends a call before its objective, which alone was considered.
    async def test_a_call_whose_deadline_comes_before_its_objective_is_judged_by_the_deadline(
        self,
    ) -> None:
        self.learn_large_responses()
        self.remote.pacer.add_waiting(int(LINK_MBPS * 1e6 / 8 * 4))
        loop = asyncio.get_running_loop()
        sent = replace(call(timeout_s=2.5), late_after=loop.time() + 9.0)
        result, report = await self.local.forwarder.send(self.peer, sent)
        self.assertIs(result.unwrap_err().outcome, Outcome.NOT_RUN)
        self.assertTrue(report.link_full)
        self.assertEqual(self.target.received, [])

    async def test_small_responses_pass_a_link_with_a_backlog(self) -> None:
        self.remote.pacer.add_waiting(1 << 30)
        result, _ = await self.local.forwarder.send(self.peer, call())
        self.assertTrue(result.is_ok(), result)

    async def test_an_idle_link_takes_a_call_whatever_was_learned(self) -> None:
        """A mean that is too large would never be corrected if it refused every call."""
        self.remote.transfers._sizes.record("r", 1 << 30)
        # Small frames keep a link in use; they don't count.
        self.remote.pacer.record_written(500, asyncio.get_running_loop().time())
        result, _ = await self.local.forwarder.send(self.peer, call())
        self.assertTrue(result.is_ok(), result)

    async def test_accepted_calls_count_as_backlog_until_they_end(self) -> None:
        """Calls that arrive together would all be accepted on an idle link."""
        self.learn_large_responses()
        self.target.released.clear()
        running = asyncio.create_task(self.local.forwarder.send(self.peer, call("r-1")))
        await until(lambda: self.target.received == ["r-1"])
        self.assertGreater(self.remote.transfers.backlog_s or 0.0, RESPONSE_BYTES * 8 / 50e6)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        await until(lambda: self.remote.admission.in_flight == 0)
        await until(lambda: (self.remote.transfers.backlog_s or 0.0) < RESPONSE_BYTES * 8 / 50e6)

    def record_bodies(self) -> list[int]:
        """Return a list that gets the size of each body that arrives with a call."""
        received_bytes: list[int] = []
        serve = self.remote.forwarder._serve

        async def record_and_serve(message: t.Any) -> dict[str, t.Any] | ChunkedResponse:
            received_bytes.append(len(message.body))
            return await serve(message)

        self.remote.links._handlers["call_request"] = record_and_serve
        return received_bytes

    async def test_a_removed_node_is_not_reconnected(self) -> None:
        removed = self.known_peer(1)
        self.local.forwarder.mark_unreachable(removed)
        self.local.directory.remove("node/1")
        await until(lambda: not self.local.forwarder.recheck_count)
        self.assertTrue(removed.unreachable)
