"""Time format of all text output for operators."""

import datetime


def format_time(epoch_ms: int) -> str:
    """Return a time in epoch milliseconds as ISO 8601 in UTC, with milliseconds."""
    moment = datetime.datetime.fromtimestamp(epoch_ms / 1000, tz=datetime.UTC)
    return moment.isoformat(timespec="milliseconds")
