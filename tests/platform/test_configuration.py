import json
import typing as t
import unittest

from hypothesis import given
from hypothesis import strategies as st
from result import Result

from bulrushflow.platform.configuration import ConfigurationDecoder
from bulrushflow.sidecar.model import Routing


def rule(**changes: t.Any) -> dict[str, t.Any]:
    return {
        "name": "r",
        "kind": "safe",
        "targetLatency": "600ms",
        "priority": 2,
        "match": {"pathPrefix": "/a/"},
        "action": {"service": "s1", "timeout": "1200ms", "maxAttempts": 2},
    } | changes


def document(*rules: dict[str, t.Any], **changes: t.Any) -> bytes:
    default = {
        "version": 7,
        "listeners": [{"host": "h.example", "ruleSet": list(rules)}],
        "clusters": [{"name": "s1"}, {"name": "s2", "maxConnections": 9}],
    }
    return json.dumps(default | changes).encode()


def decode(data: bytes) -> Result[Routing, str]:
    return ConfigurationDecoder().decode(data)


class ConfigurationTests(unittest.TestCase):
    def test_routes_match_by_host_and_longest_prefix(self) -> None:
        longer = rule(name="longer", match={"pathPrefix": "/a/b/"})
        routing = decode(document(rule(), longer)).unwrap()
        for path, name in (("/a/x?b=/a/b/c", "r"), ("/a/b/c", "longer"), ("/a/b", "r")):
            found = routing.match("h.example", path)
            assert found is not None
            self.assertEqual(found.name, name)
        for host, path in (("h.example", "/b/"), ("other", "/a/x"), ("h.example", "*")):
            self.assertIsNone(routing.match(host, path))

    def test_a_service_may_limit_the_calls_to_its_cold_targets(self) -> None:
        clusters = [{"name": "s1", "coldStart": "3s", "coldPerS": 9}, {"name": "s2"}]
        services = decode(document(rule(), clusters=clusters)).unwrap().services_by_name
        self.assertEqual((services["s1"].cold_start_s, services["s1"].cold_per_s), (3.0, 9.0))
        self.assertEqual((services["s2"].cold_start_s, services["s2"].cold_per_s), (0.0, 0.0))

    def test_invalid_limits_of_cold_targets_reject_the_configuration(self) -> None:
        for changes in ({"coldPerS": -1}, {"coldPerS": "9"}, {"coldStart": "soon"}):
            with self.subTest(changes=changes):
                clusters = [{"name": "s1"} | changes]
                self.assertTrue(decode(document(rule(), clusters=clusters)).is_err())

    def test_idempotency_follows_from_the_kind_of_route(self) -> None:
        kinds = (
            ("safe", True),
            ("download", True),
            ("unsafe", False),
            ("keyed", False),
            ("upload", False),
        )
        for kind, idempotent in kinds:
            with self.subTest(kind):
                routing = decode(document(rule(kind=kind))).unwrap()
                route = routing.match("h.example", "/a/x")
                assert route is not None
                self.assertEqual(route.idempotent, idempotent)
                self.assertEqual(route.disabled, "")

    # One route of a kind of the next release kept every other change of a configuration out.
    def test_an_unknown_kind_disables_its_route_alone(self) -> None:
        longer = rule(name="longer", kind="odd", match={"pathPrefix": "/a/b/"})
        routing = decode(document(rule(), longer)).unwrap()
        found = routing.match("h.example", "/a/b/c")
        assert found is not None
        self.assertEqual((found.name, found.disabled), ("longer", "unknown kind 'odd'"))
        self.assertFalse(found.idempotent)
        self.assertEqual(routing.disabled_routes(), [found])
        other = routing.match("h.example", "/a/c")
        assert other is not None
        self.assertEqual((other.name, other.disabled), ("r", ""))

    def test_a_disabled_route_is_checked_like_the_others(self) -> None:
        invalid: tuple[dict[str, t.Any], ...] = (
            {"action": rule()["action"] | {"service": "nobody"}},
            {"action": rule()["action"] | {"maxAttempts": 0}},
            {"match": {"pathPrefix": "/a"}},
            {"targetLatency": "soon"},
            {"kind": 7},
        )
        for changes in invalid:
            with self.subTest(changes):
                self.assertTrue(decode(document(rule(**({"kind": "odd"} | changes)))).is_err())

    def test_a_traffic_split_keeps_its_weights(self) -> None:
        action = {
            "trafficSplit": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}],
            "timeout": "1s",
            "maxAttempts": 2,
        }
        routing = decode(document(rule(action=action))).unwrap()
        route = routing.match("h.example", "/a/x")
        assert route is not None
        self.assertEqual([(p.service, p.weight) for p in route.services], [("s1", 90), ("s2", 10)])

    # A part that got calls before its weight became 0 got the first ones after it too.
    def test_a_part_of_weight_0_is_left_out(self) -> None:
        parts = [{"service": "s1", "weight": 0}, {"service": "s2", "weight": 10}]
        action = {"trafficSplit": parts, "timeout": "1s", "maxAttempts": 2}
        route = decode(document(rule(action=action))).unwrap().match("h.example", "/a/x")
        assert route is not None
        self.assertEqual([part.service for part in route.services], ["s2"])

    def test_an_invalid_document_is_rejected_as_a_whole(self) -> None:
        invalid = {
            "unknown service": document(rule(action=rule()["action"] | {"service": "nobody"})),
            "no attempts": document(rule(action=rule()["action"] | {"maxAttempts": 0})),
            "prefix": document(rule(match={"pathPrefix": "/a"})),
            "no time": document(rule(targetLatency="soon")),
            "version": document(rule(), version="7"),
            "cut short": document(rule())[:-20],
            "empty": b"",
        }
        for name, data in invalid.items():
            with self.subTest(name):
                self.assertTrue(decode(data).is_err())

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_are_decoded_or_rejected_without_an_exception(
        self, data: bytes
    ) -> None:
        decode(data)


