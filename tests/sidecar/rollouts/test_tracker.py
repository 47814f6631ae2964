import itertools
import random
import typing as t
import unittest

from msgspec.structs import replace

from bulrushflow.rollouts import Evidence
from bulrushflow.rollouts import ExposureLimits
from bulrushflow.sidecar.decisions import DecisionLog
from bulrushflow.sidecar.model import RolloutOrder
from bulrushflow.sidecar.model import RolloutPhase
from bulrushflow.sidecar.model import RolloutStatus
from bulrushflow.sidecar.rollouts.tracker import Rollouts
from tests.sidecar.samples import call
from tests.sidecar.samples import peer

LIMITS = ExposureLimits(0.1, 50)
ORDER = RolloutOrder("statements", "v2", 15.0, 7)
STATUS = RolloutStatus("statements", "v2", 7, 1, 100, RolloutPhase.RUNNING, 0, 15_000)


class RolloutsTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.rollouts = Rollouts("n-1", 1, DecisionLog(), random.Random(3), LIMITS)
        self.old = [peer(1), peer(2)]
        self.new = [peer(3, "v2")]
        self.peers = [*self.old, *self.new]

    def versions(self, count: int = 300) -> set[str]:
        found: set[str] = set()
        for _ in range(count):
            for chosen in self.rollouts.filter_peers("statements", self.peers):
                assert chosen.entry.target is not None
                found.add(chosen.entry.target.version)
        return found

    async def test_without_an_order_all_versions_are_used(self) -> None:
        self.assertEqual(self.versions(1), {"v1", "v2"})

    async def test_an_ordered_version_gets_no_calls_before_its_first_step(self) -> None:
        self.rollouts.apply_order(ORDER, 0.0)
        self.assertEqual(self.versions(), {"v1"})

    async def test_a_step_sends_calls_to_the_new_version(self) -> None:
        self.rollouts.apply_order(ORDER, 0.0)
        self.rollouts.apply_status(STATUS, 0.0)
        self.assertEqual(self.versions(), {"v1", "v2"})

    async def test_a_status_received_before_its_order_is_applied(self) -> None:
        self.rollouts.apply_status(replace(STATUS, phase=RolloutPhase.ROLLED_BACK), 0.0)
        self.rollouts.apply_order(ORDER, 0.0)
        self.assertTrue(self.rollouts.is_forbidden("statements", "v2"))

    async def test_late_statuses_do_not_undo_a_rollback(self) -> None:
        self.rollouts.apply_order(ORDER, 0.0)
        self.rollouts.apply_status(replace(STATUS, step=2, phase=RolloutPhase.ROLLED_BACK), 0.0)
        self.assertFalse(
            self.rollouts.apply_status(replace(STATUS, step=3, share_permille=500), 0.0)
        )
        self.assertEqual(self.versions(), {"v1"})
        self.assertTrue(self.rollouts.is_forbidden("statements", "v2"))
        self.assertFalse(self.rollouts.is_forbidden("statements", "v1"))

    # Without old targets, a version that isn't proven healthy got all calls.
    async def test_an_unproven_version_gets_no_calls_in_place_of_old_targets(self) -> None:
        self.rollouts.apply_order(ORDER, 0.0)
        self.rollouts.apply_status(STATUS, 0.0)
        shares = [bool(self.rollouts.filter_peers("statements", self.new)) for _ in range(300)]
        self.assertLess(shares.count(True), 100)
        self.rollouts.apply_status(replace(STATUS, step=2, share_permille=800), 0.0)
        shares = [bool(self.rollouts.filter_peers("statements", self.new)) for _ in range(300)]
        self.assertEqual(shares.count(True), 300)

    async def test_calls_in_flight_are_part_of_the_evidence(self) -> None:
        self.rollouts.count_sent(call(version="v2"))
        self.rollouts.apply_order(ORDER, 0.0)
        self.rollouts.apply_status(STATUS, 0.0)
        for version in ("v1", "v2", "v2"):
            self.rollouts.count_sent(call(version=version))
        rollout = self.rollouts.by_service["statements"]
        self.assertEqual(self.rollouts.local_evidence(rollout).given, 2)

    async def test_a_completed_rollout_uses_the_new_version_only(self) -> None:
        self.rollouts.apply_order(ORDER, 0.0)
        self.rollouts.apply_status(replace(STATUS, step=4, phase=RolloutPhase.COMPLETED), 0.0)
        self.assertEqual(self.versions(), {"v2"})

    # A version that was rolled back got half of the calls as soon as the next one was ordered.
    async def test_a_version_rolled_back_stays_withdrawn_under_the_next_order(self) -> None:
        self.rollouts.apply_order(ORDER, 0.0)
        self.rollouts.apply_status(replace(STATUS, phase=RolloutPhase.ROLLED_BACK), 0.0)
        self.rollouts.apply_order(replace(ORDER, to_version="v3", order_id=9), 1.0)
        self.assertTrue(self.rollouts.is_forbidden("statements", "v2"))
        self.assertFalse(self.rollouts.is_forbidden("statements", "v1"))
        self.assertEqual(self.versions(), {"v1"})

    async def test_an_order_of_a_withdrawn_version_lets_it_have_calls_again(self) -> None:
        self.rollouts.apply_order(ORDER, 0.0)
        self.rollouts.apply_status(replace(STATUS, phase=RolloutPhase.ROLLED_BACK), 0.0)
        self.rollouts.apply_order(replace(ORDER, order_id=9), 1.0)
        self.assertFalse(self.rollouts.is_forbidden("statements", "v2"))
        self.assertEqual(self.versions(), {"v1"})
        self.rollouts.apply_status(replace(STATUS, order_id=9), 1.0)
        self.assertEqual(self.versions(), {"v1", "v2"})

    async def test_a_withdrawn_order_gives_its_version_no_calls(self) -> None:
        self.rollouts.apply_order(ORDER, 0.0)
        self.rollouts.apply_status(replace(STATUS, from_version="v1"), 0.0)
        self.rollouts.remove_order("statements")
        self.assertTrue(self.rollouts.is_forbidden("statements", "v2"))
        self.assertEqual(self.versions(), {"v1"})

    async def test_a_version_neither_in_use_nor_ordered_gets_no_calls(self) -> None:
        self.peers.append(peer(4, "v9"))
        self.rollouts.apply_order(ORDER, 0.0)
        self.rollouts.apply_status(replace(STATUS, from_version="v1"), 0.0)
        self.assertEqual(self.versions(), {"v1", "v2"})
        self.assertTrue(self.rollouts.is_forbidden("statements", "v9"))

    async def test_while_the_version_in_use_is_unknown_the_others_count_as_in_use(self) -> None:
        self.peers.append(peer(4, "v9"))
        self.rollouts.apply_order(ORDER, 0.0)
        self.rollouts.apply_status(STATUS, 0.0)
        self.assertEqual(self.versions(), {"v1", "v2", "v9"})
        self.assertFalse(self.rollouts.is_forbidden("statements", "v9"))

    async def test_the_newest_status_alone_tells_a_node_the_withdrawn_versions(self) -> None:
        status = replace(STATUS, to_version="v3", order_id=9, withdrawn=("v2",))
        self.rollouts.apply_status(status, 0.0)
        self.rollouts.apply_order(replace(ORDER, to_version="v3", order_id=9), 1.0)
        self.assertTrue(self.rollouts.is_forbidden("statements", "v2"))
        self.assertEqual(self.versions(), {"v1"})

    async def test_a_status_of_an_earlier_release_keeps_the_known_versions(self) -> None:
        self.rollouts.apply_status(
            replace(STATUS, phase=RolloutPhase.ROLLED_BACK, from_version="v1"), 0.0
        )
        self.rollouts.apply_status(replace(STATUS, to_version="v3", order_id=9), 0.0)
        versions = self.rollouts.versions("statements")
        self.assertEqual((versions.in_use, versions.withdrawn), ("v1", ("v2",)))

    async def test_late_responses_of_a_withdrawn_version_are_no_evidence(self) -> None:
        self.rollouts.apply_order(ORDER, 0.0)
        self.rollouts.apply_status(replace(STATUS, phase=RolloutPhase.ROLLED_BACK), 0.0)
        self.rollouts.apply_order(replace(ORDER, to_version="v3", order_id=9), 1.0)
        self.rollouts.observe_call(call(version="v2"), True, 0.1, False)
        rollout = self.rollouts.by_service["statements"]
        self.assertEqual(self.rollouts.local_evidence(rollout).sequence, 0)

    async def test_a_later_order_replaces_an_earlier_one(self) -> None:
        self.rollouts.apply_order(ORDER, 0.0)
        self.rollouts.apply_status(replace(STATUS, phase=RolloutPhase.ROLLED_BACK), 0.0)
        self.rollouts.apply_order(replace(ORDER, to_version="v3", order_id=9), 1.0)
        self.assertFalse(self.rollouts.is_forbidden("statements", "v3"))
        self.rollouts.apply_order(ORDER, 2.0)
        self.assertEqual(self.rollouts.by_service["statements"].order.to_version, "v3")

    async def test_an_order_of_a_later_era_replaces_one_at_a_higher_offset(self) -> None:
        self.rollouts.apply_order(replace(ORDER, era=1), 0.0)
        self.rollouts.apply_status(replace(STATUS, era=1, phase=RolloutPhase.COMPLETED), 0.0)
        restored = replace(ORDER, to_version="v3", order_id=4, era=2)
        self.rollouts.apply_order(restored, 1.0)
        self.assertEqual(self.rollouts.by_service["statements"].order, restored)
        status = replace(STATUS, to_version="v3", order_id=4, era=2)
        self.assertTrue(self.rollouts.apply_status(status, 1.0))
        self.assertEqual(self.rollouts.by_service["statements"].status, status)
        self.rollouts.apply_order(replace(ORDER, era=1), 2.0)
        self.assertEqual(self.rollouts.by_service["statements"].order, restored)

    async def test_an_order_that_the_restored_store_still_has_keeps_its_status(self) -> None:
        self.rollouts.apply_order(replace(ORDER, era=1), 0.0)
        self.rollouts.apply_status(replace(STATUS, era=1, phase=RolloutPhase.ROLLED_BACK), 0.0)
        self.rollouts.apply_order(replace(ORDER, era=2), 1.0)
        self.assertTrue(self.rollouts.is_forbidden("statements", "v2"))
        self.assertEqual(self.rollouts.by_service["statements"].order.era, 2)

    async def test_a_status_of_a_build_that_names_no_era_is_ordered_by_its_offset(self) -> None:
        self.rollouts.apply_status(replace(STATUS, era=1), 0.0)
        self.rollouts.apply_order(replace(ORDER, order_id=9, era=1), 0.0)
        self.assertTrue(self.rollouts.apply_status(replace(STATUS, order_id=9), 0.0))

    def evidence(self, order_id: int) -> Evidence:
        evidence = Evidence(order_id, "n-2", incarnation=1)
        evidence.observe("v2", "r", True, 0.1)
        return evidence

    def stored_orders(self) -> set[int]:
        return set(self.rollouts._evidence.by_rollout)

    async def test_only_evidence_on_a_known_order_is_stored(self) -> None:
        self.rollouts.merge_evidence(self.evidence(7), 0.0)
        self.assertEqual(self.stored_orders(), set())
        self.rollouts.apply_order(ORDER, 0.0)
        self.rollouts.merge_evidence(self.evidence(7), 0.0)
        self.assertEqual(self.stored_orders(), {7})
        self.rollouts.apply_order(replace(ORDER, order_id=9), 1.0)
        self.rollouts.merge_evidence(self.evidence(7), 1.0)
        self.assertEqual(self.stored_orders(), set())

    async def test_a_removed_orders_evidence_is_dropped(self) -> None:
        self.rollouts.apply_order(ORDER, 0.0)
        self.rollouts.apply_order(replace(ORDER, service="plots", order_id=8), 0.0)
        for order_id in (7, 8):
            self.rollouts.merge_evidence(self.evidence(order_id), 0.0)
        self.rollouts.remove_order("plots")
        self.assertEqual(self.stored_orders(), {7})


