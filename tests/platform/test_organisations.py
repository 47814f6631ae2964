import typing as t
import unittest
from unittest import mock

from result import Ok

from bulrushflow.organisations import Organisation
from bulrushflow.organisations import Organisations
from bulrushflow.platform import organisations as decoding
from bulrushflow.platform.configuration import ConfigurationDecoder
from tests.platform.test_configuration import decode
from tests.platform.test_configuration import document
from tests.platform.test_configuration import rule

KEY = "k-5e0c-secret"


def tenant(**changes: t.Any) -> dict[str, t.Any]:
    return {"name": "oak", "apiKeys": [KEY], "priority": 1, "ratePerS": 9.5, "burst": 4} | changes


def decoded(*tenants: dict[str, t.Any]) -> Organisations:
    found = decode(document(rule(), tenants=list(tenants))).unwrap().organisations
    assert found is not None
    return found


class DecodingTests(unittest.TestCase):
    def test_an_organisation_is_found_by_its_key(self) -> None:
        found = decoded(tenant()).identify([f"Bearer {KEY}"], False)
        self.assertEqual(found, Ok(Organisation("oak", 1, 9.5, 4.0)))

    def test_absent_fields_mean_no_limit_and_the_route_s_priority(self) -> None:
        for item in ({"name": "oak", "apiKeys": [KEY]}, tenant(priority=None, ratePerS=0, burst=0)):
            found = decoded(item).by_name["oak"]
            self.assertEqual((found.priority, found.rate_per_s, found.burst), (None, 0.0, 0.0))

    def test_a_configuration_without_organisations_has_none(self) -> None:
        self.assertIsNone(decode(document(rule())).unwrap().organisations)
        self.assertIsNone(decode(document(rule(), tenants=None)).unwrap().organisations)

    # If the last organisation is removed, its key has to stop working.
    def test_an_empty_list_of_organisations_knows_no_key(self) -> None:
        self.assertTrue(decoded().identify([f"Bearer {KEY}"], True).is_err())

    def test_routes_say_whether_they_accept_calls_without_a_key(self) -> None:
        other = rule(match={"pathPrefix": "/b/"}, allowAnonymous=True)
        routes = decode(document(rule(), other)).unwrap().routes_by_host["h.example"]
        self.assertFalse(routes["/a/"].allow_anonymous)
        self.assertTrue(routes["/b/"].allow_anonymous)

    def test_invalid_organisations_reject_the_configuration_without_showing_a_key(self) -> None:
        invalid: dict[str, t.Any] = {
            "no list": tenant(),
            "no name": [{"apiKeys": [KEY]}],
            "empty name": [tenant(name="")],
            "name that ends a header": [tenant(name="a\r\nX-Other: b")],
            "keys as text": [tenant(apiKeys=KEY)],
            "number as key": [tenant(apiKeys=[KEY, 7])],
            "negative rate": [tenant(ratePerS=-1)],
            "rate as text": [tenant(ratePerS=KEY)],
            "priority as text": [tenant(priority=KEY)],
            "shared key": [tenant(), tenant(name="elm")],
            "name twice": [tenant(), tenant(apiKeys=[])],
        }
        for name, tenants in invalid.items():
            with self.subTest(name):
                reason = decode(document(rule(), tenants=tenants)).unwrap_err()
                self.assertNotIn(KEY, reason)


class ReuseTests(unittest.TestCase):
    # A configuration arrives up to five times a second; its organisations rarely change.
    def test_organisations_that_did_not_change_are_not_decoded_again(self) -> None:
        decoder = ConfigurationDecoder()
        first = decoder.decode(document(rule(), tenants=[tenant()])).unwrap()
        with mock.patch.object(decoding, "build_organisations") as build:
            second = decoder.decode(document(rule(), version=8, tenants=[tenant()])).unwrap()
        build.assert_not_called()
        self.assertIs(second.organisations, first.organisations)

    def test_a_withdrawn_key_is_gone_with_the_next_configuration(self) -> None:
        decoder = ConfigurationDecoder()
        for keys, known in (([KEY], True), (["other"], False), ([KEY], True), ([], False)):
            found = decoder.decode(document(rule(), tenants=[tenant(apiKeys=keys)])).unwrap()
            assert found.organisations is not None
            self.assertEqual(found.organisations.identify([f"Bearer {KEY}"], True).is_ok(), known)

    def test_an_invalid_list_does_not_replace_the_last_one(self) -> None:
        decoder = ConfigurationDecoder()
        data = document(rule(), tenants=[tenant()])
        first = decoder.decode(data).unwrap()
        self.assertTrue(decoder.decode(document(rule(), tenants=[tenant(name="")])).is_err())
        self.assertIs(decoder.decode(data).unwrap().organisations, first.organisations)

    def test_the_decoder_keeps_no_key(self) -> None:
        decoder = ConfigurationDecoder()
        decoder.decode(document(rule(), tenants=[tenant()]))
        kept = [repr(getattr(decoder, name)) for name in decoder.__slots__]
        kept += [repr(getattr(decoder._organisations, n)) for n in ("_digest", "_organisations")]
        self.assertNotIn(KEY, "".join(kept))
