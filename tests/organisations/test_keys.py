import unittest

from hypothesis import given
from hypothesis import strategies as st
from result import Err
from result import Ok

from bulrushflow.organisations import KeyRefusal
from bulrushflow.organisations import Organisation
from bulrushflow.organisations import Organisations
from bulrushflow.organisations import build_organisations

OAK = Organisation("oak", priority=1)
ELM = Organisation("elm")


def organisations() -> Organisations:
    return build_organisations([(OAK, ["k-oak-1", "k-oak-2"]), (ELM, ["k-elm"])]).unwrap()


class IdentifyTests(unittest.TestCase):
    def test_each_key_names_its_organisation(self) -> None:
        for key, organisation in (("k-oak-1", OAK), ("k-oak-2", OAK), ("k-elm", ELM)):
            for header in (f"Bearer {key}", f"bearer {key}", f" BEARER   {key} "):
                with self.subTest(header):
                    found = organisations().identify([header], allow_anonymous=False)
                    self.assertEqual(found, Ok(organisation))

    def test_a_request_without_a_key_needs_a_route_for_anonymous_calls(self) -> None:
        self.assertEqual(organisations().identify([], True), Ok(None))
        self.assertEqual(organisations().identify([], False), Err(KeyRefusal.MISSING))

    # A request whose key was never valid must not run, on any route.
    def test_an_unknown_key_is_refused_on_every_route(self) -> None:
        unknown: tuple[list[str], ...] = (
            ["Bearer k-ash"],
            ["Bearer k-oak-1x"],
            ["Bearer K-OAK-1"],
            ["Bearer"],
            ["Bearer "],
            [""],
            ["k-oak-1"],
            ["Basic k-oak-1"],
            ["Bearer k-oak-1, Bearer k-elm"],
            ["Bearer k-oak-1", "Bearer k-elm"],
            ["Bearer oak"],
        )
        for headers in unknown:
            for allow_anonymous in (False, True):
                with self.subTest(headers, allow_anonymous=allow_anonymous):
                    found = organisations().identify(headers, allow_anonymous)
                    self.assertEqual(found, Err(KeyRefusal.UNKNOWN))

    @given(st.text(max_size=40))
    def test_no_other_key_is_accepted(self, key: str) -> None:
        found = organisations().identify([f"Bearer {key}"], False)
        self.assertEqual(found.is_ok(), key.strip() in {"k-oak-1", "k-oak-2", "k-elm"})


class BuildTests(unittest.TestCase):
    def test_keys_are_not_kept(self) -> None:
        self.assertNotIn("k-oak", repr(organisations()))

    # Either organisation could be meant, and the other one's limits and priority would apply.
    def test_two_organisations_with_a_key_in_common_are_an_error_without_the_key(self) -> None:
        reason = build_organisations([(OAK, ["k-1"]), (ELM, ["k-2", "k-1"])]).unwrap_err()
        self.assertEqual(reason, "'oak' and 'elm' have a key in common")

    def test_a_name_that_is_defined_twice_is_an_error(self) -> None:
        self.assertTrue(build_organisations([(OAK, ["k-1"]), (OAK, ["k-2"])]).is_err())

    def test_a_key_may_be_listed_twice_for_one_organisation(self) -> None:
        self.assertTrue(build_organisations([(OAK, ["k-1", "k-1"])]).is_ok())
