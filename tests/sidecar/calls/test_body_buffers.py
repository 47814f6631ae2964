import unittest

from bulrushflow.sidecar.calls.body_buffers import BodyBuffers


class Owner:
    def __init__(self) -> None:
        self.reasons: list[str] = []

    def fail(self, reason: str) -> None:
        self.reasons.append(reason)


class BodyBuffersTests(unittest.TestCase):
    def setUp(self) -> None:
        self.buffers = BodyBuffers(100)
        self.small = Owner()
        self.large = Owner()

    def test_bodies_up_to_the_bound_are_accepted(self) -> None:
        self.buffers.add(self.small, 40)
        self.buffers.add(self.large, 60)
        self.assertEqual(self.buffers.used_bytes, 100)
        self.assertEqual(self.small.reasons + self.large.reasons, [])

    def test_the_largest_body_fails_beyond_the_bound(self) -> None:
        self.buffers.add(self.large, 50)
        self.buffers.add(self.large, 40)
        self.buffers.add(self.small, 11)
        self.assertEqual(self.small.reasons, [])
        self.assertIn("90 bytes so far, the largest of 2: 101 of at most 100", *self.large.reasons)
        self.assertEqual(self.buffers.used_bytes, 11)

    def test_a_body_beyond_the_bound_fails_itself(self) -> None:
        self.buffers.add(self.large, 101)
        self.assertEqual(len(self.large.reasons), 1)
        self.assertEqual(self.buffers.used_bytes, 0)

    def test_a_released_body_does_not_count(self) -> None:
        self.buffers.add(self.large, 90)
        self.buffers.release(self.large)
        self.buffers.release(self.large)
        self.buffers.add(self.small, 90)
        self.assertEqual(self.buffers.used_bytes, 90)
        self.assertEqual(self.small.reasons + self.large.reasons, [])
