"""Exit statuses of the programs that run a node."""

EXIT_SETTINGS = 2
"""The settings are invalid."""
EXIT_INVARIANT_ERROR = 3
"""An invariant is violated."""
