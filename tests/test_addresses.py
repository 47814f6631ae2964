import unittest

from bulrushflow.addresses import parse_address
from bulrushflow.platform.adapter import PlatformAdapter


class ParseAddressTests(unittest.TestCase):
    def test_an_ip_and_a_port_are_parsed(self) -> None:
        self.assertEqual(parse_address("10.1.0.5:8309"), ("10.1.0.5", 8309))

    def test_anything_else_is_no_address(self) -> None:
        for text in (
            "",
            "10.1.0.5",
            ":8309",
            "10.1.0.5:",
            "10.1.0.5:0",
            "10.1.0.5:65536",
            "10.1.0.5:" + "1" * 5000,
            "10.1.0.5:١٢",
            "10.1.0:8309",
            "target.example:8309",
        ):
            with self.subTest(text[:30]):
                self.assertIsNone(parse_address(text))


class AnnouncedAddressTests(unittest.TestCase):
    def test_an_announcement_with_an_address_that_cannot_be_connected_to_is_refused(self) -> None:
        # A port out of range raised OverflowError in each call's attempt to connect.
        data = (
            b'{"service":"s","address":"10.1.0.5:70000","zone":"a","version":"v1","slots":4,'
            b'"state":"ready","seq":1,"born":1}'
        )
        self.assertIn("no IP:PORT", PlatformAdapter().decode_announcement("t-1", data).unwrap_err())
