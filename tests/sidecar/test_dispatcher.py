import unittest

from bulrushflow.routing import Answer
from bulrushflow.routing import Outcome
from bulrushflow.routing import not_run
from bulrushflow.routing import unknown
from bulrushflow.sidecar.dispatcher import MAX_REFUSALS
from bulrushflow.sidecar.dispatcher import Progress


def answered(status: int) -> Answer:
    return Answer(status, (), b"")


class ProgressTests(unittest.TestCase):
    def progress(self) -> Progress:
        return Progress(not_run("no target"))

    def test_a_refusal_in_front_of_the_target_is_no_arrival(self) -> None:
        progress = self.progress()
        self.assertFalse(progress.take(not_run("full"), False, 2))
        self.assertEqual((progress.arrivals, progress.runs), (0, 0))

    def test_a_call_that_a_target_refused_counts_as_repeated_when_sent_on(self) -> None:
        progress = self.progress()
        self.assertFalse(progress.take(not_run("503", arrived=True), False, 2))
        self.assertEqual((progress.arrivals, progress.runs), (1, 0))

    def test_a_call_that_may_have_run_stays_uncertain(self) -> None:
        progress = self.progress()
        self.assertFalse(progress.take(unknown("cut"), True, 2))
        progress.take(not_run("full"), True, 2)
        self.assertIs(progress.result.unwrap_err().outcome, Outcome.UNKNOWN)

    def test_what_is_not_idempotent_is_not_sent_again_once_it_may_have_run(self) -> None:
        for result in (unknown("cut"), answered(500).as_result()):
            self.assertTrue(self.progress().take(result, False, 3))

    def test_an_idempotent_call_is_repeated_up_to_the_routes_attempts(self) -> None:
        progress = self.progress()
        self.assertFalse(progress.take(answered(500).as_result(), True, 2))
        self.assertTrue(progress.take(unknown("cut"), True, 2))

    def test_a_target_that_failed_is_not_lost_from_the_answer(self) -> None:
        progress = self.progress()
        progress.take(answered(500).as_result(), True, 2)
        progress.take(not_run("too many repeated calls"), True, 2)
        self.assertEqual(progress.result.unwrap().status, 500)

    def test_refusals_end(self) -> None:
        progress = self.progress()
        ends = [progress.take(not_run("full"), True, 2) for _ in range(MAX_REFUSALS)]
        self.assertEqual(ends, [False] * (MAX_REFUSALS - 1) + [True])
