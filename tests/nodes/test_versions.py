"""Tests of which versions may receive no new calls."""

import unittest

from bulrushflow.configuration import Configuration
from bulrushflow.configuration import Configure
from bulrushflow.configuration import FinishRollout
from bulrushflow.configuration import Record
from bulrushflow.configuration import StartRollout
from bulrushflow.configuration import WithdrawRollout
from bulrushflow.nodes.versions import GRACE_S
from bulrushflow.nodes.versions import VersionFilter
from tests.configuration.test_fold import PLOTS
from tests.configuration.test_fold import fold_all

START = StartRollout(1, "m", "ana", "plots", "v2", 99999)
COMPLETED = FinishRollout(1, "m/done", "m", False, "healthy", "", "n1")
ROLLED_BACK = FinishRollout(1, "m/taken-back", "m", True, "errors", "", "n1")
WITHDRAW = WithdrawRollout(1, "w", "ana", "m")
NO_SERVICE = Configure(1, "d", "ana", services={"plots": None}, routes={"/plots": None})


def filter_after(*records: Record) -> VersionFilter:
    """Apply the configuration record by record, one second apart."""
    version_filter = VersionFilter()
    for count in range(len(records) + 1):
        configuration: Configuration = fold_all(*records[:count])
        version_filter.update(configuration, float(count))
    return version_filter


class VersionFilterTests(unittest.TestCase):
    def test_only_versions_in_use_are_allowed(self) -> None:
        cases: dict[str, tuple[tuple[Record, ...], set[str]]] = {
            "no rollout": ((PLOTS,), {"v1"}),
            "active": ((PLOTS, START), {"v1", "v2"}),
            "completed": ((PLOTS, START, COMPLETED), {"v1", "v2"}),
            "rolled back": ((PLOTS, START, ROLLED_BACK), {"v1"}),
            "withdrawn": ((PLOTS, START, WITHDRAW), {"v1"}),
            "withdrawn, then completed": ((PLOTS, START, WITHDRAW, COMPLETED), {"v1"}),
            "completed, then withdrawn": ((PLOTS, START, COMPLETED, WITHDRAW), {"v1", "v2"}),
        }
        for name, (records, allowed) in cases.items():
            with self.subTest(name):
                version_filter = filter_after(*records)
                found = {
                    version
                    for version in ("v1", "v2", "v3")
                    if not version_filter.is_forbidden(
                        "plots", version, lambda _: False, len(records)
                    )
                }
                self.assertEqual(found, allowed)

    def test_a_rolled_back_version_is_forbidden_before_its_final_record(self) -> None:
        version_filter = filter_after(PLOTS, START)
        self.assertTrue(version_filter.is_forbidden("plots", "v2", lambda offset: offset == 1, 2.0))
        self.assertFalse(version_filter.is_forbidden("plots", "v1", lambda _: True, 2.0))

    def test_a_replaced_version_is_allowed_for_the_grace_time_only(self) -> None:
        version_filter = filter_after(PLOTS, START, COMPLETED)
        self.assertFalse(
            version_filter.is_forbidden("plots", "v1", lambda _: False, 3 + GRACE_S - 1)
        )
        self.assertTrue(
            version_filter.is_forbidden("plots", "v1", lambda _: False, 3 + GRACE_S + 1)
        )

    def test_an_unknown_service_is_left_to_the_routes(self) -> None:
        self.assertFalse(VersionFilter().is_forbidden("plots", "v1", lambda _: False, 0.0))
        version_filter = filter_after(PLOTS, NO_SERVICE)
        self.assertFalse(version_filter.is_forbidden("plots", "v1", lambda _: False, 0.0))
