"""HTTP headers: the names that a platform gives, and what is passed on."""

from dataclasses import dataclass

from bulrushflow.headers import CONNECTION_HEADERS


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """What the headers are called that callers, targets and nodes exchange."""

    request_id: str
    """Identifies one attempt of a caller; the target echoes it."""
    timeout_ms: str
    """Milliseconds that are left for the call."""
    signature: str
    """Proves that an answer is the target's own."""
    expected_target: str
    """Id of the only target that may run the call."""
    not_run: str
    """Set by a target that certainly didn't run the call."""
    caller_service: str
    """Service of the instance that the call came from."""
    target_id: str
    """Id of the target that answered."""


HOP_BY_HOP_HEADERS = CONNECTION_HEADERS | {"expect", "proxy-connection"}
"""Headers that concern one connection only; in lower case."""
