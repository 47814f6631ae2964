"""Tests of rendezvous hashing."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from bulrushflow.membership import Member
from bulrushflow.membership import is_top_ranked
from bulrushflow.membership import rank_members


class TopRankedTests(unittest.TestCase):
    @settings(max_examples=60)
    @given(st.sets(st.integers(0, 99), max_size=20), st.integers(0, 4), st.integers(0, 99))
    def test_is_top_ranked_agrees_with_the_full_ranking(
        self, numbers: set[int], count: int, own: int
    ) -> None:
        members = [Member(f"n{i}", "celje-a", "127.0.0.1", 1, 1) for i in numbers]
        first = [m.node_id for m in rank_members(members, "key")[:count]]
        self.assertEqual(is_top_ranked(members, "key", f"n{own}", count), f"n{own}" in first)
