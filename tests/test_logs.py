"""Tests of the two log formats."""

import contextlib
import io
import typing as t
import unittest

import msgspec
from loguru import logger

from bulrushflow.logs import LogFormat
from bulrushflow.logs import configure_logs


class LogTests(unittest.TestCase):
    def setUp(self) -> None:
        self.addCleanup(logger.configure, extra={})
        self.addCleanup(logger.remove)

    def lines(self, log_format: LogFormat) -> list[str]:
        errors = io.StringIO()
        with contextlib.redirect_stderr(errors):
            configure_logs("celje-a-1", "INFO", log_format)
            logger.bind(offset=7).info("version {} <b>{{}}</b>", 3)
            logger.debug("below the level")
            try:
                raise ValueError("broken")
            except ValueError:
                logger.exception("caught")
        return errors.getvalue().splitlines()

    def test_json_lines_are_flat_objects_with_the_process(self) -> None:
        first, second = (msgspec.json.decode(line) for line in self.lines("json"))
        self.assertEqual(first["message"], "version 3 <b>{}</b>")
        self.assertEqual(
            (first["process"], first["level"], first["offset"]), ("celje-a-1", "INFO", 7)
        )
        self.assertIn("ValueError: broken", second["exception"])

    # Keys of requests are in local variables, and the library's default writes their values.
    def test_tracebacks_have_no_values_of_variables(self) -> None:
        for log_format in t.get_args(LogFormat):
            errors = io.StringIO()
            with self.subTest(log_format), contextlib.redirect_stderr(errors):
                configure_logs("celje-a-1", "INFO", log_format)
                key = "k-5e0c".upper()
                try:
                    int(key[7:])
                except ValueError:
                    logger.exception("caught")
            self.assertIn("caught", errors.getvalue())
            self.assertNotIn(key, errors.getvalue())

    def test_text_lines_have_the_message_and_the_bound_fields(self) -> None:
        lines = self.lines("text")
        self.assertIn("celje-a-1 tests.test_logs: version 3 <b>{}</b> offset=7", lines[0])
        self.assertIn("caught", lines[1])
        self.assertIn("ValueError: broken", lines[-1])
