import unittest

from bulrushflow.sidecar.records.topic_end import TopicEnd


class TopicEndTests(unittest.TestCase):
    def setUp(self) -> None:
        self.end = TopicEnd()
        self.end.begin_request()
        self.end.update(5)

    def test_only_a_later_offset_of_another_node_moves_the_end(self) -> None:
        for offset, moves in ((4, False), (5, False), (7, True), (6, False), (7, False)):
            with self.subTest(offset):
                self.assertIs(self.end.note(offset), moves)
        self.assertEqual(self.end.offset, 7)

    def test_an_offset_named_since_the_request_outlives_its_response(self) -> None:
        self.end.begin_request()
        self.end.note(7)
        self.end.update(6)
        self.assertEqual(self.end.offset, 7)

    def test_an_offset_that_the_store_denied_is_ignored_until_the_topic_reaches_it(self) -> None:
        self.end.note(9)
        self.end.begin_request()
        self.end.update(6)
        self.assertEqual(self.end.offset, 6)
        self.assertFalse(self.end.note(9))
        self.assertTrue(self.end.note(8))
        self.end.begin_request()
        self.end.update(9)
        self.assertTrue(self.end.note(10))
