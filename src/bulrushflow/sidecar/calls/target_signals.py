"""What a target says of itself in its response headers: a rate limit, and that it leaves."""

import math
import typing as t

import msgspec

from bulrushflow.sidecar.calls.headers import HeaderNames

LEAVING_VALUE = "1"


class TargetSignals(msgspec.Struct, frozen=True):
    """The signals in one response of a target."""

    limit_per_s: float | None = None
    """Calls per second that the target accepts from all nodes; ``None`` without a limit."""
    leaving: bool = False
    """Whether the target is about to leave."""
    invalid_limit: str | None = None
    """The text of a limit that can't be read."""


NO_SIGNALS = TargetSignals()


class SignalReader:
    """Reads the signals from response headers, whose names depend on the platform."""

    __slots__ = ("_leaving_header", "_limit_header")

    def __init__(self, header_names: HeaderNames) -> None:
        self._limit_header = header_names.rate_limit.lower()
        self._leaving_header = header_names.leaving.lower()

    def read(self, headers: t.Iterable[tuple[str, str]]) -> TargetSignals:
        """Return the signals in headers whose names are in lower case.

        A limit that is negative or no finite decimal number is returned as invalid.
        """
        limit_per_s: float | None = None
        invalid_limit: str | None = None
        leaving = False
        for name, value in headers:
            if name == self._limit_header:
                limit_per_s = _parse_limit(value)
                invalid_limit = value if limit_per_s is None else None
            elif name == self._leaving_header:
                leaving = value.strip() == LEAVING_VALUE
        if limit_per_s is None and invalid_limit is None and not leaving:
            return NO_SIGNALS
        return TargetSignals(limit_per_s, leaving, invalid_limit)


def _parse_limit(text: str) -> float | None:
    try:
        limit_per_s = float(text)
    except ValueError:
        return None
    return limit_per_s if math.isfinite(limit_per_s) and limit_per_s >= 0 else None
