"""Tests of the queue of membership updates."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from bulrushflow.membership import UpdatePriority
from bulrushflow.membership import UpdateQueue
from bulrushflow.membership import transmission_limit


class UpdateQueueTests(unittest.TestCase):
    def test_urgent_updates_go_first_and_each_is_sent_a_bounded_number_of_times(self) -> None:
        queue: UpdateQueue[str] = UpdateQueue()
        queue.add("suspect", UpdatePriority.SUSPECT)
        queue.add("joined", UpdatePriority.ALIVE)
        queue.add("leaving", UpdatePriority.URGENT)
        first = queue.next_batch(20, lambda _: 10, 2)
        self.assertEqual(first, ["leaving", "joined"])
        sent = first
        while queue:
            sent = sent + queue.next_batch(20, lambda _: 10, 2)
        self.assertEqual(sorted(sent), sorted(["leaving", "joined", "suspect"] * 2))

    def test_unknown_keys_are_dropped_without_being_sent(self) -> None:
        queue: UpdateQueue[str] = UpdateQueue()
        queue.add("gone", UpdatePriority.ALIVE)
        self.assertEqual(queue.next_batch(100, lambda _: 0, 9), [])
        self.assertEqual(len(queue), 0)

    def test_suspect_and_dead_updates_can_be_discarded_alone(self) -> None:
        queue: UpdateQueue[str] = UpdateQueue()
        for priority in UpdatePriority:
            queue.add(priority.name, priority)
        queue.discard_from(UpdatePriority.SUSPECT)
        self.assertEqual(queue.next_batch(100, lambda _: 1, 1), ["URGENT", "ALIVE"])

    @settings(max_examples=60)
    @given(
        st.dictionaries(st.integers(0, 50), st.integers(1, 300), max_size=30),
        st.integers(300, 1200),
    )
    def test_batches_fit_the_budget_and_everything_is_sent_eventually(
        self, sizes: dict[int, int], budget: int
    ) -> None:
        queue: UpdateQueue[int] = UpdateQueue()
        for key in sizes:
            queue.add(key, key % 4)
        counts = dict.fromkeys(sizes, 0)
        while queue:
            batch = queue.next_batch(budget, sizes.__getitem__, 3)
            self.assertLessEqual(sum(sizes[k] for k in batch), budget)
            for key in batch:
                counts[key] += 1
        self.assertEqual(set(counts.values()) - {3}, set())

    def test_transmission_limit_grows_with_the_logarithm(self) -> None:
        self.assertEqual([transmission_limit(n) for n in (1, 10, 100, 4800)], [6, 8, 14, 26])
