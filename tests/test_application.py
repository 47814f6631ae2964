"""Tests of the node's life cycle."""

import unittest

from bulrushflow.application import Node
from bulrushflow.application import run_until_signal
from bulrushflow.exceptions import InvariantError
from bulrushflow.settings import PlatformSettings
from bulrushflow.settings import Settings


class NodeTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_broken_invariant_stops_the_node(self) -> None:
        platform = PlatformSettings("http://127.0.0.1:1")
        node = Node(Settings("n1", "celje-a", "127.0.0.1", 0, 0, 0, 0, platform))
        node._fail(InvariantError("the digests differ"))
        await run_until_signal(node)
        self.assertEqual(str(node.failure), "the digests differ")
