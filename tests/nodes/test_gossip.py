"""Tests of gossip membership between nodes over loopback sockets."""

import asyncio
import unittest

from msgspec.structs import replace

from bulrushflow.membership import Status
from bulrushflow.membership import Target
from bulrushflow.membership import TargetState
from bulrushflow.rollouts import SharedRollout
from tests.nodes.fleet import IDLE
from tests.nodes.fleet import Fleet
from tests.nodes.fleet import GossipNode
from tests.waiting import GUARD_S
from tests.waiting import until

READY = Target("statements", "v1", TargetState.READY, 4)
DRAINING = Target("statements", "v1", TargetState.DRAINING, 4)


class FleetTestCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.fleet = Fleet()
        self.addAsyncCleanup(self.fleet.stop)

    async def start(self, count: int, data_centre: str = "celje-a") -> list[GossipNode]:
        peers = [await self.fleet.add(f"{data_centre}-{i}", data_centre) for i in range(count)]
        await self.fleet.until_all_alive()
        return peers


class DisseminationTests(FleetTestCase):
    async def test_a_draining_target_is_ready_on_no_node(self) -> None:
        peers = await self.start(6)
        peers[0].gossip.announce_own(target=READY)
        await until(lambda: all(p.table.ready_targets("statements", "v1") for p in peers))
        peers[0].gossip.announce_own(target=DRAINING)
        await until(lambda: not any(p.table.ready_targets("statements", "v1") for p in peers))

    async def test_all_nodes_record_a_leaving_node_as_left(self) -> None:
        peers = await self.start(5)
        await peers[0].gossip.leave()
        await until(lambda: all(p.statuses()[peers[0].node_id] is Status.LEFT for p in peers[1:]))

    async def test_changed_rollouts_reach_all_nodes_and_later_joiners(self) -> None:
        peers = await self.start(3)
        for offset in range(40):
            peers[0].rollouts.merge(SharedRollout(offset, 250, True, "errors" * 20, "celje-a-0"))
        peers[0].gossip.disseminate_now()
        await until(lambda: all(len(p.rollouts.by_offset) == 40 for p in peers))
        late = await self.fleet.add("late")
        await until(lambda: len(late.rollouts.by_offset) == 40)

    async def test_tables_that_differ_without_queued_updates_become_equal(self) -> None:
        peers = await self.start(2)
        # Merged without queuing an update, as from a page; no other node disseminates it.
        third = await self.fleet.add("third", join=False)
        peers[0].table.merge(third.table.own, 0.0)
        await until(lambda: "third" in peers[1].table.by_id)
        await self.fleet.until_all_alive()

    async def test_every_datagram_is_counted_by_direction_and_kind(self) -> None:
        peers = await self.start(2)
        kinds = {("sent", "probe"), ("received", "probe"), ("sent", "ack"), ("received", "ack")}
        await until(lambda: all(kinds <= set(p.bytes_by_kind) for p in peers))
        for peer in peers:
            sent = sum(n for (d, _), n in peer.bytes_by_kind.items() if d == "sent")
            self.assertEqual(sent, peer.gossip.bytes_sent)


