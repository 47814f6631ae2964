import random
import unittest

from msgspec.structs import replace

from bulrushflow.routing import Call
from bulrushflow.routing import Outcome
from bulrushflow.sidecar.calls.fingerprints import fingerprint
from bulrushflow.sidecar.calls.quarantine import MAX_CRASHES
from bulrushflow.sidecar.calls.quarantine import MAX_PUBLISHED
from bulrushflow.sidecar.calls.quarantine import REPORT_LIFETIME_MS
from bulrushflow.sidecar.calls.quarantine import Quarantine
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.model import NodeEntry
from bulrushflow.sidecar.records.codec import decode_node_entry
from bulrushflow.sidecar.records.codec import encode_node_entry
from tests.sidecar.samples import call

NODE_COUNT = 4


class SharedClock:
    """A wall clock that the test moves."""

    def __init__(self) -> None:
        self.now_ms = 1_000_000

    def monotonic(self) -> float:
        """See :meth:`Clock.monotonic`."""
        return self.now_ms / 1000

    def wall_ms(self) -> int:
        """See :meth:`Clock.wall_ms`."""
        return self.now_ms


class FingerprintTests(unittest.IsolatedAsyncioTestCase):
    async def test_repeats_have_the_fingerprint_of_the_first_request(self) -> None:
        self.assertEqual(fingerprint(call("r-1")), fingerprint(call("r-2", attempt=1)))

    async def test_other_callers_paths_hosts_methods_and_bodies_have_other_fingerprints(
        self,
    ) -> None:
        first = call()
        others = [
            replace(first, tenant="mandates"),
            replace(first, path="/a/c"),
            replace(first, headers=(("Host", "i"),)),
            replace(first, method="PUT"),
            replace(first, body=b"x"),
            replace(first, path="/a/bx", body=b""),
        ]
        fingerprints = {fingerprint(other) for other in [first, *others]}
        self.assertEqual(len(fingerprints), len(others) + 1)


class QuarantineTests(unittest.IsolatedAsyncioTestCase):
    """Several nodes that read each other's entries."""

    async def asyncSetUp(self) -> None:
        self.clock = SharedClock()
        self.nodes = [self.node(number) for number in range(NODE_COUNT)]
        self.processes = 0

    def node(self, number: int) -> Quarantine:
        return Quarantine(f"n-{number}", lambda: None, DecisionLog(), self.clock)

    def entry(self, number: int) -> NodeEntry:
        node = self.nodes[number]
        return NodeEntry(
            f"n-{number}",
            "a",
            f"10.0.0.{number}",
            7,
            None,
            crash_reports=node.own_reports,
            cleared_requests=node.own_cleared,
        )

    def share(self) -> None:
        """Let each node read the stored entries of the others; clearances may follow."""
        for _ in range(2):
            entries = [
                decode_node_entry(encode_node_entry(self.entry(number))).unwrap()
                for number in range(NODE_COUNT)
            ]
            for node in self.nodes:
                for entry in entries:
                    node.merge(entry)

    def crash(self, number: int, *running: Call) -> None:
        """Crash a new process of a node's target while it runs some calls."""
        self.processes += 1
        self.nodes[number].record_crash(("t", self.processes), running)
        self.clock.now_ms += 100

    def refusing(self, refused: Call) -> int:
        return sum(node.refusal(refused) is not None for node in self.nodes)

    async def test_a_request_that_crashed_three_targets_is_refused_by_all_nodes(self) -> None:
        for number in range(MAX_CRASHES):
            self.assertEqual(self.refusing(call()), 0)
            self.crash(number, call(f"r-{number}"))
            self.share()
        self.assertEqual(self.refusing(call("r-9")), NODE_COUNT)
        failure = self.nodes[3].refusal(call("r-9"))
        assert failure is not None
        self.assertIs(failure.outcome, Outcome.REFUSED)
        self.assertIn("crashed 3 targets", failure.reason)

    async def test_one_crash_reported_again_counts_once(self) -> None:
        for _ in range(MAX_CRASHES):
            self.nodes[0].record_crash(("t", 1), [call()])
            self.share()
        self.assertEqual(self.refusing(call()), 0)

    # Requests with the same path, caller and body may be many callers' harmless reads.
    async def test_a_popular_request_stays_allowed_though_its_targets_crash_again_and_again(
        self,
    ) -> None:
        rng = random.Random(1)
        for _ in range(50):
            self.nodes[rng.randrange(NODE_COUNT)].record_success(call())
            self.clock.now_ms += rng.randrange(20_000)
            self.crash(rng.randrange(NODE_COUNT), call(), call())
            self.share()
            self.assertEqual(self.refusing(call()), 0)

    async def test_a_popular_request_stays_allowed_when_all_targets_crash_at_once(self) -> None:
        for node in self.nodes:
            node.record_success(call())
        for number in range(NODE_COUNT):
            self.crash(number, call())
        self.share()
        self.assertEqual(self.refusing(call()), 0)

    async def test_a_success_at_any_node_between_the_crashes_clears_a_request(self) -> None:
        self.crash(0, call())
        self.share()
        self.clock.now_ms += 60_000
        self.nodes[3].record_success(call())
        self.clock.now_ms += 60_000
        for number in (1, 2):
            self.crash(number, call())
            self.share()
        self.share()
        self.assertEqual(self.refusing(call()), 0)

    async def test_a_run_that_ends_well_after_the_third_crash_clears_a_request(self) -> None:
        for number in range(MAX_CRASHES):
            self.crash(number, call())
        self.share()
        self.nodes[3].record_success(call())
        self.share()
        self.assertEqual(self.refusing(call()), 0)

    async def test_requests_that_ran_beside_a_crashing_one_stay_allowed(self) -> None:
        crashing = replace(call(), path="/a/crash")
        bystander = replace(call(), path="/a/once")
        for number in range(MAX_CRASHES - 1):
            self.crash(number, crashing)
        self.share()
        for number in range(MAX_CRASHES):
            self.crash(number, crashing, bystander)
            self.share()
        self.assertEqual((self.refusing(crashing), self.refusing(bystander)), (NODE_COUNT, 0))

    async def test_crashes_are_forgotten(self) -> None:
        for number in range(MAX_CRASHES):
            self.crash(number, call())
        self.share()
        self.assertEqual(self.refusing(call()), NODE_COUNT)
        self.clock.now_ms += REPORT_LIFETIME_MS
        self.assertEqual(self.refusing(call()), 0)
        self.assertEqual([node.own_reports for node in self.nodes], [()] * NODE_COUNT)

    async def test_a_restarted_node_learns_what_it_and_others_reported(self) -> None:
        for number in range(MAX_CRASHES):
            self.crash(number, call())
        own = self.entry(0)
        self.nodes[0] = self.node(0)
        self.nodes[0].restore(own)
        self.share()
        self.assertEqual(self.refusing(call()), NODE_COUNT)
        self.assertEqual(self.nodes[0].own_reports, own.crash_reports)

    async def test_the_published_reports_are_bounded_and_keep_the_repeated_requests(self) -> None:
        self.crash(0, call())
        self.crash(0, call())
        for i in range(3 * MAX_PUBLISHED):
            self.crash(0, replace(call(), path=f"/a/{i}"))
        reports = self.nodes[0].own_reports
        self.assertEqual(len(reports), MAX_PUBLISHED)
        key = fingerprint(call())
        self.assertEqual([report.fingerprint for report in reports].count(key), 2)
