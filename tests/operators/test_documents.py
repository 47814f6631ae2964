"""Tests of configuration documents, dry runs and times."""

import pathlib
import tempfile
import unittest

import msgspec

from bulrushflow.configuration import EMPTY_CONFIGURATION
from bulrushflow.configuration import Configuration
from bulrushflow.configuration import Configure
from bulrushflow.configuration import ConfigureV2
from bulrushflow.configuration import EnableSchema
from bulrushflow.configuration import LogRecord
from bulrushflow.configuration import encode_record
from bulrushflow.configuration import fold
from bulrushflow.operators.documents import load_document
from bulrushflow.operators.documents import parse_deadline
from bulrushflow.operators.documents import parse_since
from bulrushflow.operators.documents import to_document
from bulrushflow.operators.dry_run import dry_run

NOW_MS = 1_000_000


class DocumentTests(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name) / "document.json"

    def load(self, text: str) -> Configure | ConfigureV2:
        self.path.write_text(text, encoding="utf-8")
        return load_document(self.path, "p", "ana").unwrap()

    def in_force(self, text: str) -> Configuration:
        return fold(EMPTY_CONFIGURATION, LogRecord(0, NOW_MS, encode_record(self.load(text))))

    def test_errors_say_what_is_wrong_and_where(self) -> None:
        cases = {
            "not JSON": "{",
            "expected an object": "[]",
            "schema 99 is above": '{"schema": 99}',
            "Expected `int`": '{"schema": "one"}',
            "$.services": '{"services": {"plots": {"version": 1}}}',
            "$.routes": '{"routes": {"/plots": {}}}',
            "unknown field `extra`": '{"extra": 1}',
            "not JSON with comments": '{"services": {}, "services": {}}',
        }
        for expected, text in cases.items():
            with self.subTest(expected):
                self.path.write_text(text, encoding="utf-8")
                errors = load_document(self.path, "p", "ana").unwrap_err()
                self.assertIn(expected, "\n".join(errors))

    def test_a_missing_file_is_an_error(self) -> None:
        errors = load_document(self.path, "p", "ana").unwrap_err()
        self.assertIn("cannot be read", errors[0])

    def test_a_document_of_what_is_in_force_changes_nothing(self) -> None:
        text = '{"services": {"plots": {"version": "v1"}}, "routes": {"/p": {"service": "plots"}}}'
        current = self.in_force(text)
        again = self.load(msgspec.json.encode(to_document(current)).decode())
        again = msgspec.structs.replace(again, publish_id="again")
        result = dry_run(current, again, NOW_MS)
        self.assertTrue(result.verdict.accepted, result.verdict)
        self.assertEqual(result.differences, [])

    def test_idempotent_methods_are_kept_in_a_document(self) -> None:
        enabled = fold(
            EMPTY_CONFIGURATION, LogRecord(0, NOW_MS, encode_record(EnableSchema(1, "e", "ana", 2)))
        )
        record = self.load(
            '{"schema": 2, "services": {"plots": {"version": "v1"}}, "routes": {"/p":'
            ' {"service": "plots", "timeout_s": 1.5, "idempotent_methods": ["PUT"]}}}'
        )
        record = msgspec.structs.replace(record, made_at=0)
        current = fold(enabled, LogRecord(1, NOW_MS, encode_record(record)))
        self.assertEqual(current.routes_by_path["/p"].idempotent_methods, ("PUT",))
        again = self.load(msgspec.json.encode(to_document(current)).decode())
        again = msgspec.structs.replace(again, publish_id="again")
        self.assertEqual(dry_run(current, again, NOW_MS).differences, [])
        self.assertTrue(dry_run(current, again, NOW_MS).verdict.accepted)

    def test_a_dry_run_returns_the_differences_or_the_reason_of_a_rejection(self) -> None:
        current = self.in_force(
            '{"services": {"plots": {"version": "v1"}}, "routes": {"/p": {"service": "plots"}}}'
        )
        change = self.load(
            '{"services": {"plots": {"version": "v2"}, "dues": {"version": "v1"}},'
            ' "routes": {"/p": null}}'
        )
        result = dry_run(current, msgspec.structs.replace(change, publish_id="q"), NOW_MS)
        heads = [line.split(":")[0] for line in result.differences]
        self.assertEqual(heads, ["+ service dues", "~ service plots", "- route /p"])
        dangling = self.load('{"services": {"plots": null}}')
        result = dry_run(current, msgspec.structs.replace(dangling, publish_id="r"), NOW_MS)
        self.assertIn("points at unknown service", result.verdict.reason)


class TimeTests(unittest.TestCase):
    def test_times_are_relative_or_iso_8601(self) -> None:
        cases = {
            "+30s": NOW_MS + 30_000,
            "+1.5m": NOW_MS + 90_000,
            "+2h": NOW_MS + 7_200_000,
            "1970-01-01T00:00:10+00:00": 10_000,
            "1970-01-01T00:00:10Z": 10_000,
        }
        for text, expected in cases.items():
            with self.subTest(text):
                self.assertEqual(parse_deadline(text, NOW_MS).unwrap(), expected)
        self.assertEqual(parse_since("10m", NOW_MS).unwrap(), NOW_MS - 600_000)

    def test_other_texts_are_no_times(self) -> None:
        for text in ("", "soon", "30s", "-30s", "+s", "2026-01-01T10:00:00", "+1w"):
            with self.subTest(text):
                self.assertTrue(parse_deadline(text, NOW_MS).is_err())
        self.assertTrue(parse_since("+10m", NOW_MS).is_err())
