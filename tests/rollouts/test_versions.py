"""Tests of the versions that may get no new calls."""

import unittest

from bulrushflow.configuration import Configuration
from bulrushflow.configuration import Configure
from bulrushflow.configuration import FinishRollout
from bulrushflow.configuration import Record
from bulrushflow.configuration import StartRollout
from bulrushflow.configuration import WithdrawRollout
from bulrushflow.rollouts import VersionFilter
from bulrushflow.rollouts.versions import GRACE_S
from tests.configuration.test_fold import PLOTS
from tests.configuration.test_fold import fold_all

START = StartRollout(1, "m", "ana", "plots", "v2", 99999)
DONE = FinishRollout(1, "m/done", "m", False, "healthy", "", "n1")
TAKEN_BACK = FinishRollout(1, "m/taken-back", "m", True, "errors", "", "n1")
WITHDRAW = WithdrawRollout(1, "w", "ana", "m")
NO_SERVICE = Configure(1, "d", "ana", services={"plots": None}, routes={"/plots": None})


def follow(*records: Record) -> VersionFilter:
    """Follow the configuration record by record, at times a second apart."""
    gate = VersionFilter()
    for count in range(len(records) + 1):
        configuration: Configuration = fold_all(*records[:count])
        gate.update(configuration, float(count))
    return gate


class VersionGateTests(unittest.TestCase):
    def test_only_the_versions_in_use_may_get_calls(self) -> None:
        cases: dict[str, tuple[tuple[Record, ...], set[str]]] = {
            "no move": ((PLOTS,), {"v1"}),
            "active": ((PLOTS, START), {"v1", "v2"}),
            "done": ((PLOTS, START, DONE), {"v1", "v2"}),
            "taken back": ((PLOTS, START, TAKEN_BACK), {"v1"}),
            "withdrawn": ((PLOTS, START, WITHDRAW), {"v1"}),
            "withdrawn, then done": ((PLOTS, START, WITHDRAW, DONE), {"v1"}),
            "done, then withdrawn": ((PLOTS, START, DONE, WITHDRAW), {"v1", "v2"}),
        }
        for name, (records, allowed) in cases.items():
            with self.subTest(name):
                gate = follow(*records)
                found = {
                    version
                    for version in ("v1", "v2", "v3")
                    if not gate.is_forbidden("plots", version, lambda _: False, len(records))
                }
                self.assertEqual(found, allowed)

    def test_an_active_move_that_was_taken_back_gets_no_calls_before_the_log_says_so(self) -> None:
        gate = follow(PLOTS, START)
        self.assertTrue(gate.is_forbidden("plots", "v2", lambda offset: offset == 1, 2.0))
        self.assertFalse(gate.is_forbidden("plots", "v1", lambda _: True, 2.0))

    def test_the_replaced_version_goes_on_for_a_short_while_only(self) -> None:
        gate = follow(PLOTS, START, DONE)
        self.assertFalse(gate.is_forbidden("plots", "v1", lambda _: False, 3 + GRACE_S - 1))
        self.assertTrue(gate.is_forbidden("plots", "v1", lambda _: False, 3 + GRACE_S + 1))

    def test_a_service_that_is_not_known_is_left_to_the_routes(self) -> None:
        self.assertFalse(VersionFilter().is_forbidden("plots", "v1", lambda _: False, 0.0))
        gate = follow(PLOTS, NO_SERVICE)
        self.assertFalse(gate.is_forbidden("plots", "v1", lambda _: False, 0.0))
