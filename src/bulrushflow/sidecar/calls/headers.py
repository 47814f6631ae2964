"""HTTP headers: their platform-specific names, and those that are not forwarded."""

import msgspec

from bulrushflow.headers import CONNECTION_HEADERS


class HeaderNames(msgspec.Struct, frozen=True):
    """Names of the headers that callers, targets and nodes exchange; set by the platform."""

    request_id: str
    """Id of one attempt of a caller; the target echoes it."""
    timeout_ms: str
    """Milliseconds left until the call's deadline."""
    signature: str
    """Proof that a response comes from the target itself."""
    expected_target: str
    """Id of the only target that may run the call; others refuse it."""
    not_run: str
    """Set by a target on its response if it certainly didn't run the call."""
    caller_service: str
    """Service of the instance that the call comes from."""
    target_id: str
    """Id of the target that responded."""
    rate_limit: str
    """Calls per second that a target accepts from all nodes together, in its responses."""
    leaving: str
    """Set by a target on its responses once it is about to leave."""
    organisation: str
    """Name of the organisation whose key the caller's request had, in calls to targets."""


AUTHORIZATION = "Authorization"
"""Header with the caller's key, which is forwarded only in a configuration without organisations.
"""


HOP_BY_HOP_HEADERS = CONNECTION_HEADERS | {"expect", "proxy-connection"}
"""Headers that concern a single connection and are not forwarded; in lower case."""
