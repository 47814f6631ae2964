"""Tests of the shared state: it converges for any order, duplicates and several drivers."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from bulrushflow.rollouts import SharedRollout
from bulrushflow.rollouts import SharedRollouts

OFFSET = 3
VIEWS = 4


@st.composite
def states(draw: st.DrawFn) -> SharedRollout:
    share = draw(st.integers(0, 1000))
    if not draw(st.booleans()):
        return SharedRollout(OFFSET, share)
    reason, node_id = draw(st.sampled_from("ab")), draw(st.sampled_from("xy"))
    return SharedRollout(OFFSET, share, True, reason, node_id)


class JoinTests(unittest.TestCase):
    @settings(max_examples=60)
    @given(states(), states(), states())
    def test_the_join_is_associative_commutative_and_idempotent(
        self, a: SharedRollout, b: SharedRollout, c: SharedRollout
    ) -> None:
        self.assertEqual(a.join(b), b.join(a))
        self.assertEqual(a.join(b.join(c)), a.join(b).join(c))
        self.assertEqual(a.join(a), a)
        self.assertEqual(a.join(b).join(b), a.join(b))


class RolloutsMachine(RuleBasedStateMachine):
    """Two drivers and two other nodes, with late, reordered and duplicate messages."""

    def __init__(self) -> None:
        super().__init__()
        self.views = [SharedRollouts() for _ in range(VIEWS)]
        self.sent: list[SharedRollout] = []
        self.saw_rollback = [False] * VIEWS

    @rule(driver=st.integers(0, 1), share=st.sampled_from((10, 50, 250, 950)))
    def raise_share(self, driver: int, share: int) -> None:
        self._merge(driver, SharedRollout(OFFSET, share))

    @rule(node=st.integers(0, VIEWS - 1), reason=st.sampled_from(("errors", "slower")))
    def roll_back(self, node: int, reason: str) -> None:
        share = self.views[node].share_permille(OFFSET)
        self._merge(node, SharedRollout(OFFSET, share, True, reason, f"n{node}"))

    @rule(node=st.integers(0, VIEWS - 1), data=st.data())
    def deliver(self, node: int, data: st.DataObject) -> None:
        if self.sent:
            self._merge(node, data.draw(st.sampled_from(self.sent)))

    def _merge(self, node: int, state: SharedRollout) -> None:
        self.views[node].merge(state)
        current = self.views[node].by_offset[OFFSET]
        self.sent.append(current)
        if current.rolled_back:
            self.saw_rollback[node] = True

    @invariant()
    def no_share_is_served_once_the_rollback_was_seen(self) -> None:
        for view, seen in zip(self.views, self.saw_rollback, strict=True):
            if seen:
                assert view.share_permille(OFFSET) == 0
                assert view.is_rolled_back(OFFSET)

    def teardown(self) -> None:
        for view in self.views:
            for state in reversed(self.sent):
                view.merge(state)
        assert len({view.by_offset.get(OFFSET) for view in self.views}) == 1


RolloutsMachine.TestCase.settings = settings(max_examples=30, stateful_step_count=20)
RolloutsMachineTests = RolloutsMachine.TestCase


class KeepActiveTests(unittest.TestCase):
    def test_lagging_peers_do_not_restore_a_finished_rollout(self) -> None:
        view = SharedRollouts()
        view.merge(SharedRollout(OFFSET, 500))
        view.keep_active(frozenset(), OFFSET + 1)
        self.assertFalse(view.merge(SharedRollout(OFFSET, 950)))
        self.assertEqual(view.share_permille(OFFSET), 0)

    def test_a_rollback_may_arrive_before_its_rollout(self) -> None:
        view = SharedRollouts()
        view.merge(SharedRollout(OFFSET, 10, True, "errors", "n1"))
        view.keep_active(frozenset({OFFSET}), OFFSET)
        view.merge(SharedRollout(OFFSET, 500))
        self.assertEqual(view.share_permille(OFFSET), 0)