class ExposureTests(unittest.IsolatedAsyncioTestCase):
    """Counts the calls that a faulty version receives, on a simulated clock."""

    CALLS_PER_S = 212
    LATENCY_S = 0.2
    STEP_S = 0.05
    CHECK_STEPS = 5

    def simulate(
        self, bad_share: t.Callable[[float, int], float], seed: int, duration_s: float = 16.0
    ) -> tuple[RolloutPhase, int, int]:
        """Return how a rollout ended, and the new version's and all calls up to its deadline.

        :param bad_share: fraction of the new version's responses that are bad, by the seconds since
            the order and the current traffic share.
        """
        rng = random.Random(seed)
        rollouts = Rollouts("n-1", 1, DecisionLog(), rng, LIMITS)
        order = RolloutOrder("statements", "v2", duration_s, 7)
        rollouts.apply_order(order, 0.0)
        rollout = rollouts.by_service["statements"]
        rollouts.apply_status(replace(STATUS, share_permille=0), 0.0)
        new_calls = 0
        steps = round(duration_s / self.STEP_S)
        per_step = round(self.CALLS_PER_S * self.STEP_S)
        responses: list[list[str]] = []
        for i in range(steps):
            now = i * self.STEP_S
            chosen = ["v2" if self.is_new(rollouts) else "v1" for _ in range(per_step)]
            new_calls += chosen.count("v2")
            responses.append(chosen)
            due = i - round(self.LATENCY_S / self.STEP_S)
            for version in responses[due] if due >= 0 else ():
                bad = bad_share(now, rollout.share_permille) if version == "v2" else 0.01
                rollouts.observe_call(
                    call(version=version), rng.random() < bad, self.LATENCY_S, False
                )
            if i % self.CHECK_STEPS == 0 and rollout.phase is RolloutPhase.RUNNING:
                self.check(rollouts, now)
        return rollout.phase, new_calls, steps * per_step

    def is_new(self, rollouts: Rollouts) -> bool:
        chosen = rollouts.filter_peers("statements", [peer(1), peer(3, "v2")])
        target = chosen[0].entry.target
        return target is not None and target.version == "v2"

    def check(self, rollouts: Rollouts, now: float) -> None:
        rollout = rollouts.by_service["statements"]
        assert rollout.status is not None
        is_faulty = rollouts.update_analysis(rollout, now) is not None
        decision = rollouts.next_step(rollout, now, int(now * 1000))
        phase = (
            RolloutPhase.ROLLED_BACK if is_faulty or decision.roll_back else RolloutPhase.RUNNING
        )
        phase = RolloutPhase.COMPLETED if decision.completed else phase
        share = 0 if phase is RolloutPhase.ROLLED_BACK else decision.share_permille
        step = replace(
            rollout.status, step=rollout.status.step + 1, share_permille=share, phase=phase
        )
        if (step.share_permille, phase) != (rollout.status.share_permille, rollout.status.phase):
            rollouts.apply_status(step, now)

    async def test_a_faulty_version_is_rolled_back_within_its_exposure_limit(self) -> None:
        kinds: dict[str, t.Callable[[float, int], float]] = {
            "few errors": lambda now, share: 0.09,
            "half of all": lambda now, share: 0.5,
            "late": lambda now, share: 0.5 if now > 3 else 0.01,
            "later": lambda now, share: 0.5 if now > 8 else 0.01,
            "under load": lambda now, share: 0.5 if share >= 500 else 0.01,
        }
        for (name, bad_share), seed in itertools.product(kinds.items(), range(16)):
            with self.subTest(name, seed=seed):
                phase, new_calls, calls = self.simulate(bad_share, seed)
                self.assertIs(phase, RolloutPhase.ROLLED_BACK)
                self.assertLessEqual(new_calls, LIMITS.share * calls + LIMITS.slack)

    async def test_a_healthy_version_completes_by_its_deadline(self) -> None:
        for seed, duration_s in itertools.product(range(8), (12.0, 16.0, 30.0)):
            with self.subTest(seed=seed, duration_s=duration_s):
                phase, _, _ = self.simulate(lambda now, share: 0.01, seed, duration_s)
                self.assertIs(phase, RolloutPhase.COMPLETED)
