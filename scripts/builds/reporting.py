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


@dataclass(frozen=True, slots=True)
class Build:
    """One build: its name in the report, and the directory of its packages."""

    name: str
    source: pathlib.Path

    def commit(self) -> str:
        """Return the commit of the source tree, marked if files under ``src`` differ from it."""
        revision = self._git("rev-parse", "--short", "HEAD")
        return revision + (" with changes" if self._git("status", "--porcelain", ".") else "")

    def _git(self, *arguments: str) -> str:
        command = ["git", "-C", str(self.source), *arguments]
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        return done.stdout.strip() if done.returncode == 0 else "unknown"


@dataclass(frozen=True, slots=True)
class Builds:
    """Both builds; instances with odd numbers start with the old one."""

    old: Build
    new: Build

    def of(self, number: int, swapped: bool = False) -> Build:
        """Return the build that an instance runs, before or after the swap."""
        return self.old if (number % 2 == 1) != swapped else self.new

    def other(self, build: Build) -> Build:
        """Return the other build."""
        return self.new if build is self.old else self.old


@dataclass(frozen=True, slots=True)
class Check:
    """The outcome of one check, and the figures or the error behind it."""

    name: str
    passed: bool
    details: str

    def __str__(self) -> str:
        outcome = "passed" if self.passed else "FAILED"
        return f"{outcome}  {self.name}" + (f": {self.details}" if self.details else "")


@dataclass(slots=True)
class Report:
    """Collects the outcomes, and the logs that old programs leave for the timelines."""

    scratch: pathlib.Path
    checks: list[Check] = field(default_factory=list)
    old_logs: list[pathlib.Path] = field(default_factory=list)

    @property
    def failed_count(self) -> int:
        """Number of failed checks."""
        return sum(not check.passed for check in self.checks)

    def add(self, name: str, passed: bool, details: t.Any = "") -> None:
        """Record a check's outcome."""
        text = str(details).strip().replace("\n", " | ")
        self.checks.append(Check(name, passed, text))

    def add_log_check(self, name: str, logs_by_program: t.Mapping[str, str]) -> None:
        """Check that no program logged a traceback or something that it couldn't read."""
        lines = [
            f"{program}: {line}"
            for program, log in logs_by_program.items()
            for line in log.splitlines()
            if UNREADABLE.search(line)
        ]
        self.add(name, not lines, "\n".join(lines[:5]) or f"{len(logs_by_program)} logs searched")

    def keep_old_log(self, name: str, text: str) -> None:
        """Keep the log of a program of the old build for the check of the timelines."""
        file = self.scratch / f"{name}.log"
        file.write_text(text, encoding="utf-8")
        self.old_logs.append(file)
