import unittest

from hypothesis import given
from hypothesis import strategies as st

from bulrushflow.rollouts import ServiceVersions
from bulrushflow.rollouts.versions import MAX_WITHDRAWN_VERSIONS


class ServiceVersionsTests(unittest.TestCase):
    def test_without_a_rollout_every_version_is_usable(self) -> None:
        self.assertTrue(ServiceVersions().is_usable("v1"))

    def test_while_the_version_in_use_is_unknown_only_withdrawn_ones_are_unusable(self) -> None:
        versions = ServiceVersions().roll_back("v2", "")
        self.assertFalse(versions.is_usable("v2"))
        self.assertTrue(versions.is_usable("v1"))

    def test_a_known_version_in_use_is_the_only_usable_one(self) -> None:
        versions = ServiceVersions().order("v2", "v1")
        self.assertEqual([v for v in ("v0", "v1", "v2") if versions.is_usable(v)], ["v1"])
        versions = versions.complete("v2")
        self.assertEqual([v for v in ("v0", "v1", "v2") if versions.is_usable(v)], ["v2"])

    def test_a_version_rolled_back_after_its_completion_makes_way_for_the_one_before(self) -> None:
        versions = ServiceVersions().order("v2", "v1").complete("v2").roll_back("v2", "v1")
        self.assertEqual(versions, ServiceVersions("v1", ("v2",)))

    def test_a_rollback_that_names_no_version_before_does_not_leave_its_own_in_use(self) -> None:
        self.assertEqual(ServiceVersions("v2").roll_back("v2", ""), ServiceVersions("", ("v2",)))

    def test_an_order_of_a_withdrawn_version_ends_its_withdrawal(self) -> None:
        versions = ServiceVersions("v1", ("v2", "v3")).order("v2", "v1")
        self.assertEqual(versions.withdrawn, ("v3",))

    def test_versions_that_no_target_runs_are_evicted_first(self) -> None:
        names = tuple(f"v{i}" for i in range(MAX_WITHDRAWN_VERSIONS + 2))
        trimmed = ServiceVersions("v", names).trim({"v0", "v2"})
        self.assertEqual(trimmed.withdrawn, ("v0", "v2", *names[4:]))

    def test_the_version_in_use_is_inferred_only_if_it_is_unambiguous(self) -> None:
        cases = (
            (ServiceVersions(), {"v1", "v2"}, "v1"),
            (ServiceVersions(), {"v0", "v1", "v2"}, ""),
            (ServiceVersions("", ("v0",)), {"v0", "v1", "v2"}, "v1"),
            (ServiceVersions("v3"), {"v1", "v2"}, "v3"),
            (ServiceVersions(), {"v2"}, ""),
        )
        for versions, running, expected in cases:
            with self.subTest(versions=versions, running=running):
                self.assertEqual(versions.infer_in_use("v2", running), expected)

    @given(st.lists(st.tuples(st.sampled_from("obc"), st.sampled_from("123456789abc"))))
    def test_the_version_in_use_is_never_withdrawn_and_the_list_is_bounded(
        self, steps: list[tuple[str, str]]
    ) -> None:
        versions = ServiceVersions("0")
        for kind, version in steps:
            if kind == "o":
                versions = versions.order(version, "")
            elif kind == "c":
                versions = versions.complete(version)
            else:
                versions = versions.roll_back(version, "")
            self.assertNotIn(versions.in_use, versions.withdrawn)
            self.assertLessEqual(len(versions.withdrawn), MAX_WITHDRAWN_VERSIONS)
