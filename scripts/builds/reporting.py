"""The two builds under test, and the outcomes of the checks."""

import pathlib
import re
import subprocess
import typing as t
from dataclasses import dataclass
from dataclasses import field

UNREADABLE = re.compile(
    r"Traceback|\"exception\":|unreadable|malformed|can't be decoded|passed over|skipped: schema"
    r"|snapshot of schema|unknown state|unknown latency bucket|release can't|seed record .* ignored"
)
"""Log lines of either build about a message or record that it can't read, and tracebacks."""
MAX_EXAMPLES = 4


@dataclass(frozen=True, slots=True)
class Build:
    """One build: its name in the report, and the directory of its packages."""

    name: str
    source: pathlib.Path

    def commit(self) -> str:
        """Return the commit of the source tree, with ``-dirty`` if tracked files differ."""
        command = ["git", "-C", str(self.source), "describe", "--always", "--dirty", "--exclude=*"]
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        return done.stdout.strip() or "an unknown commit"


@dataclass(frozen=True, slots=True)
class Builds:
    """Both builds; instances with odd numbers start with the old one, and are swapped later."""

    old: Build
    new: Build

    def of(self, number: int, swapped: bool = False) -> Build:
        """Return the build that an instance runs."""
        return self.old if (number % 2 == 1) != swapped else self.new


@dataclass(slots=True)
class Report:
    """Collects a line for each check, and the logs of old programs for the check of ``story``."""

    scratch: pathlib.Path
    lines: list[str] = field(default_factory=list)
    failed: int = 0
    old_logs: list[pathlib.Path] = field(default_factory=list)

    def add(self, name: str, passed: bool, details: t.Any = "") -> None:
        """Record a check's outcome, with the figures or the error behind it."""
        text = str(details).strip().replace("\n", " | ")
        outcome = "passed" if passed else "FAILED"
        self.lines.append(f"{outcome}  {name}" + (f": {text}" if text else ""))
        self.failed += not passed

    def add_differences(self, name: str, differences: t.Sequence[str], details: t.Any = "") -> None:
        """Record a check that passes if there are no differences."""
        examples = [f"{len(differences)} differences", *differences[:MAX_EXAMPLES]]
        self.add(name, not differences, "\n".join(examples) if differences else details)

    def add_logs(self, name: str, logs_by_program: t.Mapping[str, str]) -> None:
        """Check that no program logged a traceback or something that it couldn't read."""
        found = [
            f"{program}: {line}"
            for program, log in logs_by_program.items()
            for line in log.splitlines()
            if UNREADABLE.search(line)
        ]
        self.add_differences(name, found, f"{len(logs_by_program)} logs searched")
