"""Exceptions for broken invariants; expected failures are returned as :mod:`result` values."""


class BulrushflowError(Exception):
    """Base class of the package's exceptions."""


class InvariantError(BulrushflowError):
    """A state that should be impossible; the process must stop."""
