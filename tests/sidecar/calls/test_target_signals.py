import math
import unittest

from hypothesis import given
from hypothesis import strategies as st

from bulrushflow.sidecar.calls.target_signals import NO_SIGNALS
from bulrushflow.sidecar.calls.target_signals import SignalReader
from tests.sidecar.samples import NAMES


class SignalReaderTests(unittest.TestCase):
    def setUp(self) -> None:
        self.reader = SignalReader(NAMES)

    def test_a_limit_is_a_decimal_number_of_calls_per_second(self) -> None:
        for text, limit in (("28.2", 28.2), ("5", 5.0), ("0", 0.0), (" 0.25 ", 0.25)):
            with self.subTest(text=text):
                self.assertEqual(self.reader.read([("x-limit", text)]).limit_per_s, limit)

    def test_a_limit_that_cannot_be_read_is_reported_and_is_no_limit(self) -> None:
        for text in ("", "-1", "nan", "inf", "many", "1,5", "1 2"):
            with self.subTest(text=text):
                signals = self.reader.read([("x-limit", text)])
                self.assertIsNone(signals.limit_per_s)
                self.assertEqual(signals.invalid_limit, text)

    def test_a_target_leaves_if_the_header_says_so(self) -> None:
        self.assertTrue(self.reader.read([("x-leaving", "1")]).leaving)
        self.assertFalse(self.reader.read([("x-leaving", "0")]).leaving)

    def test_a_response_without_the_headers_has_no_signals(self) -> None:
        self.assertIs(self.reader.read([("content-type", "1")]), NO_SIGNALS)

    @given(st.text())
    def test_any_text_is_a_limit_that_can_be_kept_or_invalid(self, text: str) -> None:
        signals = self.reader.read([("x-limit", text)])
        if signals.limit_per_s is None:
            self.assertEqual(signals.invalid_limit, text)
        else:
            self.assertTrue(math.isfinite(signals.limit_per_s) and signals.limit_per_s >= 0)