class DetectionTests(FleetTestCase):
    async def test_an_unresponsive_node_is_suspected_and_then_declared_dead(self) -> None:
        peers = await self.start(4)
        await peers[0].stop()
        await until(lambda: all(p.statuses()[peers[0].node_id] is Status.DEAD for p in peers[1:]))
        self.assertTrue(any((peers[0].node_id, Status.SUSPECT) in p.seen for p in peers[1:]))

    async def test_indirect_probes_bypass_one_lossy_link(self) -> None:
        peers = [await self.fleet.add(f"n{i}", settings=IDLE) for i in range(5)]
        for peer in peers:
            for other in peers:
                peer.table.merge(other.table.own, 0.0)
        first, second = peers[:2]
        member = second.table.own
        self.assertTrue(await first.gossip.ping(member, GUARD_S))
        self.fleet.faults.separate([first], [second])
        self.assertFalse(await first.gossip.ping(member, 0.05))
        self.assertTrue(await first.gossip.ping_indirectly(member, GUARD_S))
        self.fleet.faults.separate([second], peers[2:])
        self.assertFalse(await first.gossip.ping_indirectly(member, 0.3))

    async def test_a_suspect_receives_the_suspicion_and_refutes_it(self) -> None:
        first = await self.fleet.add("first", settings=IDLE)
        second = await self.fleet.add("second", settings=IDLE)
        update = first.table.raise_status("second", Status.SUSPECT, 0.0)
        assert update is not None
        first.gossip._handle_status_raised(update)
        await until(lambda: first.statuses()["second"] is Status.ALIVE)
        self.assertGreater(second.table.own.incarnation, update.incarnation)

    async def test_a_node_recorded_as_dead_refutes_once_it_is_reachable(self) -> None:
        peers = await self.start(4)
        self.fleet.faults.separate(peers[:1], peers[1:])
        await until(lambda: all(p.statuses()[peers[0].node_id] is Status.DEAD for p in peers[1:]))
        self.fleet.faults.cut.clear()
        await self.fleet.until_all_alive()

    async def test_membership_recovers_after_a_partition_between_data_centres(self) -> None:
        near = await self.start(3)
        far = [await self.fleet.add(f"far-{i}", "velenje") for i in range(3)]
        await self.fleet.until_all_alive()
        self.fleet.faults.separate(near, far)
        near_ids, far_ids = ({p.node_id for p in side} for side in (near, far))
        await until(
            lambda: all(
                p.statuses()[i] is Status.DEAD
                for side, ids in ((near, far_ids), (far, near_ids))
                for p in side
                for i in ids
            )
        )
        self.fleet.faults.cut.clear()
        await self.fleet.until_all_alive()

    async def test_after_a_partition_neither_side_records_its_own_members_as_dead(self) -> None:
        near = [await self.fleet.add(f"near-{i}", "celje-a", IDLE, join=False) for i in range(3)]
        far = [await self.fleet.add(f"far-{i}", "velenje", IDLE, join=False) for i in range(3)]
        for side, other_side in ((near, far), (far, near)):
            for peer in side:
                for other in near + far:
                    peer.gossip._merge_member(other.table.own, None, True, 0.0)
                for other in other_side:
                    update = peer.table.raise_status(other.node_id, Status.DEAD, 0.0)
                    assert update is not None
                    peer.gossip._handle_status_raised(update)
                peer.seen.clear()

        def all_alive() -> bool:
            return all(set(p.statuses().values()) == {Status.ALIVE} for p in near + far)

        async with asyncio.timeout(GUARD_S):
            while not all_alive():
                for peer in near + far:
                    await peer.gossip._detector.reconnect()
                    peer.gossip.disseminate_now()
        for side in (near, far):
            ids = {p.node_id for p in side}
            for peer in side:
                self.assertFalse([s for s in peer.seen if s[0] in ids], peer.node_id)

    async def test_acks_of_another_node_at_the_same_address_do_not_count(self) -> None:
        peers = await self.start(3)
        ghost = await self.fleet.add("ghost", settings=IDLE, join=False)
        update = ghost.table.own
        ghost.table.own_id = "successor"
        ghost.table.by_id = {"successor": update}
        for peer in peers:
            peer.table.merge(update, peer.timers.now())
        await until(lambda: all(p.statuses().get("ghost") is Status.DEAD for p in peers))

    async def test_a_paused_node_is_alive_again_after_the_pause(self) -> None:
        peers = await self.start(4)
        paused = peers[0]
        for _ in range(3):
            self.fleet.faults.separate([paused], peers[1:])
            await until(lambda: self.fleet.faults.dropped > 4)
            paused.clock.paused_s += 5.0
            paused.timers.check_pause()
            self.fleet.faults.cut.clear()
            self.fleet.faults.dropped = 0
        await self.fleet.until_all_alive()


class IdentityTests(FleetTestCase):
    async def test_a_node_restarted_with_an_earlier_clock_is_accepted(self) -> None:
        peers = await self.start(3)
        first = await self.fleet.add("again", incarnation=1000)
        await self.fleet.until_all_alive()
        await first.stop()
        self.fleet.peers.remove(first)
        again = await self.fleet.add("again", incarnation=10)
        await self.fleet.until_all_alive()
        await until(lambda: all(p.table.by_id["again"].endpoint == again.endpoint for p in peers))

    async def test_nodes_that_record_each_other_as_dead_can_rejoin(self) -> None:
        first = await self.fleet.add("first", join=False)
        second = await self.fleet.add("second", join=False)
        for peer, other in ((first, second), (second, first)):
            peer.table.merge(replace(other.table.own, status=Status.DEAD), 0.0)
        self.assertTrue(await first.gossip.join(second.endpoint))
        await self.fleet.until_all_alive()

    async def test_two_processes_with_the_same_id_are_detected(self) -> None:
        peers = await self.start(3)
        await self.fleet.add("celje-a-1", incarnation=5)
        await until(lambda: any(p.table.conflicts_by_id.get("celje-a-1") for p in peers))