def listener(host: str, **changes: t.Any) -> dict[str, t.Any]:
    return {"host": host, "ruleSet": [rule(**changes)]}


class ReuseTests(unittest.TestCase):
    def setUp(self) -> None:
        self.decoder = ConfigurationDecoder()

    def decode(self, *listeners: dict[str, t.Any], **changes: t.Any) -> Result[Routing, str]:
        return self.decoder.decode(document(listeners=list(listeners), **changes))

    def test_routes_of_a_host_that_did_not_change_are_reused(self) -> None:
        first = self.decode(listener("a"), listener("b")).unwrap()
        second = self.decode(listener("a"), listener("b", priority=1), version=8).unwrap()
        self.assertIs(second.routes_by_host["a"], first.routes_by_host["a"])
        self.assertEqual(second.routes_by_host["b"]["/a/"].priority, 1)
        self.assertEqual(first.routes_by_host["b"]["/a/"].priority, 2)

    def test_routes_that_did_not_change_are_reused_beside_one_that_did(self) -> None:
        other = {"name": "other", "match": {"pathPrefix": "/b/"}}
        first = self.decode(
            {"host": "a", "ruleSet": [rule(), rule(**other)]}, listener("b", priority=5)
        ).unwrap()
        second = self.decode(
            {"host": "a", "ruleSet": [rule(), rule(**other, priority=1)]}, listener("b", priority=6)
        ).unwrap()
        self.assertIs(second.routes_by_host["a"]["/a/"], first.routes_by_host["a"]["/a/"])
        self.assertEqual(second.routes_by_host["a"]["/b/"].priority, 1)
        self.assertEqual(second.routes_by_host["b"]["/a/"].priority, 6)

    def test_services_that_did_not_change_are_reused(self) -> None:
        first = self.decode(listener("a")).unwrap()
        second = self.decode(listener("a", priority=1), version=8).unwrap()
        self.assertIs(second.services_by_name, first.services_by_name)

    # Services kept from a rejected configuration would come into force with the next one.
    def test_services_of_a_rejected_configuration_are_not_reused(self) -> None:
        self.decode(listener("a"))
        changed = [{"name": "s1", "maxConnections": 3}]
        self.assertTrue(self.decode(listener("a", kind=7), clusters=changed).is_err())
        kept = self.decode(listener("a")).unwrap()
        self.assertEqual(kept.services_by_name["s1"].max_connections, 100)
        taken = self.decode(listener("a"), clusters=changed).unwrap()
        self.assertEqual(taken.services_by_name["s1"].max_connections, 3)

    def test_an_unreadable_service_rejects_the_configuration(self) -> None:
        self.decode(listener("a"))
        unreadable: tuple[t.Any, ...] = (None, 7, [{"name": 7}], [{}])
        for clusters in unreadable:
            with self.subTest(clusters):
                reason = self.decode(listener("a"), clusters=clusters).unwrap_err()
                self.assertIn("clusters", reason)

    def test_a_route_that_moves_to_another_host_is_not_taken_from_the_first(self) -> None:
        self.decode(listener("a"))
        second = self.decode(listener("b")).unwrap()
        self.assertEqual(second.routes_by_host["b"]["/a/"].host, "b")

    def test_the_last_route_of_a_prefix_is_in_force(self) -> None:
        first, second = rule(name="first"), rule(name="second")
        for version, listed in enumerate(
            ((first, second), (second, first), (first, second, first))
        ):
            with self.subTest(version=version):
                routing = self.decode({"host": "a", "ruleSet": list(listed)}).unwrap()
                self.assertEqual(routing.routes_by_host["a"]["/a/"].name, listed[-1]["name"])

    def test_a_host_that_is_gone_has_no_routes_any_more(self) -> None:
        self.decode(listener("a"), listener("b"))
        self.assertEqual(self.decode(listener("b")).unwrap().routes_by_host.keys(), {"b"})

    def test_a_reused_route_whose_service_is_gone_rejects_the_configuration(self) -> None:
        self.decode(listener("a"))
        self.assertTrue(self.decode(listener("a"), clusters=[{"name": "s2"}]).is_err())

    def test_routes_of_a_host_that_is_listed_twice_are_merged(self) -> None:
        other = listener("a", name="other", match={"pathPrefix": "/b/"})
        routing = self.decode(listener("a"), other).unwrap()
        self.assertEqual(routing.routes_by_host["a"].keys(), {"/a/", "/b/"})
