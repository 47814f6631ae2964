"""Runs all tests except the known failures, and prints the counts last."""

import pathlib
import sys
import typing as t
import unittest

ROOT = pathlib.Path(__file__).parent
KNOWN_RED = ROOT.parent / "KNOWN-RED.txt"


def known_red_ids() -> set[str]:
    """Return the ids of the tests listed in ``KNOWN-RED.txt``, one entry per line."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.split()[0] for line in lines if line.strip() and not line.startswith("#")}


def flatten(suite: unittest.TestSuite) -> t.Iterator[unittest.TestCase]:
    """Yield the test cases of a suite and its nested suites."""
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from flatten(test)
        else:
            yield test


def load_tests() -> tuple[unittest.TestSuite, list[str], set[str]]:
    """Return the tests to run, the ids of those that are left out, and the known ids of no test.

    The suite has the only references to its tests and drops each one after it. Kept to the end, all
    fleets of the run would stay in memory, and collections of garbage would take long.
    """
    found = unittest.defaultTestLoader.discover(str(ROOT), top_level_dir=str(ROOT.parent))
    known = known_red_ids()
    tests = list(flatten(found))
    skipped = [test.id() for test in tests if test.id() in known]
    unknown_ids = known - set(skipped)
    return (
        unittest.TestSuite(test for test in tests if test.id() not in known),
        skipped,
        unknown_ids,
    )


def main() -> int:
    """Run the tests and return the exit status."""
    run, skipped, unknown_ids = load_tests()
    result = unittest.TextTestRunner(verbosity=1).run(run)
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    sys.stderr.flush()
    for name in skipped:
        print(f"known red, not run: {name}")
    for name in sorted(unknown_ids):
        print(f"KNOWN-RED.txt names no test: {name}")
    failed += len(unknown_ids)
    passed = result.testsRun - len(result.failures) - len(result.errors) - len(result.skipped)
    print(f"{passed} passed, {failed} failed, {len(skipped) + len(result.skipped)} skipped")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
