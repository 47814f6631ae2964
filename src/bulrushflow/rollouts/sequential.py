"""Sequential test for a change that affects one of two samples.

Each block of calls gives an e-value for "the new version's rate is above the old one's" against
"both have the same rate, whatever it is in this block" (two-sample e-variables for Bernoulli
data). Products of e-values are accumulated by the Shiryaev-Roberts rule, which forgets the time
before a change. With equal rates the accumulated value exceeds a threshold C within N blocks
with a probability of at most N / C.
"""

import math
import typing as t

import msgspec

THRESHOLD_HISTORY = 3e3
"""Accumulated value against the old version's known rate from which a fault is reported."""
THRESHOLD_CONTROL = 3e3
"""The same threshold against the control: the old version's calls in the same blocks."""
MAX_CONTROL_LOG_RATIO = math.log(THRESHOLD_CONTROL) / 4
"""Bound on one block's log likelihood ratio against the control, since reports on the same period
arrive unevenly and one block must not decide alone."""
MAX_UNCONTROLLED_LOG_RATIO = math.log(THRESHOLD_CONTROL) / 2
"""The same bound for errors in a block without any calls to the old version."""
EFFECTS: t.Final = (0.05, 0.2, 0.6)
"""Alternatives tested: the fraction of the good calls that turn bad with the new version."""
NO_CONTROL_TOLERANCE = 0.2
"""Additional tolerance where the old version had no calls in a block."""
MAX_SUM = 3e4
"""Bound on an accumulated value, so that past blocks are soon forgotten."""
MIN_RATE = 0.002
MAX_RATE = 0.95


class Sample(msgspec.Struct, frozen=True):
    """Calls in one block, and how many of them were bad."""

    calls: float
    bad: float


class _ShiryaevRobertsSums:
    """Shiryaev-Roberts sums of e-values, one for each alternative."""

    __slots__ = ("_sums",)

    def __init__(self) -> None:
        self._sums = [0.0] * len(EFFECTS)

    @property
    def value(self) -> float:
        return sum(self._sums) / len(self._sums)

    def update(self, i: int, log_value: float, max_log: float) -> None:
        factor = math.exp(max(-50.0, min(max_log, log_value)))
        self._sums[i] = min((self._sums[i] + 1) * factor, MAX_SUM)


class ChangeDetector:
    """Detects that the new version has become worse than the old one.

    Two null hypotheses have to be rejected: that the old version's known rate holds for both, and
    that both share a new rate. Few calls suffice to reject the first; the second can only be
    rejected with calls to the old version.
    """

    __slots__ = (
        "_against_control",
        "_against_history",
        "_max_uncontrolled",
        "_tolerance",
        "_uncontrolled_tolerance",
    )

    def __init__(
        self,
        tolerance: float,
        max_uncontrolled_log_ratio: float = MAX_CONTROL_LOG_RATIO,
        uncontrolled_tolerance: float = NO_CONTROL_TOLERANCE,
    ) -> None:
        """
        :param tolerance: fraction of calls by which the new version may be worse.
        :param max_uncontrolled_log_ratio: bound on the log likelihood ratio of one block without
            calls to the old version.
        :param uncontrolled_tolerance: additional tolerance in such a block.
        """
        self._tolerance = tolerance
        self._uncontrolled_tolerance = uncontrolled_tolerance
        self._max_uncontrolled = max_uncontrolled_log_ratio
        self._against_history = _ShiryaevRobertsSums()
        self._against_control = _ShiryaevRobertsSums()

    @property
    def strength(self) -> float:
        """Strength of the evidence, 0 or more; from 1 on the new version counts as faulty."""
        history = math.log(max(1.0, self._against_history.value)) / math.log(THRESHOLD_HISTORY)
        control = math.log(max(1.0, self._against_control.value)) / math.log(THRESHOLD_CONTROL)
        return min(history, control)

    def add(self, old: Sample, new: Sample, expected: float) -> None:
        """Add a block.

        :param expected: the old version's rate of bad calls before the block.
        """
        self._add_history(new, expected)
        if old.calls:
            self._add_control(old, new, expected)
        else:
            self._add_without_control(new, expected)

    def _add_history(self, new: Sample, expected: float) -> None:
        old_rate = _clamp(expected + self._tolerance)
        for i, effect in enumerate(EFFECTS):
            new_rate = _clamp(old_rate + effect * (1 - old_rate))
            log_value = _log_ratio(new.calls, new.bad, new_rate, old_rate)
            self._against_history.update(i, log_value, math.log(THRESHOLD_HISTORY))

    def _add_control(self, old: Sample, new: Sample, expected: float) -> None:
        old_rate = _clamp(expected + self._tolerance)
        # A difference within the tolerance counts as none.
        bad = old.bad + self._tolerance * (old.calls - old.bad)
        for i, effect in enumerate(EFFECTS):
            new_rate = _clamp(old_rate + effect * (1 - old_rate))
            pooled = (new.calls * new_rate + old.calls * old_rate) / (new.calls + old.calls)
            log_value = _log_ratio(new.calls, new.bad, new_rate, pooled)
            log_value += _log_ratio(old.calls, bad, old_rate, pooled)
            self._against_control.update(i, log_value, MAX_CONTROL_LOG_RATIO)

    def _add_without_control(self, new: Sample, expected: float) -> None:
        known = _clamp(expected + self._tolerance + self._uncontrolled_tolerance)
        for i, effect in enumerate(EFFECTS):
            new_rate = _clamp(known + effect * (1 - known))
            log_value = _log_ratio(new.calls, new.bad, new_rate, known)
            self._against_control.update(i, log_value, self._max_uncontrolled)


def _clamp(rate: float) -> float:
    return max(MIN_RATE, min(MAX_RATE, rate))


def _log_ratio(calls: float, bad: float, rate: float, reference: float) -> float:
    """Return the log likelihood ratio of one rate against another."""
    good = calls - bad
    return bad * math.log(rate / reference) + good * math.log((1 - rate) / (1 - reference))
