"""Tests that the generated tables of the operators' pages are up to date."""

import unittest

from scripts.reference import PAGES
from scripts.reference import TABLES_BY_PAGE
from scripts.reference import with_table


class ReferenceTests(unittest.TestCase):
    def test_each_page_has_the_table_generated_from_the_code(self) -> None:
        for name, table in TABLES_BY_PAGE.items():
            with self.subTest(name):
                page = (PAGES / name).read_text(encoding="utf-8")
                self.assertEqual(page, with_table(page, table()), "run `make reference`")
