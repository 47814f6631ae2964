"""Tests of parsing and checking settings."""

import unittest

from bulrushflow.settings import parse_settings

GOOD = """{
    // A node of the co-operative.
    "node_id": "celje-a-1", "data_centre": "celje-a", "address": "127.0.0.1",
    "caller_port": 1, "peer_port": 2, "target_port": 3, "operator_port": 4,
    "platform": {"url": "http://127.0.0.1:7000"},
}"""
COMMENT = "// A"


class ParseSettingsTests(unittest.TestCase):
    def test_comments_are_accepted_and_defaults_applied(self) -> None:
        settings = parse_settings(GOOD).unwrap()
        self.assertEqual(settings.node_id, "celje-a-1")
        self.assertEqual(settings.gossip.period_s, 0.5)

    def test_each_fault_is_reported_with_its_place(self) -> None:
        cases = {
            "$.surplus: unknown key": GOOD.replace("// A node", '"surplus": 1, // A node'),
            "$.caller_port: Expected": GOOD.replace('"caller_port": 1', '"caller_port": "x"'),
            "$.platform.url: missing": GOOD.replace('"url"', '"uri"'),
            "$.address: 'here' is not": GOOD.replace('"127.0.0.1"', '"here"'),
            "$.peer_port: duplicate address": GOOD.replace('"peer_port": 2', '"peer_port": 3'),
            "$.address: must be one": GOOD.replace("127.0.0.1", "0.0.0.0", 1),
            "$.seeds[0]: is this node's own": GOOD.replace(
                COMMENT, '"seeds": ["127.0.0.1:2"], // A'
            ),
            "$.seeds[1]: 'x:1' is not": GOOD.replace(
                COMMENT, '"seeds": ["127.0.0.1:9", "x:1"], // A'
            ),
            "$.seeds: duplicate": GOOD.replace(
                COMMENT, '"seeds": ["127.0.0.1:9", "127.0.0.1:9"], // A'
            ),
            "$.platform.url: must start": GOOD.replace("http://127", "ftp://127"),
            "$.platform.url: names no host": GOOD.replace("127.0.0.1:7000", ":7000"),
            "$.platform.url: names no host, or": GOOD.replace("1:7000", "1:70000"),
            "$.gossip.suspicion_s: must be more": GOOD.replace(
                COMMENT, '"gossip": {"period_s": 1, "suspicion_s": 1.2}, // A'
            ),
            "$.gossip.period_s: Expected": GOOD.replace(COMMENT, '"gossip": {"period_s": 0}, // A'),
            "$: not JSON": "{",
            "$: expected an object": "[]",
        }
        for expected, text in cases.items():
            with self.subTest(expected):
                faults = [str(f) for f in parse_settings(text).unwrap_err()]
                self.assertTrue(any(f.startswith(expected) for f in faults), faults)

    def test_all_faults_are_reported_at_once(self) -> None:
        text = GOOD.replace('"caller_port": 1', '"caller_port": -1').replace('"url"', '"uri"')
        self.assertEqual(len(parse_settings(text).unwrap_err()), 3)

    def test_overrides_replace_values_of_the_file(self) -> None:
        settings = parse_settings(GOOD, {"node_id": "other", "address": None}).unwrap()
        self.assertEqual((settings.node_id, settings.address), ("other", "127.0.0.1"))
